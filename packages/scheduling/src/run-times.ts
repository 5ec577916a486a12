/**
Learned run times of a queue's tasks.

Declared run times are rough: off by half or more either way. A queue's tasks resemble each other,
so the geometric middle between a job's own word and the queue's mean is nearer than either; the
refusal of jobs that can't end in time rests on it.
*/

/** Weight of one more run in a queue's mean: some twenty runs, a second of a busy queue. */
const learnWeight = 0.05;

export type RunTimes = {
	estimate: (queue: string, declaredMs: number) => number;
	learn: (queue: string, runMs: number) => void;
};

export function createRunTimes(): RunTimes {
	const means = new Map<string, number>();
	return {
		estimate(queue, declaredMs) {
			const mean = means.get(queue);
			if (mean === undefined) {
				return Math.max(1, declaredMs);
			}

			return declaredMs > 0 ? Math.sqrt(mean * declaredMs) : mean;
		},
		learn(queue, runMs) {
			const mean = means.get(queue) ?? runMs;
			means.set(queue, mean + learnWeight * (runMs - mean));
		},
	};
}
