/**
Ends of runs that no entry had claimed when the executor reported them: an earlier holder of the group had started the
runs, and they ended before their entry sent its parts to this holder. If these ends were dropped, the tasks would run
again.
*/
import {type RunEnd} from './executor-control.js';
import {formatTaskKey} from './run.js';

/** How long these ends are kept: a live entry sends its parts long before that. */
const strayEndMs = 3000;

export type StrayEnds = {
	add: (end: RunEnd, now: number) => void;
	/** Removes and returns the task's end; undefined: there is none. */
	take: (task: {job: string; index: number}) => RunEnd | undefined;
	forgetOld: (now: number) => void;
	readonly size: number;
};

/**
@example
strays.add(end, now);
strays.take({job: 'a1', index: 0}); // the end, if it was that task's
*/
export function createStrayEnds(): StrayEnds {
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
				if (now - at > strayEndMs) {
					ends.delete(key);
				}
			}
		},
	};
}
