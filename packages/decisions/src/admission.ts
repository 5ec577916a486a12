/**
Decides whether an arriving job is admitted: the whole job at once, on arrival.
*/
import {type JobState} from './job-state.js';
import {type Refusal} from './lending.js';
import {type TeamState} from './team-table.js';

/** Input of the admission decision, computed from the keeper's state. */
export type AdmissionView = {
	/** Number of executors that are not leaving. */
	executors: number;
	/** Slots that this keeper may lend, plus those that other data centres lend to its jobs or have free. */
	capacity: number;
	/** Slots lent by this keeper now. */
	inUse: number;
	/** Work of all waiting jobs, in slot-milliseconds. */
	waitingWorkMs: number;
	waitingTasks: number;
	/** Maximum number of waiting tasks. */
	queueTasks: number;
	/** Slots that the job's team can count on. */
	share: number;
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
const declaredDoubt = 10;

/**
The estimated wait of an arriving job is multiplied by this factor; that of an admitted job is not.
The difference absorbs variation in run times. If both used the same factor, an admitted job that
falls slightly behind would no longer be protected, and all later jobs would overtake it.
*/
const waitingMargin = 1.4;

/** The slowest of this many tasks runs for about the 99th percentile. */
const tasksToP99 = 100;

/** Bounds of `retryAfterMs`: callers neither retry at once nor wait long after the queue has drained. */
const leastRetryMs = 200;
const longestRetryMs = 30_000;

type Refused = Pick<Refusal, 'code' | 'retryAfterMs'>;

/**
Returns the refusal of a job that can't be served in time, or undefined if the job is admitted.

Under overload, an admitted job that misses its deadline takes slots from jobs that could have met
theirs; at three times the capacity nearly all jobs would miss. So a job is admitted only if it can
finish in time behind the work ranked ahead of it, and if no waiting job of its team that it would
overtake then misses its own deadline. A refused caller is told at once, and when the queue will have free
capacity.
*/
export function judgeAdmission(
	job: JobState,
	view: AdmissionView,
): Refused | undefined {
	if (view.executors === 0) {
		return {code: 'impossible'};
	}

	if (view.waitingTasks + job.demand.remaining > view.queueTasks) {
		return {code: 'overloaded', retryAfterMs: estimateRetry(view, 0)};
	}

	const doubt = view.isLearned ? 1 : 1 / declaredDoubt;
	const lateMs = Math.max(
		estimateLateness(job, {view, doubt}),
		findHarm(job, {view, doubt}),
	);
	return lateMs > 0
		? {code: 'deadline', retryAfterMs: estimateRetry(view, lateMs)}
		: undefined;
}

type Doubted = {view: AdmissionView; doubt: number};

/** Milliseconds by which the job itself would miss its deadline; zero or negative if it would not. */
function estimateLateness(job: JobState, doubted: Doubted): number {
	const {view, doubt} = doubted;
	const workMs = job.demand.remaining * view.taskMs;
	const aheadMs = sumWorkAhead(job);
	const waitMs = estimateWait(job.team, doubted, aheadMs + workMs);
	const tailMs = estimateTail(job, doubted);
	return waitingMargin * waitMs + tailMs - (job.deadlineAt - view.now);
}

/** Milliseconds until the team's slots have worked off `teamMs` and half of each running task. */
function estimateWait(
	{inUse}: TeamState,
	{view, doubt}: Doubted,
	teamMs: number,
): number {
	const runningMs = (inUse * view.taskMs) / 2;
	return (doubt * (teamMs + runningMs)) / view.share;
}

/**
Estimates how long the job's last task runs, milliseconds. The more tasks a job has, the closer its
slowest one comes to the 99th percentile. While no job waits, the mean is used: otherwise a job
could be refused although slots are free, only because one of its tasks might be slow.
*/
function estimateTail(job: JobState, {view, doubt}: Doubted): number {
	const isIdle = view.waitingWorkMs === 0;
	const slowest = Math.log(job.demand.remaining) / Math.log(tasksToP99);
	const part = isIdle ? 0 : Math.min(1, slowest);
	return doubt * (view.taskMs + part * (view.p99Ms - view.taskMs));
}

function sumWorkAhead(job: JobState): number {
	const {items} = job.team.waiting;
	const place = job.team.waiting.findPlace(job);
	let workMs = 0;
	for (let i = 0; i < place; i += 1) {
		workMs += items[i]!.workMs;
	}

	return workMs;
}

/** Milliseconds by which the first overtaken job would miss its deadline because of the new job; 0 if none would. */
function findHarm(job: JobState, doubted: Doubted): number {
	const {view, doubt} = doubted;
	const {items} = job.team.waiting;
	const newMs = job.demand.remaining * view.taskMs;
	let teamMs = sumWorkAhead(job);
	for (let i = job.team.waiting.findPlace(job); i < items.length; i += 1) {
		const overtaken = items[i]!;
		teamMs += overtaken.workMs;
		const tailMs = estimateTail(overtaken, doubted);
		const timeLeft = overtaken.deadlineAt - view.now - tailMs;
		const alone = estimateWait(job.team, doubted, overtaken.workMs);
		const after = estimateWait(job.team, doubted, teamMs + newMs);
		if (after > timeLeft && alone <= timeLeft) {
			return after - timeLeft;
		}
	}

	return 0;
}

/** Milliseconds until a retry may succeed: half of the queue has drained, or the job's lateness has passed. Bounded. */
function estimateRetry(view: AdmissionView, lateMs: number): number {
	const halfQueueMs = view.waitingWorkMs / 2 / Math.max(1, view.capacity);
	const retryMs = Math.max(lateMs, halfQueueMs, leastRetryMs);
	return Math.round(Math.min(retryMs, longestRetryMs));
}
