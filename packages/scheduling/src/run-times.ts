/**
Estimates the run times of a queue's tasks from earlier runs.

Declared run times are rough: off by half or more either way. A queue's tasks resemble each other, so the
geometric mean of a job's declared run time and the queue's mean is closer than either. Refusing jobs that can't
end in time depends on this estimate.
*/

/** Weight of one run in the queue's moving mean, which covers some twenty runs: about a second of a busy queue. */
const runWeight = 0.05;

export type RunTimes = {
	estimate: (queue: string, declaredMs: number) => number;
	addRunTime: (queue: string, runMs: number) => void;
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
		addRunTime(queue, runMs) {
			const mean = means.get(queue) ?? runMs;
			means.set(queue, mean + runWeight * (runMs - mean));
		},
	};
}
