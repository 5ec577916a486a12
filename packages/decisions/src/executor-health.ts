/**
What is learned about one executor from how tasks on it ended, and how many of its slots are
lent on account of it, compared with its peers.
*/
import {type SlotOutcome} from './lending.js';

/** Weight of the newest outcome in the rate of failures: three failures in a row pass one half. */
const failureWeight = 0.25;

/** Rate of failures from which an executor is shut out, if its peers do much better. */
const shutFailureRate = 0.5;

/** How much worse than its peers a failing executor must be: all failing alike shut out nobody. */
const shutFailureFactor = 3;

/** Least weight of the newest run time in the learned speed. */
const leastSpeedWeight = 0.05;

/** Slowness below this factor is noise or mere wear: the executor keeps all its slots. */
const slowFactor = 1.5;

/** Samples needed before any judgement of speed. */
const leastSpeedSamples = 3;

/** Strength of evidence for slowness: root of samples times the logarithm of the factor. */
const slowEvidence = 2.5;

/** Learned speed counts half at this many samples: run times of few tasks say little. */
const doubtedSamples = 4;

/** Probes slower than this keep a shut-out executor shut. */
const reopenFactor = 2.5;

/** More samples than the learned speed remembers don't strengthen the evidence. */
const rememberedSamples = 40;

/** First wait before a shut-out executor is tried with one task, and the longest, milliseconds. */
const firstProbeMs = 1000;
const longestProbeMs = 32_000;

/** Good probes in a row that open a shut-out executor again. */
const probesToOpen = 2;

/** Share of executors that may be shut out at once: the rest must carry the load. */
const mostShutOut = 0.5;

export type ExecutorState = {
	readonly name: string;
	slots: number;
	isLeaving: boolean;
	/** Slots lent or quarantined. */
	busy: number;
	/** Slots that may be lent, by its health. */
	limit: number;
	failureRate: number;
	/** Logarithm of run time over the service's mean. */
	slowness: number;
	speedSamples: number;
	/** Run time over that of the median peer. */
	slowRatio: number;
	isShutOut: boolean;
	probeAt: number;
	probeMs: number;
	goodProbes: number;
};

export function createExecutorState(
	name: string,
	slots: number,
	isLeaving: boolean,
): ExecutorState {
	return {
		name,
		slots,
		isLeaving,
		busy: 0,
		limit: slots,
		failureRate: 0,
		slowness: 0,
		speedSamples: 0,
		slowRatio: 1,
		isShutOut: false,
		probeAt: 0,
		probeMs: firstProbeMs,
		goodProbes: 0,
	};
}

/** Takes in how a task ended. `expectedMs` is the service's learned mean. */
export function noteOutcome(
	executor: ExecutorState,
	outcome: SlotOutcome,
	expectedMs: number,
): void {
	if (outcome.result === 'unused') {
		return;
	}

	const isGood = outcome.result === 'done';
	executor.failureRate +=
		failureWeight * (Number(!isGood) - executor.failureRate);
	if (isGood) {
		noteSpeed(executor, Math.max(outcome.runMs, 0.01) / expectedMs);
	}

	if (executor.isShutOut) {
		executor.goodProbes = isGood ? executor.goodProbes + 1 : 0;
	}
}

function noteSpeed(executor: ExecutorState, ratio: number): void {
	executor.speedSamples += 1;
	const weight = Math.max(1 / executor.speedSamples, leastSpeedWeight);
	executor.slowness += weight * (Math.log(ratio) - executor.slowness);
}

/**
Sets how many slots of each executor may be lent.

For one slow executor: its share of a job's tasks would end last and hold up every job, so it
gets fewer slots, by the square of its slowness, and none but probes from about three times.
For one that fails or refuses all it is given: it frees its slots first and would attract all
work, so it is shut out and tried with one task at growing intervals (each failed trial costs a
job). Judged against the median peer, and never more than half of them: when all fail alike the
cause is elsewhere, and shutting out everything would turn a slow target into a dead one.
*/
export function judgeExecutors(
	executors: readonly ExecutorState[],
	now: number,
): void {
	const peers = executors.filter((executor) => !executor.isLeaving);
	const median = {
		slowness: findMedian(
			peers
				.filter((peer) => peer.speedSamples >= leastSpeedSamples)
				.map((peer) => peer.slowness),
		),
		failureRate: findMedian(peers.map((peer) => peer.failureRate)),
	};
	let shutOut = peers.filter((peer) => peer.isShutOut).length;
	for (const executor of peers) {
		const isOneTooMany = shutOut + 1 > peers.length * mostShutOut;
		const wasShutOut = executor.isShutOut;
		judgeExecutor(executor, median, {now, isOneTooMany});
		shutOut += Number(executor.isShutOut) - Number(wasShutOut);
	}
}

type Median = {slowness: number; failureRate: number};

function judgeExecutor(
	executor: ExecutorState,
	median: Median,
	{now, isOneTooMany}: {now: number; isOneTooMany: boolean},
): void {
	const {slowness, speedSamples} = executor;
	const trust = speedSamples / (speedSamples + doubtedSamples);
	executor.slowRatio = Math.exp((slowness - median.slowness) * trust);
	if (executor.isShutOut) {
		const isTooSlow = Math.exp(slowness - median.slowness) >= reopenFactor;
		if (executor.goodProbes < probesToOpen || isTooSlow) {
			return;
		}

		openAgain(executor);
	}

	const slots = isSlow(executor)
		? Math.floor(executor.slots / executor.slowRatio ** 2)
		: executor.slots;
	const isBad = isFailing(executor, median) || slots === 0;
	if (isBad && !isOneTooMany) {
		executor.isShutOut = true;
		executor.goodProbes = 0;
		executor.probeAt = now + executor.probeMs;
		// Its speed is learned anew from the probes: old samples would outlive a recovery.
		executor.speedSamples = 0;
		executor.slowness = 0;
		executor.limit = 0;
		return;
	}

	executor.limit = Math.max(1, slots);
}

function openAgain(executor: ExecutorState): void {
	executor.isShutOut = false;
	executor.failureRate = 0;
	executor.probeMs = firstProbeMs;
}

function isFailing(executor: ExecutorState, median: Median): boolean {
	return (
		executor.failureRate > shutFailureRate &&
		executor.failureRate > shutFailureFactor * median.failureRate
	);
}

function isSlow(executor: ExecutorState): boolean {
	const {slowRatio, speedSamples} = executor;
	const samples = Math.min(speedSamples, rememberedSamples);
	return (
		slowRatio >= slowFactor &&
		samples >= leastSpeedSamples &&
		Math.sqrt(samples) * Math.log(slowRatio) >= slowEvidence
	);
}

/** Notes that a probe was sent: the next one waits twice as long. */
export function noteProbe(executor: ExecutorState, now: number): void {
	executor.probeMs = Math.min(executor.probeMs * 2, longestProbeMs);
	executor.probeAt = now + executor.probeMs;
}

function findMedian(values: readonly number[]): number {
	if (values.length === 0) {
		return 0;
	}

	const sorted = [...values].toSorted((a, b) => a - b);
	return sorted[Math.floor((sorted.length - 1) / 2)]!;
}
