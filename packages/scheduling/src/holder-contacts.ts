/**
Sends an entry's messages to the holders of groups: tasks, the claims that it still wants (in answer to each of the holder's states), and
the jobs that it no longer wants.

The failure prevented here: the connection to a holder breaks just when a job is given up, and the `drop` message is lost. The job's
claim expires by itself, but until then its runs take up capacity. Therefore recent `drop` messages are sent again on each new connection.
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

/** By then a holder that did not receive the `drop` has stopped the job, or has received it over a new connection. */
const dropRetentionMs = 2 * orphanLimitMs;

export type HolderMessage = Part | Replace | Drop | Keep;

type SentDrop = {
	holder: string;
	message: Drop;
	/** Where tasks of the job may still run in the holder's group; undefined: nowhere. */
	place: CopyPlace | undefined;
	/** When it was first sent. */
	sentAt: number;
};

export type HolderContacts = {
	sendPart: (holder: string, part: Part) => void;
	/** Whether the group's holder has sent a state that this entry has not answered. */
	hasUnansweredState: (known: KnownGroup) => boolean;
	/** Answers the holder's state: this entry wants these claims and no others. */
	sendKeep: (known: KnownGroup, claims: number[]) => void;
	sendReplace: (holder: string, message: Replace) => void;
	sendDrop: (drop: SentDrop) => void;
	/** Asks the holder to return tasks that it has not started; false: there is no connection to it. */
	sendWithdrawal: (holder: string, message: Drop) => boolean;
	/** `takenAtMs` of the job when it was last dropped; undefined: it was not dropped recently. */
	findTakenAt: (job: string) => number | undefined;
	/** Where tasks of the dropped job may still run. */
	listPlaces: (job: string, now: number) => CopyPlace[];
	/** A connection to the holder is back: sends again the `drop` messages that may have been lost with the last one. */
	sendDropsAgain: (holder: string, now: number) => void;
	forgetOld: (now: number) => void;
};

export function createHolderContacts(
	send: (holder: string, message: HolderMessage) => boolean,
): HolderContacts {
	/** Token and time of the state that was answered last, by group. */
	const lastAnswered = new Map<string, {token: number; at: number}>();
	let recentDrops: SentDrop[] = [];

	return {
		sendPart(holder, part) {
			send(holder, part);
		},
		hasUnansweredState({state: {group, token, at}}) {
			const last = lastAnswered.get(group);
			return last?.token !== token || at > last.at;
		},
		sendKeep({holder, state: {group, token, at}}, claims) {
			lastAnswered.set(group, {token, at});
			send(holder, {t: 'keep', group, token, stateAt: at, claims});
		},
		sendReplace(holder, message) {
			send(holder, message);
		},
		sendDrop(drop) {
			recentDrops.push(drop);
			send(drop.holder, drop.message);
		},
		sendWithdrawal: send,
		findTakenAt: (job) =>
			recentDrops.findLast(({message}) => message.job === job)?.message
				.takenAtMs,
		listPlaces: (job, now) =>
			recentDrops.flatMap(({message, place}) =>
				message.job === job && place && now < place.stoppedBy ? place : [],
			),
		sendDropsAgain(holder, now) {
			for (const drop of recentDrops) {
				if (drop.holder === holder && now - drop.sentAt <= dropRetentionMs) {
					send(holder, drop.message);
				}
			}
		},
		forgetOld(now) {
			recentDrops = recentDrops.filter(
				({sentAt}) => now - sentAt <= dropRetentionMs,
			);
		},
	};
}
