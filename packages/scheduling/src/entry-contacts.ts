/**
When a scheduler last heard from each entry whose jobs it has.
*/
import {type Entry} from './group-job.js';
import {parseProcessId} from './process-id.js';
import {entrySilenceMs, orphanLimitMs} from './timing.js';

export type EntryContacts = {
	/**
	The entry still waits, as of that moment on this host's clock. True: it did not wait all the time since its word before,
	whether or not this host was awake to notice.
	*/
	note: (entry: Entry, sentAt: number) => boolean;
	/** An entry of this host has been heard. */
	hasSpoken: (host: string) => boolean;
	/** Entries that have been silent for too long; each is given once. */
	takeSilent: (now: number) => string[];
	/** Until when what the entry handed over may run at the latest. */
	computeLimit: (entryKey: string) => number;
};

export function createEntryContacts(): EntryContacts {
	const heardAt = new Map<string, number>();
	const hosts = new Set<string>();
	return {
		note({key}, sentAt) {
			hosts.add(parseProcessId(key).host);
			const lastAt = heardAt.get(key);
			heardAt.set(key, Math.max(lastAt ?? -Infinity, sentAt));
			return lastAt !== undefined && sentAt - lastAt > entrySilenceMs;
		},
		hasSpoken: (host) => hosts.has(host),
		takeSilent(now) {
			const silent = [...heardAt]
				.filter(([, at]) => now - at > entrySilenceMs)
				.map(([key]) => key);
			for (const key of silent) {
				heardAt.delete(key);
			}

			return silent;
		},
		computeLimit(entryKey) {
			const at = heardAt.get(entryKey);
			return at === undefined ? Infinity : at + orphanLimitMs;
		},
	};
}
