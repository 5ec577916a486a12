/**
Records when a scheduler last received a message from each entry, and which hosts' entries have answered its state.
*/
import {type Entry} from './group-job.js';
import {parseProcessId} from './process-id.js';
import {entrySilenceMs} from './timing.js';

export type EntryContacts = {
	/** Records that a message from the entry has arrived. */
	noteMessage: (entry: Entry, now: number) => void;
	/**
	Records that the entry has answered a state message of this scheduler. An entry sends its `replace` and `part` messages before
	that answer, so the scheduler now knows all that the entry wants of it.
	*/
	markAnswered: (entry: Entry) => void;
	/** Whether an entry process on this host has answered. */
	hasAnswered: (host: string) => boolean;
	/**
	Returns the keys of entries that have sent nothing for longer than `entrySilenceMs`. It stops tracking them, so each is
	returned once.
	*/
	takeSilent: (now: number) => string[];
};

export function createEntryContacts(): EntryContacts {
	const lastMessageAt = new Map<string, number>();
	const answeredHosts = new Set<string>();
	return {
		noteMessage({key}, now) {
			lastMessageAt.set(key, now);
		},
		markAnswered({key}) {
			answeredHosts.add(parseProcessId(key).host);
		},
		hasAnswered: (host) => answeredHosts.has(host),
		takeSilent(now) {
			const silent = [...lastMessageAt]
				.filter(([, at]) => now - at > entrySilenceMs)
				.map(([key]) => key);
			for (const key of silent) {
				lastMessageAt.delete(key);
			}

			return silent;
		},
	};
}
