/**
Which waiting job's tasks go first.

For bursts of long and short work together: the queue's priority decides first, so that urgent
short jobs do not wait behind long ones. A job whose objective is still within reach goes
before one that is late already, which earns little more by being hurried.

Within these, two rules are weighed against each other. The job with the least work first ends the most
jobs in time when not all can be; but it lets middling jobs wait until they are late while there is room
for all. The job first whose start can wait the least does the opposite: nearly none is late up to
the capacity, and far beyond it most are. So each job's latest start is put off by its work, in the time that
one executor would take for it. A job that waits moves forward, so none is passed over for ever.
*/

export type RankedJob = {
	priority: number;
	/** Work left over the whole job: tasks, milliseconds and thousandths of a core multiplied. */
	work: number;
	/** When its latency objective passes, on the scheduler's clock. */
	dueAt: number;
	/** Run time of one of its tasks. */
	estimateMs: number;
};

/** Whether a task started now would end after the objective. */
export function isLate(
	{dueAt, estimateMs}: Pick<RankedJob, 'dueAt' | 'estimateMs'>,
	now: number,
): boolean {
	return now + estimateMs > dueAt;
}

/** Thousandths of a core: an executor of the usual size does that much work in a millisecond. */
const executorCpu = 32_000;

/** The latest start that is in time, put off by the time that one executor takes for the work left. */
function computeTurn({dueAt, estimateMs, work}: RankedJob): number {
	return dueAt - estimateMs + work / executorCpu;
}

/** Negative: a goes before b. */
export function compareJobs(a: RankedJob, b: RankedJob, now: number): number {
	if (a.priority !== b.priority) {
		return a.priority - b.priority;
	}

	const lateness = Number(isLate(a, now)) - Number(isLate(b, now));
	return lateness === 0 ? computeTurn(a) - computeTurn(b) : lateness;
}
