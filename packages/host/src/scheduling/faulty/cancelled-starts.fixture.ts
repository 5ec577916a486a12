/**
Finds tasks that were started although their caller had been told that the job is cancelled.
*/

/** Starts are allowed for this long after the answer. */
const cancelLimitMs = 3000;

type Start = {job: string; index: number; executor: string; startedAt: number};

/** `confirmedAt`: when callers were told, by job; on the clock of the starts. */
export function findCancelledStarts(
	starts: readonly Start[],
	confirmedAt: ReadonlyMap<string, number>,
): string[] {
	return starts.flatMap(({job, index, executor, startedAt}) => {
		const afterMs = startedAt - (confirmedAt.get(job) ?? Infinity);
		return afterMs > cancelLimitMs
			? [`${job}/${index} on ${executor}, ${afterMs} ms after the answer`]
			: [];
	});
}
