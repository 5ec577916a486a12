/**
The order of waiting work: least remaining work first, with ageing.

A job's rank is the time it may be overtaken for, less the time it has waited; lower goes first.
The first part is its remaining work spread over all slots (what it would take alone in an
empty system) times a constant. As time passes all ranks fall alike, so the order of two jobs
never changes by waiting alone, and a sorted list stays sorted.
*/

/**
How many times its own ideal run time a job is overtaken by smaller ones. For long jobs beside
short ones: without a limit a stream of short jobs starves a long one for ever; with a small
one the order is first come, first served, and a long job delays a hundred short ones.
*/
export const ageingFactor = 100;

/** How far ahead a waiting job must be before a held slot changes hands: this factor in rank. */
export const reuseFactor = 2;

/** Below this lead, milliseconds, a slot isn't handed over: the message and idle time cost more. */
export const reuseMarginMs = 20;

/** A job as ranked: work in milliseconds of one slot. */
export type RankInput = {remaining: number; taskMs: number; waitedMs: number};

/** Milliseconds that a job may still be overtaken for; negative once it has waited longer. */
export function rankJob(input: RankInput, slots: number): number {
	const workMs = input.remaining * input.taskMs;
	return (ageingFactor * workMs) / Math.max(1, slots) - input.waitedMs;
}

/**
Whether an owner keeps a lent slot for its job's next task, or gives it back for the keeper's
best waiting job. For long jobs that hold many slots while short ones wait: kept to its end, a
slot of a 1,700-task job would be gone for seconds. The margin prevents that two jobs of like
rank pass a slot to and fro, at a message each.
*/
export function chooseReuse(
	ownRank: number,
	headRank: number | undefined,
): boolean {
	if (headRank === undefined) {
		return true;
	}

	const lead = ownRank - headRank;
	const leastLead = Math.max(
		reuseMarginMs,
		Math.abs(ownRank) * (1 - 1 / reuseFactor),
	);
	return lead < leastLead;
}
