/**
This host's entry in the store, under a lease that it renews, and the list of all hosts' entries.

What goes wrong: the lease lapses while the store is away or this host is paused, or the store
drops the key and no call shows it. Then hosts that start later do not find this one. Noticed by
the renewal that says the lease has ended, or by a list without this host; either way the entry is
written anew.

A list that is asked for after the own entry was written, and is not stale, names all whose entries were
written before. So of two hosts the one that wrote later finds the other, which learns of it by the
connection; hosts that read once and write afterwards can all miss one another.
*/
import {ResultAsync, err, ok, okAsync, type Result} from 'neverthrow';
import {z} from 'zod';
import {knownHostSchema, type KnownHost} from '@gentianshift/membership';
import {hostAddressSchema} from '@gentianshift/resources';
import {
	type CoordinationStore,
	type StoreFailure,
	type StoreItem,
} from '@gentianshift/scheduling';
import {createOnceLog} from '@gentianshift/telemetry';
import {repeat, retryPausesMs} from '../timers.js';

const prefix = 'gentianshift/hosts/';
/** A host that is gone is dialled no longer than this and its last renewals. */
const leaseTtlMs = 5000;
/** Three renewals may fail before the lease lapses. */
const renewEveryMs = 1200;

export type HostPresence = {
	/** The lease that keys of this host are written under; undefined: none now. */
	getLeaseId: () => number | undefined;
	fetchHosts: () => ResultAsync<KnownHost[], StoreFailure>;
	start: (signal: AbortSignal) => void;
	/** Takes the entry back at a planned stop. */
	end: () => Promise<void>;
};

export function createHostPresence({
	self,
	store,
	random,
	onEntered,
	log,
}: {
	self: KnownHost;
	store: CoordinationStore;
	random: () => number;
	/** The entry was written, or may have been: the next list names all that cannot know of it. */
	onEntered: () => void;
	log: (message: string, fields: Record<string, unknown>) => void;
}): HostPresence {
	const key = `${prefix}${self.name}`;
	const logOnce = createOnceLog(log);
	let leaseId: number | undefined;
	let isEnded = false;
	/** How often the entry was written, and how often it had been when a list that is not stale was asked for. */
	let timesEntered = 0;
	let timesCovered = 0;

	function markEntered(): void {
		timesEntered += 1;
		onEntered();
	}

	function enter(): ResultAsync<void, StoreFailure> {
		return store
			.createLease(leaseTtlMs)
			.andThen((lease) =>
				store
					.commit({
						write: [{key, value: JSON.stringify(self), leaseId: lease.leaseId}],
					})
					.andTee(() => {
						leaseId = lease.leaseId;
						log('host entered in the store', {leaseId});
						markEntered();
					})
					.orTee(({code}) => {
						if (code === 'unknown-outcome') {
							markEntered();
						}
					}),
			)
			.map(() => undefined);
	}

	async function renew(): Promise<void> {
		if (isEnded) {
			return;
		}

		const result = await (leaseId === undefined
			? enter()
			: store.renewLease(leaseId));
		if (result.isErr()) {
			log('lease of this host is not renewed', {
				code: result.error.code,
				reason: result.error.message,
			});
			if (result.error.code === 'no-lease') {
				leaseId = undefined;
				await enter();
			}
		}
	}

	return {
		getLeaseId: () => leaseId,
		fetchHosts() {
			const timesBefore = timesEntered;
			return store
				.readPrefix(prefix, {mayBeStale: timesBefore === timesCovered})
				.andThen(({items}) => {
					timesCovered = Math.max(timesCovered, timesBefore);
					const hosts = items.flatMap((item) => readHost(item));
					const isMissing =
						leaseId !== undefined &&
						!isEnded &&
						timesBefore === timesEntered &&
						hosts.every(({name}) => name !== self.name);
					return isMissing ? enterAgain(hosts) : okAsync(hosts);
				});
		},
		start(signal) {
			const retries = retryPausesMs.values();
			void repeat(renew, {
				everyMs: () =>
					leaseId === undefined
						? (retries.next().value ?? renewEveryMs)
						: renewEveryMs,
				signal,
				random,
			});
		},
		async end() {
			isEnded = true;
			if (leaseId !== undefined) {
				await store.endLease(leaseId);
			}
		},
	};

	/** None where another writer, or another version, left something else. */
	function readHost({key: itemKey, value}: StoreItem): KnownHost[] {
		const host = parseHost(value);
		if (host.isErr()) {
			logOnce('entry of a host is not understood', itemKey, {
				text: value,
				reason: host.error,
			});
			return [];
		}

		return [host.value];
	}

	/** The list may be older than the entry: writing it again does no harm. */
	function enterAgain(
		hosts: KnownHost[],
	): ResultAsync<KnownHost[], StoreFailure> {
		log('entry of this host is missing from the store', {leaseId});
		return new ResultAsync(writeAgain(hosts));
	}

	async function writeAgain(
		hosts: KnownHost[],
	): Promise<Result<KnownHost[], StoreFailure>> {
		const written = await enter();
		return written.isOk() ? ok(hosts) : err(written.error);
	}
}

/** What is dialled has to be an address: another one ends the process that dials it. */
const entrySchema = knownHostSchema.extend({address: hostAddressSchema});

function parseHost(text: string): Result<KnownHost, string> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		return err(String(error));
	}

	const parsed = entrySchema.safeParse(value);
	return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}
