/**
Whether a job that arrives is let in, judged as a whole and at once.
*/
import {type JobState} from './job-state.js';
import {type Refusal} from './lending.js';
import {type TeamState} from './team-table.js';

/** What admission looks at, gathered by the lender. */
export type AdmissionView = {
	/** Executors not leaving. */
	executors: number;
	/** Slots that may be lent here, and those that other data centres lend to jobs of here. */
	capacity: number;
	/** Slots in use now. */
	inUse: number;
	/** Work of all waiting jobs, milliseconds of one slot. */
	waitingWorkMs: number;
	waitingTasks: number;
	/** Most tasks that may wait. */
	queueTasks: number;
	/** Slots that the team can count on. */
	share: number;
	/** Learned run time of a task of the service, milliseconds. */
	taskMs: number;
	/** Learned 99th percentile of it. */
	p99Ms: number;
	/** False while the run time is only declared, or no task has ended for a while. */
	isLearned: boolean;
	now: number;
};

/** Declared run times are wrong by up to this factor: unlearned, a job gets the benefit of it. */
const declaredDoubt = 10;

/**
The wait of a job that comes is stretched by this, and that of a job already let in is not:
between the two lies the room for run times that vary. With one margin, a waiting job that
slipped past it would be protected no more, and all later ones would overtake it.
*/
const waitingMargin = 1.4;

/** The slowest of this many tasks takes about the 99th percentile. */
const tasksToP99 = 100;

/** Bounds of "come back later", milliseconds: not at once, and not after all has drained. */
const leastRetryMs = 200;
const longestRetryMs = 30_000;

type Refused = Pick<Refusal, 'code' | 'retryAfterMs'>;

/**
Refuses a job that can't be served, else returns undefined.

For full saturation: a job let in only to miss its deadline takes slots from jobs that could
have made theirs, and at three times the capacity nearly all would miss. So a job comes in only
if it can finish in time behind the work ranked ahead of it, and if no waiting job of its team
that it would overtake then misses its own deadline. A refused caller is told at once, and when
the queue will have room.
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

/** By how much the job itself would miss its deadline; at most 0 if it would not. */
function estimateLateness(job: JobState, doubted: Doubted): number {
	const {view, doubt} = doubted;
	const workMs = job.demand.remaining * view.taskMs;
	const aheadMs = sumWorkAhead(job);
	const waitMs = estimateWait(job.team, doubted, aheadMs + workMs);
	const tailMs = estimateTail(job, doubted);
	return waitingMargin * waitMs + tailMs - (job.deadlineAt - view.now);
}

/** Time until work of the team has gone through by the slots that it can count on. */
function estimateWait(
	{inUse}: TeamState,
	{view, doubt}: Doubted,
	teamMs: number,
): number {
	const runningMs = (inUse * view.taskMs) / 2;
	return (doubt * (teamMs + runningMs)) / view.share;
}

/**
How long the last task of a job takes: of many tasks the slowest counts. While nothing waits the
mean is taken, so that a job isn't turned away from free slots for what may go wrong.
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

/** By how much the new job would make one it overtakes miss its deadline; 0 if none. */
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

/** When the queue will have drained enough; never told to come at once or in the far future. */
function estimateRetry(view: AdmissionView, lateMs: number): number {
	const halfQueueMs = view.waitingWorkMs / 2 / Math.max(1, view.capacity);
	const retryMs = Math.max(lateMs, halfQueueMs, leastRetryMs);
	return Math.round(Math.min(retryMs, longestRetryMs));
}
