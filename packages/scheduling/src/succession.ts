/**
Decides whether a holder asks a host with far more processor to take over its group.

For hosts of unequal size. The scheduler is the one role that needs much of a host: nearly all the processor of
the smallest ones. Without this, a group that a small host took, because it started first or the larger hosts
were down, would stay there, and at the next peak every job of the data centre would wait for it. The group
changes hands as in a planned stop: nothing is lost, and entries hand their parts to the new holder.
*/

/** A host with less than this many times the holder's processor is no gain worth a change of holder. */
export const minCoresRatio = 1.5;
/**
How long the stronger host has to be there before it is asked. A host that has just started may stop again, and
knows no executors yet: reading its first lists takes less than this.
*/
export const successorMinUpMs = 3000;

export type SuccessorCandidate = {
	key: string;
	/** Processor cores that the host may use. */
	cores: number;
};

export type Succession = {
	/** Returns the host to ask, or undefined. `strongest`: the first choice of the hosts that could hold the group. */
	choose: (
		strongest: SuccessorCandidate | undefined,
		holder: {ownCores: number; now: number},
	) => string | undefined;
};

/**
@example
const succession = createSuccession();
succession.choose({key: 'mieres_m1', cores: 1.35}, {ownCores: 0.3, now: 0}); // undefined: it may have just started
succession.choose({key: 'mieres_m1', cores: 1.35}, {ownCores: 0.3, now: successorMinUpMs}); // 'mieres_m1'
*/
export function createSuccession(): Succession {
	let candidate: {key: string; since: number} | undefined;
	return {
		choose(strongest, {ownCores, now}) {
			if (!strongest || strongest.cores < minCoresRatio * ownCores) {
				candidate = undefined;
				return undefined;
			}

			if (candidate?.key !== strongest.key) {
				candidate = {key: strongest.key, since: now};
			}

			return now - candidate.since >= successorMinUpMs
				? candidate.key
				: undefined;
		},
	};
}
