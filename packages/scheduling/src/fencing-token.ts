/**
Fencing tokens of a group's holders. Executors obey the highest they have seen, so a new holder's
must be above all earlier ones, and no two holders may have the same: ends that one of them
acknowledged would be hidden from the other.

The store's revision of the holder's key gives the high part: it rises with every change. A host
that takes over while the store is down stays within the low part, above the last token it knows.
*/

/** Tokens between two revisions of the store, for takeovers without it. */
const tokensPerRevision = 64;

export function makeStoreToken(revision: number): number {
	return revision * tokensPerRevision;
}

/** `rank` is this host's place in the order of takeover, so that two hosts do not make the same. */
export function makeStorelessToken(lastToken: number, rank: number): number {
	return lastToken + 1 + Math.min(rank, 15);
}
