/**
The pools of all executors that this host may send to, made when first needed and remade when
an executor's address or this host's share of its connections changes.
*/
import {type Executor} from '@gentianshift/resources';
import {ExecutorPool} from './executor-pool.js';
import {type TaskOutcome, type TaskRequest} from './outcome.js';

export type ExecutorPoolsOptions = {
	source?: string;
	/** Entry hosts that share each executor's connections now. */
	countHosts: () => number;
};

/**
Connections that this host may keep open to an executor while idle. The limit is the executor's,
about 60 for all hosts together. At worst one host has all of its slots in use while each other
one keeps its share open: (hosts - 1) * share + slots is at most the limit. A host that kept more
would starve the others. With very many hosts it is 0: every request then takes a connection of
its own and closes it, and the lent slots bound how many there are.
*/
export function computeShare(
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
		this.#findPool(executor).sendTask(request, onEnd);
	}

	/** Lets what is under way end. */
	async close(): Promise<void> {
		await Promise.all(
			[...this.#pools.values()].map(async (pool) => pool.close()),
		);
	}

	/** Cuts off what is still under way. */
	async destroy(): Promise<void> {
		await Promise.all(
			[...this.#pools.values()].map(async (pool) => pool.destroy()),
		);
	}

	#findPool(executor: Executor): ExecutorPool {
		const share = computeShare(executor, this.#options.countHosts());
		const known = this.#pools.get(executor.address);
		if (
			known?.options.share === share &&
			known.options.slots === executor.slots
		) {
			return known;
		}

		// Requests under way on the old pool end there.
		void known?.close();
		const pool = new ExecutorPool({
			address: executor.address,
			share,
			slots: executor.slots,
			source: this.#options.source,
		});
		this.#pools.set(executor.address, pool);
		return pool;
	}
}
