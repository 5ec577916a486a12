/**
Ends that a scheduler has told entries lately. A connection may have broken before one arrived; the
entry then sends its part again, and is told the same end instead of the task being started anew.
*/
import {silenceMs, type TaskEnd} from '@gentianshift/protocol';
import {formatTaskKey} from './run.js';

/** How long an end that was told is remembered: until a silent connection is noticed and made anew. */
const toldLimitMs = silenceMs + 1000;

export type ToldEnds = {
	remember: (
		job: {id: string; entry: {key: string}},
		end: TaskEnd,
		now: number,
	) => void;
	/** The end of this placement of a task, told to the same entry. */
	find: (
		job: {id: string; entry: {key: string}},
		index: number,
		placement: number,
	) => TaskEnd | undefined;
	forgetOld: (now: number) => void;
};

export function createToldEnds(): ToldEnds {
	const ends = new Map<string, {entry: string; end: TaskEnd; at: number}>();
	return {
		remember({id, entry}, end, now) {
			ends.set(formatTaskKey({job: id, index: end.index}), {
				entry: entry.key,
				end,
				at: now,
			});
		},
		find({id, entry}, index, placement) {
			const told = ends.get(formatTaskKey({job: id, index}));
			const isSame =
				told?.entry === entry.key && told.end.placement === placement;
			return isSame ? told.end : undefined;
		},
		forgetOld(now) {
			for (const [key, {at}] of ends) {
				if (now - at > toldLimitMs) {
					ends.delete(key);
				}
			}
		},
	};
}
