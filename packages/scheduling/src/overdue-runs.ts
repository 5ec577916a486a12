/**
Stops runs that take too long, if their tasks can be started on another executor at once.

Executors on which tasks hang, or that have become slow, make this necessary. Whether other executors have
free capacity changes all the time, so each check decides again whether a task can be moved; the executor's trust is lowered
once per run. A run goes on if no time is left for another one: if it were stopped, its job would certainly be
given up.
*/
import {type ExecutorSession} from './executor-session.js';
import {isDoubted, recordOverdue} from './executor-trust.js';
import {isPastLatestStart, type GroupJob, type GroupTask} from './group-job.js';
import {listOverdue, maxMoves} from './judge-run.js';
import {coversDemand} from './free-capacity.js';
import {formatTaskKey} from './run.js';
import {dropStopLimitMs, stopLimitMs} from './timing.js';

type Sessions = ReadonlyMap<string, ExecutorSession>;

type OverdueCheck = {
	now: number;
	log: (message: string, fields: Record<string, unknown>) => void;
};

/** Checks all runs of the jobs; to be called with each update of the scheduler. */
export function moveOverdueTasks(
	jobs: Iterable<GroupJob>,
	sessions: Sessions,
	check: OverdueCheck,
): void {
	for (const {job, task} of listOverdue(jobs, check.now)) {
		handleOverdueTask({job, task}, sessions, check);
	}
}

function handleOverdueTask(
	{job, task}: {job: GroupJob; task: GroupTask},
	sessions: Sessions,
	{now, log}: OverdueCheck,
): void {
	const session = sessions.get(task.executor ?? '');
	const run = session?.runs.get(
		formatTaskKey({job: job.id, index: task.index}),
	);
	if (!session || run?.state !== 'running') {
		return;
	}

	const isNewlyOverdue = !run.isOverdue;
	if (isNewlyOverdue) {
		run.isOverdue = true;
		recordOverdue(session.trust, now);
	}

	const isMoved =
		!isPastLatestStart(job, now + stopLimitMs) &&
		hasCapacityElsewhere(job, task, sessions);
	if (isNewlyOverdue || isMoved) {
		log('run is overdue', {
			job: job.id,
			task: task.index,
			executor: session.id,
			elapsedMs: Math.round(now - task.startedAt),
			estimateMs: Math.round(job.estimateMs),
			isMoved,
		});
	}

	if (isMoved) {
		task.moves += 1;
		session.stop(run, now + dropStopLimitMs);
	}
}

/**
Whether another executor has free capacity for the task now: one that is not doubted, and on which no earlier run of the
task was unsuccessful.
*/
function hasCapacityElsewhere(
	{service, demand}: GroupJob,
	{executor, avoid, moves}: GroupTask,
	sessions: Sessions,
): boolean {
	return (
		moves < maxMoves &&
		[...sessions.values()].some(
			(other) =>
				other.id !== executor &&
				other.isOpen &&
				!avoid.has(other.id) &&
				!isDoubted(other.trust) &&
				other.service === service &&
				coversDemand(other.free, demand),
		)
	);
}
