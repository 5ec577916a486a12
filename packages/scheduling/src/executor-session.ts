/**
The session of a scheduler with one executor of its group: sends starts and stops, renews the lease, and reads the
ends of runs. Nothing else in the process reads an executor's ends.

An executor that does not answer is silent: it gets no new starts and its lease is no longer renewed. Once the lease has
passed, its runs are certain to be over. Each report is applied as a whole (`run-table.ts`) before any callback is
called.

A session belongs to one incarnation of the executor: its id and, where it is stated, the start time of its process. An
answer of an earlier process is treated as no answer, whatever it says. An answer of a later process proves that the
present one has ended: the session ends, and the later process gets a session of its own.

What goes wrong at a restart under the same id: an order to the former process arrives seconds later, and the new process,
which knows no fencing token and no attempt, carries it out while the task has been placed elsewhere. So a start without
an answer counts as a run until a stop of its attempt was answered: the new session takes it over, sends the token and
these stops before it is open for starts, and stops every run that it did not start itself. Such a run can't be
claimed by a job either, since only the runs of an earlier holder are there to be claimed. The new session's token is above that of
the former one, so once its first call is answered, the new process refuses all late calls to the former one: a stop may be lost,
and a late renewal would extend the lease.

An answer to an order need not state which process has given it; only reports always do. So a start that was accepted, and
that no report of this process has listed, may be a run of the next one: the new session takes it over, and the first
report tells whether it goes on, has ended, or was lost with the former process.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {err, type Result, ResultAsync} from 'neverthrow';
import {
	type Answerer,
	type CallFailure,
	type ExecutorControl,
	type LeaseReply,
	type LeaseRequest,
	type RunEnd,
	type RunName,
} from './executor-control.js';
import {type AnswerTimes} from './answer-times.js';
import {type Background} from './background.js';
import {compareIncarnations} from './compare-incarnations.js';
import {createCrashWatch, type CrashWatch} from './crash-watch.js';
import {createExecutorLease} from './executor-lease.js';
import {createTrust, recordFailure} from './executor-trust.js';
import {describeRun} from './describe-run.js';
import {type Executor} from './executor.js';
import {type ExecutorCandidate} from './place-task.js';
import {
	coversDemand,
	noDemand,
	noFreeCapacity,
	removeDemand,
} from './free-capacity.js';
import {createLeaseCalls, type LeaseCalls} from './lease-calls.js';
import {createRunTable, type EndedRun} from './run-table.js';
import {createRunCalls, callRetryMs, type RunCalls} from './run-calls.js';
import {type RunIndex} from './run-index.js';
import {formatTaskKey, type Run, type RunOutcome} from './run.js';
import {
	claimLimitMs,
	dropStopLimitMs,
	idleReportIntervalMs,
	maxRenewWaitMs,
	minRenewWaitMs,
	renewWaitFactor,
	stopLimitMs,
} from './timing.js';
import {lateStartLimitMs, type UnansweredStarts} from './unanswered-starts.js';
import {
	isAccepted,
	isUnsettled,
	pickRuns,
	takeOverStart,
} from './unsettled-starts.js';

/** A start under a shorter lease than this would be lost, as the lease expires first, or be carried out too late. */
const minLeaseMs = 150;

/**
After a start was refused or could not be delivered, the executor gets none for this long. After a refusal for lack of
free capacity the pause ends early if that may have changed.
*/
const failedStartPauseMs = 150;

/** Why the pause between two renewals ends early; nobody reads it. */
const pauseEnded = 'a start or stop is sent, or the session is closed';

/** What a session takes over from that with the former process of the same executor. */
export type Inheritance = {
	/** Starts that this process may have accepted, or may still carry out. */
	unsettledStarts: readonly Run[];
	/** To be called once, when it is known which of them were lost: crashes are blamed only then. Undefined: it has been. */
	onSettled: ((lost: readonly Run[]) => void) | undefined;
	/** Whether runs that are found may be those of an earlier holder of the group. */
	mayClaim: boolean;
	leaseCalls: LeaseCalls;
	/** The latest end of a lease that a call to a former process has stated, on that process's clock. */
	leaseUntilMs: number | undefined;
	/** This process may have carried out a call that extended its lease to then. */
	isLeaseCarried: boolean;
};

