/**
Runs that take too long are stopped where their tasks can be started elsewhere at once.

For executors that let tasks stand still or have turned slow. Room elsewhere comes and goes, so each
look judges anew whether a task can be moved; its executor's trust is lowered once a run. A run is left
alone when no time is left for another: stopped, its job would be given up for certain.
*/
import {type ExecutorSession} from './executor-session.js';
import {isDoubted, recordOverdue} from './executor-trust.js';
import {isHopeless, type GroupJob, type GroupTask} from './group-job.js';
import {listOverdue, maxMoves} from './judge-run.js';
import {hasRoom} from './room.js';
import {formatTaskKey} from './run.js';
import {dropStopMs, stopLimitMs} from './timing.js';

type Sessions = ReadonlyMap<string, ExecutorSession>;

type Look = {
	now: number;
	log: (message: string, fields: Record<string, unknown>) => void;
};

/** Looks at all runs of the jobs; to be called with each update of the scheduler. */
export function moveOverdue(
	jobs: Iterable<GroupJob>,
	sessions: Sessions,
	look: Look,
): void {
	for (const {job, task} of listOverdue(jobs, look.now)) {
		moveTask({job, task}, sessions, look);
	}
}

function moveTask(
	{job, task}: {job: GroupJob; task: GroupTask},
	sessions: Sessions,
	{now, log}: Look,
): void {
	const session = sessions.get(task.executor ?? '');
	const run = session?.runs.get(
		formatTaskKey({job: job.id, index: task.index}),
	);
	if (!session || run?.state !== 'running') {
		return;
	}

	const isFirst = !run.isOverdue;
	if (isFirst) {
		run.isOverdue = true;
		recordOverdue(session.trust, now);
	}

	const isMoved =
		!isHopeless(job, now + stopLimitMs) && isMovable(job, task, sessions);
	if (isFirst || isMoved) {
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
		session.stop(run, now + dropStopMs);
	}
}

/** Another sound executor, on which no run of it came to nothing, has room for the task now. */
function isMovable(
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
				hasRoom(other.free, demand),
		)
	);
}
