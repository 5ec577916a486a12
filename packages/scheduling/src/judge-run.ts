/**
Whether a run takes longer than it should, so that its task is better started elsewhere.

For executors that are healthy by their own word and let tasks stand still, or have turned slow.
One late task is all that shows it at first. Left alone, the task holds its job until the caller
gives up, and the executor, whose room seems free as others fill up, draws more tasks in.

Run times of a queue differ from job to job by about 40%, those of one job's tasks by about 15%:
once siblings have ended, the judgement is sharper. But those that ended first are the shortest, and
a wide job's longest task takes half as long again: a factor of 1.5 stopped one run in eighty that
only took its time, and doubted their executors.
*/
import {type GroupJob, type GroupTask} from './group-job.js';

/** Over the mean of the job's ended tasks, the shortest of 32: past five deviations. */
const siblingFactor = 2.2;
/** Over the estimate from the queue: past all but one job in a hundred. */
const estimateFactor = 2.5;
/** Added to both: an executor's answer and this host's own delays. */
const allowanceMs = 25;
/** A task is moved this often at most: after that it is the task that is long. */
export const maxMoves = 2;

export type JudgedRun = {
	elapsedMs: number;
	estimateMs: number;
	/** Mean run time of the job's tasks that have ended; undefined: none has. */
	siblingMs?: number;
};

/** How long the run may take before it counts as overdue, milliseconds. */
export function computeRunLimit({
	estimateMs,
	siblingMs,
}: Omit<JudgedRun, 'elapsedMs'>): number {
	return siblingMs === undefined
		? estimateFactor * estimateMs + allowanceMs
		: siblingFactor * siblingMs + allowanceMs;
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
		if (job.isDropped) {
			continue;
		}

		const {estimateMs, ended} = job;
		const siblingMs = ended.count > 0 ? ended.sumMs / ended.count : undefined;
		for (const task of job.tasks.values()) {
			const elapsedMs = now - task.startedAt;
			const isLate = isOverdue({elapsedMs, estimateMs, siblingMs});
			if (task.state === 'started' && isLate) {
				yield {job, task};
			}
		}
	}
}