export type SessionPorts = {
	now: () => number;
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	background: Background;
	control: ExecutorControl;
	getToken: () => number;
	/** The latest time to which the lease may be renewed, given these runs; this host's clock. */
	getLeaseCap: (runs: Iterable<Run>) => number;
	/** Answer times of all executors of the group. */
	answerTimes: AnswerTimes;
	/** Unanswered starts sent to this executor, including those of earlier sessions. */
	unansweredStarts: UnansweredStarts;
	/** Whether starts of the group's former holder may still be on their way. */
	mayHaveForeignStarts: () => boolean;
	/** Names the sessions with runs of a job; this session keeps its runs entered there. */
	runIndex: RunIndex<ExecutorSession>;
	onRunEnd: (run: Run, outcome: RunOutcome, session: ExecutorSession) => void;
	/** A later process of the executor is there; called before any other callback for the end of this one. */
	onReplaced: (next: Executor, inheritance: Inheritance) => void;
	/** The executor crashed while these runs were on it; `executor` names the incarnation, here and below. */
	onCrash: (executor: string, runs: readonly Run[]) => void;
	/** The executor is silent, and the lease of these runs has passed. */
	onSilence: (executor: string, runs: readonly Run[]) => void;
	/** The executor has not crashed: the same process answers again, or it left while draining. */
	onCleared: (executor: string) => void;
	/**
	The executor has become available, is gone, or its free capacity may have changed; called once for all ends of one
	report.
	*/
	onChange: () => void;
	/** Another scheduler holds the group. */
	onFenced: () => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export class ExecutorSession implements ExecutorCandidate {
	readonly trust = createTrust();
	/** The executor has reported to this scheduler all that runs on it. */
	hasReported = false;
	/** When `hasReported` became true. */
	reportedAt = Infinity;
	/**
	Since when the executor does not answer, or has unanswered starts still to be cancelled; undefined: neither holds.
	*/
	silentSince: number | undefined;
	/** This process of the executor has ended. */
	isGone = false;
	#executor: Executor;
	readonly #runTable = createRunTable({
		onAdd: ({job}) => {
			this.ports.runIndex.add(job, this);
		},
		onRemove: ({job}) => {
			this.ports.runIndex.remove(job, this);
		},
	});

	readonly #lease = createExecutorLease();
	readonly #leaseCalls: LeaseCalls;
	/** Starts taken over that ended as lost, or that prove never to have run here. */
	readonly #lostStarts: Run[] = [];
	readonly #control: ExecutorControl;
	readonly #calls: RunCalls;
	readonly #crashWatch: CrashWatch;
	#isListed = true;
	/** Number of renewals in a row without an answer. */
	#missedRenewals = 0;
	/** The executor's clock in its newest report. An older report that arrives after it is ignored. */
	#reportedClockMs = -Infinity;
	readonly #closing = new AbortController();
	/** Calls without an answer yet that extend the lease. */
	#leaseCallCount = 0;
	/** Until then none of its capacity counts as free: the executor has refused a start for lack of free capacity. */
	#fullUntil = -Infinity;
	/** Ends the pause between two renewals; undefined: no pause is going on. */
	#idlePause: AbortController | undefined;

	constructor(
		executor: Executor,
		private readonly ports: SessionPorts,
		private inheritance?: Inheritance,
	) {
		this.#executor = executor;
		this.#leaseCalls = inheritance?.leaseCalls ?? createLeaseCalls();
		this.#control = this.#createControl();
		this.#calls = this.#createCalls();
		this.#crashWatch = createCrashWatch({
			isDraining: () => this.isDraining,
			onSilence: (runs) => {
				ports.onSilence(this.incarnation, runs);
			},
			onNotCrashed: () => {
				ports.onCleared(this.incarnation);
			},
			onCrash: (runs) => {
				ports.onCrash(this.incarnation, runs);
			},
		});
	}

	get id(): string {
		return this.#executor.id;
	}

	get bornMs(): number | undefined {
		return this.#executor.bornMs;
	}

	/** Names the process for crash records: two restarts under one id are two crashes. */
	get incarnation(): string {
		return this.bornMs === undefined ? this.id : `${this.id}@${this.bornMs}`;
	}

	/**
	Whether the process has not reported to this scheduler, and has started after `time` as far as this host knows: late calls to a
	former process may start runs here, or extend their lease.
	*/
	hasNotReportedSince(time: number): boolean {
		const {restartedAt = -Infinity} = this.#executor;
		return (
			!this.hasReported &&
			!this.isGone &&
			(this.inheritance !== undefined || restartedAt > time)
		);
	}

	get runs(): ReadonlyMap<string, Run> {
		return this.#runTable.runs;
	}

	/**
	There are runs, or ends of runs, that an earlier holder of the group may have started and no entry has claimed.
	*/
	get hasUnclaimedRuns(): boolean {
		return this.#runTable.hasUnclaimedRuns;
	}

	get runCount(): number {
		return this.runs.size;
	}

	get service(): string {
		return this.#executor.service;
	}

	get capacity(): TaskDemand {
		return this.#executor.capacity;
	}

	get labels(): readonly string[] {
		return this.#executor.labels ?? [];
	}

	get isDraining(): boolean {
		return this.#executor.isDraining;
	}

	/** Free capacity. Negative if the capacity has shrunk below what the runs use. */
	get free(): TaskDemand {
		// Asked of each executor for each task: the clock is read only after a refused start.
		const isFull =
			this.#fullUntil > -Infinity && this.ports.now() < this.#fullUntil;
		return isFull || this.#hasUnknownRuns()
			? noFreeCapacity
			: removeDemand(this.#executor.capacity, this.#runTable.usedDemand);
	}

	/** How long ago this host first read the current capacity, milliseconds. */
	get capacityAgeMs(): number {
		return this.ports.now() - this.#executor.capacityReadAt;
	}

	/** Whether a start may be sent now. */
	get isOpen(): boolean {
		return (
			this.hasReported &&
			!this.isGone &&
			!this.isDraining &&
			this.silentSince === undefined
		);
	}

	/**
	The lease can be extended far enough for a start: no run here is past the end of its claim, or the time by which
	it has to stop.
	*/
	get isLeaseExtendable(): boolean {
		return (
			this.ports.getLeaseCap(this.runs.values()) > this.ports.now() + minLeaseMs
		);
	}

	/** Takes over what the executor has registered, unless an earlier process did. */
	update(executor: Executor): void {
		this.#isListed = true;
		if (compareIncarnations(executor.bornMs, this.bornMs) === 'earlier') {
			return;
		}

		const former = this.#executor;
		const formerAgeMs = Math.round(this.capacityAgeMs);
		this.#executor = addBorn(executor, executor.bornMs ?? this.bornMs);
		if (executor.isDraining && !former.isDraining) {
			this.ports.log('executor drains', {
				executor: this.id,
				runs: this.runs.size,
				remainingMs: executor.remainingMs,
			});
		}

		if (!isSameDemand(former.capacity, executor.capacity)) {
			this.#fullUntil = -Infinity;
			this.ports.log('capacity of an executor has changed', {
				executor: this.id,
				from: former.capacity,
				to: executor.capacity,
				ageMs: Math.round(this.capacityAgeMs),
				formerAgeMs,
			});
		}
	}

	/** Starts to renew the lease in the background; returns at once. */
	open(): void {
		const {now, unansweredStarts} = this.ports;
		this.#takeOverStarts();
		this.silentSince =
			unansweredStarts.isEmpty && this.#countHeld() === 0 ? undefined : now();
		this.#repeatRenewals();
		// Sent right after the first renewal, which carries the token: a late start may arrive at any time.
		for (const run of this.runs.values()) {
			const isStopping = run.stopBy !== undefined;
			if (isStopping || (run.isHeld ?? false)) {
				this.stop(run, now() + dropStopLimitMs);
			}
		}

		if (this.inheritance && !unansweredStarts.isEmpty) {
			this.#run('cancelling starts', async () => this.#cancelStarts());
		}
	}

	/**
	Ends the session as a later process of the executor, `next`, is there. All runs here are over; starts that may have
	reached that process, or may still do, go to its session. It is opened before others learn of the end: they would start a
	task again that the new process may have.
	*/
	replaceBy(next: Executor, reason: string): void {
		if (this.#closing.signal.aborted) {
			return;
		}

		const runs = [...this.runs.values()];
		const unsettledStarts = runs.filter((run) => this.#isPossibleAtNext(run));
		const hasUnsettled = unsettledStarts.length > 0;
		const lost = runs.filter((run) => !unsettledStarts.includes(run));
		this.isGone = true;
		for (const run of runs) {
			this.#runTable.remove(run);
		}

		this.ports.log('executor has started again', {
			executor: this.id,
			reason,
			bornMs: this.bornMs,
			nextBornMs: next.bornMs,
			runs: runs.length,
			unsettledStarts: unsettledStarts.length,
		});
		this.#endCalls();
		// Noted while the group still knows how long this process has been up.
		if (!hasUnsettled) {
			this.#crashWatch.noteProcessEnded(lost);
		}

		this.ports.onReplaced(next, {
			unsettledStarts,
			onSettled: (lostStarts) => {
				if (hasUnsettled) {
					this.#crashWatch.noteProcessEnded([
						...lost,
						...pickRuns(unsettledStarts, lostStarts),
					]);
				}

				this.#settleStarts(lostStarts);
			},
			mayClaim: this.#mayClaim && !this.hasReported,
			leaseCalls: this.#leaseCalls,
			leaseUntilMs: findLatest(
				this.#lease.statedUntilMs,
				this.inheritance?.leaseUntilMs,
			),
			isLeaseCarried:
				this.#leaseCallCount > 0 ||
				unsettledStarts.some((run) => isAccepted(run)),
		});
		for (const run of lost) {
			this.#reportEnd({run, outcome: 'lost'});
		}

		this.ports.onChange();
	}

	/**
	Ends the session; no more calls are made. Runs go on until their lease ends, or the next holder takes them over.
	*/
	close(): void {
		// The next holder may never see this executor or its runs, so possible crashes are recorded now.
		if (this.silentSince !== undefined && !this.isGone) {
			this.#crashWatch.noteLeaseExpired([...this.runs.values()]);
		}

		this.#settleStarts([]);
		this.#endCalls();
	}

	/** Sends a start; the end of the run is reported by `onRunEnd`. */
	start(
		name: RunName,
		{
			spec,
			demand,
			estimateMs,
		}: {spec: string; demand: TaskDemand; estimateMs: number},
	): void {
		const run: Run = {
			...name,
			demand,
			estimateMs,
			state: 'starting',
			startedAt: this.ports.now(),
			isUnclaimed: false,
		};
		this.#runTable.add(run);
		this.#calls.start(run, spec);
		this.#endIdlePause();
	}

	/**
	Stops a run; its capacity becomes free when the executor reports its end. `stopBy`: when the run has to be over; this
	host's clock.
	*/
	stop(run: Run, stopBy: number): void {
		this.#calls.stop(run, stopBy);
		this.#endIdlePause();
	}

	/** To be called when the store no longer lists the executor: it counts as gone, so its runs are stopped. */
	stopAll(): void {
		this.#isListed = false;
		if (this.silentSince !== undefined) {
			this.#crashWatch.noteProcessEnded([...this.runs.values()]);
		}

		const stopBy = this.ports.now() + dropStopLimitMs;
		for (const run of this.runs.values()) {
			this.stop(run, stopBy);
		}
	}

	/**
	Claims the run of this task that an earlier holder started; from now on the run belongs to the job. Undefined:
	there is none.
	*/
	claimRun(task: RunName, demand: TaskDemand): Run | undefined {
		const run = this.runs.get(formatTaskKey(task));
		if (!run?.isUnclaimed || run.state === 'stopping') {
			return undefined;
		}

		this.#runTable.claim(run, demand);
		this.#fullUntil = -Infinity;
		return run;
	}

	/** Hands out, once, the end of a run of this task that no entry had claimed when the executor reported it. */
	takeUnclaimedEnd(task: {job: string; index: number}): RunEnd | undefined {
		return this.#runTable.takeUnclaimedEnd(task);
	}

	get #mayClaim(): boolean {
		return this.inheritance?.mayClaim ?? true;
	}

	#endCalls(): void {
		this.#closing.abort();
		this.#endIdlePause();
		this.ports.control.forgetExecutor(this.#executor);
	}

	/** The calls to the executor, with the answers of other processes than this session's left out. */
	#createControl(): ExecutorControl {
		const {control} = this.ports;
		return {
			startTask: (executor, request) =>
				this.#wrapCall(
					() => control.startTask(executor, request),
					true,
					(reply) => {
						this.#noteAnsweredLater(request, reply);
					},
				),
			stopTask: (executor, request) =>
				this.#wrapCall(() => control.stopTask(executor, request), false),
			renewLease: (executor, request) =>
				this.#wrapCall(
					() => control.renewLease(executor, request),
					request.leaseUntilMs !== undefined,
				),
			forgetExecutor: control.forgetExecutor,
		};
	}

	#wrapCall<T extends Answerer>(
		call: () => ResultAsync<T, CallFailure>,
		extendsLease: boolean,
		noteReply: (reply: Result<T, CallFailure>) => void = doNothing,
	): ResultAsync<T, CallFailure> {
		this.#leaseCallCount += Number(extendsLease);
		return new ResultAsync(
			(async () => {
				let reply: Result<T, CallFailure>;
				try {
					reply = await call();
				} catch (error) {
					reply = this.#handleThrownCall(error);
				}

				noteReply(reply);
				if (extendsLease) {
					this.#noteLeaseCall(reply);
				}

				const isOwn = this.#isFromThisProcess(reply);
				this.#leaseCallCount -= Number(extendsLease);
				return isOwn ? reply : err(otherProcessFailure);
			})(),
		);
	}

	/** A call that throws counts as one without an answer: it may have been carried out all the same. */
	#handleThrownCall(error: unknown): Result<never, CallFailure> {
		this.ports.background.report(
			{work: 'call to an executor', executor: this.id},
			error,
		);
		return err({code: 'unanswered', message: String(error)});
	}

	/** A start that a later process has answered is no run of this one: accepted, it goes on there. */
	#noteAnsweredLater(
		start: RunName,
		reply: Result<Answerer, CallFailure>,
	): void {
		const {bornMs} = reply.isOk() ? reply.value : reply.error;
		const run = this.runs.get(formatTaskKey(start));
		if (
			run?.attempt !== start.attempt ||
			compareIncarnations(bornMs, this.bornMs) !== 'later'
		) {
			return;
		}

		if (reply.isOk()) {
			run.acceptedAt = this.ports.now();
		} else if (reply.error.code !== 'replaced') {
			run.isRefused = true;
		}
	}

	#noteLeaseCall(reply: Result<Answerer, CallFailure>): void {
		const now = this.ports.now();
		const code = reply.isErr() ? reply.error.code : undefined;
		if (code === 'unanswered') {
			this.#leaseCalls.noteUnanswered(now);
		} else if (code !== 'unreachable') {
			this.#leaseCalls.noteAnswered(now);
		}
	}

	/** Ends the session if a later process has answered. */
	#isFromThisProcess(reply: Result<Answerer, CallFailure>): boolean {
		const {bornMs} = reply.isOk() ? reply.value : reply.error;
		const order = compareIncarnations(bornMs, this.bornMs);
		// The executor that answered has another id, so its start time is not that of a process of this one.
		if (reply.isErr() && reply.error.code === 'replaced') {
			return order !== 'earlier';
		}

		if (order === 'unknown' && bornMs !== undefined) {
			this.#executor = addBorn(this.#executor, bornMs);
		}

		if (order === 'later') {
			this.replaceBy(
				describeNextProcess(this.#executor, bornMs),
				'a later process answers',
			);
		}

		return order !== 'earlier' && order !== 'later';
	}

	#countHeld(): number {
		let count = 0;
		for (const {isHeld} of this.runs.values()) {
			count += Number(isHeld ?? false);
		}

		return count;
	}

	/** Whether a later process of the executor may have accepted the start of this run, or may still carry it out. */
	#isPossibleAtNext(run: Run): boolean {
		return this.bornMs !== undefined && isUnsettled(run);
	}

	/** Tells the session with the former process, once, which starts were lost with it; that session is not needed any more. */
	#settleStarts(lost: readonly Run[]): void {
		const {inheritance} = this;
		if (inheritance?.onSettled) {
			this.inheritance = {...inheritance, onSettled: undefined};
			const unconfirmed = [...this.runs.values()].filter(
				({isInherited, isConfirmed}) => isInherited && !isConfirmed,
			);
			inheritance.onSettled([...this.#lostStarts, ...unconfirmed, ...lost]);
		}
	}

	#takeOverStarts(): void {
		if (!this.inheritance) {
			return;
		}

		const {unsettledStarts, leaseUntilMs, isLeaseCarried} = this.inheritance;
		for (const start of unsettledStarts) {
			const run = takeOverStart(start);
			this.#runTable.add(run);
			if (run.isHeld) {
				this.ports.unansweredStarts.remember(run, run.startedAt);
			}
		}

		if (isLeaseCarried && leaseUntilMs !== undefined) {
			this.#lease.assumeExtended(leaseUntilMs, this.ports.now());
		}
	}

	#createCalls(): RunCalls {
		const {now, wait, background, getToken, answerTimes, log} = this.ports;
		return createRunCalls({
			background,
			answerTimes,
			now,
			wait,
			control: this.#control,
			getToken,
			getExecutor: () => this.#executor,
			extendLease: () => this.#extendLease(),
			isCurrent: (run) => !this.isGone && this.#runTable.isCurrent(run),
			signal: this.#closing.signal,
			onClockReading: (clockMs) => {
				this.#setClock(clockMs);
			},
			onFailure: (failure, call) => {
				this.#handleCallFailure(failure, call);
			},
			onUnanswered: (run) => {
				if (this.bornMs !== undefined) {
					this.ports.unansweredStarts.remember(run, run.startedAt);
				}
			},
			onStopped: () => {
				this.#run('report of an executor', async () => this.#fetchReport());
			},
			onUnstarted: (run, outcome) => {
				this.#runTable.remove(run);
				this.#reportEnd({run, outcome});
				this.ports.onChange();
			},
			log,
		});
	}

	#run(work: string, task: () => Promise<unknown>): void {
		this.ports.background.run({work, executor: this.id}, task);
	}

	/** After an exception the executor counts as silent, so that its runs end with their lease, until a renewal is handled. */
	#repeatRenewals(): void {
		this.ports.background.repeat(
			{work: 'renewals of a lease', executor: this.id},
			async () => this.#renewAndWait(),
			{
				signal: this.#closing.signal,
				isOver: () => this.isGone,
				onException: () => {
					this.#noteSilence(renewalFailure, 'renewal');
					this.#dropLapsedRuns();
				},
			},
		);
	}

	async #renewAndWait(): Promise<void> {
		const pause = await this.#renew();
		this.#dropLapsedRuns();
		this.#stopUnclaimed();
		if (pause > 0 && !this.#closing.signal.aborted) {
			await this.#waitIdle(pause);
		}
	}

	/**
	Waits until the time is over, a start or stop is sent, or the session is closed. The timer ends with the pause:
	otherwise each start would leave one behind that wakes the process later for nothing.
	*/
	async #waitIdle(ms: number): Promise<void> {
		const pause = new AbortController();
		this.#idlePause = pause;
		await this.ports.wait(ms, pause.signal);
		this.#idlePause = undefined;
	}

	#endIdlePause(): void {
		// Without a reason, each call makes an error with its stack, also when the pause has been ended already.
		this.#idlePause?.abort(pauseEnded);
		this.#idlePause = undefined;
	}

	/**
	Renews the lease once, and handles the ends in the reply; returns the pause until the next renewal, milliseconds.
	*/
	async #renew(): Promise<number> {
		const {now} = this.ports;
		const sentAt = now();
		const canRenew = this.runs.size > 0 && this.silentSince === undefined;
		const canWait =
			this.silentSince === undefined &&
			(canRenew || this.#isInReachOfLateStart()) &&
			this.hasReported &&
			this.#missedRenewals === 0;
		const reply = await this.#control.renewLease(this.#executor, {
			...this.#makeReportRequest(),
			leaseUntilMs: canRenew ? this.#extendLease() : undefined,
			waitMs: canWait ? this.#computeWait(sentAt) : 0,
		});
		if (this.#closing.signal.aborted) {
			return 0;
		}

		if (reply.isErr()) {
			return this.#handleMissedRenewal(reply.error);
		}

		this.#missedRenewals = 0;
		this.#handleReport(reply.value, sentAt);
		return this.#choosePause(reply.value);
	}

	/** The pause after a renewal that was answered, milliseconds. */
	#choosePause({hasMoreEnds}: LeaseReply): number {
		// Starts are still to be cancelled, and the executor is not used before.
		if (this.bornMs !== undefined && this.silentSince !== undefined) {
			return callRetryMs;
		}

		return this.runs.size > 0 || hasMoreEnds || this.#isInReachOfLateStart()
			? 0
			: idleReportIntervalMs;
	}

	/**
	Whether a later process of the executor could carry out a start that is still on its way. A renewal that waits at the executor
	breaks off when its process ends, so the next one gets the token and the stops of these starts as soon as it answers.
	*/
	#isInReachOfLateStart(): boolean {
		return (
			this.bornMs !== undefined &&
			(!this.ports.unansweredStarts.hasNone ||
				this.ports.mayHaveForeignStarts())
		);
	}

	/**
	Asks for a report at once, while a renewal may still wait at the executor: a task is held up until the end is
	known.
	*/
	async #fetchReport(): Promise<void> {
		const {now} = this.ports;
		const sentAt = now();
		const reply = await this.#control.renewLease(
			this.#executor,
			this.#makeReportRequest(),
		);
		if (reply.isOk() && !this.#closing.signal.aborted) {
			this.#handleReport(reply.value, sentAt);
		}
	}

	#makeReportRequest(): LeaseRequest {
		return {
			token: this.ports.getToken(),
			acknowledged: this.#isAcknowledgementSafe()
				? this.#runTable.acknowledged
				: 0,
			waitMs: 0,
			answerTimeoutMs: this.ports.answerTimes.getTimeoutMs(),
		};
	}

	/** A later process, which numbers its ends anew, would forget the end of a run that it has accepted. */
	#isAcknowledgementSafe(): boolean {
		return (
			this.#missedRenewals === 0 ||
			![...this.runs.values()].some(
				(run) => isAccepted(run) && this.#isPossibleAtNext(run),
			)
		);
	}

	/**
	How long a renewal waits: until the next end is expected, so that a lost answer is noticed right after that;
	milliseconds.
	*/
	#computeWait(now: number): number {
		let waitMs = maxRenewWaitMs;
		for (const {startedAt, estimateMs} of this.runs.values()) {
			if (estimateMs !== undefined) {
				const waitUntil = startedAt + renewWaitFactor * estimateMs;
				waitMs = Math.min(waitMs, waitUntil - now);
			}
		}

		return Math.ceil(Math.max(minRenewWaitMs, waitMs));
	}

	/** A first lost answer is asked for again at once; returns the pause until the next renewal, milliseconds. */
	#handleMissedRenewal(failure: CallFailure): number {
		this.#missedRenewals += 1;
		const isFirst = this.#missedRenewals === 1 && failure.code === 'unanswered';
		if (isFirst && this.hasReported && this.silentSince === undefined) {
			return 0;
		}

		this.#handleFailure(failure, 'renewal');
		return callRetryMs;
	}

	/** Extends the lease as far as its runs allow; returns its new end on the executor's clock. */
	#extendLease(): number | undefined {
		const cap = this.ports.getLeaseCap(this.runs.values());
		return this.#lease.extend(cap, this.ports.now());
	}

	/** Applies the whole report to the run table before any callback acts on a part of it. */
	#handleReport(report: LeaseReply, sentAt: number): void {
		if (report.clockMs < this.#reportedClockMs) {
			return;
		}

		const now = this.ports.now();
		this.#reportedClockMs = report.clockMs;
		this.#setClock(report.clockMs);
		const hasLateStart = this.#hasInherited(report);
		const {ended, found} = this.#runTable.applyReport(report, {
			sentAt,
			now,
			assumedDemand: this.#estimateDemand(),
		});
		if (this.hasUnclaimedRuns) {
			this.ports.runIndex.unclaimed.add(this);
		}

		this.#noteFoundRuns(found, {hasLateStart, now});
		const isFirst = !this.hasReported && !report.hasMoreEnds;
		if (this.hasReported || !this.#mayClaim) {
			this.#stopLateStarts(found, now);
		}

		if (isFirst) {
			this.reportedAt = now;
		}

		this.hasReported ||= isFirst;
		if (isFirst || this.silentSince !== undefined) {
			this.#crashWatch.noteAnswer();
		}

		if (this.silentSince !== undefined) {
			this.#run('end of a silence', async () => this.#endSilence());
		}

		if (ended.length > 0) {
			this.#fullUntil = -Infinity;
		}

		for (const end of ended) {
			this.#reportEnd(end);
		}

		if (isFirst) {
			this.#settleStarts([]);
		}

		if (isFirst || ended.length > 0 || report.ended.length > 0) {
			this.ports.onChange();
		}
	}

	/** Whether a start to the former process was carried out by this one. */
	#hasInherited({running, ended}: LeaseReply): boolean {
		return (
			this.inheritance !== undefined &&
			[...running, ...ended].some(
				(run) => this.runs.get(formatTaskKey(run))?.isInherited,
			)
		);
	}

	/** Runs that this session has not started go on under a lease of an earlier holder, or of the former process. */
	#noteFoundRuns(
		found: readonly Run[],
		{hasLateStart, now}: {hasLateStart: boolean; now: number},
	): void {
		if (found.length > 0) {
			this.#lease.assumeRenewed(now);
		}

		const formerLeaseUntilMs = this.inheritance?.leaseUntilMs;
		if (
			formerLeaseUntilMs !== undefined &&
			(hasLateStart || found.length > 0)
		) {
			this.#lease.assumeExtended(formerLeaseUntilMs, now);
		}
	}

	/**
	Stops runs that appear after the executor's first report, or after that of its former process: each is a start that was
	carried out late.
	*/
	#stopLateStarts(found: readonly Run[], now: number): void {
		for (const run of found) {
			this.ports.log('stopping a run whose start was carried out late', {
				executor: this.id,
				job: run.job,
				task: run.index,
				attempt: run.attempt,
			});
			this.stop(run, now + stopLimitMs);
		}
	}

	/**
	To be called when a silent executor answers again. Starts sent before may still be carried out, so they are
	cancelled first; only then is the lease renewed again.
	*/
	async #endSilence(): Promise<void> {
		const {log, onChange, unansweredStarts} = this.ports;
		const isNoneLeft = unansweredStarts.isEmpty || (await this.#cancelStarts());
		if (
			isNoneLeft &&
			this.#countHeld() === 0 &&
			this.silentSince !== undefined &&
			!this.isGone
		) {
			this.silentSince = undefined;
			log('executor answers again', {executor: this.id});
			onChange();
		}
	}

	/** Cancels the starts without an answer one by one; false: one of them has yet to be cancelled. */
	async #cancelStarts(): Promise<boolean> {
		const {getToken, answerTimes, unansweredStarts} = this.ports;
		return unansweredStarts.cancelAll(async (start) => {
			const reply = await this.#control.stopTask(this.#executor, {
				...start,
				token: getToken(),
				answerTimeoutMs: answerTimes.getTimeoutMs(),
			});
			// The answer of a process that has ended since cancels nothing at the next one.
			return !this.isGone && (reply.isOk() || reply.error.code === 'outdated');
		});
	}

	/** The demand assumed for a run of unknown size: half the processor, as most executors hold two tasks. */
	#estimateDemand(): TaskDemand {
		return {...noDemand, cpu: Math.floor(this.capacity.cpu / 2)};
	}

	/**
	There are runs that may need more than estimated, and the executor would not refuse a start that exceeds its
	capacity.
	*/
	#hasUnknownRuns(): boolean {
		return (
			!this.#executor.isCapacityEnforced && this.#runTable.unclaimedRunCount > 0
		);
	}

	#handleCallFailure(failure: CallFailure, call: 'start' | 'stop'): void {
		if (failure.clockMs !== undefined) {
			this.#setClock(failure.clockMs);
		}

		const {code} = failure;
		const isExecutorFault = code !== 'outdated' && code !== 'lease-passed';
		const pausedUntil = this.ports.now() + failedStartPauseMs;
		if (code === 'no-room') {
			this.#fullUntil = pausedUntil;
		} else if (call === 'start' && isExecutorFault) {
			this.trust.pausedUntil = pausedUntil;
		}

		this.#handleFailure(failure, call);
	}

	#handleFailure(failure: CallFailure, call: string): void {
		switch (failure.code) {
			case 'fenced': {
				// A late call of the former session is refused for the token of the present one.
				if (!this.#closing.signal.aborted) {
					this.ports.onFenced();
				}

				break;
			}

			case 'replaced': {
				this.#markGone('another life of the executor answers');
				break;
			}

			case 'unanswered':
			case 'unreachable':
			case 'unhealthy': {
				this.#noteSilence(failure, call);
				break;
			}

			default: {
				this.ports.log('executor refused a call', {
					executor: this.id,
					call,
					code: failure.code,
					reason: failure.message,
				});
			}
		}
	}

	/** Only a failed renewal makes the executor silent: a start or stop may be lost while renewals are answered. */
	#noteSilence({code, message}: CallFailure, call: string): void {
		if (call === 'renewal' && this.silentSince === undefined) {
			this.silentSince = this.ports.now();
			this.ports.log('executor is silent', {
				executor: this.id,
				code,
				reason: message,
				runs: this.runs.size,
			});
		}
	}

	/** Marks the executor as gone: all its runs are certain to be over. */
	#markGone(reason: string): void {
		this.isGone = true;
		this.ports.log('executor is gone', {
			executor: this.id,
			reason,
			runs: this.runs.size,
		});
		this.#crashWatch.noteProcessEnded(this.#abandonRuns());
		this.#settleStarts([]);
		this.ports.onChange();
	}

	#dropLapsedRuns(): void {
		const now = this.ports.now();
		this.#dropHeldRuns(now);
		const lapsed = [...this.runs.values()].filter(({isHeld}) => !isHeld);
		if (
			this.silentSince !== undefined &&
			lapsed.length > 0 &&
			this.#hasLeasePassed(now)
		) {
			this.ports.log('lease of a silent executor has passed', {
				executor: this.id,
				runs: lapsed.length,
			});
			this.#abandonRuns(lapsed.filter((run) => !this.#keepUnsettled(run, now)));
			// An accepted start that is kept may be a run of the next process.
			this.#noteLapsed(lapsed.filter((run) => !run.isHeld || !isAccepted(run)));
			this.ports.onChange();
		}
	}

	/** A call to a former process that is carried out late may extend the lease beyond what this process was told. */
	#hasLeasePassed(now: number): boolean {
		return (
			this.#lease.hasPassed(now) &&
			(this.inheritance === undefined ||
				this.#leaseCalls.hasPassedEverywhere(now))
		);
	}

	#noteLapsed(runs: readonly Run[]): void {
		if (this.#isListed) {
			this.#crashWatch.noteLeaseExpired(runs);
		} else {
			this.#crashWatch.noteProcessEnded(runs);
		}
	}

	/**
	Keeps a run that may be, or come to be, at a later process when the lease has passed: the lease ends it at this process of the
	executor only. Returns whether it is kept.
	*/
	#keepUnsettled(run: Run, now: number): boolean {
		if (!this.#isPossibleAtNext(run) || this.#isOverEverywhere(run, now)) {
			return false;
		}

		run.isHeld = true;
		this.#calls.stop(run, now + dropStopLimitMs);
		return true;
	}

	/** Whether the run is over at each process that may have it, and its start can't arrive any more. */
	#isOverEverywhere(run: Run, now: number): boolean {
		return isAccepted(run)
			? this.#leaseCalls.hasPassedEverywhere(now)
			: now - run.startedAt > lateStartLimitMs;
	}

	/** Gives up held runs that are over wherever they were, or whose starts can't arrive any more. */
	#dropHeldRuns(now: number): void {
		const expired = [...this.runs.values()].filter(
			(run) => run.isHeld && this.#isOverEverywhere(run, now),
		);
		if (expired.length > 0) {
			this.#abandonRuns(expired);
			this.#noteLapsed(expired.filter((run) => isAccepted(run)));
			this.ports.onChange();
		}
	}

	#stopUnclaimed(): void {
		const now = this.ports.now();
		for (const run of this.runs.values()) {
			if (run.isUnclaimed && now - run.startedAt > claimLimitMs) {
				this.stop(run, now + stopLimitMs);
			}
		}

		this.#runTable.forgetOldEnds(now);
	}

	#setClock(clockMs: number): void {
		this.#lease.setClock(clockMs, this.ports.now());
	}

	/** Removes runs and reports them as lost; returns them. Starts without an answer are kept, to be cancelled. */
	#abandonRuns(lost = [...this.runs.values()]): Run[] {
		for (const run of lost) {
			this.#runTable.remove(run);
			if (run.acceptedAt === undefined && !run.isUnclaimed) {
				this.ports.unansweredStarts.add(run, this.ports.now());
			}
		}

		for (const run of lost) {
			this.#reportEnd({run, outcome: 'lost'});
		}

		return lost;
	}

	#describeLoss(): string {
		if (this.isGone) {
			return 'run is over with the process of its executor';
		}

		return this.silentSince === undefined
			? 'run is neither listed nor ended'
			: 'lease of a run has passed';
	}

	#reportEnd({run, outcome}: {run: Run; outcome: RunOutcome}): void {
		if (outcome === 'lost') {
			this.ports.log(this.#describeLoss(), {
				executor: this.id,
				bornMs: this.bornMs,
				...describeRun(run, this.ports.now()),
			});
		}

		const isLost = outcome === 'lost' || outcome === 'unstarted';
		if (isLost && run.isInherited && this.inheritance?.onSettled) {
			this.#lostStarts.push(run);
		}

		if (outcome === 'failed') {
			recordFailure(this.trust, this.ports.now());
		}

		this.ports.onRunEnd(run, outcome, this);
	}
}

