/**
When a scheduler last heard from each entry, and which of them have answered it.
*/
import {type Entry} from './group-job.js';
import {parseProcessId} from './process-id.js';
import {entrySilenceMs} from './timing.js';

export type EntryContacts = {
	/** A message of the entry has come. */
	note: (entry: Entry, now: number) => void;
	/** An entry has answered a state of this holder, and so told it all that it wants of it. */
	markAnswered: (entry: Entry) => void;
	/** An entry of this host has answered. */
	hasAnswered: (host: string) => boolean;
	/** Entries that have been silent for too long; each is given once. */
	takeSilent: (now: number) => string[];
};

export function createEntryContacts(): EntryContacts {
	const heardAt = new Map<string, number>();
	const answered = new Set<string>();
	return {
		note({key}, now) {
			heardAt.set(key, now);
		},
		markAnswered({key}) {
			answered.add(parseProcessId(key).host);
		},
		hasAnswered: (host) => answered.has(host),
		takeSilent(now) {
			const silent = [...heardAt]
				.filter(([, at]) => now - at > entrySilenceMs)
				.map(([key]) => key);
			for (const key of silent) {
				heardAt.delete(key);
			}

			return silent;
		},
	};
}
