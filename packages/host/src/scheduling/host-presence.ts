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
	type Background,
	type CoordinationStore,
	type StoreFailure,
	type StoreItem,
} from '@gentianshift/scheduling';
import {createOnceLog} from '@gentianshift/telemetry';
import {retryPausesMs, waitAround} from '../timers.js';

const hostKeyPrefix = 'gentianshift/hosts/';
/** Bounds how long hosts dial one that is gone: this long after its last renewal. */
const leaseTtlMs = 5000;
/** Three renewals may fail before the lease expires. */
const renewIntervalMs = 1200;

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
	background,
	onRegistered,
	log,
}: {
	self: KnownHost;
	store: CoordinationStore;
	random: () => number;
	background: Background;
	/**
	Called when the registration was written, or may have been. A list that is requested from then
	on names the hosts that registered earlier, which cannot know of this one, so the list is read
	again.
	*/
	onRegistered: () => void;
	log: (message: string, fields: Record<string, unknown>) => void;
}): HostPresence {
	const key = `${hostKeyPrefix}${self.name}`;
	const logOnce = createOnceLog(log);
	let leaseId: number | undefined;
	let isEnded = false;
	/**
	How often the registration was written, and how often it had been when the last list that is not
	stale was requested.
	*/
	let writeCount = 0;
	let coveredWriteCount = 0;

	function markRegistered(): void {
		writeCount += 1;
		onRegistered();
	}

	function writeRegistration(): ResultAsync<void, StoreFailure> {
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
						markRegistered();
					})
					.orTee(({code}) => {
						if (code === 'unknown-outcome') {
							markRegistered();
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
			? writeRegistration()
			: store.renewLease(leaseId));
		if (result.isErr()) {
			log('lease of this host is not renewed', {
				code: result.error.code,
				reason: result.error.message,
			});
			if (result.error.code === 'no-lease') {
				leaseId = undefined;
				await writeRegistration();
			}
		}
	}

	return {
		getLeaseId: () => leaseId,
		fetchHosts() {
			const writeCountBefore = writeCount;
			return store
				.readPrefix(hostKeyPrefix, {
					mayBeStale: writeCountBefore === coveredWriteCount,
				})
				.andThen(({items}) => {
					coveredWriteCount = Math.max(coveredWriteCount, writeCountBefore);
					const hosts = items.flatMap((item) => readHost(item));
					const isMissing =
						leaseId !== undefined &&
						!isEnded &&
						writeCountBefore === writeCount &&
						hosts.every(({name}) => name !== self.name);
					return isMissing ? restoreRegistration(hosts) : okAsync(hosts);
				});
		},
		start(signal) {
			const retries = retryPausesMs.values();
			const renewAndWait = async () => {
				await renew();
				const pauseMs =
					leaseId === undefined
						? (retries.next().value ?? renewIntervalMs)
						: renewIntervalMs;
				await waitAround(pauseMs, {signal, random});
			};

			background.repeat({work: 'lease of this host'}, renewAndWait, {signal});
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
	function restoreRegistration(
		hosts: KnownHost[],
	): ResultAsync<KnownHost[], StoreFailure> {
		log(
			'registration of this host is missing from the store; writing it again',
			{leaseId},
		);
		return new ResultAsync(writeRegistrationAgain(hosts));
	}

	async function writeRegistrationAgain(
		hosts: KnownHost[],
	): Promise<Result<KnownHost[], StoreFailure>> {
		const written = await writeRegistration();
		return written.isOk() ? ok(hosts) : err(written.error);
	}
}

/** Hosts dial this address; a host that dialled anything else would crash. */
const registrationSchema = knownHostSchema.extend({address: hostAddressSchema});

function parseHost(text: string): Result<KnownHost, string> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		return err(String(error));
	}

	const parsed = registrationSchema.safeParse(value);
	return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}
