/**
Ends that an executor listed of runs that nobody had claimed: started under an earlier holder of the group, and over
before their entry told this one of its jobs. Forgotten, their tasks would run once more.
*/
import {type RunEnd} from './executor-control.js';
import {formatTaskKey} from './run.js';

/** How long they are remembered: an entry that lives tells its parts long before. */
const strayEndMs = 3000;

export type StrayEnds = {
	add: (end: RunEnd, now: number) => void;
	/** Hands out the task's end, once. */
	take: (task: {job: string; index: number}) => RunEnd | undefined;
	forgetOld: (now: number) => void;
	readonly size: number;
};

/**
@example
strays.add(end, now);
strays.take({job: 'a1', index: 0}); // the end, if it was of that task
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
