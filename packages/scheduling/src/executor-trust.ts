/**
How far an executor is trusted, from how its tasks end: what it fails, lets stand still or slows
down costs jobs, however good its own word is.

- After `doubtFailures` failures or overdue runs in a row it is doubted: one task at a time, and only
  when no other executor has room.
- After each further failure it rests, longer each time. A task that fails there uses up one of
  few attempts, and an executor that fails at once has room all the time.
- One good end at a usual speed clears it.
*/

/** Failures, or overdue runs, in a row after which an executor is doubted: single ones are the tasks' own. */
export const doubtFailures = 2;
/** First rest after a failure in doubt; doubled with each. */
const restMs = 400;
/** Longest rest: a fault of a few seconds is over by then, and it is tried again. */
const restCapMs = 3200;
/** An executor that takes more than this many times as long as the others counts as slow. */
export const slowFactor = 1.7;
/** Weight of one more run in the slowness. */
const slownessWeight = 0.35;
/** While it gets nothing to do, half of an executor's slowness is forgotten in this time. */
const slownessHalfLifeMs = 2500;

export type ExecutorTrust = {
	failuresInRow: number;
	/** Runs now overdue, or moved away as overdue since the last good end. */
	overdue: number;
	/** Run times there against those expected; 1: as fast as the others. */
	slowness: number;
	/** No start before this time. */
	restsUntil: number;
	/** When slowness was last learned. */
	learnedAt: number;
};

export function createTrust(): ExecutorTrust {
	return {
		failuresInRow: 0,
		overdue: 0,
		slowness: 1,
		restsUntil: 0,
		learnedAt: 0,
	};
}

export function isDoubted({failuresInRow, overdue}: ExecutorTrust): boolean {
	return failuresInRow >= doubtFailures || overdue >= doubtFailures;
}

/** Slowness now: what was learned some time ago counts less. */
export function computeSlowness(
	{slowness, learnedAt}: ExecutorTrust,
	now: number,
): number {
	const share = 0.5 ** ((now - learnedAt) / slownessHalfLifeMs);
	return 1 + (slowness - 1) * share;
}

export function recordSuccess(
	trust: ExecutorTrust,
	{runMs, expectedMs, now}: {runMs: number; expectedMs: number; now: number},
): void {
	const ratio = runMs / Math.max(1, expectedMs);
	const before = computeSlowness(trust, now);
	trust.slowness = before + slownessWeight * (ratio - before);
	trust.learnedAt = now;
	trust.failuresInRow = 0;
	if (ratio < slowFactor) {
		trust.overdue = 0;
	}
}

export function recordFailure(trust: ExecutorTrust, now: number): void {
	trust.failuresInRow += 1;
	trust.restsUntil = computeRest(trust.failuresInRow, trust.restsUntil, now);
}

/** A run there is overdue. */
export function recordOverdue(trust: ExecutorTrust, now: number): void {
	trust.overdue += 1;
	trust.restsUntil = computeRest(trust.overdue, trust.restsUntil, now);
}

/** The end of the rest after so many bad ends in a row. */
function computeRest(inRow: number, restsUntil: number, now: number): number {
	const beyond = inRow - doubtFailures;
	return beyond < 0
		? restsUntil
		: now + Math.min(restCapMs, restMs * 2 ** beyond);
}
