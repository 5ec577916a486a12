/**
Finds the run of a task that an earlier holder of the group started, so that the task is not started a second time.
*/
import {type ExecutorSession} from './executor-session.js';
import {type GroupJob, type GroupTask} from './group-job.js';
import {type Run} from './run.js';

export type ClaimRunResult =
	| {type: 'ended'; attempt: number}
	| {type: 'running'; run: Run; executor: string};

/**
Returns the task's run, which from now on counts for the entry's job, or the end of that run. Undefined: the executors report neither.
*/
export function claimRun(
	sessions: Iterable<ExecutorSession>,
	{id, demand}: GroupJob,
	{index, nextAttempt}: GroupTask,
): ClaimRunResult | undefined {
	const task = {job: id, index};
	for (const session of sessions) {
		if (!session.hasUnclaimedRuns) {
			continue;
		}

		const end = session.takeUnclaimedEnd(task);
		if (end?.outcome === 'done') {
			return {type: 'ended', attempt: end.attempt};
		}

		const run = session.claimRun({...task, attempt: nextAttempt}, demand);
		if (run) {
			return {type: 'running', run, executor: session.id};
		}
	}

	return undefined;
}
