/**
Follows which schedulers hold a claim on which tasks, from the messages that they get and send, and reports each task that two groups
hold at a time. Their claims are what lets both start it, so this shows long before two runs overlap.
*/
import {
	entrySilenceMs,
	type Entry,
	type GroupScheduler,
} from '@gentianshift/scheduling';
import {type VirtualClock} from '@gentianshift/scheduling/fixtures';
import {type GroupHoldings} from '../group-holdings.js';

type HolderMessage = Parameters<GroupScheduler['receive']>[1];
type MessageOfHolder = Parameters<Entry['send']>[0];
type PartOrKeep = Extract<HolderMessage, {t: 'part' | 'keep'}>;

type HeldJob = {
	id: string;
	entry: string;
	takenAtMs: number;
	claim: number;
	/** The latest state of the scheduler that the entry answered for the claim; claims are timed by clocks that nothing stops. */
	renewedAt: number;
	/** Tasks that it has not told to be over. */
	tasks: Set<number>;
};

type Holder = {
	host: string;
	group: string;
	token: number;
	holdsGroup: () => boolean;
	jobs: Map<string, HeldJob>;
};

type ComparedCopies = {
	/**
	Two copies of a job are compared as well. Only where callers wait before they send a job again: otherwise a group may hold a copy
	that it has yet to learn was replaced, and starts it only after it has asked.
	*/
	areCopiesCompared: boolean;
};

export class LiveClaims {
	/** A line for each task that two groups held at a time. */
	readonly violations = new Set<string>();
	readonly #holders = new Map<GroupScheduler, Holder>();
	readonly #clock: VirtualClock;
	readonly #options: ComparedCopies;

	constructor(clock: VirtualClock, options: ComparedCopies) {
		this.#clock = clock;
		this.#options = options;
	}

	/** Follows the schedulers of a host's process: each message for one of them is passed by these two methods. */
	observe(host: string, holdings: GroupHoldings, isAlive: () => boolean): void {
		const listAddressed = holdings.listAddressed.bind(holdings);
		holdings.listAddressed = (address) => {
			const schedulers = listAddressed(address);
			for (const scheduler of schedulers) {
				if (!this.#holders.has(scheduler)) {
					this.#observeScheduler(
						host,
						scheduler,
						() => isAlive() && holdings.schedulers.includes(scheduler),
					);
				}
			}

			return schedulers;
		};
	}

	#observeScheduler(
		host: string,
		scheduler: GroupScheduler,
		holdsGroup: () => boolean,
	): void {
		const {group} = scheduler.describeState();
		const {token} = scheduler;
		const holder: Holder = {host, group, token, holdsGroup, jobs: new Map()};
		this.#holders.set(scheduler, holder);
		const receive = scheduler.receive.bind(scheduler);
		scheduler.receive = (entry, message) => {
			// Noted first: what the scheduler sends at once, such as the tasks of a part that it refuses, ends what the message has begun.
			noteReceived(holder, entry, message, this.#clock.now);
			const observed: Entry = {
				key: entry.key,
				send(sent) {
					noteSent(holder, entry.key, sent);
					entry.send(sent);
				},
			};
			receive(observed, message);
			if (message.t === 'part' || message.t === 'keep') {
				this.#check(holder, message);
			}
		};
	}

	/** Compares the jobs that the message is about with those of the holders of other groups. */
	#check(holder: Holder, message: PartOrKeep): void {
		if (!this.#isCurrent(holder)) {
			return;
		}

		const elsewhere = [...this.#holders.values()].filter(
			(other) => other.group !== holder.group && this.#isCurrent(other),
		);
		for (const job of listMeantJobs(holder, message)) {
			for (const other of elsewhere) {
				const otherJob = other.jobs.get(job.id);
				for (const index of otherJob ? this.#listShared(job, otherJob) : []) {
					this.violations.add(
						`${job.id}/${index} at ${this.#clock.now}: ${describe(holder, job)} and ${describe(other, otherJob!)}`,
					);
				}
			}
		}
	}

	/** Tasks of both that each is allowed to start now. */
	#listShared(one: HeldJob, other: HeldJob): number[] {
		const {now} = this.#clock;
		const isSameCopy =
			one.entry === other.entry && one.takenAtMs === other.takenAtMs;
		const isCompared = isSameCopy || this.#options.areCopiesCompared;
		return isCompared && isLive(one, now) && isLive(other, now)
			? [...one.tasks].filter((index) => other.tasks.has(index))
			: [];
	}

	/** The executors of a group obey the latest holder only. */
	#isCurrent(holder: Holder): boolean {
		return (
			holder.holdsGroup() &&
			[...this.#holders.values()].every(
				({group, token}) => group !== holder.group || token <= holder.token,
			)
		);
	}
}

