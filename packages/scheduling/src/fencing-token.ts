/**
Fencing tokens of a group's holders. Executors obey the highest they have seen, so a new holder's
must be above all earlier ones, and no two holders may have the same: ends that one of them
acknowledged would be hidden from the other.

The store's revision of the holder's key gives the high part: it rises with every change. A host
that takes over while the store is down stays within the low part, above the last token it knows: the next takeover, in a slot
of its own. Two hosts that can't reach each other may both take over, each above what it has heard; only the slot tells their tokens apart.
*/
import {createHash} from 'node:crypto';

const slots = 4096;
/** Takeovers without the store between two of its revisions. */
const takeoversPerRevision = 64;

export function makeStoreToken(revision: number): number {
	return revision * takeoversPerRevision * slots;
}

/** The same for a host whenever it is asked, whoever else lives. */
export function computeSlot(host: string): number {
	return createHash('sha256').update(host).digest().readUInt32BE(0) % slots;
}

/** Above the last token, and unlike that of any host with another slot. */
export function makeStorelessToken(lastToken: number, slot: number): number {
	return (Math.floor(lastToken / slots) + 1) * slots + slot;
}
