/**
A host on a virtual clock. Its roles, message handlers and executor lists are the production code; the store, the executors, the
network and the clocks are simulated. Its process can be killed and restarted, frozen, or suspended with its machine.
*/
import {type Hello, type MeshHandlers} from '@gentianshift/protocol';
import {
	type CoordinationStore,
	type ExecutorControl,
	type JobAnswer,
	type JobRequest,
} from '@gentianshift/scheduling';
import {type VirtualClock} from '@gentianshift/scheduling/fixtures';
import {ResultAsync} from 'neverthrow';
import {createExecutorLists} from '../executor-lists.js';
import {HostRoles, type Peers} from '../host-roles.js';
import {createSchedulingHandlers} from '../scheduling-handlers.js';
import {type ExecutorSource} from '../surroundings.js';

const updateEveryMs = 50;

export type HostPlace = {
	dataCentre: string;
	host: string;
	/** Milliseconds by which its wall clock is ahead of the virtual clock. */
	clockAheadMs: number;
};

export type HostSurroundings = {
	clock: VirtualClock;
	store: CoordinationStore;
	executors: ExecutorSource;
	control: ExecutorControl;
	/** Executors refuse starts that exceed their capacity. */
	isGuarded: boolean;
	/** Keys of the data centre's hosts, in the order in which they may take over the group. */
	listOrder: () => readonly string[];
	peers: Omit<Peers, 'listOrder' | 'getCores'>;
	log: (message: string, fields: Record<string, unknown>) => void;
};

type Process = {
	roles: HostRoles;
	handlers: MeshHandlers;
	ending: AbortController;
};

export class FaultyHost {
	readonly key: string;
	readonly dataCentre: string;
	#process: Process | undefined;
	#incarnation = 0;
	#frozenUntil = 0;
	/** When the machine was suspended; undefined: its monotonic clock runs. */
	#suspendedAt: number | undefined;
	/** Total of earlier suspensions, which the monotonic clock has not counted. */
	#uncountedMs = 0;
	/** Work that arrived while the host was frozen; it runs when the freeze ends. */
	#unread: Array<() => void> = [];
	/** By job id: callers that wait on a connection to this host; the function tells the host that the connection broke. */
	readonly #callers = new Map<string, () => void>();

	constructor(
		private readonly place: HostPlace,
		private readonly surroundings: HostSurroundings,
	) {
		this.key = `${place.dataCentre}_${place.host}`;
		this.dataCentre = place.dataCentre;
	}

	get isAlive(): boolean {
		return this.#process !== undefined;
	}

	get isHolder(): boolean {
		return this.#process?.roles.holding.scheduler !== undefined;
	}

	get hello(): Hello {
		return {
			t: 'hello',
			version: 1,
			dataCentre: this.place.dataCentre,
			host: this.place.host,
			incarnation: this.incarnation,
			address: '',
			isLeaving: false,
		};
	}

	get incarnation(): string {
		return `p${this.#incarnation}`;
	}

	/** Runs work in the host's process, once the host is not frozen; drops it if that process ends before. */
	run(work: (process: Process) => void): void {
		const process = this.#process;
		if (!process) {
			return;
		}

		const runNow = () => {
			if (this.#process === process) {
				work(process);
			}
		};

		if (this.#isFrozen()) {
			this.#unread.push(runNow);
		} else {
			runNow();
		}
	}

	start(): void {
		this.#incarnation += 1;
		const process = this.#createProcess();
		this.#process = process;
		this.#repeatUpdates(process);
	}

	/** Ends the process without any shutdown; returns the ids of the jobs whose callers were waiting on it. */
	kill(): string[] {
		const process = this.#process;
		this.#process = undefined;
		this.#unread = [];
		this.#frozenUntil = 0;
		process?.ending.abort();
		process?.roles.holding.scheduler?.close();
		return this.#takeCallers();
	}

	freeze(forMs: number): void {
		const {clock} = this.surroundings;
		this.#frozenUntil = Math.max(this.#frozenUntil, clock.now + forMs);
		clock.schedule(forMs, () => {
			if (!this.#isFrozen()) {
				const unread = this.#unread;
				this.#unread = [];
				for (const runNow of unread) {
					runNow();
				}
			}
		});
	}

	/** Freezes the host, and stops the machine's monotonic clock for that time. */
	suspend(forMs: number): void {
		const {clock} = this.surroundings;
		this.#suspendedAt ??= clock.now;
		clock.schedule(forMs, () => {
			if (this.#suspendedAt !== undefined && !this.#isFrozen()) {
				this.#uncountedMs += clock.now - this.#suspendedAt;
				this.#suspendedAt = undefined;
			}
		});
		this.freeze(forMs);
	}

	submit(request: JobRequest, onAnswer: (answer: JobAnswer) => void): void {
		let abandon: () => void = doNothing;
		const leave = () => {
			abandon();
		};

		this.#callers.set(request.id, leave);
		this.run(({roles}) => {
			abandon = roles.submit(request, (answer) => {
				if (this.#callers.get(request.id) === leave) {
					this.#callers.delete(request.id);
					onAnswer(answer);
				}
			});
		});
	}

