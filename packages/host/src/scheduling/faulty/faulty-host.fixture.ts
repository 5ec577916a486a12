/**
A host of the product on a virtual clock: its roles, its handlers and its lists of executors as they are, its surroundings
faked. Its process is killed and started anew, or frozen.
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
	/** Its time of day is so many milliseconds ahead of the others'. */
	clockAheadMs: number;
};

export type HostSurroundings = {
	clock: VirtualClock;
	store: CoordinationStore;
	executors: ExecutorSource;
	control: ExecutorControl;
	/** Executors refuse what they have no room for. */
	isGuarded: boolean;
	/** Hosts of the data centre, in the order of takeover. */
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
	/** What came while the host was frozen, and is read when it thaws. */
	#unread: Array<() => void> = [];
	/** Jobs whose callers wait on a connection to this host, and what tells it that the connection has broken. */
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

	/** Runs work in the host's process: now, or when it thaws. */
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

	/** The process is gone at once; gives the jobs whose callers wait for it. */
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

	/** Callers' connections break, which the host reads so much later; gives the jobs that were on them. */
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

	/** The host takes no role any more, or does again. */
	planStop(isStopping: boolean): void {
		this.run(({roles}) => {
			roles.isStopping = isStopping;
			roles.tellState();
		});
	}

	#takeCallers(): string[] {
		const ids = [...this.#callers.keys()];
		this.#callers.clear();
		return ids;
	}

	#isFrozen(): boolean {
		return this.surroundings.clock.now < this.#frozenUntil;
	}

	/** Resolves when the process goes on; never, once it is gone. */
	async #waitAwake(incarnation: number): Promise<void> {
		while (this.#isFrozen()) {
			await this.surroundings.clock.wait(
				this.#frozenUntil - this.surroundings.clock.now,
			);
		}

		if (!this.#process || this.#incarnation !== incarnation) {
			await new Promise(() => {
				// A process that is gone goes no further.
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
			await clock.wait(ms, signal);
			await this.#waitAwake(incarnation);
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
			now: () => clock.now,
			wait,
			random: () => 0.5,
			log,
		});
		const roles = new HostRoles({
			dataCentre: this.dataCentre,
			key: this.key,
			ownerId: `${this.key}.${this.incarnation}`,
			store: wrapStore(this.surroundings.store, hold),
			control: wrapControl(this.surroundings.control, hold),
			executors: lists,
			peers: {...peers, listOrder, getCores: () => 1},
			getLeaseId: () => 1,
			now: () => clock.now,
			readWallClock: () => clock.now + this.place.clockAheadMs,
			wait,
			defer(work) {
				clock.schedule(0, work);
			},
			onAnswer() {
				// Told to the caller.
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
			now: () => clock.now,
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

function wrapStore(store: CoordinationStore, hold: Hold): CoordinationStore {
	return {
		...store,
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
	// Not of interest here.
}
