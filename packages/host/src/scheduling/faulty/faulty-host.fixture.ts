/**
A host on a virtual clock. Its roles, message handlers and executor lists are the production code; the store, the executors, the
network and the clocks are simulated. Its process can be killed and restarted, frozen, or suspended with its machine.
*/
import {type Hello, type MeshHandlers} from '@gentianshift/protocol';
import {
	type CallFailure,
	type CancellationOutcome,
	type CoordinationStore,
	type ExecutorControl,
	type JobAnswer,
	type JobRequest,
} from '@gentianshift/scheduling';
import {loadHash} from '@gentianshift/membership';
import {
	createStrictBackground,
	type VirtualClock,
} from '@gentianshift/scheduling/fixtures';
import {err, ResultAsync} from 'neverthrow';
import {createExecutorLists} from '../executor-lists.js';
import {HostRoles, type Peers} from '../host-roles.js';
import {createSchedulingHandlers} from '../scheduling-handlers.js';
import {createWorkMeter} from '../work-meter.js';
import {
	type ExecutorSource,
	type OperatorSource,
} from '../host-dependencies.js';
import {createEvacuations} from '../evacuations.js';
import {createOperatorWatch} from '../operator-watch.js';
import {type LiveClaims} from './live-claims.fixture.js';

const hash = await loadHash();
const updateIntervalMs = 50;

export type HostIdentity = {
	dataCentre: string;
	host: string;
	/** Milliseconds by which its wall clock is ahead of the virtual clock. */
	wallClockOffsetMs: number;
};

export type HostEnvironment = {
	clock: VirtualClock;
	store: CoordinationStore;
	executors: ExecutorSource;
	operators: Pick<OperatorSource, 'read' | 'watch'>;
	control: ExecutorControl;
	/** Executors refuse starts that exceed their capacity. */
	isCapacityEnforced: boolean;
	/** Most groups that a data centre is divided into. */
	maxGroups: number;
	/** Keys of the data centre's hosts, in the order in which they may take over the group. */
	listTakeoverOrder: () => readonly string[];
	peers: Omit<Peers, 'listCandidates' | 'getCores'>;
	log: (message: string, fields: Record<string, unknown>) => void;
	claims: LiveClaims;
};

type HostProcess = {
	roles: HostRoles;
	handlers: MeshHandlers;
	abortController: AbortController;
};

/** A host that lacks processor time: it reads what arrives on its connections this much later, in order on each of them. */
export type LateReads = {
	lateMs: number;
	spreadMs: number;
	/** All that has arrived by then is read at once; undefined: it stays late. */
	catchUpAt: number | undefined;
	/** Calls to executors count as unanswered, as their time-outs pass before the answers are read. */
	areAnswersLost: boolean;
};

/** Prime, so that consecutive connections are read differently late. */
const channelStep = 61;

export class FaultyHost {
	/** Its calls to executors have no effect and no answer. */
	isCutFromExecutors = false;
	readonly key: string;
	readonly dataCentre: string;
	#process: HostProcess | undefined;
	#incarnation = 0;
	#frozenUntil = 0;
	/** When the machine was suspended; undefined: its monotonic clock runs. */
	#suspendedAt: number | undefined;
	/** Total of earlier suspensions, which the monotonic clock has not counted. */
	#suspendedMs = 0;
	/** Work that arrived while the host was frozen; it runs when the freeze ends. */
	#deferredWork: Array<() => void> = [];
	/** What arrived on connections that have yet to be accepted; it runs after all other deferred work. */
	#deferredAccepts: Array<() => void> = [];
	#lateReads: LateReads | undefined;
	/** By channel: when the last of what arrived on it is read. */
	readonly #lastReadAt = new Map<number, number>();
	#callCount = 0;
	/** By job id: callers that wait on a connection to this host; the function tells the host that the connection broke. */
	readonly #waitingCallers = new Map<string, () => void>();

	constructor(
		private readonly identity: HostIdentity,
		private readonly environment: HostEnvironment,
	) {
		this.key = `${identity.dataCentre}_${identity.host}`;
		this.dataCentre = identity.dataCentre;
	}

	get isAlive(): boolean {
		return this.#process !== undefined;
	}

	get isHolder(): boolean {
		return this.#process?.roles.holdings.isHolder ?? false;
	}

	holdsGroup(group: string): boolean {
		return this.#process?.roles.holdings.findScheduler(group) !== undefined;
	}

	/** Has the host read the layout of its data centre now. */
	refreshLayout(): void {
		this.run(({roles}) => {
			void roles.layouts.refresh();
		});
	}

