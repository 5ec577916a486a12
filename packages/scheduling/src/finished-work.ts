/**
Measures how much work of a group has ended in the last half second.

Capacity says what executors could do; how soon a queue gets shorter depends on what they really end: tasks that are stopped, fail or
take longer than estimated use capacity and end nothing.
*/

/** Long enough for several ends at a small group, short enough to show the end of a burst. */
export const finishedWindowMs = 500;

export type FinishedWork = {
	/** Records work that has ended now, thousandths of a core times milliseconds. */
	add: (work: number, now: number) => void;
	/** Work that has ended within the last `finishedWindowMs`. */
	measure: (now: number) => number;
};

export function createFinishedWork(): FinishedWork {
	const recent: Array<{work: number; at: number}> = [];
	let sum = 0;
	return {
		add(work, now) {
			recent.push({work, at: now});
			sum += work;
		},
		measure(now) {
			// The state of a group is described for each submitted job, so the sum is kept instead of being computed each time.
			while (recent.length > 0 && now - recent[0]!.at >= finishedWindowMs) {
				sum -= recent.shift()!.work;
			}

			// Rounding errors must not remain while nothing ends.
			sum = recent.length === 0 ? 0 : sum;
			return sum;
		},
	};
}