function noteReceived(
	holder: Holder,
	entry: Entry,
	message: HolderMessage,
	now: number,
): void {
	const {jobs, token} = holder;
	switch (message.t) {
		case 'part': {
			if (message.token === token) {
				notePart(holder, entry, message, now);
			}

			break;
		}

		case 'keep': {
			if (message.token === token) {
				noteKeep(holder, entry, message);
			}

			break;
		}

		case 'replace': {
			if (jobs.get(message.job)?.entry !== entry.key) {
				jobs.delete(message.job);
			}

			break;
		}

		case 'drop': {
			const job = jobs.get(message.job);
			const isMeant =
				job?.entry === entry.key &&
				job.takenAtMs <= message.takenAtMs &&
				job.claim <= (message.claim ?? Infinity);
			if (isMeant && !message.withdrawal) {
				jobs.delete(message.job);
			}

			break;
		}
	}
}

function notePart(
	{jobs}: Holder,
	entry: Entry,
	{job: id, takenAtMs, claim, stateAt, tasks}: Extract<PartOrKeep, {t: 'part'}>,
	now: number,
): void {
	const known = jobs.get(id);
	const isSameCopy =
		known?.entry === entry.key && known.takenAtMs === takenAtMs;
	const isStale = known !== undefined && now - stateAt > entrySilenceMs;
	if (isSameCopy ? known.claim > claim : isStale) {
		return;
	}

	const job: HeldJob =
		isSameCopy && known.claim === claim
			? known
			: {
					id,
					entry: entry.key,
					takenAtMs,
					claim,
					renewedAt: stateAt,
					tasks: new Set(),
				};
	job.renewedAt = Math.max(job.renewedAt, stateAt);
	for (const [index] of tasks) {
		job.tasks.add(index);
	}

	jobs.set(id, job);
}

function noteKeep(
	{jobs}: Holder,
	entry: Entry,
	{stateAt, claims}: Extract<PartOrKeep, {t: 'keep'}>,
): void {
	for (const job of jobs.values()) {
		if (job.entry === entry.key && claims.includes(job.claim)) {
			job.renewedAt = Math.max(job.renewedAt, stateAt);
		}
	}
}

function noteSent(
	{jobs}: Holder,
	entry: string,
	message: MessageOfHolder,
): void {
	switch (message.t) {
		case 'ends': {
			const job = jobs.get(message.job);
			if (job?.entry === entry && job.claim === message.claim) {
				for (const {index} of message.ends) {
					job.tasks.delete(index);
				}
			}

			break;
		}

		case 'replaced': {
			const job = jobs.get(message.job);
			if (message.isRefused && job?.entry === entry) {
				jobs.delete(message.job);
			}

			break;
		}

		case 'cancel-job': {
			jobs.delete(message.job);
			break;
		}

		case 'claims-ended': {
			break;
		}
	}
}

function listMeantJobs({jobs}: Holder, message: PartOrKeep): HeldJob[] {
	return [...jobs.values()].filter(({id, claim}) =>
		message.t === 'part' ? message.job === id : message.claims.includes(claim),
	);
}

function isLive({renewedAt}: HeldJob, now: number): boolean {
	return now - renewedAt <= entrySilenceMs;
}

function describe({host, group}: Holder, {entry, claim}: HeldJob): string {
	return `${host} (${group}) under claim ${claim} of ${entry}`;
}
