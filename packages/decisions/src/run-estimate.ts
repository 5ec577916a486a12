/**
What a task of a service takes, learned from how long tasks ran. The declared run time is only
the prior: it may be wrong by ten times both ways.
*/

/** Declared run times count as this many samples: a few real ones outvote them. */
const priorSamples = 2;

/** Least weight of a new sample: the estimate follows a change within about fifty tasks. */
const leastWeight = 0.02;

/** Samples from which the estimate is trusted more than the declaration. */
const trustedSamples = 8;

/** Spread of the logarithm of run times assumed before any is known: p99 about 5 times the median. */
const priorLogSpread = 0.7;

/** The 99th percentile of the normal distribution, in standard deviations. */
const normalP99 = 2.33;

/** Shortest run time counted, milliseconds: logarithms need a positive number. */
const shortestRunMs = 0.01;

export type RunEstimate = {
	/** Learned mean, milliseconds; the prior until samples come. */
	readonly meanMs: number;
	/** Learned 99th percentile, milliseconds, as of a log-normal distribution. */
	readonly p99Ms: number;
	/** True once enough tasks ended for the declaration not to matter. */
	readonly isLearned: boolean;
	/** When the last sample came, on the caller's clock; undefined before any. */
	readonly lastSampleAt: number | undefined;
	/** Takes in how long one task ran. */
	note: (runMs: number, now: number) => void;
};

/**
Learns a service's run times.

@example
const estimate = estimateRunMs(200);
estimate.note(20, performance.now());
estimate.meanMs; // below 200 already
*/
export function estimateRunMs(priorMs: number): RunEstimate {
	let samples = 0;
	let meanMs = Math.max(priorMs, shortestRunMs);
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
			return samples >= trustedSamples;
		},
		get lastSampleAt() {
			return lastSampleAt;
		},
		note(runMs, now) {
			const run = Math.max(runMs, shortestRunMs);
			samples += 1;
			lastSampleAt = now;
			const weight = Math.max(1 / (samples + priorSamples), leastWeight);
			const logError = Math.log(run) - logMean;
			meanMs += weight * (run - meanMs);
			logMean += weight * logError;
			logVariance = (1 - weight) * (logVariance + weight * logError ** 2);
		},
	};
}
