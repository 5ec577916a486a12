/**
Ends of runs that no entry had claimed when the executor reported them: an earlier holder of the group had started the
runs, and they ended before their entry sent its parts to this holder. If these ends were dropped, the tasks would run
again.
*/
import {type RunEnd} from './executor-control.js';
import {formatTaskKey} from './run.js';

/** How long these ends are kept: a live entry sends its parts long before that. */
const unclaimedEndLifetimeMs = 3000;

export type UnclaimedEnds = {
	add: (end: RunEnd, now: number) => void;
	/** Removes and returns the task's end; undefined: there is none. */
	take: (task: {job: string; index: number}) => RunEnd | undefined;
	forgetOld: (now: number) => void;
	readonly size: number;
};

/**
@example
unclaimedEnds.add(end, now);
unclaimedEnds.take({job: 'a1', index: 0}); // the end, if it was that task's
*/
export function createUnclaimedEnds(): UnclaimedEnds {
	const ends = new Map<string, {end: RunEnd; at: number}>();
	return {
		get size() {
			return ends.size;
		},
		add(end, now) {
			ends.set(formatTaskKey(end), {end, at: now});
		},
		take(task) {
			const key = formatTaskKey(task);
			const found = ends.get(key)?.end;
			ends.delete(key);
			return found;
		},
		forgetOld(now) {
			for (const [key, {at}] of ends) {
				if (now - at > unclaimedEndLifetimeMs) {
					ends.delete(key);
				}
			}
		},
	};
}
