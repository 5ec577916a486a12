/**
Estimates the run time of a service's tasks from the run times of ended tasks. The declared run time is only
the prior: it may be ten times too long or too short.
*/

/** Weight of the declared run time, in samples: a few real ones outweigh it. */
const priorSamples = 2;

/** Minimum weight of a new sample: the estimate follows a change within about fifty tasks. */
const minWeight = 0.02;

/** Number of samples from which the estimate replaces the declared run time. */
const learnedSamples = 8;

/**
Standard deviation of log run time assumed before any sample: the 99th percentile is about 5 times the
median.
*/
const priorLogSpread = 0.7;

/** The 99th percentile of the standard normal distribution. */
const normalP99 = 2.33;

/** Shorter run times are raised to this: logarithms need a positive number. */
const minRunMs = 0.01;

export type RunEstimate = {
	/** Learned mean, milliseconds; the prior before the first sample. */
	readonly meanMs: number;
	/** Learned 99th percentile, milliseconds, assuming a log-normal distribution; at least the mean. */
	readonly p99Ms: number;
	/** True once enough tasks have ended for the declared run time not to matter. */
	readonly isLearned: boolean;
	/** Time of the last sample, on the caller's clock; undefined before the first. */
	readonly lastSampleAt: number | undefined;
	/** Records the run time of one ended task. */
	recordRunMs: (runMs: number, now: number) => void;
};

/**
Creates the estimate for one service.

@example
const estimate = estimateRunMs(200);
estimate.note(20, performance.now());
estimate.meanMs; // below 200 already
*/
export function estimateRunMs(priorMs: number): RunEstimate {
	let samples = 0;
	let meanMs = Math.max(priorMs, minRunMs);
	let logMean = Math.log(meanMs);
	let logVariance = priorLogSpread ** 2;
	let lastSampleAt: number | undefined;
	return {
		get meanMs() {
			return meanMs;
		},
		get p99Ms() {
			const p99 = Math.exp(logMean + normalP99 * Math.sqrt(logVariance));
			return Math.max(p99, meanMs);
		},
		get isLearned() {
			return samples >= learnedSamples;
		},
		get lastSampleAt() {
			return lastSampleAt;
		},
		recordRunMs(runMs, now) {
			const run = Math.max(runMs, minRunMs);
			samples += 1;
			lastSampleAt = now;
			const weight = Math.max(1 / (samples + priorSamples), minWeight);
			const logError = Math.log(run) - logMean;
			meanMs += weight * (run - meanMs);
			logMean += weight * logError;
			logVariance = (1 - weight) * (logVariance + weight * logError ** 2);
		},
	};
}
