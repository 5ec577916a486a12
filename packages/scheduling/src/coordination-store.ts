/**
The small key-value store that hosts find one another in and that arbitrates who holds a group.
Implemented by the platform's adapter and by stand-ins.

It is slow, down or lying at times. A call without an answer may have been carried out, or may be
later; keys under a lease may vanish early.
*/
import {type ResultAsync} from 'neverthrow';

export type StoreItem = {key: string; value: string; revision: number};

/**
- `unavailable`: nothing was done, or the call was a read.
- `unknown-outcome`: a change may have been made.
- `conflict`: a condition of the change does not hold.
- `no-lease`: the lease has ended.
- `compacted`: the history asked for is gone: read all again.
*/
export type StoreFailure = {
	code:
		| 'unavailable'
		| 'unknown-outcome'
		| 'conflict'
		| 'no-lease'
		| 'compacted'
		| 'rejected';
	message: string;
};

export type StoreChange = {
	/** Revision 0: the key must not exist. */
	expected?: Array<{key: string; revision: number}>;
	write?: Array<{key: string; value: string; leaseId: number}>;
	remove?: string[];
};

export type StoreEvent =
	| {type: 'put'; item: StoreItem}
	| {type: 'delete'; key: string; revision: number};

export type CoordinationStore = {
	/** `mayBeStale`: a read that is cheaper and may be seconds old. */
	readPrefix: (
		prefix: string,
		options?: {mayBeStale?: boolean},
	) => ResultAsync<{items: StoreItem[]; revision: number}, StoreFailure>;
	/** Undefined: no such key. */
	readKey: (key: string) => ResultAsync<StoreItem | undefined, StoreFailure>;
	/** Events after a revision; empty when there was none within the wait. */
	watchPrefix: (
		prefix: string,
		afterRevision: number,
		waitMs: number,
	) => ResultAsync<{events: StoreEvent[]; revision: number}, StoreFailure>;
	/** All of it or nothing; gives the new revision. */
	commit: (
		change: StoreChange,
	) => ResultAsync<{revision: number}, StoreFailure>;
	createLease: (ttlMs: number) => ResultAsync<{leaseId: number}, StoreFailure>;
	renewLease: (leaseId: number) => ResultAsync<void, StoreFailure>;
	endLease: (leaseId: number) => ResultAsync<void, StoreFailure>;
	/** When the store last answered, on this host's clock; undefined: never. */
	getAnsweredAt: () => number | undefined;
	close: () => Promise<void>;
};
