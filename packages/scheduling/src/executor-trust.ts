/**
How far an executor is trusted, judged by how its runs end. An executor may report itself healthy and still fail
tasks, hang or be slow, which makes jobs fail or come late.

- After `doubtThreshold` failures or overdue runs in a row the executor is doubted: it gets one task at a time, and only
  when no other executor has free capacity.
- After each further failure it gets no task for a while, longer each time. A failing run uses up one of the
  task's few attempts, and an executor that fails its runs at once always has free capacity, so it would attract tasks.
- One successful run at the usual speed ends the doubt.
*/

/** Failures, or overdue runs, in a row after which an executor is doubted: single ones are put down to the task. */
export const doubtThreshold = 2;
/** First pause after a failure of a doubted executor; doubled with each further failure. */
const firstPauseMs = 400;
/** Longest pause: after it, an executor whose fault lasted a few seconds is tried again. */
const longestPauseMs = 3200;
/** An executor whose runs take more than this many times the expected time counts as slow. */
export const slowFactor = 1.7;
/** Weight of a new run in the moving average of the slowness. */
const slownessWeight = 0.35;
/** While no run ends on an executor, its measured slowness decays towards 1 with this half-life. */
const slownessHalfLifeMs = 2500;

export type ExecutorTrust = {
	failuresInRow: number;
	/** Runs that became overdue, including those moved elsewhere, since the last success at the usual speed. */
	overdueRuns: number;
	/** Moving average of actual by expected run time; 1: as fast as expected. */
	slowness: number;
	/** The executor gets no start before this time; this host's clock. */
	pausedUntil: number;
	/** When `slowness` was last updated; this host's clock. */
	slownessUpdatedAt: number;
};

export function createTrust(): ExecutorTrust {
	return {
		failuresInRow: 0,
		overdueRuns: 0,
		slowness: 1,
		pausedUntil: 0,
		slownessUpdatedAt: 0,
	};
}

export function isDoubted({
	failuresInRow,
	overdueRuns,
}: ExecutorTrust): boolean {
	return failuresInRow >= doubtThreshold || overdueRuns >= doubtThreshold;
}

/** The slowness at `now`, decayed since it was last updated. */
export function computeSlowness(
	{slowness, slownessUpdatedAt}: ExecutorTrust,
	now: number,
): number {
	const remainingShare =
		0.5 ** ((now - slownessUpdatedAt) / slownessHalfLifeMs);
	return 1 + (slowness - 1) * remainingShare;
}

export function recordSuccess(
	trust: ExecutorTrust,
	{runMs, expectedMs, now}: {runMs: number; expectedMs: number; now: number},
): void {
	const ratio = runMs / Math.max(1, expectedMs);
	const formerSlowness = computeSlowness(trust, now);
	trust.slowness = formerSlowness + slownessWeight * (ratio - formerSlowness);
	trust.slownessUpdatedAt = now;
	trust.failuresInRow = 0;
	if (ratio < slowFactor) {
		trust.overdueRuns = 0;
	}
}

export function recordFailure(trust: ExecutorTrust, now: number): void {
	trust.failuresInRow += 1;
	trust.pausedUntil = computePauseEnd(
		trust.failuresInRow,
		trust.pausedUntil,
		now,
	);
}

/** To be called once for each run that becomes overdue. */
export function recordOverdue(trust: ExecutorTrust, now: number): void {
	trust.overdueRuns += 1;
	trust.pausedUntil = computePauseEnd(
		trust.overdueRuns,
		trust.pausedUntil,
		now,
	);
}

/** When the pause ends after `inRow` failures or overdue runs in a row. */
function computePauseEnd(
	inRow: number,
	pausedUntil: number,
	now: number,
): number {
	const aboveThreshold = inRow - doubtThreshold;
	return aboveThreshold < 0
		? pausedUntil
		: now + Math.min(longestPauseMs, firstPauseMs * 2 ** aboveThreshold);
}
