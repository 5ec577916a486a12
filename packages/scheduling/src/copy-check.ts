/**
What an entry knows of other copies of a job before it places the job's tasks.
*/
import {type TokenRange} from '@gentianshift/protocol';

/** A group where tasks of another copy may run. */
export type CopyPlace = {
	group: string;
	/** Of the holders that were told of them. */
	tokens: TokenRange;
	/** Nothing of them runs from then on, whatever becomes of the holder; this host's clock. */
	overAt: number;
	/** An entry says that it handed tasks there; else one that is lost may have. */
	isSure: boolean;
};

export type CopyCheck = {
	/** When the groups were asked, until the job's tasks are first placed. */
	askedAt?: number;
	/** Groups that have yet to confirm that no other copy runs there. */
	groupsToConfirm: Set<string>;
	/** By group; only a holder that these tokens do not outdate can tell. */
	places: Map<string, CopyPlace>;
	/** Hosts whose entries have yet to answer, and until when they may; undefined: none was asked. */
	hostsToAnswer?: Map<string, number>;
	hostsAnswered: Set<string>;
};

export function createCopyCheck(now: number): CopyCheck {
	return {
		askedAt: now,
		groupsToConfirm: new Set(),
		places: new Map(),
		hostsAnswered: new Set(),
	};
}

/** Both are to be over, as a holder of either may run something. */
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
		overAt: Math.max(place.overAt, other.overAt),
		isSure: place.isSure || other.isSure,
	};
}
