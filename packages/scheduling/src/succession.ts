/**
Whether a holder asks a host with far more processor to take its group over.

For fleets of unequal hosts. The scheduler is the one role that costs a host much, nearly all that the smallest hosts
have. A group that a small host has taken, because it
started first or the larger hosts were away, would stay there, and on the next busy seconds every job of the data
centre waits for it. The group changes hands as in a planned stop: nothing is lost, and entries hand their parts on.
*/

/** A host with less than this many times the holder's processor is no gain worth a change of hands. */
export const strongerFactor = 1.5;
/** A host that has just come may go again, and knows no executors yet: longer than its first lists take. */
export const yieldAfterMs = 3000;

export type Contender = {
	key: string;
	/** Processor cores that it may use. */
	cores: number;
};

export type Succession = {
	/** `strongest`: the first choice of the hosts that could hold the group; gives whom to ask. */
	choose: (
		strongest: Contender | undefined,
		holder: {ownCores: number; now: number},
	) => string | undefined;
};

/**
@example
const succession = createSuccession();
succession.choose({key: 'mieres_m1', cores: 1.35}, {ownCores: 0.3, now: 0}); // undefined: it may just have come
succession.choose({key: 'mieres_m1', cores: 1.35}, {ownCores: 0.3, now: yieldAfterMs}); // 'mieres_m1'
*/
export function createSuccession(): Succession {
	let seen: {key: string; since: number} | undefined;
	return {
		choose(strongest, {ownCores, now}) {
			if (!strongest || strongest.cores < strongerFactor * ownCores) {
				seen = undefined;
				return undefined;
			}

			if (seen?.key !== strongest.key) {
				seen = {key: strongest.key, since: now};
			}

			return now - seen.since >= yieldAfterMs ? seen.key : undefined;
		},
	};
}
