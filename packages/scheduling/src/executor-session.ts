/**
One executor, driven by the scheduler that holds its group: starts and stops, the renewal of its
lease, and the ends of its runs. There is one reader of an executor's ends, this one.

An executor that answers nothing is silent: it gets nothing new, its lease is no longer renewed, and
when that has passed its runs are over for certain. What it reports is entered whole (`run-book.ts`) before anybody is told.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {
	type CallFailure,
	type ExecutorControl,
	type LeaseReply,
	type LeaseRequest,
	type RunEnd,
	type RunName,
} from './executor-control.js';
import {type AnswerTimes} from './answer-times.js';
import {createCrashWatch, type CrashWatch} from './crash-watch.js';
import {createExecutorLease} from './executor-lease.js';
import {createTrust, recordFailure} from './executor-trust.js';
import {type Executor} from './executor.js';
import {type Candidate} from './place-task.js';
import {hasRoom, noDemand, noRoom, removeDemand} from './room.js';
import {createRunBook} from './run-book.js';
import {createRunOrders, retryMs, type RunOrders} from './run-orders.js';
import {formatTaskKey, type Run, type RunOutcome} from './run.js';
import {
	claimLimitMs,
	dropStopMs,
	idleLookMs,
	leastRenewWaitMs,
	renewWaitFactor,
	renewWaitMs,
	stopLimitMs,
} from './timing.js';
import {type UnsettledOrders} from './unsettled-orders.js';

/** A start under a shorter lease than this comes to nothing, or comes late. */
const leastLeaseMs = 150;

/** After the executor declined, or said that it has no room, it gets nothing for this long; in the latter case until its room changes, if that is sooner. */
const declinedRestMs = 150;

