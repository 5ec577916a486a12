/**
Ends that a scheduler has sent to entries recently. If the connection breaks before an end arrives, the entry sends
its part again. The scheduler then repeats the end instead of starting the task again.
*/
import {silenceTimeoutMs, type TaskEnd} from '@gentianshift/protocol';
import {formatTaskKey} from './run.js';

/** How long a sent end is kept: until a broken connection is noticed (`silenceMs`) and opened again. */
const sentEndLifetimeMs = silenceTimeoutMs + 1000;

export type SentEnds = {
	remember: (
		job: {id: string; entry: {key: string}},
		end: TaskEnd,
		now: number,
	) => void;
	/** The end of this placement of the task, if it was sent to the same entry. */
	find: (
		job: {id: string; entry: {key: string}},
		index: number,
		placement: number,
	) => TaskEnd | undefined;
	forgetOld: (now: number) => void;
};

export function createSentEnds(): SentEnds {
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
			const sent = ends.get(formatTaskKey({job: id, index}));
			const isSamePlacement =
				sent?.entry === entry.key && sent.end.placement === placement;
			return isSamePlacement ? sent.end : undefined;
		},
		forgetOld(now) {
			for (const [key, {at}] of ends) {
				if (now - at > sentEndLifetimeMs) {
					ends.delete(key);
				}
			}
		},
	};
}
