/**
This host's registration in the store, under a lease that it renews, and the list of all hosts'
registrations.

What goes wrong: the lease expires while the store is unavailable or this host is paused, or the
store drops the key and no call shows it. Hosts that start later then do not find this one. This
host notices by a renewal that fails as the lease has ended, or by a list that lacks this host; in
either case it writes the registration again.

A list that is requested after this host's registration was written, and that is not stale, names
all hosts that registered earlier. So of two hosts the one that registered later finds the other,
which learns of it from the connection. Hosts that read the list once and register afterwards can
all miss one another.
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
/** Bounds how long hosts dial one that is gone: this long after its last renewal. */
const leaseTtlMs = 5000;
/** Three renewals may fail before the lease expires. */
const renewEveryMs = 1200;

export type HostPresence = {
	/** The lease under which keys of this host are written; undefined: there is none now. */
	getLeaseId: () => number | undefined;
	fetchHosts: () => ResultAsync<KnownHost[], StoreFailure>;
	start: (signal: AbortSignal) => void;
	/** Removes the registration at a planned stop. */
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
	/**
	Called when the registration was written, or may have been. The next list then names the hosts
	that registered earlier, and those cannot know of this one.
	*/
	onEntered: () => void;
	log: (message: string, fields: Record<string, unknown>) => void;
}): HostPresence {
	const key = `${prefix}${self.name}`;
	const logOnce = createOnceLog(log);
	let leaseId: number | undefined;
	let isEnded = false;
	/**
	How often the registration was written, and how often it had been when the last list that is not
	stale was requested.
	*/
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
						log('host registered in the store', {leaseId});
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

	/** Empty if another program, or another version, has written something else there. */
	function readHost({key: itemKey, value}: StoreItem): KnownHost[] {
		const host = parseHost(value);
		if (host.isErr()) {
			logOnce('registration of a host is not valid', itemKey, {
				text: value,
				reason: host.error,
			});
			return [];
		}

		return [host.value];
	}

	/** The list may be older than the registration; writing the registration again does no harm. */
	function enterAgain(
		hosts: KnownHost[],
	): ResultAsync<KnownHost[], StoreFailure> {
		log(
			'registration of this host is missing from the store; writing it again',
			{leaseId},
		);
		return new ResultAsync(writeAgain(hosts));
	}

	async function writeAgain(
		hosts: KnownHost[],
	): Promise<Result<KnownHost[], StoreFailure>> {
		const written = await enter();
		return written.isOk() ? ok(hosts) : err(written.error);
	}
}

/** Hosts dial this address; a host that dialled anything else would crash. */
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
