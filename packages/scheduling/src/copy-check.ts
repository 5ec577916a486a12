/**
What an entry knows about other copies of a job, at other entries or from an earlier submission here, before it places the job's tasks.
*/
import {type TokenRange} from '@gentianshift/protocol';

/** A group in which tasks of another copy may run. */
export type CopyPlace = {
	group: string;
	/** Fencing tokens of the first and the last holder that those tasks were sent to. */
	tokens: TokenRange;
	/** From this time on none of those tasks runs, whatever happens to the holder; this host's steady clock. */
	stoppedBy: number;
	/** An entry confirmed that it sent tasks there; false: an entry that is lost may have sent some. */
	isSure: boolean;
};

export type CopyCheck = {
	/** When the groups were asked; cleared once the job's tasks are first placed. */
	askedAt?: number;
	/** Groups that have yet to confirm that no other copy runs there. */
	groupsToConfirm: Set<string>;
	/** By group. Only a holder whose token is at least the last token of the place can confirm that the copy has stopped. */
	places: Map<string, CopyPlace>;
	/** Hosts whose entries have yet to answer, and when their time to answer ends; undefined: no entry was asked. */
	hostsToAnswer?: Map<string, number>;
	hostsAnswered: Set<string>;
	/** From then on no host is waited for that connects for the first time; undefined: no entry was asked. */
	newHostsAwaitedUntil?: number;
};

export function createCopyCheck(now: number): CopyCheck {
	return {
		askedAt: now,
		groupsToConfirm: new Set(),
		places: new Map(),
		hostsAnswered: new Set(),
	};
}

/** Combines two places in the same group: the result has ended only when both have, since a holder of either may run tasks. */
export function joinPlaces(
	place: CopyPlace | undefined,
	other: CopyPlace | undefined,
): CopyPlace | undefined {
	if (!place || !other) {
		return place ?? other;
	}

	const [first, last] = place.tokens;
	const [otherFirst, otherLast] = other.tokens;
	return {
		group: place.group,
		tokens: [Math.min(first, otherFirst), Math.max(last, otherLast)],
		stoppedBy: Math.max(place.stoppedBy, other.stoppedBy),
		isSure: place.isSure || other.isSure,
	};
}
