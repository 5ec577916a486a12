/**
The order in which a host dials its peers. After a loss of power all hosts dial each other while callers wait; their
jobs need connections to the hosts that hold groups, which are most likely those with the most processor.
*/

type Host = {
	/** Holds a group, as far as this host knows. */
	isHolder: boolean;
	/** Processor cores that it may use. */
	cores: number;
};

export type DialOrderContext = {
	own: Host;
	/** The most cores that any known host may use. */
	mostCores: number;
};

/**
Lower is dialled first. Infinity: the peer is in another data centre and neither of the two hosts is likely to hold a group, so
no job of one waits for the other.
*/
export function rankDial(
	{isNear, isHolder, cores}: Host & {isNear: boolean},
	{own, mostCores}: DialOrderContext,
): number {
	const farRank = isNear ? 0 : 1;
	if (isHolder) {
		return farRank;
	}

	if (cores >= mostCores) {
		return 2 + farRank;
	}

	const isOwnHolder = own.isHolder || own.cores >= mostCores;
	return isNear || isOwnHolder ? 4 + farRank : Infinity;
}