	/** How many executors this host may send a start now; undefined: it holds no group, or is frozen. */
	countOpenExecutors(): number | undefined {
		const schedulers = this.#process?.roles.holdings.schedulers ?? [];
		return this.#isFrozen() || schedulers.length === 0
			? undefined
			: schedulers.reduce(
					(sum, scheduler) => sum + scheduler.countExecutors().open,
					0,
				);
	}

	get hello(): Hello {
		return {
			t: 'hello',
			version: 1,
			dataCentre: this.identity.dataCentre,
			host: this.identity.host,
			incarnation: this.incarnation,
			address: '',
			isLeaving: false,
		};
	}

	get incarnation(): string {
		return `p${this.#incarnation}`;
	}

	/** Runs work in the host's process, once the host is not frozen; drops it if that process ends before. */
	run(
		work: (process: HostProcess) => void,
		{
			isReadLast = false,
			channel = 0,
		}: {
			isReadLast?: boolean;
			/** What arrives on one channel is read in that order. */
			channel?: number;
		} = {},
	): void {
		const process = this.#process;
		if (!process) {
			return;
		}

		const runNow = () => {
			if (this.#process === process) {
				work(process);
			}
		};

		const runOnceAwake = () => {
			if (this.#isFrozen()) {
				const deferred = isReadLast
					? this.#deferredAccepts
					: this.#deferredWork;
				deferred.push(runNow);
			} else {
				runNow();
			}
		};

		const lateMs = this.#measureLateness(channel);
		if (lateMs > 0) {
			this.environment.clock.schedule(lateMs, runOnceAwake);
		} else {
			runOnceAwake();
		}
	}

	/** From now on the host reads late what arrives on its connections. */
	setLateReads(lateReads: LateReads): void {
		this.#lateReads = lateReads;
	}

	/** What has not been read yet is still read late, unless another time of late reads has begun. */
	endLateReads(lateReads: LateReads): void {
		if (this.#lateReads === lateReads) {
			this.#lateReads = undefined;
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
		this.#deferredWork = [];
		this.#deferredAccepts = [];
		this.#frozenUntil = 0;
		process?.abortController.abort();
		for (const scheduler of process?.roles.holdings.schedulers ?? []) {
			scheduler.close();
		}

		return this.#takeCallers();
	}

	freeze(durationMs: number): void {
		const {clock} = this.environment;
		this.#frozenUntil = Math.max(this.#frozenUntil, clock.now + durationMs);
		clock.schedule(durationMs, () => {
			if (!this.#isFrozen()) {
				const deferredWork = [...this.#deferredWork, ...this.#deferredAccepts];
				this.#deferredWork = [];
				this.#deferredAccepts = [];
				for (const runNow of deferredWork) {
					runNow();
				}
			}
		});
	}

	/** Freezes the host, and stops the machine's monotonic clock for that time. */
	suspend(durationMs: number): void {
		const {clock} = this.environment;
		this.#suspendedAt ??= clock.now;
		clock.schedule(durationMs, () => {
			if (this.#suspendedAt !== undefined && !this.#isFrozen()) {
				this.#suspendedMs += clock.now - this.#suspendedAt;
				this.#suspendedAt = undefined;
			}
		});
		this.freeze(durationMs);
	}

	submit(
		request: JobRequest,
		onAnswer: (answer: JobAnswer) => void,
		options?: {isReadLast?: boolean},
	): void {
		let abandon: () => void = doNothing;
		const channel = this.#takeChannel();
		const reportDisconnect = () => {
			this.run(
				() => {
					abandon();
				},
				{channel},
			);
		};

		this.#waitingCallers.set(request.id, reportDisconnect);
		this.run(
			({roles}) => {
				abandon = roles.submit(request, (answer) => {
					if (this.#waitingCallers.get(request.id) === reportDisconnect) {
						this.#waitingCallers.delete(request.id);
						onAnswer(answer);
					}
				});
			},
			{...options, channel},
		);
	}

	/** Cancels a job for a caller that waits for `timeLeftMs`; no answer comes from a process that ends before. */
	cancel(
		id: string,
		timeLeftMs: number,
		onOutcome: (outcome: CancellationOutcome) => void,
	): void {
		this.run(({roles}) => {
			roles.cancellations.cancel(id, timeLeftMs, onOutcome);
		});
	}

	/** Breaks the callers' connections; the host notices `noticeDelayMs` later. Returns the ids of the jobs that were on them. */
	resetCallers(noticeDelayMs = 0): string[] {
		const disconnects = [...this.#waitingCallers.values()];
		const ids = this.#takeCallers();
		const process = this.#process;
		this.environment.clock.schedule(noticeDelayMs, () => {
			if (this.#process === process) {
				for (const reportDisconnect of disconnects) {
					reportDisconnect();
				}
			}
		});
		return ids;
	}

	/** Announces that the host is about to stop and leaves its roles to others, or withdraws that. */
	setStopping(isStopping: boolean): void {
		this.run(({roles}) => {
			roles.isStopping = isStopping;
			roles.sendState();
		});
	}

	/** How long this host goes without a sign of the peer before it pings. */
	choosePingInterval(peer: string): number {
		return this.#process?.roles.choosePingInterval(peer) ?? 0;
	}

	/** The machine's monotonic clock, which stops during a suspension. */
	#readMonotonicClock(): number {
		return this.#toMonotonicTime(this.environment.clock.now);
	}

	#toMonotonicTime(at: number): number {
		return Math.min(at, this.#suspendedAt ?? Infinity) - this.#suspendedMs;
	}

	/** Number of a connection of a caller or to an executor: no other host reads it. */
	#takeChannel(): number {
		this.#callCount += 1;
		return -this.#callCount;
	}

	#takeCallers(): string[] {
		const ids = [...this.#waitingCallers.keys()];
		this.#waitingCallers.clear();
		return ids;
	}

	/** How long until something that arrives now is read. */
	#measureLateness(channel: number): number {
		const {now} = this.environment.clock;
		const lateReads = this.#lateReads;
		const lastAt = this.#lastReadAt.get(channel) ?? 0;
		if (!lateReads && lastAt <= now) {
			return 0;
		}

		const lateMs = lateReads ? computeLateness(lateReads, channel) : 0;
		const latestAt = lateReads?.catchUpAt ?? Infinity;
		const at = Math.max(lastAt, Math.min(now + lateMs, latestAt), now);
		this.#lastReadAt.set(channel, at);
		return at - now;
	}

