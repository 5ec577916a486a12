/**
Decides whether the loss of an executor, a crash or a silence, is evidence against the tasks that ran there.

One task, or several tasks of one job, can only take down executors that ran that job. When several executors are
lost within seconds and no job ran on more than one of them, or nothing ran there, the cause is outside of the
tasks: a restart of the executors, a power failure, a network fault.

Some executors may restart again and again while the others are sound. Their losses say nothing about an executor
that has been up for a while, so such a loss is compared only with others of this kind.
*/

/** Losses this far apart are judged together: several restarts of executors that go down and up each second. */
const waveWindowMs = 3000;
/**
Number of further losses without a job in common that make a wave. Fewer could be caused by as many jobs that crash
their executors at the same time.
*/
const minIndependentLosses = 3;

/** An executor that restarts again and again is up for less than this each time. */
export const steadyUptimeMs = 2000;

export type ExecutorLoss = {
	/** The process that was lost; a restarted executor is another one. */
	executor: string;
	at: number;
	/** Jobs of the runs that may have caused the loss; empty: nothing ran there. */
	jobs: ReadonlySet<string>;
	/** The executor had been up for `steadyUptimeMs`. */
	isSteady: boolean;
};

/** Whether the loss is part of a wave and says nothing about the tasks that ran on the executor. */
export function isInWave(
	loss: ExecutorLoss,
	losses: Iterable<ExecutorLoss>,
): boolean {
	const others = [...losses].filter(
		({executor, at, isSteady}) =>
			executor !== loss.executor &&
			Math.abs(at - loss.at) <= waveWindowMs &&
			(isSteady || !loss.isSteady),
	);
	return countIndependent(others, loss.jobs) >= minIndependentLosses;
}

/** Whether the loss is too old to be judged together with one at `now`. */
export function isPastWave({at}: ExecutorLoss, now: number): boolean {
	return now - at > waveWindowMs;
}

/** Counts losses that share no job with each other nor with `jobs`: a lower bound, as they are picked greedily. */
function countIndependent(
	losses: readonly ExecutorLoss[],
	jobs: ReadonlySet<string>,
): number {
	const seen = new Set(jobs);
	let count = 0;
	for (const loss of losses.toSorted((a, b) => a.jobs.size - b.jobs.size)) {
		if ([...loss.jobs].every((job) => !seen.has(job))) {
			count += 1;
			for (const job of loss.jobs) {
				seen.add(job);
			}
		}
	}

	return count;
}
