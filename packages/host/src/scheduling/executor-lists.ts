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
import {type Executor} from '@gentianshift/scheduling';
import {createExecutorWords} from './executor-words.js';
import {type ExecutorSource} from './surroundings.js';

/** A third of the two seconds within which the holder must know of a draining executor. */
const holderEveryMs = 600;
/** The list of other hosts may be this old when they take over, and is then read again at once. */
const standbyEveryMs = 3000;
/**
How long a host that takes a group over reads like a holder: the part of a takeover that the store's
calls take.
*/
const takeoverMs = 2000;
/** Pause after a read that failed. */
const retryMs = 250;

/**
Registrations that expired while the store was unavailable are back within two seconds of its
return.
*/
const missingLimitMs = 2500;

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
	start: (signal: AbortSignal) => void;
	/**
	Reads a list now that is not stale, for a host that takes a group over. Resolves also when the
	read fails.
	*/
	readNow: () => Promise<void>;
};

export function createExecutorLists({
	source,
	isHolder,
	isNamedService,
	isGuardedService,
	onList,
	now,
	wait,
	random,
	log,
}: {
	source: ExecutorSource;
	isHolder: () => boolean;
	/**
	Whether the configuration names the service. Other programs may write to the store: executors of
	a service that it does not name are ignored.
	*/
	isNamedService: (service: string) => boolean;
	/** Whether executors of the service refuse tasks that exceed their capacity. */
	isGuardedService: (service: string) => boolean;
	onList: (executors: readonly Executor[]) => void;
	now: () => number;
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	random: () => number;
	log: (message: string, fields: Record<string, unknown>) => void;
}): ExecutorLists {
	let executors: readonly Executor[] = [];
	const words = createExecutorWords(isGuardedService);
	let wake = new AbortController();
	/** When a list first lacked an executor that is still kept. */
	const missingSince = new Map<string, number>();
	/**
	Executors in the last list whose service the configuration does not name; each is logged once.
	*/
	let strangerIds: ReadonlySet<string> = new Set();
	/** Since when no read has failed; undefined: the last read failed, or there was none yet. */
	let readSince: number | undefined;
	let isFresh = false;
	/** Until this time the host reads as often and as freshly as a holder. */
	let takesOverUntil = -Infinity;
	/**
	Reads are numbered, so that the answer to an older read that arrives after a newer one is
	discarded.
	*/
	let begun = 0;
	let taken = 0;

	async function read(): Promise<boolean> {
		const mayBeStale = !isHolder() && now() >= takesOverUntil;
		begun += 1;
		const number = begun;
		const askedAt = now();
		const found = await source.list({mayBeStale});
		if (number < taken) {
			return true;
		}

		taken = number;
		if (found.isErr()) {
			readSince = undefined;
			isFresh = false;
			log('executors can not be listed', {
				code: found.error.code,
				reason: found.error.message,
			});
			return false;
		}

		readSince ??= now();
		isFresh = !mayBeStale;
		executors = keepMissing(pickNamed(words.take(found.value, askedAt)));
		words.keepOnly(executors);
		onList(executors);
		return true;
	}

	function pickNamed(listed: readonly Executor[]): Executor[] {
		const strangers = listed.filter(({service}) => !isNamedService(service));
		for (const {id, service} of strangers) {
			if (!strangerIds.has(id)) {
				log('executor ignored: the configuration does not name its service', {
					executor: id,
					service,
				});
			}
		}

		strangerIds = new Set(strangers.map(({id}) => id));
		return listed.filter(({id}) => !strangerIds.has(id));
	}

	/** The listed executors, and those that lists have lacked for less than `missingLimitMs`. */
	function keepMissing(listed: readonly Executor[]): readonly Executor[] {
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
				log('executor removed: its registration is missing for too long', {
					executor: id,
				});
			}

			return isKept;
		});
		return [...listed, ...kept];
	}

	async function repeatReads(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const isRead = await read();
			const everyMs = isHolder() ? holderEveryMs : standbyEveryMs;
			const pauseMs = (isRead ? everyMs : retryMs) * (0.75 + random() / 2);
			wake = new AbortController();
			await wait(pauseMs, AbortSignal.any([signal, wake.signal]));
		}
	}

	return {
		list: () => executors,
		isComplete: () =>
			readSince !== undefined && now() - readSince >= missingLimitMs,
		isFresh: () => isFresh,
		start(signal) {
			void repeatReads(signal);
		},
		async readNow() {
			takesOverUntil = now() + takeoverMs;
			await read();
			// The current pause is that of a host that does not hold the group, too long for a
			// holder.
			wake.abort();
		},
	};
}