export type SessionPorts = {
	now: () => number;
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	control: ExecutorControl;
	getToken: () => number;
	/** The latest moment to which the lease may be renewed, by what runs there. */
	getLeaseCap: (runs: Iterable<Run>) => number;
	/** Of all executors of the group. */
	answerTimes: AnswerTimes;
	/** Starts of an earlier session with this executor among them. */
	unsettled: UnsettledOrders;
	onRunEnd: (run: Run, outcome: RunOutcome, session: ExecutorSession) => void;
	/** The executor crashed while these ran there. */
	onCrash: (executor: string, runs: readonly Run[]) => void;
	/** The executor is silent, and the lease of these has passed. */
	onSilence: (executor: string, runs: readonly Run[]) => void;
	/** The executor answers in the life that was thought over, or its end was planned. */
	onCleared: (executor: string) => void;
	/** The executor has answered, or has more room than before; once for all ends of one report. */
	onChange: () => void;
	/** Another scheduler has the group. */
	onFenced: () => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export class ExecutorSession implements Candidate {
	readonly trust = createTrust();
	/** The executor has listed what runs there to this scheduler. */
	isReported = false;
	/** No answer since then, or orders of before it are not settled; undefined: it answers. */
	silentSince: number | undefined;
	/** This life of the executor is over. */
	isGone = false;
	#executor: Executor;
	readonly #book = createRunBook();
	readonly #lease = createExecutorLease();
	readonly #orders: RunOrders;
	readonly #crashes: CrashWatch;
	#isListed = true;
	/** Renewals in a row without an answer. */
	#missed = 0;
	/** The executor's clock in the newest report: an older one that comes later tells nothing. */
	#reportedClockMs = -Infinity;
	readonly #closing = new AbortController();
	/** It has refused a start for want of room: until then nothing is known to be free. */
	#fullUntil = -Infinity;
	/** A pause between renewals; undefined: there is none. */
	#idle: {end: () => void} | undefined;

	constructor(
		executor: Executor,
		private readonly ports: SessionPorts,
	) {
		this.#executor = executor;
		this.#orders = this.#createOrders();
		this.#crashes = createCrashWatch({
			isDraining: () => this.isDraining,
			onSilence: (runs) => {
				ports.onSilence(this.id, runs);
			},
			onCleared: () => {
				ports.onCleared(this.id);
			},
			onCrash: (runs) => {
				ports.onCrash(this.id, runs);
			},
		});
	}

	get id(): string {
		return this.#executor.id;
	}

	get runs(): ReadonlyMap<string, Run> {
		return this.#book.runs;
	}

	/** It has runs, or ends of runs, that an earlier holder may have started. */
	get hasUnclaimed(): boolean {
		return this.#book.hasUnclaimed;
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

	get isDraining(): boolean {
		return this.#executor.isDraining;
	}

	/** May be less than nothing, where capacity has shrunk below what runs. */
	get free(): TaskDemand {
		return this.ports.now() < this.#fullUntil || this.#hasUnknownRuns()
			? noRoom
			: removeDemand(this.#executor.capacity, this.#book.used);
	}

	/** How long ago this host first read the capacity that it goes by, milliseconds. */
	get capacityAgeMs(): number {
		return this.ports.now() - this.#executor.saidAt;
	}

	/** Whether a start may be sent now. */
	get isOpen(): boolean {
		return (
			this.isReported &&
			!this.isGone &&
			!this.isDraining &&
			this.silentSince === undefined
		);
	}

	/** The lease can be extended: no run here has outlived its claim, or the time in which it has to be stopped. */
	get isExtendable(): boolean {
		return (
			this.ports.getLeaseCap(this.runs.values()) >
			this.ports.now() + leastLeaseMs
		);
	}

	update(executor: Executor): void {
		const former = this.#executor;
		const formerAgeMs = Math.round(this.capacityAgeMs);
		this.#executor = executor;
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

		this.#isListed = true;
	}

	/** Begins to follow the executor; returns at once. */
	open(): void {
		this.silentSince = this.ports.unsettled.isEmpty
			? undefined
			: this.ports.now();
		void this.#repeatRenewals();
	}

	/** Nothing more is sent. What runs there ends with its lease, or is the next holder's. */
	close(): void {
		// The next holder may find neither the executor nor what ran there.
		if (this.silentSince !== undefined && !this.isGone) {
			this.#crashes.noteLapsed([...this.runs.values()]);
		}

		this.#closing.abort();
		this.ports.control.forgetExecutor(this.#executor);
	}

	/** Sends a start; the run's end comes by `onRunEnd`. */
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
			isFound: false,
		};
		this.#book.enter(run);
		this.#orders.start(run, spec);
		this.#idle?.end();
	}

	/** Stops a run that is no longer wanted; its room is free when its end is listed. `stopBy`: when it has to be over. */
	stop(run: Run, stopBy: number): void {
		this.#orders.stop(run, stopBy);
		this.#idle?.end();
	}

	/** The store no longer lists the executor: it counts as gone, so what runs there is stopped. */
	stopAll(): void {
		this.#isListed = false;
		if (this.silentSince !== undefined) {
			this.#crashes.noteGone([...this.runs.values()]);
		}

		const stopBy = this.ports.now() + dropStopMs;
		for (const run of this.runs.values()) {
			this.stop(run, stopBy);
		}
	}

	/** A run of this task that an earlier holder started; from now on it is the caller's. */
	claimRun(task: RunName, demand: TaskDemand): Run | undefined {
		const run = this.runs.get(formatTaskKey(task));
		if (!run?.isFound || run.state === 'stopping') {
			return undefined;
		}

		this.#book.resize(run, demand);
		this.#fullUntil = -Infinity;
		run.isFound = false;
		return run;
	}

	/** The end of a run that nobody had claimed when it was listed. */
	takeStrayEnd(task: {job: string; index: number}): RunEnd | undefined {
		return this.#book.takeStrayEnd(task);
	}

	#createOrders(): RunOrders {
		const {now, wait, control, getToken, answerTimes, log} = this.ports;
		return createRunOrders({
			answerTimes,
			now,
			wait,
			control,
			getToken,
			getExecutor: () => this.#executor,
			extendLease: () => this.#extendLease(),
			isCurrent: (run) => !this.isGone && this.#book.isCurrent(run),
			signal: this.#closing.signal,
			onClock: (clockMs) => {
				this.#setClock(clockMs);
			},
			onFailure: (failure, call) => {
				this.#receiveOrderFailure(failure, call);
			},
			onStopped: () => {
				void this.#look();
			},
			onUnstarted: (run, outcome) => {
				this.#book.remove(run);
				this.#tellEnd({run, outcome});
				this.ports.onChange();
			},
			log,
		});
	}

	async #repeatRenewals(): Promise<void> {
		const {signal} = this.#closing;
		while (!signal.aborted && !this.isGone) {
			const pause = await this.#renew();
			this.#dropLapsed();
			this.#stopUnclaimed();
			if (pause > 0 && !signal.aborted) {
				await this.#waitIdle(pause);
			}
		}
	}

	/** Until the time is over, there is something to do, or the session is closed. */
	async #waitIdle(ms: number): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#idle = {end: resolve};
			void this.ports.wait(ms, this.#closing.signal).then(resolve);
		});
	}

	/** One renewal, which also brings the ends; gives the pause until the next, milliseconds. */
	async #renew(): Promise<number> {
		const {control, now} = this.ports;
		const sentAt = now();
		const canRenew = this.runs.size > 0 && this.silentSince === undefined;
		const canWait = canRenew && this.isReported && this.#missed === 0;
		const reply = await control.renewLease(this.#executor, {
			...this.#makeLook(),
			leaseUntilMs: canRenew ? this.#extendLease() : undefined,
			waitMs: canWait ? this.#computeWait(sentAt) : 0,
		});
		if (this.#closing.signal.aborted) {
			return 0;
		}

		if (reply.isErr()) {
			return this.#receiveMissed(reply.error);
		}

		this.#missed = 0;
		this.#receiveReport(reply.value, sentAt);
		return this.runs.size > 0 || reply.value.hasMoreEnds ? 0 : idleLookMs;
	}

	/** What the executor lists now, beside the renewal that waits there: a task waits for it. */
	async #look(): Promise<void> {
		const {control, now} = this.ports;
		const sentAt = now();
		const reply = await control.renewLease(this.#executor, this.#makeLook());
		if (reply.isOk() && !this.#closing.signal.aborted) {
			this.#receiveReport(reply.value, sentAt);
		}
	}

	#makeLook(): LeaseRequest {
		return {
			token: this.ports.getToken(),
			acknowledged: this.#book.acknowledged,
			waitMs: 0,
			answerLimitMs: this.ports.answerTimes.getLimitMs(),
		};
	}

	/** Until the next end is expected: a lost answer is noticed right after, not at the end of a long wait. */
	#computeWait(now: number): number {
		let nextMs = renewWaitMs;
		for (const {startedAt, estimateMs} of this.runs.values()) {
			if (estimateMs !== undefined) {
				const endsAt = startedAt + renewWaitFactor * estimateMs;
				nextMs = Math.min(nextMs, endsAt - now);
			}
		}

		return Math.ceil(Math.max(leastRenewWaitMs, nextMs));
	}

	/** One lost answer is asked for again at once; gives the pause until then, milliseconds. */
	#receiveMissed(failure: CallFailure): number {
		this.#missed += 1;
		const isFirst = this.#missed === 1 && failure.code === 'unanswered';
		if (isFirst && this.isReported && this.silentSince === undefined) {
			return 0;
		}

		this.#receiveFailure(failure, 'renewal');
		return retryMs;
	}

	/** Extends the lease by what its runs allow; the new end on the executor's clock. */
	#extendLease(): number | undefined {
		const cap = this.ports.getLeaseCap(this.runs.values());
		return this.#lease.extend(cap, this.ports.now());
	}

	/** The book has the whole report before others act on any of it. */
	#receiveReport(report: LeaseReply, sentAt: number): void {
		if (report.clockMs < this.#reportedClockMs) {
			return;
		}

		const now = this.ports.now();
		this.#reportedClockMs = report.clockMs;
		this.#setClock(report.clockMs);
		const {ended, found} = this.#book.takeReport(report, {
			sentAt,
			now,
			foundDemand: this.#estimateDemand(),
		});
		if (found.length > 0) {
			this.#lease.assumeRenewed(now);
		}

		const isFirst = !this.isReported && !report.hasMoreEnds;
		if (this.isReported) {
			this.#stopLateStarts(found, now);
		}

		this.isReported ||= isFirst;
		if (isFirst || this.silentSince !== undefined) {
			this.#crashes.noteAnswer();
		}

		if (this.silentSince !== undefined) {
			void this.#endSilence();
		}

		if (ended.length > 0) {
			this.#fullUntil = -Infinity;
		}

		for (const end of ended) {
			this.#tellEnd(end);
		}

		if (isFirst || ended.length > 0 || report.ended.length > 0) {
			this.ports.onChange();
		}
	}

	/** A run that shows up after the executor's first report is a start carried out late. */
	#stopLateStarts(found: readonly Run[], now: number): void {
		for (const run of found) {
			this.ports.log('stopping a run that nobody wants', {
				executor: this.id,
				job: run.job,
				task: run.index,
				attempt: run.attempt,
			});
			this.stop(run, now + stopLimitMs);
		}
	}

	/**
	It answers again. Orders of before may still be carried out: they are made worthless first,
	and only then may the lease be renewed.
	*/
	async #endSilence(): Promise<void> {
		const {control, getToken, answerTimes, log, onChange, unsettled} =
			this.ports;
		const isSettled =
			unsettled.isEmpty ||
			(await unsettled.settle(async (start) => {
				const reply = await control.stopTask(this.#executor, {
					...start,
					token: getToken(),
					answerLimitMs: answerTimes.getLimitMs(),
				});
				return reply.isOk() || reply.error.code === 'outdated';
			}));
		if (isSettled && this.silentSince !== undefined) {
			this.silentSince = undefined;
			log('executor answers again', {executor: this.id});
			onChange();
		}
	}

	/** A run of unknown size takes half of the executor: two tasks is what most executors hold. */
	#estimateDemand(): TaskDemand {
		return {...noDemand, cpu: Math.floor(this.capacity.cpu / 2)};
	}

	/** What runs there may need more than it is taken for, and the executor would not refuse a start for that. */
	#hasUnknownRuns(): boolean {
		return (
			!this.#executor.isGuarded &&
			[...this.runs.values()].some(({isFound}) => isFound)
		);
	}

	#receiveOrderFailure(failure: CallFailure, call: 'start' | 'stop'): void {
		if (failure.clockMs !== undefined) {
			this.#setClock(failure.clockMs);
		}

		const {code} = failure;
		const isBusy = code !== 'outdated' && code !== 'lease-passed';
		const restsUntil = this.ports.now() + declinedRestMs;
		if (code === 'no-room') {
			this.#fullUntil = restsUntil;
		} else if (call === 'start' && isBusy) {
			this.trust.restsUntil = restsUntil;
		}

		this.#receiveFailure(failure, call);
	}

	#receiveFailure(failure: CallFailure, call: string): void {
		switch (failure.code) {
			case 'fenced': {
				this.ports.onFenced();
				break;
			}

			case 'replaced': {
				this.#endLife('another life of the executor answers');
				break;
			}

			case 'unanswered':
			case 'unreachable':
			case 'unhealthy': {
				this.#noteSilence(failure, call);
				break;
			}

			default: {
				this.ports.log('executor declined', {
					executor: this.id,
					call,
					code: failure.code,
					reason: failure.message,
				});
			}
		}
	}

	/** Only renewals judge: a lost order among answered renewals does not make it silent. */
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

	/** What ran there is over for certain. */
	#endLife(reason: string): void {
		this.isGone = true;
		this.ports.log('executor is gone', {
			executor: this.id,
			reason,
			runs: this.runs.size,
		});
		this.#crashes.noteGone(this.#abandonRuns());
		this.ports.onChange();
	}

	#dropLapsed(): void {
		const isLapsed = this.#lease.hasPassed(this.ports.now());
		if (this.silentSince !== undefined && isLapsed && this.runs.size > 0) {
			this.ports.log('lease of a silent executor has passed', {
				executor: this.id,
				runs: this.runs.size,
			});
			const lapsed = this.#abandonRuns();
			if (this.#isListed) {
				this.#crashes.noteLapsed(lapsed);
			} else {
				this.#crashes.noteGone(lapsed);
			}

			this.ports.onChange();
		}
	}

	#stopUnclaimed(): void {
		const now = this.ports.now();
		for (const run of this.runs.values()) {
			if (run.isFound && now - run.startedAt > claimLimitMs) {
				this.stop(run, now + stopLimitMs);
			}
		}

		this.#book.forgetOldEnds(now);
	}

	#setClock(clockMs: number): void {
		this.#lease.setClock(clockMs, this.ports.now());
	}

	/** Gives the runs that the book had. */
	#abandonRuns(): Run[] {
		const lost = [...this.runs.values()];
		for (const run of lost) {
			this.#book.remove(run);
			if (run.acceptedAt === undefined && !run.isFound) {
				this.ports.unsettled.add(run, this.ports.now());
			}
		}

		for (const run of lost) {
			this.#tellEnd({run, outcome: 'lost'});
		}

		return lost;
	}

	#tellEnd({run, outcome}: {run: Run; outcome: RunOutcome}): void {
		if (outcome === 'lost' && !this.isGone && this.silentSince === undefined) {
			this.ports.log('run is neither listed nor ended', {
				executor: this.id,
				job: run.job,
				task: run.index,
			});
		}

		if (outcome === 'failed') {
			recordFailure(this.trust, this.ports.now());
		}

		this.ports.onRunEnd(run, outcome, this);
	}
}

function isSameDemand(a: TaskDemand, b: TaskDemand): boolean {
	return hasRoom(a, b) && hasRoom(b, a);
}
