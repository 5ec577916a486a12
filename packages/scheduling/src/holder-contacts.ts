/**
What an entry tells the holders of groups: which claims it still wants, as an answer to each of their states, and which jobs it wants no more.

What goes wrong: the connection to a holder breaks just when a job is given up, and the word to drop it is lost. Its claim ends by
itself, but its runs take room until then. Therefore jobs that were dropped lately are named again on each new connection.
*/
import {
	type Drop,
	type Keep,
	type Part,
	type Replace,
} from '@gentianshift/protocol';
import {type CopyPlace} from './copy-check.js';
import {type KnownGroup} from './group-directory.js';
import {orphanLimitMs} from './timing.js';

/** By then a holder that did not get the word has stopped the job, or has been told on a new connection. */
const dropMemoryMs = 2 * orphanLimitMs;

export type HolderMessage = Part | Replace | Drop | Keep;

type SentDrop = {
	holder: string;
	message: Drop;
	/** Tasks of the job may run in the holder's group. */
	place: CopyPlace | undefined;
	at: number;
};

export type HolderContacts = {
	sendPart: (holder: string, part: Part) => void;
	/** Whether the group's holder has told a state that this entry has not answered. */
	hasNewState: (known: KnownGroup) => boolean;
	/** Answers the state: these claims are wanted, and no others. */
	sendKeep: (known: KnownGroup, claims: number[]) => void;
	sendReplace: (holder: string, message: Replace) => void;
	sendDrop: (drop: SentDrop) => void;
	/** When the job was taken that was dropped last; undefined: it was not dropped lately. */
	findTakenAt: (job: string) => number | undefined;
	/** Where tasks of the job may run since it was dropped. */
	listPlaces: (job: string, now: number) => CopyPlace[];
	/** A connection to the holder is back: what may have been lost with the last one is told again. */
	sendDropsAgain: (holder: string, now: number) => void;
	forgetOld: (now: number) => void;
};

export function createHolderContacts(
	send: (holder: string, message: HolderMessage) => boolean,
): HolderContacts {
	/** By group. */
	const answered = new Map<string, {token: number; at: number}>();
	let dropped: SentDrop[] = [];

	return {
		sendPart(holder, part) {
			send(holder, part);
		},
		hasNewState({state: {group, token, at}}) {
			const last = answered.get(group);
			return last?.token !== token || at > last.at;
		},
		sendKeep({holder, state: {group, token, at}}, claims) {
			answered.set(group, {token, at});
			send(holder, {t: 'keep', token, stateAt: at, claims});
		},
		sendReplace(holder, message) {
			send(holder, message);
		},
		sendDrop(drop) {
			dropped.push(drop);
			send(drop.holder, drop.message);
		},
		findTakenAt: (job) =>
			dropped.findLast(({message}) => message.job === job)?.message.takenAtMs,
		listPlaces: (job, now) =>
			dropped.flatMap(({message, place}) =>
				message.job === job && place && now < place.overAt ? place : [],
			),
		sendDropsAgain(holder, now) {
			for (const drop of dropped) {
				if (drop.holder === holder && now - drop.at <= dropMemoryMs) {
					send(holder, drop.message);
				}
			}
		},
		forgetOld(now) {
			dropped = dropped.filter(({at}) => now - at <= dropMemoryMs);
		},
	};
}
