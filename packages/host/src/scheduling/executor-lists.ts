/**
The executors that are registered in the store, read at intervals. The holder of a group reads
often, as it must see within two seconds that an executor drains or has started. Other hosts read
rarely and accept stale lists, which are cheaper: they only need a list to begin with if they take a
group over while the store is unavailable.

What goes wrong: while a data centre is cut off from the store, its executors' registrations expire.
A host that takes the group over with the first list after the cut would schedule without those
executors, and start tasks that still run on them. So an executor that is missing from a list is
kept until lists have lacked it for as long as an executor takes to register again.

A watch of the store would not help: every heartbeat of every executor would trigger it.
*/
import {
	type Background,
	type Executor,
	type ExecutorRegistration,
} from '@gentianshift/scheduling';
import {
	createExecutorRegistrations,
	type ExecutorRegistrations,
} from './executor-registrations.js';
import {type ExecutorSource} from './host-dependencies.js';

/** A third of the two seconds within which the holder must know of a draining executor. */
const holderReadIntervalMs = 600;
/** The list of other hosts may be this old when they take over, and is then read again at once. */
const standbyReadIntervalMs = 3000;
/**
How long a host that takes a group over, or reads for another host, accepts no stale lists, like a holder: as long as the
calls to the store in a takeover may take.
*/
const currentReadsMs = 2000;
/** Pause after a read that failed. */
const retryPauseMs = 250;

/**
Registrations that expired while the store was unavailable are back within two seconds of its
return.
*/
const missingLimitMs = 2500;

/**
Registrations that were last read longer ago than this may be missing from another host's list: two reads of a holder have failed
since. Longer than two intervals of reads, so that a slow answer of the store does not make a current list count as old.
*/
const confirmedLimitMs = 1500;

export type ExecutorLists = {
	list: () => readonly Executor[];
	/**
	Whether reads have succeeded for as long as expired registrations take to come back, so that
	only executors that are gone are missing.
	*/
	isComplete: () => boolean;
	/**
	Whether the last list was read without accepting a stale one. A stale list can lack an executor
	that has registered since and runs tasks.
	*/
	isFresh: () => boolean;
	/**
	Executors of this list that another host's list may lack by now: the last list lacked them, or was read some time ago.
	*/
	listUnconfirmed: () => string[];
	/** The store's revision up to which all changes are in the list; undefined: none has been read. */
	getRevision: () => number | undefined;
	/** Age of the list, from when it was asked for; milliseconds. */
	measureAge: () => number;
	/** Whether the last read has succeeded. */
	isReadable: () => boolean;
	/** Of a data centre's executors, the registrations whose content has changed after a revision of the store. */
	listChangedSince: ExecutorRegistrations['listChangedSince'];
	/** Takes over what other hosts tell of executors that this host knows; of each the newest registration counts. */
	applyTold: (registrations: readonly ExecutorRegistration[]) => void;
	start: (signal: AbortSignal) => void;
	/** Reads a list now that is not stale, for another host. Resolves also when the read fails. */
	readCurrent: () => Promise<void>;
	/**
	Reads a list now that is not stale, for a host that takes a group over. Resolves also when the
	read fails.
	*/
	refresh: () => Promise<void>;
};

