/**
Tasks of a job at a group whose holder is silent, and when they may be placed elsewhere: the silent one stops them, as
the entry no longer tells it that it waits.
*/
import {type EntryJob, type EntryTask} from './entry-job.js';
import {isSilent, type GroupDirectory} from './group-directory.js';
import {clockSlackMs, orphanLimitMs} from './timing.js';

export type LostTasks = {
	tasks: EntryTask[];
	/** Nothing of them runs any more from then on. */
	movableAt: number;
};

/** Undefined: none is lost. `getToldAt`: when a holder was last told that the entry waits. */
export function findLostTasks(
	{tasks}: EntryJob,
	groups: GroupDirectory,
	getToldAt: (holder: string) => number | undefined,
	now: number,
): LostTasks | undefined {
	const lost: EntryTask[] = [];
	let movableAt = now;
	for (const task of tasks) {
		const holder = findSilentHolder(task, groups, now);
		if (holder !== undefined) {
			lost.push(task);
			const stopsAt = (getToldAt(holder) ?? now) + orphanLimitMs + clockSlackMs;
			movableAt = Math.max(movableAt, stopsAt);
		}
	}

	return lost.length === 0 ? undefined : {tasks: lost, movableAt};
}

function findSilentHolder(
	{group, isDone}: EntryTask,
	groups: GroupDirectory,
	now: number,
): string | undefined {
	const known =
		group === undefined || isDone ? undefined : groups.findGroup(group);
	return known && isSilent(known, now) ? known.holder : undefined;
}
