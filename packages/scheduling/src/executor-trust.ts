/**
How far an executor is trusted, judged by how its runs end. An executor may report itself healthy and still fail
tasks, hang or be slow, which makes jobs fail or come late.

- After `doubtFailures` failures or overdue runs in a row the executor is doubted: it gets one task at a time, and only
  when no other executor has free capacity.
- After each further failure it gets no task for a while, longer each time. A failing run uses up one of the
  task's few attempts, and an executor that fails its runs at once always has free capacity, so it would attract tasks.
- One successful run at the usual speed ends the doubt.
*/

/** Failures, or overdue runs, in a row after which an executor is doubted: single ones are put down to the task. */
export const doubtFailures = 2;
/** First pause after a failure of a doubted executor; doubled with each further failure. */
const restMs = 400;
/** Longest pause: after it, an executor whose fault lasted a few seconds is tried again. */
const restCapMs = 3200;
/** An executor whose runs take more than this many times the expected time counts as slow. */
export const slowFactor = 1.7;
/** Weight of a new run in the moving average of the slowness. */
const slownessWeight = 0.35;
/** While no run ends on an executor, its measured slowness decays towards 1 with this half-life. */
const slownessHalfLifeMs = 2500;

export type ExecutorTrust = {
	failuresInRow: number;
	/** Runs that became overdue, including those moved elsewhere, since the last success at the usual speed. */
	overdue: number;
	/** Moving average of actual by expected run time; 1: as fast as expected. */
	slowness: number;
	/** The executor gets no start before this time; this host's clock. */
	restsUntil: number;
	/** When `slowness` was last updated; this host's clock. */
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

/** The slowness at `now`, decayed since it was last updated. */
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

/** To be called once for each run that becomes overdue. */
export function recordOverdue(trust: ExecutorTrust, now: number): void {
	trust.overdue += 1;
	trust.restsUntil = computeRest(trust.overdue, trust.restsUntil, now);
}

/** When the pause ends after `inRow` failures or overdue runs in a row. */
function computeRest(inRow: number, restsUntil: number, now: number): number {
	const beyond = inRow - doubtFailures;
	return beyond < 0
		? restsUntil
		: now + Math.min(restCapMs, restMs * 2 ** beyond);
}
