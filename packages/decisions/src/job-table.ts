/**
The jobs that a keeper knows: new ones, those that wait for slots (queued by team and rank), and those that
have all the slots they asked for.
*/
import {countWanted, type JobState} from './job-state.js';
import {type Demand} from './lending.js';
import {ageingFactor} from './rank.js';
import {TeamTable} from './team-table.js';

/** Subtracted from the sort key of urgent jobs: longer than any job waits, so that they precede all others. */
const urgentLeadMs = 1e12;

/** A grant that the owner doesn't report for this long is lost: grants normally arrive within milliseconds. */
const lostGrantTimeoutMs = 1000;

/** The parts of the keeper's state that ranking needs; `taskMs` is the service's estimated run time. */
export type JobView = {now: number; taskMs: number; slots: number};

export class JobTable {
	readonly teams = new TeamTable();
	waitingWorkMs = 0;
	waitingTasks = 0;
	/** Slots that this keeper's jobs hold from other keepers. */
	heldElsewhere = 0;
	readonly #jobs = new Map<string, JobState>();
	readonly #byOwner = new Map<string, Set<JobState>>();
	#newJobs = new Set<JobState>();
	#sequence = 0;

	lookUp(owner: string, job: number): JobState | undefined {
		return this.#jobs.get(formatJobKey(owner, job));
	}

	get size(): number {
		return this.#jobs.size;
	}

	/** Adds a job or replaces its demand. Messages arrive in order, so the last demand is the newest. */
	update(demand: Demand, view: JobView): JobState {
		const {owner, job: number} = demand;
		const job = this.lookUp(owner, number) ?? this.#add(demand, view.now);
		this.#removeQueued(job);
		reconcileGranted(job, demand, view.now);
		job.isForeign = false;
		this.heldElsewhere += countElsewhere(demand) - countElsewhere(job.demand);
		job.demand = demand;
		job.deadlineAt = view.now + demand.deadlineInMs;
		this.rank(job, view);
		if (job.isAdmitted) {
			this.updateQueued(job);
		}

		return job;
	}

	/** Adds a job of another data centre. It holds slots here and is never queued. */
	addForeign(demand: Demand, view: JobView): JobState {
		const present = this.lookUp(demand.owner, demand.job);
		if (present) {
			return present;
		}

		const job = this.#add({...demand, asked: 0}, view.now);
		job.isForeign = true;
		job.isAdmitted = true;
		this.#newJobs.delete(job);
		this.rank(job, view);
		return job;
	}

	/** Returns and clears the jobs that arrived since the last call, best rank first. */
	takeNewJobs(): JobState[] {
		const newJobs = [...this.#newJobs].toSorted(
			(a, b) => a.order - b.order || a.sequence - b.sequence,
		);
		this.#newJobs = new Set();
		return newJobs;
	}

	get newJobCount(): number {
		return this.#newJobs.size;
	}

	admit(job: JobState): void {
		job.isAdmitted = true;
		this.updateQueued(job);
	}

	/** Adds the job to its team's queue if it wants slots, and removes it otherwise. */
	updateQueued(job: JobState): void {
		const isWaiting = countWanted(job) > 0;
		if (isWaiting === job.isQueued) {
			return;
		}

		if (!isWaiting) {
			this.#removeQueued(job);
			return;
		}

		job.isQueued = true;
		job.team.waiting.insert(job);
		this.#addToTotals(job, 1);
	}

	/**
	Removes an ended job. The cost is a search in its team's sorted queue, regardless of other teams'
	queues.
	*/
	remove(job: JobState): void {
		if (!this.#jobs.delete(formatJobKey(job.owner, job.job))) {
			return;
		}

		this.#removeQueued(job);
		this.#newJobs.delete(job);
		this.heldElsewhere -= countElsewhere(job.demand);
		job.team.jobCount -= 1;
		const owned = this.#byOwner.get(job.owner);
		owned?.delete(job);
		if (owned?.size === 0) {
			this.#byOwner.delete(job.owner);
		}
	}

