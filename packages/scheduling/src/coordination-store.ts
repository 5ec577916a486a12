/**
The key-value store through which hosts discover one another and which arbitrates who holds a group.
Implemented by the platform's adapter and by test doubles.

The store can be slow, down or return wrong data. A call without an answer may have been carried out, or may be
carried out later. Keys under a lease may be removed before the lease ends.
*/
import {type ResultAsync} from 'neverthrow';

export type StoreItem = {key: string; value: string; revision: number};

/**
- `unavailable`: nothing was changed, or the call was a read.
- `unknown-outcome`: the change may have been made.
- `conflict`: an expected revision of the change does not match.
- `no-lease`: the lease has ended.
- `compacted`: the store no longer has the history from that revision: read the prefix again.
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
	/**
	`mayBeStale`: allows a cheaper read whose result may be seconds old. `revision`: all changes up to it are in the result, later ones may
	be.
	*/
	readPrefix: (
		prefix: string,
		options?: {mayBeStale?: boolean},
	) => ResultAsync<{items: StoreItem[]; revision: number}, StoreFailure>;
	/** Undefined: the key does not exist. */
	readKey: (key: string) => ResultAsync<StoreItem | undefined, StoreFailure>;
	/** Events after the revision; empty if none occurred within `waitMs`. */
	watchPrefix: (
		prefix: string,
		afterRevision: number,
		waitMs: number,
	) => ResultAsync<{events: StoreEvent[]; revision: number}, StoreFailure>;
	/** Applies the whole change or none of it; returns the new revision. */
	commit: (
		change: StoreChange,
	) => ResultAsync<{revision: number}, StoreFailure>;
	createLease: (ttlMs: number) => ResultAsync<{leaseId: number}, StoreFailure>;
	renewLease: (leaseId: number) => ResultAsync<void, StoreFailure>;
	endLease: (leaseId: number) => ResultAsync<void, StoreFailure>;
	/** When the store last answered, on this host's clock; undefined: it has not answered yet. */
	getAnsweredAt: () => number | undefined;
	close: () => Promise<void>;
};
