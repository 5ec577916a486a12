/**
When callers that are refused for lack of room are told to come again: once the work that waits now has ended, at the rate at which work has
ended in the last half second. The times are spread, as callers that were refused together would otherwise come back together and
be refused again.
*/
import {finishedWindowMs} from './finished-work.js';
import {type OpenGroup} from './place-job.js';

/** Shortest time sent to callers: by then the state of a queue has changed. */
export const minRetryAfterMs = 1000;
/** Longest time sent to callers: a wait of unknown length is no reason to keep a caller away for long. */
export const maxRetryAfterMs = 10_000;
/** Largest part of the time that is added at random. */
const spreadShare = 0.5;
const msPerSecond = 1000;

/** Time until the group has ended the work that waits there; undefined: nothing has ended lately, or its holder does not say. */
export function estimateRoomMs({
	backlog,
	lateBacklog,
	finished = 0,
}: Pick<OpenGroup, 'backlog' | 'lateBacklog' | 'finished'>):
	number | undefined {
	if (finished <= 0) {
		return undefined;
	}

	const waiting = [...backlog, ...lateBacklog].reduce(
		(sum, work) => sum + work,
		0,
	);
	return (waiting / finished) * finishedWindowMs;
}

/** The earliest time at which one of the groups has room again; `fallbackMs` for a group of which that is not known. */
export function estimateRetryMs(
	groups: readonly OpenGroup[],
	fallbackMs: (group: OpenGroup) => number,
): number {
	return Math.min(
		...groups.map((group) => estimateRoomMs(group) ?? fallbackMs(group)),
	);
}

/** Draws the time for one caller: whole seconds, as they are sent, up to half longer than `ms`, and within the limits. */
export function drawRetryAfterMs(ms: number, random: () => number): number {
	const longestBase = Math.floor(
		maxRetryAfterMs / msPerSecond / (1 + spreadShare),
	);
	const base = Math.min(
		longestBase,
		Math.ceil(Math.max(minRetryAfterMs, ms) / msPerSecond),
	);
	const spread = Math.floor(random() * (base * spreadShare + 1));
	return (base + spread) * msPerSecond;
}