export function createExecutorLists({
	source,
	isHolder,
	isKnownService,
	isCapacityEnforcingService,
	onList,
	onRead = () => undefined,
	now,
	wait,
	random,
	background,
	log,
}: {
	source: ExecutorSource;
	isHolder: () => boolean;
	/**
	Whether the configuration names the service. Other programs may write to the store: executors of
	a service that it does not name are ignored.
	*/
	isKnownService: (service: string) => boolean;
	/** Whether executors of the service refuse tasks that exceed their capacity. */
	isCapacityEnforcingService: (service: string) => boolean;
	onList: (executors: readonly Executor[]) => void;
	/** Called after each read; `isRead`: it has succeeded. */
	onRead?: (isRead: boolean) => void;
	now: () => number;
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	random: () => number;
	background: Background;
	log: (message: string, fields: Record<string, unknown>) => void;
}): ExecutorLists {
	let executors: readonly Executor[] = [];
	const registrations = createExecutorRegistrations(isCapacityEnforcingService);
	let pauseController = new AbortController();
	/** When a list first lacked an executor that is still kept. */
	const missingSince = new Map<string, number>();
	/**
	Executors in the last list whose service the configuration does not name; each is logged once.
	*/
	let ignoredIds: ReadonlySet<string> = new Set();
	/** Since when no read has failed; undefined: the last read failed, or there was none yet. */
	let readsSucceedSince: number | undefined;
	let isFresh = false;
	let revision: number | undefined;
	/** When the last list that was answered was asked for. */
	let readAskedAt = -Infinity;
	/** When the last list that is not stale was asked for. */
	let confirmedAt = -Infinity;
	/** Until this time the host accepts no stale lists, like a holder. */
	let currentReadsUntil = -Infinity;
	/**
	Reads are numbered, so that the answer to an older read that arrives after a newer one is
	discarded.
	*/
	let lastStartedRead = 0;
	let lastHandledRead = 0;

	async function read(): Promise<boolean> {
		const mayBeStale = !isHolder() && now() >= currentReadsUntil;
		lastStartedRead += 1;
		const readNumber = lastStartedRead;
		const askedAt = now();
		const result = await source.list({mayBeStale});
		if (readNumber < lastHandledRead) {
			return true;
		}

		lastHandledRead = readNumber;
		if (result.isErr()) {
			readsSucceedSince = undefined;
			isFresh = false;
			log('executors can not be listed', {
				code: result.error.code,
				reason: result.error.message,
			});
			return false;
		}

		readsSucceedSince ??= now();
		isFresh = !mayBeStale;
		confirmedAt = isFresh ? askedAt : confirmedAt;
		readAskedAt = askedAt;
		const list = result.value;
		revision = Math.max(list.revision, revision ?? 0);
		executors = keepRecentlyMissing(
			pickKnownServices(registrations.applyList(list.registrations, askedAt)),
		);
		registrations.keepOnly(executors);
		onList(executors);
		return true;
	}

	function applyTold(told: readonly ExecutorRegistration[]): void {
		const ids = new Set(executors.map(({id}) => id));
		const updated = new Map(
			registrations
				.applyList(
					told.filter(({id}) => ids.has(id)),
					now(),
				)
				.map((executor) => [executor.id, executor]),
		);
		if (updated.size > 0) {
			executors = executors.map((one) => updated.get(one.id) ?? one);
			onList(executors);
		}
	}

	function pickKnownServices(listed: readonly Executor[]): Executor[] {
		const ignored = listed.filter(({service}) => !isKnownService(service));
		for (const {id, service} of ignored) {
			if (!ignoredIds.has(id)) {
				log('executor ignored: the configuration does not name its service', {
					executor: id,
					service,
				});
			}
		}

		ignoredIds = new Set(ignored.map(({id}) => id));
		return listed.filter(({id}) => !ignoredIds.has(id));
	}

	/** The listed executors, and those that lists have lacked for less than `missingLimitMs`. */
	function keepRecentlyMissing(
		listed: readonly Executor[],
	): readonly Executor[] {
		const ids = new Set(listed.map(({id}) => id));
		const at = now();
		const missing = executors.filter(({id}) => !ids.has(id));
		for (const id of missingSince.keys()) {
			if (ids.has(id)) {
				missingSince.delete(id);
			}
		}

		const kept = missing.filter(({id}) => {
			const since = missingSince.get(id) ?? at;
			missingSince.set(id, since);
			const isKept = at - since < missingLimitMs;
			if (!isKept) {
				missingSince.delete(id);
				log(
					'executor removed: its registration has been missing for too long',
					{
						executor: id,
					},
				);
			}

			return isKept;
		});
		return [...listed, ...kept];
	}

	async function readCurrent(): Promise<void> {
		currentReadsUntil = now() + currentReadsMs;
		await read();
	}

	async function readAndWait(signal: AbortSignal): Promise<void> {
		const isRead = await read();
		onRead(isRead);
		const intervalMs = isHolder()
			? holderReadIntervalMs
			: standbyReadIntervalMs;
		const pauseMs =
			(isRead ? intervalMs : retryPauseMs) * (0.75 + random() / 2);
		pauseController = new AbortController();
		await wait(pauseMs, AbortSignal.any([signal, pauseController.signal]));
	}

	return {
		list: () => executors,
		isComplete: () =>
			readsSucceedSince !== undefined &&
			now() - readsSucceedSince >= missingLimitMs,
		isFresh: () => isFresh,
		listUnconfirmed: () =>
			now() - confirmedAt <= confirmedLimitMs
				? [...missingSince.keys()]
				: executors.map(({id}) => id),
		getRevision: () => revision,
		measureAge: () => now() - readAskedAt,
		isReadable: () => readsSucceedSince !== undefined,
		listChangedSince: registrations.listChangedSince,
		applyTold,
		start(signal) {
			background.repeat(
				{work: 'list of executors'},
				async () => readAndWait(signal),
				{signal},
			);
		},
		readCurrent,
		async refresh() {
			await readCurrent();
			// The current pause is that of a host that does not hold the group, too long for a
			// holder.
			pauseController.abort();
		},
	};
}
