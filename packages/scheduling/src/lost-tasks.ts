/**
Tasks of a job at a group whose holder is silent, and when they may be placed elsewhere: the claims that the silent one has end by
themselves, as no word of this entry can answer a state that was not read.
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
	/** Nothing of them runs any more from then on. */
	movableAt: number;
};

/** Undefined: none is lost. */
export function findLostTasks(
	{tasks}: EntryJob,
	groups: GroupDirectory,
	now: number,
): LostTasks | undefined {
	const lost: EntryTask[] = [];
	let movableAt = now;
	for (const task of tasks) {
		const silent = findSilentGroup(task, groups, now);
		if (silent) {
			lost.push(task);
			const endsAt = silent.readAt + orphanLimitMs + clockSlackMs;
			movableAt = Math.max(movableAt, endsAt);
		}
	}

	return lost.length === 0 ? undefined : {tasks: lost, movableAt};
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
