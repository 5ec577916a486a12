/**
The order of waiting jobs: least remaining work first, with ageing.

A job's rank is the time for which others may overtake it, less the time that it has waited; the lowest
rank is served first. The time for which others may overtake it is `ageingFactor` times its remaining work
spread over all slots (its run time alone in an empty system). All ranks fall at the same rate, so
waiting alone never changes the order of two jobs, and a sorted list stays sorted.
*/

/**
Smaller jobs may overtake a job for this many times its run time in an empty system. Without a limit, a
stream of short jobs would starve a long one. With a small limit, the order would be first come, first
served, and a long job would delay a hundred short ones.
*/
export const ageingFactor = 100;

/** The waiting job's rank must be better by this factor before an owner gives up a slot for it. */
export const reuseRankFactor = 2;

/** Below this difference in rank an owner keeps its slot: the message and idle time would cost more. */
export const minReuseLeadMs = 20;

/** The fields of a job that determine its rank; `taskMs` is the run time of one task. */
export type RankInput = {remaining: number; taskMs: number; waitedMs: number};

/** Milliseconds for which a job may still be overtaken; negative once it has waited longer. */
export function rankJob(input: RankInput, slots: number): number {
	const workMs = input.remaining * input.taskMs;
	return (ageingFactor * workMs) / Math.max(1, slots) - input.waitedMs;
}

/**
Returns true if an owner keeps a lent slot for its job's next task, and false if it releases the slot for
the keeper's best waiting job, whose rank is `bestWaitingRank` (undefined if none waits). A 1,700-task job
that kept its slots to its end would block short jobs for seconds. The required lead prevents two jobs
of similar rank from passing a slot back and forth, at the cost of a message each time.
*/
export function keepsSlot(
	ownRank: number,
	bestWaitingRank: number | undefined,
): boolean {
	if (bestWaitingRank === undefined) {
		return true;
	}

	const lead = ownRank - bestWaitingRank;
	const minLead = Math.max(
		minReuseLeadMs,
		Math.abs(ownRank) * (1 - 1 / reuseRankFactor),
	);
	return lead < minLead;
}
