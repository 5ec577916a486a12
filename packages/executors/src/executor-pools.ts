/**
Connection pools of all executors that this host sends tasks to. A pool is created on first use
of an executor's address, and replaced when the executor's slots or this host's share of its
connections change.
*/
import {type Executor} from '@gentianshift/resources';
import {ExecutorPool} from './executor-pool.js';
import {type TaskOutcome, type TaskRequest} from './outcome.js';

export type ExecutorPoolsOptions = {
	source?: string;
	/** Current number of entry hosts, which share each executor's connections. */
	countHosts: () => number;
};

/**
Number of idle connections that this host may keep open to an executor. An executor accepts a
limited number of connections, about 60 from all hosts together. In the worst case one host uses
all of the executor's slots while every other host keeps its share open, so
(hosts - 1) * share + slots must not exceed the limit. A host that kept more connections open
could leave none for the others. With very many hosts the share is 0: every request then opens
and closes a connection of its own, and the number of lent slots bounds the connections.
*/
export function computeMaxIdleConnections(
	{connections, slots}: Pick<Executor, 'connections' | 'slots'>,
	hosts: number,
): number {
	if (hosts <= 1) {
		return Math.min(slots, connections);
	}

	const idle = Math.max(0, connections - slots);
	return Math.min(slots, Math.floor(idle / (hosts - 1)));
}

export class ExecutorPools {
	readonly #pools = new Map<string, ExecutorPool>();

	readonly #options: ExecutorPoolsOptions;

	constructor(options: ExecutorPoolsOptions) {
		this.#options = options;
	}

	sendTask(
		executor: Executor,
		request: TaskRequest,
		onEnd: (outcome: TaskOutcome) => void,
	): void {
		this.#getPool(executor).sendTask(request, onEnd);
	}

	/** Waits for requests in progress, then closes all connections. */
	async close(): Promise<void> {
		await Promise.all(
			[...this.#pools.values()].map(async (pool) => pool.close()),
		);
	}

	/** Aborts requests in progress and closes all connections. */
	async destroy(): Promise<void> {
		await Promise.all(
			[...this.#pools.values()].map(async (pool) => pool.destroy()),
		);
	}

	#getPool(executor: Executor): ExecutorPool {
		const maxIdleConnections = computeMaxIdleConnections(
			executor,
			this.#options.countHosts(),
		);
		const existing = this.#pools.get(executor.address);
		if (
			existing?.options.maxIdleConnections === maxIdleConnections &&
			existing.options.slots === executor.slots
		) {
			return existing;
		}

		// close() lets requests in progress on the old pool end.
		void existing?.close();
		const pool = new ExecutorPool({
			address: executor.address,
			maxIdleConnections,
			slots: executor.slots,
			source: this.#options.source,
		});
		this.#pools.set(executor.address, pool);
		return pool;
	}
}