	#isFrozen(): boolean {
		return this.environment.clock.now < this.#frozenUntil;
	}

	/** Resolves once the host is not frozen; never, if the process has ended by then. */
	async #waitUntilRunning(incarnation: number): Promise<void> {
		while (this.#isFrozen()) {
			await this.environment.clock.wait(
				this.#frozenUntil - this.environment.clock.now,
			);
		}

		if (!this.#process || this.#incarnation !== incarnation) {
			await new Promise(() => {
				// Work of a process that has ended must not continue.
			});
		}
	}

	#createProcess(): HostProcess {
		const {clock, log, peers, listTakeoverOrder} = this.environment;
		const abortController = new AbortController();
		const incarnation = this.#incarnation;
		const waitWhileFrozen = <T, E>(
			call: ResultAsync<T, E>,
		): ResultAsync<T, E> =>
			new ResultAsync(
				(async () => {
					const result = await call;
					const lateMs = this.#measureLateness(this.#takeChannel());
					if (lateMs > 0) {
						await clock.wait(lateMs);
					}

					await this.#waitUntilRunning(incarnation);
					return result;
				})(),
			);
		const callExecutor: CallExecutor = (call, {answerTimeoutMs, waitMs = 0}) =>
			new ResultAsync(
				(async () => {
					const {areAnswersLost = false} = this.#lateReads ?? {};
					if (this.isCutFromExecutors || areAnswersLost) {
						if (!this.isCutFromExecutors) {
							void call();
						}

						await clock.wait(answerTimeoutMs + waitMs);
						await this.#waitUntilRunning(incarnation);
						return err(noAnswer);
					}

					const result = await waitWhileFrozen(call());
					return this.isCutFromExecutors ? err(noAnswer) : result;
				})(),
			);
		const wait = async (ms: number, signal?: AbortSignal): Promise<void> => {
			const endsAt = this.#readMonotonicClock() + ms;
			await clock.wait(ms, signal);
			await this.#waitUntilRunning(incarnation);
			while (!signal?.aborted && this.#readMonotonicClock() < endsAt) {
				await clock.wait(endsAt - this.#readMonotonicClock(), signal);
				await this.#waitUntilRunning(incarnation);
			}
		};

		const background = createStrictBackground();
		const lists = createExecutorLists({
			source: {
				list: (options) =>
					waitWhileFrozen(this.environment.executors.list(options)),
			},
			isKnownService: () => true,
			isCapacityEnforcingService: () => this.environment.isCapacityEnforced,
			isHolder: () => roles.holdings.isHolder,
			onList(list) {
				roles.holdings.setExecutors(list);
			},
			onRead(isRead) {
				roles.registrations.noteRead(isRead);
			},
			now: () => this.#readMonotonicClock(),
			wait,
			random: () => 0.5,
			background,
			log,
		});
		const evacuations = createEvacuations({
			onChange() {
				for (const link of peers.listLinks()) {
					link.send({
						t: 'queue-table',
						version: 0,
						evacuations: evacuations.getList(),
					});
				}

				roles.applyEvacuations();
			},
			wait,
			background,
			log,
		});
		const operatorWatch = createOperatorWatch({
			source: {
				read: () => waitWhileFrozen(this.environment.operators.read()),
				watch: (after, waitMs) =>
					waitWhileFrozen(this.environment.operators.watch(after, waitMs)),
			},
			onRead: evacuations.applyRead,
			onChange: evacuations.applyChange,
			wait,
			random: () => 0.5,
			background,
			log,
		});
		const roles = new HostRoles({
			dataCentre: this.dataCentre,
			key: this.key,
			processId: `${this.key}.${this.incarnation}`,
			store: wrapStore(this.environment.store, waitWhileFrozen, (at) =>
				this.#toMonotonicTime(at),
			),
			control: wrapControl(this.environment.control, callExecutor),
			executors: lists,
			evacuations,
			peers: {...peers, listCandidates: listTakeoverOrder, getCores: () => 1},
			getLeaseId: () => 1,
			now: () => this.#readMonotonicClock(),
			readBootTime: () => clock.now,
			readWallClock: () => clock.now + this.identity.wallClockOffsetMs,
			random: () => 0.5,
			wait,
			background,
			hash,
			maxGroups: this.environment.maxGroups,
			// What the host reads after a freeze is handled at one moment of the virtual clock.
			waitForReads(onRead) {
				clock.schedule(0, onRead);
			},
			defer(work) {
				clock.schedule(0, work);
			},
			onAnswer() {
				// The simulated caller gets the answer through `submit`.
			},
			onWithdrawal: doNothing,
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
			background,
			work: createWorkMeter(() => clock.now),
			tables: {getVersion: () => 0, receive: doNothing},
			evacuations,
			isAnnouncedTo: () => true,
			findAddress: () => '',
			now: () => this.#readMonotonicClock(),
			log,
		});
		this.environment.claims.observe(
			this.key,
			roles.holdings,
			() => !abortController.signal.aborted,
		);
		lists.start(abortController.signal);
		evacuations.start(abortController.signal);
		operatorWatch.start(abortController.signal);
		return {roles, handlers, abortController};
	}

	#repeatUpdates(process: HostProcess): void {
		if (this.#process !== process) {
			return;
		}

		if (!this.#isFrozen()) {
			process.roles.update();
		}

		this.environment.clock.schedule(updateIntervalMs, () => {
			this.#repeatUpdates(process);
		});
	}
}

