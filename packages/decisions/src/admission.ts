/**
Decides whether an arriving job is admitted: the whole job at once, on arrival.
*/
import {type JobState} from './job-state.js';
import {type Refusal} from './lending.js';
import {type TeamState} from './team-table.js';

/** Input of the admission decision, computed from the keeper's state. */
export type AdmissionView = {
	/** Number of executors that are not leaving. */
	executorCount: number;
	/** Slots that this keeper may lend, plus those that other data centres lend to its jobs or have free. */
	capacity: number;
	/** Slots lent by this keeper now. */
	inUse: number;
	/** Work of all waiting jobs, in slot-milliseconds. */
	waitingWorkMs: number;
	waitingTaskCount: number;
	/** Maximum number of waiting tasks. */
	maxWaitingTasks: number;
	/** Slots that the job's team can count on. */
	teamSlots: number;
	/** Mean run time of a task of the service, milliseconds: learned, or declared until then. */
	taskMs: number;
	/** 99th percentile of that run time, milliseconds. */
	p99Ms: number;
	/** False while only the declared run time is known, or if no task has ended for a while. */
	isLearned: boolean;
	now: number;
};

/**
Declared run times are wrong by up to this factor. Until run times are learned, estimates are divided
by it, in favour of admitting the job.
*/
const declaredErrorFactor = 10;

/**
The estimated wait of an arriving job is multiplied by this factor; that of an admitted job is not.
The difference absorbs variation in run times. If both used the same factor, an admitted job that
falls slightly behind would no longer be protected, and all later jobs would overtake it.
*/
const newJobWaitFactor = 1.4;

/** The slowest of this many tasks runs for about the 99th percentile. */
const tasksToP99 = 100;

/** Bounds of `retryAfterMs`: callers neither retry at once nor wait long after the queue has drained. */
const minRetryMs = 200;
const maxRetryMs = 30_000;

type RefusalReason = Pick<Refusal, 'code' | 'retryAfterMs'>;

/**
Returns the refusal of a job that can't be served in time, or undefined if the job is admitted.

Under overload, an admitted job that misses its deadline takes slots from jobs that could have met
theirs; at three times the capacity nearly all jobs would miss. So a job is admitted only if it can
finish in time behind the work ranked ahead of it, and if no waiting job of its team that it would
overtake then misses its own deadline. A refused caller is told at once, and also when the queue will
have free capacity.
*/
export function judgeAdmission(
	job: JobState,
	view: AdmissionView,
): RefusalReason | undefined {
	if (view.executorCount === 0) {
		return {code: 'impossible'};
	}

	if (view.waitingTaskCount + job.demand.remaining > view.maxWaitingTasks) {
		return {code: 'overloaded', retryAfterMs: estimateRetry(view, 0)};
	}

	const runTimeFactor = view.isLearned ? 1 : 1 / declaredErrorFactor;
	const lateMs = Math.max(
		estimateOwnLateness(job, {view, runTimeFactor}),
		estimateOvertakenLateness(job, {view, runTimeFactor}),
	);
	return lateMs > 0
		? {code: 'deadline', retryAfterMs: estimateRetry(view, lateMs)}
		: undefined;
}

type ScaledView = {view: AdmissionView; runTimeFactor: number};

/** Milliseconds by which the job itself would miss its deadline; zero or negative if it would not. */
function estimateOwnLateness(job: JobState, scaled: ScaledView): number {
	const {view, runTimeFactor} = scaled;
	const workMs = job.demand.remaining * view.taskMs;
	const aheadMs = sumWorkAhead(job);
	const waitMs = estimateWait(job.team, scaled, aheadMs + workMs);
	const tailMs = estimateTail(job, scaled);
	return newJobWaitFactor * waitMs + tailMs - (job.deadlineAt - view.now);
}

/** Milliseconds until the team's slots have worked off `workMs` and half of each running task. */
function estimateWait(
	{inUse}: TeamState,
	{view, runTimeFactor}: ScaledView,
	workMs: number,
): number {
	const runningMs = (inUse * view.taskMs) / 2;
	return (runTimeFactor * (workMs + runningMs)) / view.teamSlots;
}

/**
Estimates how long the job's last task runs, milliseconds. The more tasks a job has, the closer its
slowest one comes to the 99th percentile. While no job waits, the mean is used: otherwise a job
could be refused although slots are free, only because one of its tasks might be slow.
*/
function estimateTail(
	job: JobState,
	{view, runTimeFactor}: ScaledView,
): number {
	const isIdle = view.waitingWorkMs === 0;
	const p99Weight = Math.log(job.demand.remaining) / Math.log(tasksToP99);
	const appliedWeight = isIdle ? 0 : Math.min(1, p99Weight);
	return (
		runTimeFactor * (view.taskMs + appliedWeight * (view.p99Ms - view.taskMs))
	);
}

function sumWorkAhead(job: JobState): number {
	const {items} = job.team.waiting;
	const end = job.team.waiting.findPosition(job);
	let workMs = 0;
	for (let i = 0; i < end; i += 1) {
		workMs += items[i]!.workMs;
	}

	return workMs;
}

/**
Milliseconds by which the first overtaken job would miss its deadline because of the new job; 0 if none
would.
*/
function estimateOvertakenLateness(job: JobState, scaled: ScaledView): number {
	const {view, runTimeFactor} = scaled;
	const {items} = job.team.waiting;
	const newWorkMs = job.demand.remaining * view.taskMs;
	let aheadMs = sumWorkAhead(job);
	for (let i = job.team.waiting.findPosition(job); i < items.length; i += 1) {
		const overtaken = items[i]!;
		aheadMs += overtaken.workMs;
		const tailMs = estimateTail(overtaken, scaled);
		const timeLeftMs = overtaken.deadlineAt - view.now - tailMs;
		const aloneMs = estimateWait(job.team, scaled, overtaken.workMs);
		const afterNewMs = estimateWait(job.team, scaled, aheadMs + newWorkMs);
		if (afterNewMs > timeLeftMs && aloneMs <= timeLeftMs) {
			return afterNewMs - timeLeftMs;
		}
	}

	return 0;
}

/**
Milliseconds until a retry may succeed: half of the queue has drained, or the job's lateness has passed.
Bounded.
*/
function estimateRetry(view: AdmissionView, lateMs: number): number {
	const halfQueueMs = view.waitingWorkMs / 2 / Math.max(1, view.capacity);
	const retryMs = Math.max(lateMs, halfQueueMs, minRetryMs);
	return Math.round(Math.min(retryMs, maxRetryMs));
}
