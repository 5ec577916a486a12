/**
Decides whether and when a host takes over a group whose holder is killed, frozen, stopped or cut off.

All candidate hosts compute the same ranking. The first takes the group over at once; each further one waits one step
longer. So two hosts rarely try at the same time, and a first host that fails is followed by the next. If two do try,
the store's conditional write and the executors' fencing tokens decide between them.
*/

/** A holder whose state was not received for this long counts as gone: four state messages are missing. */
export const holderSilenceMs = 700;
/**
A holder that the store has not answered for this long can't see executors join and leave: another host takes over.
*/
export const storeSilenceMs = 2500;
/** Delay between one rank and the next: the store calls of one takeover, with a margin for a slow answer. */
export const rankStepMs = 300;
/**
Further delay while the store can't be reached: nothing arbitrates then, and a short outage should change no holder.
*/
export const storelessDelayMs = 1200;

export type HolderView = {
	/** The holder's state as last received; undefined: no holder is known. */
	holder?: {
		isSelf: boolean;
		isReleased: boolean;
		isLeaving: boolean;
		silentMs: number;
		storeAgeMs: number;
	};
	/** Time since the store last answered this host, milliseconds. */
	ownStoreAgeMs: number;
	/** This host has read executor lists for as long as executors need to restore registrations that lapsed. */
	isOwnListComplete: boolean;
};

/**
Whether the group needs another holder, as far as this host can see.

A holder that has lost the store is replaced only by a host whose executor list is complete. Right after a store outage
one host reaches the store before the others do. Executors' registrations have lapsed meanwhile; the holder still
knows the executors, while a successor would find none of them listed.
*/
export function isVacant({
	holder,
	ownStoreAgeMs,
	isOwnListComplete,
}: HolderView): boolean {
	if (!holder) {
		return true;
	}

	if (holder.isSelf) {
		return false;
	}

	const hasLostStore =
		holder.storeAgeMs > storeSilenceMs &&
		ownStoreAgeMs < storeSilenceMs / 2 &&
		isOwnListComplete;
	return (
		holder.isReleased ||
		holder.isLeaving ||
		holder.silentMs > holderSilenceMs ||
		hasLostStore
	);
}

/**
How long the group has to be vacant before the host of this rank (0 is first) tries to take it over, milliseconds.
*/
export function computeTakeoverDelay(
	rank: number,
	{isStoreReached}: {isStoreReached: boolean},
): number {
	return rank * rankStepMs + (isStoreReached ? 0 : storelessDelayMs);
}