type WaitWhileFrozen = <T, E>(call: ResultAsync<T, E>) => ResultAsync<T, E>;

type CallExecutor = <T>(
	call: () => ResultAsync<T, CallFailure>,
	limits: {answerTimeoutMs: number; waitMs?: number},
) => ResultAsync<T, CallFailure>;

const noAnswer: CallFailure = {code: 'unanswered', message: 'no answer'};

/** Connections differ in how late they are read, by up to `spreadMs`. */
function computeLateness(
	{lateMs, spreadMs}: LateReads,
	channel: number,
): number {
	return lateMs + ((Math.abs(channel) * channelStep) % (spreadMs + 1));
}

function wrapStore(
	store: CoordinationStore,
	waitWhileFrozen: WaitWhileFrozen,
	toMonotonicTime: (at: number) => number,
): CoordinationStore {
	return {
		...store,
		getAnsweredAt() {
			const answeredAt = store.getAnsweredAt();
			return answeredAt === undefined ? undefined : toMonotonicTime(answeredAt);
		},
		readKey: (key) => waitWhileFrozen(store.readKey(key)),
		commit: (change) => waitWhileFrozen(store.commit(change)),
	};
}

function wrapControl(
	control: ExecutorControl,
	callExecutor: CallExecutor,
): ExecutorControl {
	return {
		startTask: (executor, request) =>
			callExecutor(() => control.startTask(executor, request), request),
		stopTask: (executor, request) =>
			callExecutor(() => control.stopTask(executor, request), request),
		renewLease: (executor, request) =>
			callExecutor(() => control.renewLease(executor, request), request),
		forgetExecutor: control.forgetExecutor,
	};
}

function doNothing(): void {
	// Stands in for the host's parts that the simulation leaves out.
}
