/**
Decides whether a run takes so long that its task is better started elsewhere.

Some executors report that they are healthy although tasks hang there, or have become slow. At first a single
late task is the only sign. Left alone, the task holds up its job until the caller gives up; and the executor,
which seems to have free capacity while others fill up, gets more tasks.

Run times of a queue differ from job to job by about 40%, those of one job's tasks by about 15%, so the limit is
more accurate once other tasks of the job have ended. But those that end first are the shortest, and the longest
task of a job with many takes half as long again: a smaller factor would stop runs that are merely long, and
lower the trust in their executors.

If all tasks of a job are late at once, on several executors, the job itself is long and its declared run time
was wrong. If they were moved as overdue, all its tasks would begin again, twice, the caller's waiting time
would run out, and sound executors would be doubted.
*/
import {type GroupJob, type GroupTask} from './group-job.js';

/**
Limit relative to the mean of the job's ended tasks: past five standard deviations, of 15% each, even if only
the shortest of 32 has ended.
*/
const siblingFactor = 2.2;
/** Limit relative to the queue's estimate: all but one job in a hundred take less. */
const estimateFactor = 2.5;
/**
Limit relative to the estimate while all the job's runs are late on several executors. The caller of a job with
the usual slack waits no longer than that; so if the executors are at fault after all, the runs are still
stopped.
*/
const allLateFactor = 5;
/**
Least number of executors with late runs for that. With a quarter of all executors at fault, one job in 64 has
as many by chance.
*/
const allLateMinExecutors = 3;
/** Added to each limit: the executor's response time and this host's own delays. */
const allowanceMs = 25;
/** A task is moved this often at most: after that, the task itself is taken to be long. */
export const maxMoves = 2;

export type JudgedRun = {
	elapsedMs: number;
	estimateMs: number;
	/** Mean run time of the job's tasks that have ended; undefined: none has. */
	siblingMeanMs?: number;
	/** All runs of the job are late, on several executors, and none has ended. */
	isWholeJobLate?: boolean;
};

/** Computes how long the run may take before it counts as overdue, milliseconds. */
export function computeRunLimitMs({
	estimateMs,
	siblingMeanMs,
	isWholeJobLate = false,
}: Omit<JudgedRun, 'elapsedMs'>): number {
	if (siblingMeanMs !== undefined) {
		return siblingFactor * siblingMeanMs + allowanceMs;
	}

	const factor = isWholeJobLate ? allLateFactor : estimateFactor;
	return factor * estimateMs + allowanceMs;
}

export function isOverdue(run: JudgedRun): boolean {
	return run.elapsedMs > computeRunLimitMs(run);
}

/** Lists the tasks whose runs are overdue, over all jobs that are not dropped. */
export function* listOverdue(
	jobs: Iterable<GroupJob>,
	now: number,
): Generator<{job: GroupJob; task: GroupTask}> {
	for (const job of jobs) {
		if (!job.isDropped) {
			yield* listOverdueOfJob(job, now);
		}
	}
}

function* listOverdueOfJob(
	job: GroupJob,
	now: number,
): Generator<{job: GroupJob; task: GroupTask}> {
	const {estimateMs, endedRunTimes, tasks} = job;
	const siblingMeanMs =
		endedRunTimes.count > 0
			? endedRunTimes.sumMs / endedRunTimes.count
			: undefined;
	const started = [...tasks.values()].filter(({state}) => state === 'started');
	const late = started.filter(({startedAt}) =>
		isOverdue({elapsedMs: now - startedAt, estimateMs, siblingMeanMs}),
	);
	const isWholeJobLate =
		siblingMeanMs === undefined &&
		late.length === started.length &&
		new Set(late.map(({executor}) => executor)).size >= allLateMinExecutors;
	for (const task of late) {
		const elapsedMs = now - task.startedAt;
		if (isOverdue({elapsedMs, estimateMs, siblingMeanMs, isWholeJobLate})) {
			yield {job, task};
		}
	}
}
