/**
Whether a run takes longer than it should, so that its task is better started elsewhere.

For executors that are healthy by their own word and let tasks stand still, or have turned slow.
One late task is all that shows it at first. Left alone, the task holds its job until the caller
gives up, and the executor, whose room seems free as others fill up, draws more tasks in.

Run times of a queue differ from job to job by about 40%, those of one job's tasks by about 15%:
once siblings have ended, the judgement is sharper. But those that ended first are the shortest, and
a wide job's longest task takes half as long again: a smaller factor stops runs that only take their
time, and doubts their executors.

A job whose tasks are late together, on several executors, is itself long: its word was wrong. Moved
as overdue, all its tasks begin anew, twice, and the time that its caller waits runs out; its sound
executors are doubted besides.
*/
import {type GroupJob, type GroupTask} from './group-job.js';

/** Over the mean of the job's ended tasks, the shortest of 32: past five deviations. */
const siblingFactor = 2.2;
/** Over the estimate from the queue: past all but one job in a hundred. */
const estimateFactor = 2.5;
/**
Over the estimate, while all the job's runs are late on so many executors. Longer than that the caller
of a job of usual slack does not wait; should the executors be at fault after all, there is that end.
*/
const togetherFactor = 5;
/** With a quarter of all executors at fault, so many by chance have one job in 64. */
const togetherExecutors = 3;
/** Added to all: an executor's answer and this host's own delays. */
const allowanceMs = 25;
/** A task is moved this often at most: after that it is the task that is long. */
export const maxMoves = 2;

export type JudgedRun = {
	elapsedMs: number;
	estimateMs: number;
	/** Mean run time of the job's tasks that have ended; undefined: none has. */
	siblingMs?: number;
	/** All runs of the job are late, on several executors, and none has ended. */
	isTogether?: boolean;
};

/** How long the run may take before it counts as overdue, milliseconds. */
export function computeRunLimit({
	estimateMs,
	siblingMs,
	isTogether = false,
}: Omit<JudgedRun, 'elapsedMs'>): number {
	if (siblingMs !== undefined) {
		return siblingFactor * siblingMs + allowanceMs;
	}

	const factor = isTogether ? togetherFactor : estimateFactor;
	return factor * estimateMs + allowanceMs;
}

export function isOverdue(run: JudgedRun): boolean {
	return run.elapsedMs > computeRunLimit(run);
}

/** The tasks whose runs take too long, over all jobs. */
export function* listOverdue(
	jobs: Iterable<GroupJob>,
	now: number,
): Generator<{job: GroupJob; task: GroupTask}> {
	for (const job of jobs) {
		if (!job.isDropped) {
			yield* listOverdueOf(job, now);
		}
	}
}

function* listOverdueOf(
	job: GroupJob,
	now: number,
): Generator<{job: GroupJob; task: GroupTask}> {
	const {estimateMs, ended, tasks} = job;
	const siblingMs = ended.count > 0 ? ended.sumMs / ended.count : undefined;
	const started = [...tasks.values()].filter(({state}) => state === 'started');
	const late = started.filter(({startedAt}) =>
		isOverdue({elapsedMs: now - startedAt, estimateMs, siblingMs}),
	);
	const isTogether =
		siblingMs === undefined &&
		late.length === started.length &&
		new Set(late.map(({executor}) => executor)).size >= togetherExecutors;
	for (const task of late) {
		const elapsedMs = now - task.startedAt;
		if (isOverdue({elapsedMs, estimateMs, siblingMs, isTogether})) {
			yield {job, task};
		}
	}
}