	/** Breaks the callers' connections; the host notices `noticeMs` later. Returns the ids of the jobs that were on them. */
	resetCallers(noticeMs = 0): string[] {
		const leaving = [...this.#callers.values()];
		const ids = this.#takeCallers();
		const process = this.#process;
		this.surroundings.clock.schedule(noticeMs, () => {
			this.run((current) => {
				for (const leave of current === process ? leaving : []) {
					leave();
				}
			});
		});
		return ids;
	}

	/** Announces that the host is about to stop and leaves its roles to others, or withdraws that. */
	planStop(isStopping: boolean): void {
		this.run(({roles}) => {
			roles.isStopping = isStopping;
			roles.tellState();
		});
	}

	/** The machine's monotonic clock, which stops during a suspension. */
	#readSteadyClock(): number {
		return this.#toSteadyTime(this.surroundings.clock.now);
	}

	#toSteadyTime(at: number): number {
		return Math.min(at, this.#suspendedAt ?? Infinity) - this.#uncountedMs;
	}

	#takeCallers(): string[] {
		const ids = [...this.#callers.keys()];
		this.#callers.clear();
		return ids;
	}

	#isFrozen(): boolean {
		return this.surroundings.clock.now < this.#frozenUntil;
	}

	/** Resolves once the host is not frozen; never, if the process has ended by then. */
	async #waitAwake(incarnation: number): Promise<void> {
		while (this.#isFrozen()) {
			await this.surroundings.clock.wait(
				this.#frozenUntil - this.surroundings.clock.now,
			);
		}

		if (!this.#process || this.#incarnation !== incarnation) {
			await new Promise(() => {
				// Work of a process that has ended must not continue.
			});
		}
	}

	#createProcess(): Process {
		const {clock, log, peers, listOrder} = this.surroundings;
		const ending = new AbortController();
		const incarnation = this.#incarnation;
		const hold = <T, E>(call: ResultAsync<T, E>): ResultAsync<T, E> =>
			new ResultAsync(
				(async () => {
					const result = await call;
					await this.#waitAwake(incarnation);
					return result;
				})(),
			);
		const wait = async (ms: number, signal?: AbortSignal): Promise<void> => {
			const endsAt = this.#readSteadyClock() + ms;
			await clock.wait(ms, signal);
			await this.#waitAwake(incarnation);
			while (!signal?.aborted && this.#readSteadyClock() < endsAt) {
				await clock.wait(endsAt - this.#readSteadyClock(), signal);
				await this.#waitAwake(incarnation);
			}
		};

		const lists = createExecutorLists({
			source: {
				list: (options) => hold(this.surroundings.executors.list(options)),
			},
			isNamedService: () => true,
			isGuardedService: () => this.surroundings.isGuarded,
			isHolder: () => roles.holding.scheduler !== undefined,
			onList(list) {
				roles.holding.setExecutors(list);
			},
			now: () => this.#readSteadyClock(),
			wait,
			random: () => 0.5,
			log,
		});
		const roles = new HostRoles({
			dataCentre: this.dataCentre,
			key: this.key,
			ownerId: `${this.key}.${this.incarnation}`,
			store: wrapStore(this.surroundings.store, hold, (at) =>
				this.#toSteadyTime(at),
			),
			control: wrapControl(this.surroundings.control, hold),
			executors: lists,
			peers: {...peers, listOrder, getCores: () => 1},
			getLeaseId: () => 1,
			now: () => this.#readSteadyClock(),
			readBootTime: () => clock.now,
			readWallClock: () => clock.now + this.place.clockAheadMs,
			wait,
			defer(work) {
				clock.schedule(0, work);
			},
			onAnswer() {
				// The simulated caller gets the answer through `submit`.
			},
			log,
		});
		const handlers = createSchedulingHandlers({
			directory: {
				markLinkUp: doNothing,
				markLinkDown: doNothing,
				markSession: doNothing,
				markLeaving: doNothing,
				receiveHosts: doNothing,
			},
			roles,
			tables: {tell: doNothing, receive: doNothing},
			findAddress: () => '',
			now: () => this.#readSteadyClock(),
			log,
		});
		lists.start(ending.signal);
		return {roles, handlers, ending};
	}

	#repeatUpdates(process: Process): void {
		if (this.#process !== process) {
			return;
		}

		if (!this.#isFrozen()) {
			process.roles.update();
		}

		this.surroundings.clock.schedule(updateEveryMs, () => {
			this.#repeatUpdates(process);
		});
	}
}

type Hold = <T, E>(call: ResultAsync<T, E>) => ResultAsync<T, E>;

function wrapStore(
	store: CoordinationStore,
	hold: Hold,
	toSteadyTime: (at: number) => number,
): CoordinationStore {
	return {
		...store,
		getAnsweredAt() {
			const answeredAt = store.getAnsweredAt();
			return answeredAt === undefined ? undefined : toSteadyTime(answeredAt);
		},
		readKey: (key) => hold(store.readKey(key)),
		commit: (change) => hold(store.commit(change)),
	};
}

function wrapControl(control: ExecutorControl, hold: Hold): ExecutorControl {
	return {
		startTask: (executor, request) =>
			hold(control.startTask(executor, request)),
		stopTask: (executor, request) => hold(control.stopTask(executor, request)),
		renewLease: (executor, request) =>
			hold(control.renewLease(executor, request)),
		forgetExecutor: control.forgetExecutor,
	};
}

function doNothing(): void {
	// Stands in for the host's parts that the simulation leaves out.
}
