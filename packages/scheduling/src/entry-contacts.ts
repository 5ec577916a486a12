/**
Records when a scheduler last received a message from each entry, and which hosts' entries have answered its state.
*/
import {type Entry} from './group-job.js';
import {parseProcessId} from './process-id.js';
import {entrySilenceMs} from './timing.js';

export type EntryContacts = {
	/** Records that a message from the entry has arrived. */
	note: (entry: Entry, now: number) => void;
	/**
	Records that the entry has answered a state message of this holder. An entry sends its `replace` and `part` messages before
	that answer, so the holder now knows all that the entry wants of it.
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
