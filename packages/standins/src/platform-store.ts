/**
A small key-value store with revisions, transactions, leases and watches, in memory: the state
behind the platform stand-in. Keys and values are base64 text, as on the wire.
*/

import {
	RefusedRequest,
	formatRange,
	isInRange,
	compareKeys,
	type Entry,
	type KeyRange,
	type StoreEvent,
	type WireCompare,
	type WireOperation,
	type WireReply,
	type WireTxn,
} from './platform-wire.js';

export type Listener = (events: StoreEvent[], revision: number) => void;

const targetFields = {
	MOD: 'mod_revision',
	CREATE: 'create_revision',
	VERSION: 'version',
} as const;

export class PlatformStore {
	revision = 1;
	/** Events below this revision are gone. */
	compactRevision = 0;
	readonly #entries = new Map<string, Entry>();
	readonly #history: StoreEvent[] = [];
	readonly #listeners = new Set<Listener>();
	readonly #leases = new Map<string, {ttl: number; timer: NodeJS.Timeout}>();
	#lastLease = 0;

	readRange({
		key,
		range_end: rangeEnd,
		min_mod_revision: minRevision = '0',
	}: KeyRange & {min_mod_revision?: string}): Entry[] {
		return [...this.#entries.values()]
			.filter((entry) => isInRange(entry.key, {key, range_end: rangeEnd}))
			.filter((entry) => entry.mod_revision >= Number(minRevision))
			.toSorted((a, b) => compareKeys(a.key, b.key));
	}

	/** Runs a transaction whole: all its writes get one revision. */
	commitTxn(txn: WireTxn): WireReply {
		this.#checkTxn(txn, new Set());
		const events: StoreEvent[] = [];
		const reply = this.#runTxn(txn, this.revision + 1, events);
		this.#publish(events);
		return {...reply, header: this.formatHeader()};
	}

	grantLease(ttl: number): {ID: string; TTL: string} {
		const id = String(++this.#lastLease);
		this.#leases.set(id, {ttl, timer: this.#startTimer(id, ttl)});
		return {ID: id, TTL: String(ttl)};
	}

	keepLease(id: string): {ID: string; TTL: string} {
		const lease = this.#leases.get(id);
		if (!lease) {
			return {ID: id, TTL: '0'};
		}

		clearTimeout(lease.timer);
		lease.timer = this.#startTimer(id, lease.ttl);
		return {ID: id, TTL: String(lease.ttl)};
	}

	/** Ends a lease: its keys are deleted. */
	revokeLease(id: string): void {
		clearTimeout(this.#leases.get(id)?.timer);
		this.#leases.delete(id);
		const events = [...this.#entries.values()]
			.filter((entry) => entry.lease === id)
			.map(({key}) => this.#deleteKey(key, this.revision + 1));
		this.#publish(events);
	}

	/** Forgets the events up to now: watches from an earlier revision are refused. */
	compact(): void {
		this.compactRevision = this.revision;
		this.#history.length = 0;
	}

	readHistory(range: KeyRange, fromRevision: number): StoreEvent[] {
		return this.#history.filter(
			({kv}) => kv.mod_revision >= fromRevision && isInRange(kv.key, range),
		);
	}

	subscribe(listener: Listener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	formatHeader(): {revision: string} {
		return {revision: String(this.revision)};
	}

	close(): void {
		for (const {timer} of this.#leases.values()) {
			clearTimeout(timer);
		}
	}

	#startTimer(id: string, ttl: number): NodeJS.Timeout {
		return setTimeout(() => {
			this.revokeLease(id);
		}, ttl * 1000).unref();
	}

	/** Refuses what the real service refuses: a lease that isn't there, a key put twice. */
	#checkTxn({success = [], failure = []}: WireTxn, keys: Set<string>): void {
		for (const {request_put: put, request_txn: txn} of [
			...success,
			...failure,
		]) {
			if (put?.lease && put.lease !== '0' && !this.#leases.has(put.lease)) {
				throw new RefusedRequest('etcdserver: requested lease not found');
			}

			if (put && keys.has(put.key)) {
				throw new RefusedRequest('etcdserver: duplicate key given in txn');
			}

			if (put) {
				keys.add(put.key);
			}

			if (txn) {
				this.#checkTxn(txn, keys);
			}
		}
	}

	#runTxn(txn: WireTxn, revision: number, events: StoreEvent[]): WireReply {
		const succeeded = (txn.compare ?? []).every((compare) =>
			this.#holds(compare),
		);
		const operations = (succeeded ? txn.success : txn.failure) ?? [];
		return {
			header: this.formatHeader(),
			// Like the real gateway, false is left out.
			...(succeeded && {succeeded}),
			responses: operations.map((operation) =>
				this.#runOperation(operation, revision, events),
			),
		};
	}

	#runOperation(
		operation: WireOperation,
		revision: number,
		events: StoreEvent[],
	): WireReply {
		if (operation.request_put) {
			events.push(this.#putKey(operation.request_put, revision));
			return {response_put: {header: this.formatHeader()}};
		}

		if (operation.request_delete_range) {
			const found = this.readRange(operation.request_delete_range);
			events.push(...found.map(({key}) => this.#deleteKey(key, revision)));
			return {response_delete_range: {deleted: String(found.length)}};
		}

		if (operation.request_txn) {
			return {
				response_txn: this.#runTxn(operation.request_txn, revision, events),
			};
		}

		const kvs = this.readRange(operation.request_range!);
		return {response_range: formatRange(this.formatHeader(), kvs)};
	}

	#holds({key, target = 'VERSION', result = 'EQUAL', ...given}: WireCompare) {
		const field = targetFields[target];
		const actual = this.#entries.get(key)?.[field] ?? 0;
		const wanted = Number(given[field] ?? 0);
		switch (result) {
			case 'EQUAL': {
				return actual === wanted;
			}

			case 'NOT_EQUAL': {
				return actual !== wanted;
			}

			case 'GREATER': {
				return actual > wanted;
			}

			case 'LESS': {
				return actual < wanted;
			}
		}
	}

	#putKey(
		{
			key,
			value = '',
			lease = '0',
		}: {key: string; value?: string; lease?: string},
		revision: number,
	): StoreEvent {
		const old = this.#entries.get(key);
		const entry: Entry = {
			key,
			value,
			create_revision: old?.create_revision ?? revision,
			mod_revision: revision,
			version: (old?.version ?? 0) + 1,
			lease,
		};
		this.#entries.set(key, entry);
		return {type: 'PUT', kv: entry};
	}

	#deleteKey(key: string, revision: number): StoreEvent {
		this.#entries.delete(key);
		return {
			type: 'DELETE',
			kv: {
				key,
				value: '',
				create_revision: 0,
				mod_revision: revision,
				version: 0,
				lease: '0',
			},
		};
	}

	#publish(events: StoreEvent[]): void {
		if (events.length === 0) {
			return;
		}

		this.revision++;
		this.#history.push(...events);
		for (const listener of this.#listeners) {
			listener(events, this.revision);
		}
	}
}
