/**
Orders waiting jobs: which job's tasks are started first.

The queue's priority decides first, so that in a burst of long and short work urgent short jobs do not wait
behind long ones. Within a priority, a job that can still meet its objective goes before one that is late
already, which gains little by being hurried.

Within these, the order combines two rules. Least work first ends the most jobs in time when not all can be, but
makes middle-sized jobs wait until they are late even while there is capacity for all. Earliest latest-start first
does the opposite: nearly no job is late up to the capacity, and most are far beyond it. So a job's rank is its
latest start plus the time that one executor takes for its remaining work. Jobs that arrive later have later
starts, so a waiting job moves forward and none is passed over for ever.
*/

export type RankedJob = {
	priority: number;
	/** Remaining work of the whole job: tasks times milliseconds times thousandths of a core. */
	remainingWork: number;
	/** When its latency objective is missed, on the scheduler's clock. */
	dueAt: number;
	/** Estimated run time of one of its tasks, milliseconds. */
	estimateMs: number;
};

/** Whether a task started now would end after the objective. */
export function isLate(
	{dueAt, estimateMs}: Pick<RankedJob, 'dueAt' | 'estimateMs'>,
	now: number,
): boolean {
	return now + estimateMs > dueAt;
}

/** Size of a usual executor, thousandths of a core: the work that it does in a millisecond. */
const usualExecutorCpu = 32_000;

/** The latest start that is in time, plus the time that one executor takes for the remaining work. */
function computeRank({dueAt, estimateMs, remainingWork}: RankedJob): number {
	return dueAt - estimateMs + remainingWork / usualExecutorCpu;
}

/** Returns the jobs in the order of their starts; those of equal rank stay in their order. */
export function rankJobs<J extends RankedJob>(
	jobs: readonly J[],
	now: number,
): J[] {
	// Computed once for each job: a sort compares each of them many times.
	const keys = jobs.map((job) => ({
		job,
		priority: job.priority,
		lateness: Number(isLate(job, now)),
		rank: computeRank(job),
	}));
	return keys
		.toSorted(
			(a, b) =>
				a.priority - b.priority || a.lateness - b.lateness || a.rank - b.rank,
		)
		.map(({job}) => job);
}

/** Negative: a goes before b. */
export function compareJobs(a: RankedJob, b: RankedJob, now: number): number {
	if (a.priority !== b.priority) {
		return a.priority - b.priority;
	}

	const lateness = Number(isLate(a, now)) - Number(isLate(b, now));
	return lateness === 0 ? computeRank(a) - computeRank(b) : lateness;
}