	listOwned(owner: string): JobState[] {
		return [...(this.#byOwner.get(owner) ?? [])];
	}

	*listWaiting(): Generator<JobState> {
		for (const {waiting} of this.teams.listActive()) {
			yield* waiting.items;
		}
	}

	/** Ranks all waiting jobs again after the figures behind their order have changed. */
	updateRanks(getView: (demand: Demand) => JobView): void {
		for (const job of this.listWaiting()) {
			this.#removeQueued(job);
			this.rank(job, getView(job.demand));
			this.updateQueued(job);
		}
	}

	/** Computes the job's sort key. The job must not be in the queue meanwhile. */
	rank(job: JobState, {taskMs, slots}: JobView): void {
		job.workMs = job.demand.remaining * taskMs;
		const overtakableMs = (ageingFactor * job.workMs) / Math.max(1, slots);
		job.order = job.isUrgent
			? job.deadlineAt - urgentLeadMs
			: job.waitingSince + overtakableMs;
	}

	/** Moves a waiting job before all jobs that aren't urgent. Urgent jobs are ordered by deadline. */
	markUrgent(job: JobState): void {
		this.#removeQueued(job);
		job.isUrgent = true;
		job.order = job.deadlineAt - urgentLeadMs;
		this.updateQueued(job);
	}

	#add(demand: Demand, now: number): JobState {
		this.#sequence += 1;
		const job: JobState = {
			owner: demand.owner,
			job: demand.job,
			sequence: this.#sequence,
			order: 0,
			team: this.teams.getOrAdd(demand.team),
			demand,
			waitingSince: now - demand.waitedMs,
			deadlineAt: now + demand.deadlineInMs,
			isAdmitted: demand.isAdmitted ?? false,
			isUrgent: false,
			isQueued: false,
			workMs: 0,
			isForeign: false,
			granted: demand.granted ?? 0,
			grantedAt: now,
			requestedElsewhere: 0,
			requestedElsewhereUntil: 0,
			heldSlots: new Map(),
		};
		job.team.jobCount += 1;
		this.heldElsewhere += countElsewhere(demand);
		this.#jobs.set(formatJobKey(job.owner, job.job), job);
		const owned = this.#byOwner.get(job.owner) ?? new Set();
		owned.add(job);
		this.#byOwner.set(job.owner, owned);
		if (!job.isAdmitted) {
			this.#newJobs.add(job);
		}

		return job;
	}

	#removeQueued(job: JobState): void {
		if (!job.isQueued) {
			return;
		}

		job.isQueued = false;
		job.team.waiting.remove(job);
		this.#addToTotals(job, -1);
	}

	#addToTotals(job: JobState, sign: 1 | -1): void {
		job.team.waitingWorkMs += sign * job.workMs;
		this.waitingWorkMs += sign * job.workMs;
		this.waitingTasks += sign * job.demand.remaining;
	}
}

/**
Adopts the owner's count of granted slots where this keeper's count can't be right. A grant is lost if
its connection, or another data centre's, breaks at that moment. If the keeper went on counting it,
the job would wait until its deadline for slots that never come. So grants that the owner still
doesn't report after the time-out count as lost; the owner gives back one that arrives later.
*/
function reconcileGranted(job: JobState, {granted}: Demand, now: number): void {
	if (granted === undefined) {
		return;
	}

	const isLost =
		granted < job.granted && now - job.grantedAt > lostGrantTimeoutMs;
	const isUnderCounted = granted > job.granted && job.isForeign;
	if (isLost || isUnderCounted) {
		job.granted = granted;
	}
}

function countElsewhere({heldElsewhere}: Demand): number {
	return heldElsewhere ?? 0;
}

function formatJobKey(owner: string, job: number): string {
	return `${owner}#${job}`;
}