function doNothing(): void {
	// Nothing is to be noted of this answer.
}

/** Stands for the answer of another process of the executor: it says nothing of this one. */
const otherProcessFailure: CallFailure = {
	code: 'unanswered',
	message: 'another process of the executor has answered',
};

/** Stands for the answer to a renewal that could not be handled. */
const renewalFailure: CallFailure = {
	code: 'unanswered',
	message: 'the renewal has ended in an exception',
};

function addBorn(executor: Executor, bornMs: number | undefined): Executor {
	return bornMs === executor.bornMs ? executor : {...executor, bornMs};
}

/**
What is known of a later process before its registration is read. It may be of another kind: the labels of the former process say
nothing of it, nor does the capacity, which matters where the executor does not refuse what exceeds it.
*/
function describeNextProcess(
	former: Executor,
	bornMs: number | undefined,
): Executor {
	return {
		...former,
		bornMs,
		labels: [],
		capacity: former.isCapacityEnforced ? former.capacity : noDemand,
	};
}

function findLatest(
	a: number | undefined,
	b: number | undefined,
): number | undefined {
	return a === undefined || b === undefined ? (a ?? b) : Math.max(a, b);
}

function isSameDemand(a: TaskDemand, b: TaskDemand): boolean {
	return coversDemand(a, b) && coversDemand(b, a);
}
