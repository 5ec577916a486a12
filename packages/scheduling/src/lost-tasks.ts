/**
Finds a job's tasks in groups whose holder is silent, and when they may be placed elsewhere. The claims at a silent holder expire by
themselves: this entry renews a claim only by answering a state of the holder, and it receives none.
*/
import {type EntryJob, type EntryTask} from './entry-job.js';
import {
	isSilent,
	type GroupDirectory,
	type KnownGroup,
} from './group-directory.js';
import {clockSlackMs, orphanLimitMs} from './timing.js';

export type LostTasks = {
	tasks: EntryTask[];
	/** From this time on none of the tasks runs at the silent holder. */
	movableAt: number;
	/** When the last state of the silent holders arrived. */
	lastStateAt: number;
};

/** Undefined: no task of the job is lost. */
export function findLostTasks(
	{tasks}: EntryJob,
	groups: GroupDirectory,
	now: number,
): LostTasks | undefined {
	const lost: EntryTask[] = [];
	let lastStateAt = -Infinity;
	for (const task of tasks) {
		const silentGroup = findSilentGroup(task, groups, now);
		if (silentGroup) {
			lost.push(task);
			lastStateAt = Math.max(lastStateAt, silentGroup.receivedAt);
		}
	}

	const movableAt = Math.max(now, lastStateAt + orphanLimitMs + clockSlackMs);
	return lost.length === 0 ? undefined : {tasks: lost, movableAt, lastStateAt};
}

function findSilentGroup(
	{group, isDone}: EntryTask,
	groups: GroupDirectory,
	now: number,
): KnownGroup | undefined {
	const known =
		group === undefined || isDone ? undefined : groups.findGroup(group);
	return known && isSilent(known, now) ? known : undefined;
}
