/**
Asks other entries to give up their copies of a job, when the holders of the groups can't say for sure whether a copy runs: a holder
is unreachable, or may have been replaced by a host that is unreachable. Only the entry that has a copy knows which holders it sent
the tasks to.
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
import {chooseRelays} from './recall-relays.js';
import {entryAnswerLimitMs} from './timing.js';

/** A host that no reachable host could pass a recall on to is ignored for this long: it causes no further recalls. */
const ignoreUnreachableMs = 1000;
/** Most hosts without an answer that a log line names. */
const maxHostsLogged = 5;

/** The other hosts and the connections to them. */
export type EntryPeers = {
	/** Includes hosts to which there is no connection. */
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
	/** Gives up this entry's copy of the job in favour of a later one; does nothing if there is none. */
	giveUp: (job: string) => void;
	findTakenAt: (job: string) => number | undefined;
	/**
	Of these hosts, which have no connection to this one, and those that holders have none to: the hosts that may hold a group
	without its former holder or this host knowing.
	*/
	listPossibleHolders: (unlinked: readonly string[]) => readonly string[];
	/** The groups known to this host, and their holders' fencing tokens. */
	listTokens: () => Array<[group: string, token: number]>;
	/** Where tasks of a copy that this entry has given up may still run. */
	listPlaces: (job: string) => CopyPlace[];
	/** Executors that crashed while running tasks of the job; undefined: none is known. */
	listCrashes: (job: string) => TaskCrashes[] | undefined;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export type CopyRecall = {
	/** Whether a host that others may reach may hold a group, unknown to the holder that this host knows. */
	hasPossibleHolders: () => boolean;
	/** Asks the other entries for their copies; does nothing if that was done for this job, or if no check runs. */
	ask: (job: EntryJob) => void;
	/** A connection to the host was established: sends the recalls that wait for it. */
	sendPending: (host: string) => void;
	/**
	A connection to the host was established: asks its entry about this job, unless it has answered. `isNew`: it is the first
	one in this process's life. Such hosts are waited for only right after the others were asked: while all hosts start,
	connections come up for seconds, and a job that waited anew with each of them would be refused.
	*/
	askAgain: (job: EntryJob, host: string, options: {isNew: boolean}) => void;
	/** Whether every entry that could be asked has answered, or its time to answer is over. */
	isAnswered: (job: EntryJob) => boolean;
	/** Another entry asks for this entry's copy; `from` is the host that sent or forwarded the message. */
	receiveRecall: (from: string, message: RecallCopy) => void;
	/**
	Handles an answer and returns where tasks of a copy may run. Undefined: the answer is for another entry, to which it is passed
	on, or for an earlier submission of the job.
	*/
	receiveRecalled: (
		message: CopyRecalled,
		job: EntryJob | undefined,
	) => CopyPlace[] | undefined;
};

export function createCopyRecall(ports: CopyRecallPorts): CopyRecall {
	const {self, now, peers, lostHolders, log} = ports;
	const ignoredUntil = new Map<string, number>();
	/** Recalls to send when a connection to their host is established. */
	let pendingRecalls: Array<{
		host: string;
		message: RecallCopy;
		until: number;
	}> = [];

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
	}

	function waitForAnswer(check: CopyCheck | undefined, host: string): void {
		check?.hostsToAnswer?.set(host, now() + entryAnswerLimitMs);
	}

	function ignoreUnreachable({hostsAnswered}: CopyCheck): void {
		for (const host of listUnlinked()) {
			if (!hostsAnswered.has(host)) {
				ignoredUntil.set(host, now() + ignoreUnreachableMs);
			}
		}
	}

	/** False: the host is unreachable from here as well. */
	function forwardRecall(host: string, message: RecallCopy): boolean {
		if (host === parseProcessId(self).host) {
			return false;
		}

		if (peers.send(host, message)) {
			return true;
		}

		const isReconnecting = lostHolders.isReconnecting(host, now());
		if (isReconnecting) {
			pendingRecalls = pendingRecalls.filter(({until}) => now() <= until);
			pendingRecalls.push({host, message, until: now() + entryAnswerLimitMs});
		}

		return isReconnecting;
	}

	return {
		hasPossibleHolders: () =>
			ports
				.listPossibleHolders(listUnlinked())
				.some((host) => now() >= (ignoredUntil.get(host) ?? -Infinity)),
		ask(job) {
			const {copyCheck} = job;
			if (!copyCheck || copyCheck.hostsToAnswer) {
				return;
			}

			copyCheck.hostsToAnswer = new Map();
			copyCheck.newHostsAwaitedUntil = now() + entryAnswerLimitMs;
			const unlinked = listUnlinked();
			const linked = peers.listHosts().filter((host) => peers.isLinked(host));
			const relays = chooseRelays(unlinked, linked);
			for (const host of linked) {
				sendRecall(job, host, relays.get(host) ?? []);
				waitForAnswer(copyCheck, host);
			}

			for (const host of unlinked) {
				if (lostHolders.isReconnecting(host, now())) {
					waitForAnswer(copyCheck, host);
				}
			}
		},
		sendPending(host) {
			ignoredUntil.delete(host);
			for (const recall of pendingRecalls) {
				if (recall.host === host && now() <= recall.until) {
					peers.send(host, recall.message);
				}
			}

			pendingRecalls = pendingRecalls.filter(
				(recall) => recall.host !== host && now() <= recall.until,
			);
		},
		askAgain(job, host, {isNew}) {
			const {copyCheck} = job;
			if (!copyCheck?.hostsToAnswer || copyCheck.hostsAnswered.has(host)) {
				return;
			}

			sendRecall(job, host, []);
			if (!isNew || now() < (copyCheck.newHostsAwaitedUntil ?? Infinity)) {
				waitForAnswer(copyCheck, host);
			}
		},
		isAnswered({request, copyCheck}) {
			const hostsToAnswer = copyCheck?.hostsToAnswer;
			if (!hostsToAnswer) {
				return true;
			}

			const late = [...hostsToAnswer].flatMap(([host, until]) =>
				now() > until ? host : [],
			);
			for (const host of late) {
				hostsToAnswer.delete(host);
			}

			if (late.length > 0) {
				log('entries do not say whether they have a copy', {
					job: request.id,
					count: late.length,
					hosts: late.slice(0, maxHostsLogged),
					linked: late.filter((host) => peers.isLinked(host)).length,
				});
			}

			if (hostsToAnswer.size > 0) {
				return false;
			}

			ignoreUnreachable(copyCheck);
			return true;
		},
		receiveRecall(from, {job, takenAtMs, entry, passTo}) {
			const askingCopy = {entry, takenAtMs};
			const ownTakenAt = ports.findTakenAt(job);
			const isRefused =
				ownTakenAt !== undefined &&
				isLaterCopy({entry: self, takenAtMs: ownTakenAt}, askingCopy);
			if (!isRefused) {
				ports.giveUp(job);
			}

			const passedTo = passTo.filter((host) =>
				forwardRecall(host, {t: 'recall-copy', job, ...askingCopy, passTo: []}),
			);
			const places = [
				...ports.listPlaces(job),
				...lostHolders.listPlaces(now()),
			];
			const answer: CopyRecalled = {
				t: 'copy-recalled',
				job,
				...askingCopy,
				host: parseProcessId(self).host,
				isRefused,
				passedTo,
				groups: ports.listTokens(),
				places: places.map(({stoppedBy, ...place}) => ({
					...place,
					overInMs: stoppedBy - now(),
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
					waitForAnswer(check, host);
				}
			}

			const places = message.places.map(({overInMs, ...place}) => ({
				...place,
				stoppedBy: now() + overInMs,
			}));
			return [
				...places,
				...lostHolders.listSuperseded(message.groups, job.arrivedAt),
			];
		},
	};
}
