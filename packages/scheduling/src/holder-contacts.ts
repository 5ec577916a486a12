/**
What an entry tells the holders of groups: that it still waits, and which jobs it no longer wants.

What goes wrong: the connection to a holder breaks just when a job is given up, and the word to drop it is lost. The connection
is back before the holder counts the entry as silent, and the entry's other jobs keep it from that afterwards; so the job
runs on while its caller comes again elsewhere. Therefore jobs that were dropped lately are named again
on each new connection.
*/
import {type Drop, type Part, type Replace} from '@gentianshift/protocol';
import {type CopyPlace} from './copy-check.js';
import {keepEveryMs, orphanLimitMs} from './timing.js';

/** By then a holder that did not get the word has stopped the job, or has been told on a new connection. */
const dropMemoryMs = 2 * orphanLimitMs;

export type HolderMessage = Part | Replace | Drop | {t: 'keep'; at: number};

type SentDrop = {
	holder: string;
	message: Drop;
	/** Tasks of the job may run in the holder's group. */
	place: CopyPlace | undefined;
	at: number;
};

export type HolderContacts = {
	sendPart: (holder: string, part: Part, now: number) => void;
	/** Tells the holder that this entry waits, if it is time to. */
	sendKeep: (holder: string, now: number) => void;
	/** Tells a new holder that it has been told all that this entry wants of it. */
	sendHandedOver: (holder: string, now: number) => void;
	sendReplace: (holder: string, message: Replace) => void;
	sendDrop: (drop: SentDrop) => void;
	/** When the job was taken that was dropped last; undefined: it was not dropped lately. */
	findTakenAt: (job: string) => number | undefined;
	/** Where tasks of the job may run since it was dropped. */
	listPlaces: (job: string, now: number) => CopyPlace[];
	/** A connection to the holder is back: what may have been lost with the last one is told again. */
	sendDropsAgain: (holder: string, now: number) => void;
	/** When the holder was last told that this entry waits; undefined: never. */
	getToldAt: (holder: string) => number | undefined;
	forgetOld: (now: number) => void;
};

export function createHolderContacts(
	send: (holder: string, message: HolderMessage) => boolean,
): HolderContacts {
	const toldAt = new Map<string, number>();
	let dropped: SentDrop[] = [];

	return {
		sendPart(holder, part, now) {
			toldAt.set(holder, now);
			send(holder, part);
		},
		sendKeep(holder, now) {
			if (now - (toldAt.get(holder) ?? -Infinity) >= keepEveryMs) {
				toldAt.set(holder, now);
				send(holder, {t: 'keep', at: now});
			}
		},
		sendHandedOver(holder, now) {
			toldAt.set(holder, now);
			send(holder, {t: 'keep', at: now});
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
		getToldAt: (holder) => toldAt.get(holder),
		forgetOld(now) {
			dropped = dropped.filter(({at}) => now - at <= dropMemoryMs);
		},
	};
}
