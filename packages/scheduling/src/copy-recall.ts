/**
Asks other entries for their copies of a job, where the holders of groups can't say for sure whether one runs: a holder is out of
reach, or may have been replaced by a host that is. The entry that has a copy is the only one that knows who was handed its tasks.
*/
import {
	type RecallCopy,
	type CopyRecalled,
	type TaskCrashes,
} from '@gentianshift/protocol';
import {type CopyCheck, type CopyPlace} from './copy-check.js';
import {isLaterCopy} from './copy-order.js';
import {type EntryJob} from './entry-job.js';
import {type LostHolders} from './lost-holders.js';
import {parseProcessId} from './process-id.js';
import {entryWordLimitMs} from './timing.js';

/** Hosts that none of those in reach has a connection to are taken as gone for so long before they are asked for again. */
const goneMs = 1000;

/** Other hosts, as their connections are. */
export type EntryPeers = {
	/** Also those to which there is no connection. */
	listHosts: () => readonly string[];
	isLinked: (host: string) => boolean;
	/** False: there is no connection to the host. */
	send: (host: string, message: RecallCopy | CopyRecalled) => boolean;
};

export type CopyRecallPorts = {
	/** This process: `<host key>.<incarnation>`. */
	self: string;
	now: () => number;
	peers: EntryPeers;
	lostHolders: LostHolders;
	/** Gives a job of this entry up for a later copy, if it is here. */
	giveUp: (job: string) => void;
	findTakenAt: (job: string) => number | undefined;
	/** The groups that are known here, and the tokens of their holders. */
	listTokens: () => Array<[group: string, token: number]>;
	/** Where tasks of a job that this entry has given up may run. */
	listPlaces: (job: string) => CopyPlace[];
	/** Executors that crashed under tasks of a job. */
	listCrashes: (job: string) => TaskCrashes[] | undefined;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export type CopyRecall = {
	/** Some host that is out of reach here may be in reach of others. */
	hasUnknownHosts: () => boolean;
	ask: (job: EntryJob) => void;
	/** A connection to the host is made: it gets what waited for that. */
	passUnsent: (host: string) => void;
	/** Likewise what is asked for a job of this entry. */
	askAgain: (job: EntryJob, host: string) => void;
	/** All that can be asked have answered, or have had the time to. */
	isAnswered: (job: EntryJob) => boolean;
	/** Another entry asks; `from` is the host that the question came from. */
	receiveRecall: (from: string, message: RecallCopy) => void;
	/** Gives where tasks of a copy may run, from an answer to this entry; undefined: it is for another one, or not for the job as it is now. */
	receiveRecalled: (
		message: CopyRecalled,
		job: EntryJob | undefined,
	) => CopyPlace[] | undefined;
};

export function createCopyRecall(ports: CopyRecallPorts): CopyRecall {
	const {self, now, peers, lostHolders, log} = ports;
	const goneUntil = new Map<string, number>();
	/** To be passed on when a connection to the host is made. */
	let unsent: Array<{host: string; message: RecallCopy; until: number}> = [];

	function listUnlinked(): string[] {
		return peers.listHosts().filter((host) => !peers.isLinked(host));
	}

	function sendRecall(job: EntryJob, host: string, passTo: string[]): void {
		peers.send(host, {
			t: 'recall-copy',
			job: job.request.id,
			takenAtMs: job.takenAtMs,
			entry: self,
			passTo,
		});
		job.copyCheck?.hostsToAnswer?.set(host, now() + entryWordLimitMs);
	}

	function markGone({hostsAnswered}: CopyCheck): void {
		for (const host of listUnlinked()) {
			if (!hostsAnswered.has(host)) {
				goneUntil.set(host, now() + goneMs);
			}
		}
	}

	/** False: the host is out of reach here as well. */
	function passOn(host: string, message: RecallCopy): boolean {
		if (host === parseProcessId(self).host) {
			return false;
		}

		if (peers.send(host, message)) {
			return true;
		}

		const isRedialled = lostHolders.isRedialled(host, now());
		if (isRedialled) {
			unsent = unsent.filter(({until}) => now() <= until);
			unsent.push({host, message, until: now() + entryWordLimitMs});
		}

		return isRedialled;
	}

	return {
		hasUnknownHosts: () =>
			listUnlinked().some(
				(host) => now() >= (goneUntil.get(host) ?? -Infinity),
			),
		ask(job) {
			const {copyCheck} = job;
			if (!copyCheck || copyCheck.hostsToAnswer) {
				return;
			}

			const hostsToAnswer = new Map<string, number>();
			copyCheck.hostsToAnswer = hostsToAnswer;
			const unlinked = listUnlinked();
			for (const host of peers.listHosts()) {
				if (peers.isLinked(host)) {
					sendRecall(job, host, unlinked);
				} else if (lostHolders.isRedialled(host, now())) {
					hostsToAnswer.set(host, now() + entryWordLimitMs);
				}
			}
		},
		passUnsent(host) {
			goneUntil.delete(host);
			for (const one of unsent) {
				if (one.host === host && now() <= one.until) {
					peers.send(host, one.message);
				}
			}

			unsent = unsent.filter((one) => one.host !== host && now() <= one.until);
		},
		askAgain(job, host) {
			const {copyCheck} = job;
			if (copyCheck?.hostsToAnswer && !copyCheck.hostsAnswered.has(host)) {
				sendRecall(job, host, []);
			}
		},
		isAnswered({request, copyCheck}) {
			const hostsToAnswer = copyCheck?.hostsToAnswer;
			if (!hostsToAnswer) {
				return true;
			}

			for (const [host, until] of hostsToAnswer) {
				if (now() > until) {
					hostsToAnswer.delete(host);
					log('an entry does not say whether it has a copy', {
						job: request.id,
						host,
						isLinked: peers.isLinked(host),
					});
				}
			}

			if (hostsToAnswer.size > 0) {
				return false;
			}

			markGone(copyCheck);
			return true;
		},
		receiveRecall(from, {job, takenAtMs, entry, passTo}) {
			const asked = {entry, takenAtMs};
			const ownTakenAt = ports.findTakenAt(job);
			const isRefused =
				ownTakenAt !== undefined &&
				isLaterCopy({entry: self, takenAtMs: ownTakenAt}, asked);
			if (!isRefused) {
				ports.giveUp(job);
			}

			const passedTo = passTo.filter((host) =>
				passOn(host, {t: 'recall-copy', job, ...asked, passTo: []}),
			);
			const places = [
				...ports.listPlaces(job),
				...lostHolders.listPlaces(now()),
			];
			const answer: CopyRecalled = {
				t: 'copy-recalled',
				job,
				...asked,
				host: parseProcessId(self).host,
				isRefused,
				passedTo,
				groups: ports.listTokens(),
				places: places.map(({overAt, ...place}) => ({
					...place,
					overInMs: overAt - now(),
				})),
				crashes: ports.listCrashes(job),
			};
			if (isRefused || places.some(({isSure}) => isSure)) {
				log('a copy of the job is recalled', {...answer, from});
			}

			if (!peers.send(parseProcessId(entry).host, answer)) {
				peers.send(from, answer);
			}
		},
		receiveRecalled(message, job) {
			if (message.entry !== self) {
				peers.send(parseProcessId(message.entry).host, message);
				return undefined;
			}

			const check = job?.copyCheck;
			if (!check?.hostsToAnswer || job?.takenAtMs !== message.takenAtMs) {
				return undefined;
			}

			check.hostsToAnswer.delete(message.host);
			check.hostsAnswered.add(message.host);
			for (const host of message.passedTo) {
				if (!check.hostsAnswered.has(host)) {
					check.hostsToAnswer.set(host, now() + entryWordLimitMs);
				}
			}

			const places = message.places.map(({overInMs, ...place}) => ({
				...place,
				overAt: now() + overInMs,
			}));
			return [
				...places,
				...lostHolders.listOutdated(message.groups, job.arrivedAt),
			];
		},
	};
}
