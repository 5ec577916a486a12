/**
Health of executors: failure rate and speed are learned from how tasks ended, and compared with those of
the peers. The result limits how many slots of each executor are lent. An executor that does much worse
is ejected: it gets single probe tasks only, until they succeed.
*/
import {type SlotOutcome} from './lending.js';

/** Weight of the newest outcome in the failure rate: three failures in a row bring it above one half. */
const failureWeight = 0.25;

/** Failure rate above which an executor is ejected, if its peers do much better. */
const ejectFailureRate = 0.5;

/**
A failing executor is ejected only above this multiple of the median failure rate; if all fail alike,
none is.
*/
const ejectFailureFactor = 3;

/** Minimum weight of the newest run time in the learned speed. */
const minSpeedWeight = 0.05;

/** A `slowRatio` below this is noise or a minor slowdown: the executor keeps all its slots. */
const minSlowRatio = 1.5;

/** Samples needed before an executor's speed is judged. */
const minSpeedSamples = 3;

/** Evidence needed to treat an executor as slow: square root of the samples times log of `slowRatio`. */
const minSlowEvidence = 2.5;

/** With this many samples the learned speed counts half: run times of few tasks say little. */
const halfTrustSamples = 4;

/** An ejected executor stays ejected while its probes take this many times its peers' run times, or more. */
const keepEjectedRatio = 2.5;

/** Samples beyond this don't strengthen the evidence: the learned speed no longer reflects older ones. */
const maxEvidenceSamples = 40;

/** Shortest and longest wait before an ejected executor gets a probe task. */
const minProbeIntervalMs = 1000;
const maxProbeIntervalMs = 32_000;

/** Consecutive successful probes after which an ejected executor is restored. */
const probesToRestore = 2;

/** Maximum share of executors that are ejected at once: the rest must carry the load. */
const maxEjectedShare = 0.5;

export type ExecutorState = {
	readonly name: string;
	slots: number;
	isLeaving: boolean;
	/** Number of slots that are lent or quarantined. */
	busy: number;
	/** Number of slots that may be lent given the executor's health. */
	slotLimit: number;
	failureRate: number;
	/** Moving average of the logarithm of run time over the service's mean run time. */
	logSlowness: number;
	speedSamples: number;
	/** Run time relative to the median peer, drawn towards 1 while samples are few. */
	slowRatio: number;
	isEjected: boolean;
	probeAt: number;
	probeIntervalMs: number;
	successfulProbes: number;
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
		slotLimit: slots,
		failureRate: 0,
		logSlowness: 0,
		speedSamples: 0,
		slowRatio: 1,
		isEjected: false,
		probeAt: 0,
		probeIntervalMs: minProbeIntervalMs,
		successfulProbes: 0,
	};
}

/** Records how a task ended. `expectedMs` is the service's learned mean run time. */
export function recordOutcome(
	executor: ExecutorState,
	outcome: SlotOutcome,
	expectedMs: number,
): void {
	if (outcome.result === 'unused') {
		return;
	}

	const hasSucceeded = outcome.result === 'done';
	executor.failureRate +=
		failureWeight * (Number(!hasSucceeded) - executor.failureRate);
	if (hasSucceeded) {
		recordSpeed(executor, Math.max(outcome.runMs, 0.01) / expectedMs);
	}

	if (executor.isEjected) {
		executor.successfulProbes = hasSucceeded
			? executor.successfulProbes + 1
			: 0;
	}
}

function recordSpeed(executor: ExecutorState, ratio: number): void {
	executor.speedSamples += 1;
	const weight = Math.max(1 / executor.speedSamples, minSpeedWeight);
	executor.logSlowness += weight * (Math.log(ratio) - executor.logSlowness);
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
		logSlowness: findMedian(
			peers
				.filter((peer) => peer.speedSamples >= minSpeedSamples)
				.map((peer) => peer.logSlowness),
		),
		failureRate: findMedian(peers.map((peer) => peer.failureRate)),
	};
	let ejectedCount = peers.filter((peer) => peer.isEjected).length;
	for (const executor of peers) {
		const isEjectionLimitReached =
			ejectedCount + 1 > peers.length * maxEjectedShare;
		const wasEjected = executor.isEjected;
		judgeExecutor(executor, median, {
			now,
			isEjectionLimitReached,
		});
		ejectedCount += Number(executor.isEjected) - Number(wasEjected);
	}
}

type Median = {logSlowness: number; failureRate: number};

function judgeExecutor(
	executor: ExecutorState,
	median: Median,
	{now, isEjectionLimitReached}: {now: number; isEjectionLimitReached: boolean},
): void {
	const {logSlowness, speedSamples} = executor;
	const confidence = speedSamples / (speedSamples + halfTrustSamples);
	executor.slowRatio = Math.exp(
		(logSlowness - median.logSlowness) * confidence,
	);
	if (executor.isEjected) {
		const isTooSlow =
			Math.exp(logSlowness - median.logSlowness) >= keepEjectedRatio;
		if (executor.successfulProbes < probesToRestore || isTooSlow) {
			return;
		}

		restoreExecutor(executor);
	}

	const slots = isSlow(executor)
		? Math.floor(executor.slots / executor.slowRatio ** 2)
		: executor.slots;
	const isUnfit = isFailing(executor, median) || slots === 0;
	if (isUnfit && !isEjectionLimitReached) {
		executor.isEjected = true;
		executor.successfulProbes = 0;
		executor.probeAt = now + executor.probeIntervalMs;
		// The speed is learned again from the probes: old samples would keep the executor ejected
		// after it recovers.
		executor.speedSamples = 0;
		executor.logSlowness = 0;
		executor.slotLimit = 0;
		return;
	}

	executor.slotLimit = Math.max(1, slots);
}

function restoreExecutor(executor: ExecutorState): void {
	executor.isEjected = false;
	executor.failureRate = 0;
	executor.probeIntervalMs = minProbeIntervalMs;
}

function isFailing(executor: ExecutorState, median: Median): boolean {
	return (
		executor.failureRate > ejectFailureRate &&
		executor.failureRate > ejectFailureFactor * median.failureRate
	);
}

function isSlow(executor: ExecutorState): boolean {
	const {slowRatio, speedSamples} = executor;
	const samples = Math.min(speedSamples, maxEvidenceSamples);
	return (
		slowRatio >= minSlowRatio &&
		samples >= minSpeedSamples &&
		Math.sqrt(samples) * Math.log(slowRatio) >= minSlowEvidence
	);
}

/** Records that a probe was sent, and doubles the wait until the next one, up to the maximum. */
export function recordProbe(executor: ExecutorState, now: number): void {
	executor.probeIntervalMs = Math.min(
		executor.probeIntervalMs * 2,
		maxProbeIntervalMs,
	);
	executor.probeAt = now + executor.probeIntervalMs;
}

function findMedian(values: readonly number[]): number {
	if (values.length === 0) {
		return 0;
	}

	const sorted = [...values].toSorted((a, b) => a - b);
	return sorted[Math.floor((sorted.length - 1) / 2)]!;
}
