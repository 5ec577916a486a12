/**
Carries out callers' cancellations of jobs on all hosts. A caller may cancel a job at any host, whichever host has it.

The host that the caller asks tells all others, and tells them again over each new connection. It answers once the holder of every
group has confirmed that it starts no more tasks of the job. So the answer holds even if this host ends right after it, or has not
been connected to the job's entry yet.
*/
import {type CancelJob, type JobCancelled} from '@gentianshift/protocol';
import {type CancelledJobs} from './cancelled-jobs.js';
import {type EntryPeers} from './copy-recall.js';
import {type GroupDirectory, type KnownGroup} from './group-directory.js';
import {longSilenceMs} from './timing.js';

/** Longest wait for confirmations, milliseconds: another host takes a group over within this time. */
const confirmLimitMs = 2000;
/** Kept of the time that the caller waits, milliseconds, for the answer to reach it. */
const answerMarginMs = 100;

export type CancellationOutcome = {
	/** This host had the job. */
	isHere: boolean;
	/** No host that could be asked starts any more tasks of the job. */
	isConfirmed: boolean;
};

export type CancellationPorts = {
	/** Key of this host. */
	self: string;
	/** Shared with the entry and the schedulers of this host. */
	cancelledJobs: CancelledJobs;
	groups: Pick<GroupDirectory, 'list'>;
	peers: Pick<EntryPeers, 'listHosts'> & {
		/** Does nothing if there is no connection to the host. */
		send: (host: string, message: CancelJob) => void;
	};
	/** Steady clock, milliseconds. */
	now: () => number;
	/** Whether this host holds a group. */
	isHolder: () => boolean;
	/** Time since the store last answered this host, milliseconds. */
	getStoreAgeMs: () => number;
	/** Ends the job at the entry and the schedulers of this host; returns whether the entry had it. */
	endJob: (job: string, ageMs: number) => boolean;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export type Cancellations = {
	/**
	Cancels a job for a caller that waits for `timeLeftMs`; `onOutcome` is called once, and within that time. Without a
	confirmation the job is cancelled as well, as soon as the hosts that have it can be told.
	*/
	cancel: (
		job: string,
		timeLeftMs: number,
		onOutcome: (outcome: CancellationOutcome) => void,
	) => void;
	/** Another host passes a cancellation on. Returns whether this host is to confirm it. */
	receive: (message: CancelJob) => boolean;
	receiveConfirmation: (holder: string, message: JobCancelled) => void;
	/** A connection to the host was established: sends what it may have missed. */
	sendAll: (host: string) => void;
	/** A group has another holder: asks it to confirm the cancellations whose callers wait. */
	sendPending: (holder: string) => void;
	/** Answers callers whose time is over, and forgets old cancellations; to be called about every 50 ms. */
	update: () => void;
	/** Answers all callers that wait: this host stops. */
	giveUpAll: () => void;
};

type Pending = {
	isHere: boolean;
	/** Keys of the hosts that have confirmed. */
	confirmedBy: Set<string>;
	startedAt: number;
	callers: Array<{
		answerBy: number;
		onOutcome: (outcome: CancellationOutcome) => void;
	}>;
};

export function createCancellations({
	self,
	cancelledJobs,
	groups,
	peers,
	now,
	isHolder,
	getStoreAgeMs,
	endJob,
	log,
}: CancellationPorts): Cancellations {
	const pendingByJob = new Map<string, Pending>();

	function sendTo(host: string, job: string, ageMs: number): void {
		peers.send(host, {t: 'cancel-job', job, ageMs});
	}

	/**
	Groups whose holders have to confirm. A holder that has been silent for long has stopped all tasks, unless this host is the one
	that is cut off; then the store does not answer it either.
	*/
	function listAwaited(): KnownGroup[] {
		const isConnected = getStoreAgeMs() <= longSilenceMs;
		return groups
			.list()
			.filter(
				({lastHeardAt}) => !isConnected || now() - lastHeardAt <= longSilenceMs,
			);
	}

	function listUnconfirmed({confirmedBy}: Pending): KnownGroup[] {
		return listAwaited().filter(
			({holder}) => holder !== self && !confirmedBy.has(holder),
		);
	}

	function isConfirmed(pending: Pending): boolean {
		return listAwaited().length > 0 && listUnconfirmed(pending).length === 0;
	}

	/** Answers those of the callers that meet the condition, or all. */
	function answerCallers(
		job: string,
		pending: Pending,
		{
			hasConfirmation,
			isDue = () => true,
		}: {
			hasConfirmation: boolean;
			isDue?: (caller: {answerBy: number}) => boolean;
		},
	): void {
		const due = pending.callers.filter((caller) => isDue(caller));
		if (due.length === 0) {
			return;
		}

		const {isHere, startedAt} = pending;
		log('cancellation of a job is answered', {
			job,
			isHere,
			isConfirmed: hasConfirmation,
			tookMs: Math.round(now() - startedAt),
			unconfirmed: listUnconfirmed(pending).map(
				({state: {group}, holder}) => `${group} ${holder}`,
			),
		});
		pending.callers = pending.callers.filter((caller) => !due.includes(caller));
		if (pending.callers.length === 0) {
			pendingByJob.delete(job);
		}

		for (const {onOutcome} of due) {
			onOutcome({isHere, isConfirmed: hasConfirmation});
		}
	}

	function answerIfConfirmed(job: string, pending: Pending): void {
		if (isConfirmed(pending)) {
			answerCallers(job, pending, {hasConfirmation: true});
		}
	}

	return {
		cancel(job, timeLeftMs, onOutcome) {
			const isHere = endJob(job, 0);
			if (cancelledJobs.add(job, {ageMs: 0, isOwn: true}) === 'full') {
				log('no room to remember a cancelled job', {
					job,
					isHere,
					remembered: cancelledJobs.size,
				});
				onOutcome({isHere, isConfirmed: false});
				return;
			}

			const pending: Pending = pendingByJob.get(job) ?? {
				isHere: false,
				confirmedBy: new Set(),
				startedAt: now(),
				callers: [],
			};
			pending.isHere ||= isHere;
			pending.callers.push({
				answerBy: now() + Math.min(confirmLimitMs, timeLeftMs - answerMarginMs),
				onOutcome,
			});
			pendingByJob.set(job, pending);
			for (const host of peers.listHosts()) {
				sendTo(host, job, 0);
			}

			answerIfConfirmed(job, pending);
		},
		receive({job, ageMs}) {
			const record = cancelledJobs.add(job, {ageMs: ageMs ?? 0, isOwn: false});
			const isHere = endJob(job, ageMs ?? 0);
			if (record !== 'known') {
				log('job is cancelled at another host', {job, isHere, record, ageMs});
			}

			return record !== 'full' && ageMs !== undefined && isHolder();
		},
		receiveConfirmation(holder, {job}) {
			const pending = pendingByJob.get(job);
			if (pending) {
				pending.confirmedBy.add(holder);
				answerIfConfirmed(job, pending);
			}
		},
		sendAll(host) {
			for (const {confirmedBy} of pendingByJob.values()) {
				confirmedBy.delete(host);
			}

			// Holders pass on what they were told, in case the host that told them has ended.
			for (const {job, ageMs} of cancelledJobs.list({isOwn: !isHolder()})) {
				sendTo(host, job, ageMs);
			}
		},
		sendPending(holder) {
			for (const [job, pending] of pendingByJob) {
				sendTo(holder, job, now() - pending.startedAt);
				answerIfConfirmed(job, pending);
			}
		},
		update() {
			cancelledJobs.forgetOld();
			for (const [job, pending] of pendingByJob) {
				answerIfConfirmed(job, pending);
				answerCallers(job, pending, {
					hasConfirmation: false,
					isDue: ({answerBy}) => now() >= answerBy,
				});
			}
		},
		giveUpAll() {
			for (const [job, pending] of pendingByJob) {
				answerCallers(job, pending, {hasConfirmation: false});
			}
		},
	};
}
