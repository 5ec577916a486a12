/**
Health of executors: failure rate and speed are learned from how tasks ended, and compared with those of
the peers. The result limits how many slots of each executor are lent. An executor that does much worse
is ejected: it gets single probe tasks only, until they succeed.
*/
import {type SlotOutcome} from './lending.js';

/** Weight of the newest outcome in the failure rate: three failures in a row bring it above one half. */
const failureWeight = 0.25;

/** Failure rate above which an executor is ejected, if its peers do much better. */
const shutFailureRate = 0.5;

/** A failing executor is ejected only above this multiple of the median failure rate; if all fail alike, none is. */
const shutFailureFactor = 3;

/** Minimum weight of the newest run time in the learned speed. */
const leastSpeedWeight = 0.05;

/** A `slowRatio` below this is noise or a minor slowdown: the executor keeps all its slots. */
const slowFactor = 1.5;

/** Samples needed before an executor's speed is judged. */
const leastSpeedSamples = 3;

/** Evidence needed to treat an executor as slow: square root of the samples times log of `slowRatio`. */
const slowEvidence = 2.5;

/** With this many samples the learned speed counts half: run times of few tasks say little. */
const doubtedSamples = 4;

/** An ejected executor stays ejected while its probes take this many times its peers' run times, or more. */
const reopenFactor = 2.5;

/** Samples beyond this don't strengthen the evidence: the learned speed no longer reflects older ones. */
const rememberedSamples = 40;

/** Shortest and longest wait before an ejected executor gets a probe task. */
const firstProbeMs = 1000;
const longestProbeMs = 32_000;

/** Consecutive successful probes after which an ejected executor is restored. */
const probesToOpen = 2;

/** Maximum share of executors that are ejected at once: the rest must carry the load. */
const mostShutOut = 0.5;

export type ExecutorState = {
	readonly name: string;
	slots: number;
	isLeaving: boolean;
	/** Number of slots that are lent or quarantined. */
	busy: number;
	/** Number of slots that may be lent given the executor's health. */
	limit: number;
	failureRate: number;
	/** Moving average of the logarithm of run time over the service's mean run time. */
	slowness: number;
	speedSamples: number;
	/** Run time relative to the median peer, drawn towards 1 while samples are few. */
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

/** Records how a task ended. `expectedMs` is the service's learned mean run time. */
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

- A slow executor would finish its part of each job last and delay every job. Its slots are divided by the
  square of its slowness. When none would be left, from about three times the median run time for
  executors with 8 slots, it is ejected.
- An executor that fails or refuses all tasks has free slots sooner than the others and would attract all
  work. It is ejected and probed with one task at growing intervals, as each failed probe costs a job.

Executors are compared with the median peer, and at most half of them are ejected. If all fail alike, the
cause is elsewhere, and ejecting all would make a slow target unavailable.
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
		// The speed is learned again from the probes. Old samples would keep the executor ejected after it recovers.
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

/** Records that a probe was sent, and doubles the wait until the next one, up to the maximum. */
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
