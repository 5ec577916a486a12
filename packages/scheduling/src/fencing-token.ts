/**
Fencing tokens of a group's holders. Executors obey the highest token they have seen, so a new holder's token must be
above all earlier ones. No two holders may have the same token: an executor discards ends that one of them has
acknowledged, and the other would never see them.

A token has three parts, from high to low: the store's revision of the holder's key, which rises with every change; the
number of the takeover without the store since then; and the slot of the host. A host that takes over while the store is
down raises the middle part above the last token it knows. Two hosts that can't reach each other may both do so; then
only the slots keep their tokens apart.
*/
import {createHash} from 'node:crypto';

const slotCount = 4096;
/** How many takeovers without the store fit between two of its revisions. */
const takeoversPerRevision = 64;

export function makeStoreToken(revision: number): number {
	return revision * takeoversPerRevision * slotCount;
}

/** The store's revision that the token was made of; undefined: the group was taken without the store since then. */
export function getStoreRevision(token: number): number | undefined {
	const revision = token / (takeoversPerRevision * slotCount);
	return Number.isInteger(revision) ? revision : undefined;
}

/**
The token for calls to an executor that has started again under its id `restartCount` times: below that of each later holder. A
token that was made without the store stays as it is, since the next numbers may be those of other hosts.
*/
export function makeProcessToken(token: number, restartCount: number): number {
	return getStoreRevision(token) === undefined
		? token
		: token + Math.min(restartCount, slotCount - 1);
}

/** The slot of a host: always the same for the same name, independent of which other hosts are alive. */
export function computeSlot(host: string): number {
	return createHash('sha256').update(host).digest().readUInt32BE(0) % slotCount;
}

/** A token above `lastToken` that differs from those of all hosts with another slot. */
export function makeStorelessToken(lastToken: number, slot: number): number {
	return (Math.floor(lastToken / slotCount) + 1) * slotCount + slot;
}
