/**
The decisions of a keeper. The keeper is the process that allocates the slots of one target's executors in
one data centre; it lends them to the owners of jobs, the processes that run the jobs' tasks on them.
Callers pass in all state and the time: this code reads no clock and opens no socket.
*/
import {
	grantSlots,
	judgeNewJobs,
	lendSlot,
	listShortages,
	recallSlots,
	refuseUnreachable,
} from './decide.js';
import {recordOutcome} from './executor-health.js';
import {type JobState} from './job-state.js';
import {KeeperState} from './keeper-state.js';
import {
	type Demand,
	type Grant,
	type HeldSlot,
	type LenderOptions,
	type LenderState,
	type LendingDecisions,
	type LentExecutor,
	type QuarantinedSlots,
	type SlotOutcome,
	type TeamShare,
} from './lending.js';
import {groupRecalls} from './recall.js';

/** Interval between decisions while jobs wait and no message arrives. */
const idleDecisionIntervalMs = 50;

/** Time-out for the answer of another data centre's keeper to a request for slots. */
const remoteAnswerTimeoutMs = 50;

/**
Creates the decision state of one keeper. All times are in milliseconds on the caller's clock.

@example
const lender = createLender({firstSlot: 1});
lender.setExecutors([{name: 'e1', slots: 8, isLeaving: false}], now);
lender.demand(demand, now);
const {grants, refusals, recalls, shortages} = lender.decide(now);
*/
export function createLender(options: LenderOptions = {}): Lender {
	return new Lender(options);
}

export class Lender {
	readonly #state: KeeperState;
	/** Jobs with an unanswered request for slots at another keeper. */
	readonly #jobsRequestedElsewhere = new Set<JobState>();

	constructor(options: LenderOptions) {
		this.#state = new KeeperState(options);
	}

	setExecutors(executors: readonly LentExecutor[], now: number): void {
		this.#state.pool.setExecutors(executors);
		this.#state.pool.judge(now, true);
		this.#state.isRecallDue = true;
	}

	setTeams(shares: ReadonlyMap<string, TeamShare>): void {
		this.#state.jobs.teams.setShares(shares);
	}

	/** Sets how many slots other data centres have free; admission counts them as capacity. */
	setRemoteFree(slots: number): void {
		this.#state.remoteFree = slots;
	}

	/** Adds a job or replaces its demand. Idempotent: the same demand again changes nothing. */
	updateDemand(demand: Demand, now: number): void {
		const state = this.#state;
		const job = state.jobs.update(demand, state.viewJob(demand, now));
		state.slots.setJob(job);
	}

	/** Removes a job that ended or was cancelled. Its slots stay lent until they are released. */
	withdraw(owner: string, job: number): void {
		const state = this.#state.jobs.lookUp(owner, job);
		if (state) {
			this.#state.jobs.remove(state);
			this.#jobsRequestedElsewhere.delete(state);
		}
	}

	/** Takes back a slot. A slot number that is no longer lent is ignored. */
	release(slot: number, outcome: SlotOutcome, now: number): void {
		const lent = this.#state.slots.lookUp(slot);
		if (lent) {
			this.recordOutcome(slot, outcome, now);
			this.#state.slots.release(lent);
			this.#state.dropForeignIfReleased(lent.job);
		}
	}

	/** Records how a task ended on a slot that its owner keeps for the next task. */
	recordOutcome(slot: number, outcome: SlotOutcome, now: number): void {
		const lent = this.#state.slots.lookUp(slot);
		if (!lent) {
			return;
		}

		const estimate = this.#state.estimates.get(lent.service);
		recordOutcome(lent.executor, outcome, estimate?.meanMs ?? outcome.runMs);
		if (outcome.result === 'done') {
			estimate?.recordRunMs(outcome.runMs, now);
		} else if (outcome.result !== 'unused') {
			this.#state.hasFailures = true;
		}
	}

	/**
	Removes the jobs of an owner that died or lost its connection, and quarantines its slots. The owner's
	tasks may still run on the executors. If such a slot were lent again at once, it would get two tasks,
	and the executor would queue or refuse one. The quarantine lasts for the lease, during which the owner
	may still start tasks (skipped if `isGone`: the owner's process is known to have ended), plus the 99th
	percentile of the task run time.
	*/
	dropOwner(owner: string, now: number, isGone = false): QuarantinedSlots {
		const {jobs, slots, estimates, leaseMs} = this.#state;
		for (const job of jobs.listOwned(owner)) {
			this.withdraw(owner, job.job);
		}

		const quarantined = {slots: 0, maxQuarantineMs: 0};
		for (const lent of slots.listOwned(owner)) {
			const runMs = estimates.get(lent.service)?.p99Ms ?? 0;
			const forMs = isGone ? runMs : leaseMs + runMs;
			slots.quarantine(lent, now + forMs);
			quarantined.slots += 1;
			quarantined.maxQuarantineMs = Math.max(
				quarantined.maxQuarantineMs,
				forMs,
			);
		}

		return quarantined;
	}

	/**
	Shortens the quarantine of a dropped owner's slots by the lease, once its process is known to have ended
	and so has started no task since `dropOwner`. Must be called only once for an owner: each call shortens it.
	*/
	recordOwnerExit(owner: string): void {
		const {slots, leaseMs} = this.#state;
		for (const lent of slots.listOwned(owner)) {
			slots.releaseSooner(lent, leaseMs);
		}
	}

	/**
	Starts the recovery of a new keeper: it lends nothing until `finishRecovery`, when all borrowers have
	reported their slots.
	*/
	startRecovery(_now: number): void {
		this.#state.isRecovering = true;
	}

	finishRecovery(_now: number): void {
		this.#state.isRecovering = false;
	}

	/** Restores the slots that an owner holds from an earlier keeper. Slots already known are not changed. */
	restoreSlots(owner: string, held: readonly HeldSlot[], now = 0): void {
		const {jobs, slots, pool} = this.#state;
		slots.reconcile(owner, new Set(held.map(({slot}) => slot)), now);
		for (const {executor, slot, job: jobNumber} of held) {
			if (slots.lookUp(slot)) {
				continue;
			}

			const job = jobs.lookUp(owner, jobNumber);
			slots.restore(slot, {
				owner,
				jobNumber,
				lentAt: now,
				job,
				team: job?.team ?? jobs.teams.getOrAdd(''),
				service: job?.demand.service ?? '',
				executor: pool.getOrAdd(executor),
			});
		}
	}

	/**
	Grants up to `count` slots to a job of another data centre, from slots that are free while no job waits
	here. The job is never queued here. Local jobs go first: otherwise a busy data centre would move its
	queue to its neighbours.
	*/
	grantToForeign(demand: Demand, count: number, now: number): Grant[] {
		const state = this.#state;
		this.#applyDueChanges(now);
		const isWanted = state.jobs.waitingTasks + state.jobs.newJobCount > 0;
		const isNothingLendable = isWanted || state.isRecovering;
		const free = isNothingLendable ? 0 : state.pool.countFree(now);
		if (free === 0) {
			return [];
		}

		const job = state.jobs.addForeign(demand, state.viewJob(demand, now));
		const grants: Grant[] = [];
		while (grants.length < Math.min(count, free)) {
			grants.push(lendSlot(state, job, state.pool.pick(now)!, now));
		}

		return grants;
	}

	/** The job's last demand; undefined if the job is unknown here. */
	findDemand(owner: string, job: number): Demand | undefined {
		return this.#state.jobs.lookUp(owner, job)?.demand;
	}

	/**
	Records a request for slots at another keeper: until the answer or its time-out, these aren't also
	granted here.
	*/
	recordRemoteRequest(
		owner: string,
		job: number,
		count: number,
		now: number,
	): void {
		const state = this.#state.jobs.lookUp(owner, job);
		if (state) {
			state.requestedElsewhere += count;
			state.requestedElsewhereUntil = now + remoteAnswerTimeoutMs;
			this.#jobsRequestedElsewhere.add(state);
			this.#state.jobs.updateQueued(state);
		}
	}

	/** Applies the other keeper's answer: it granted `granted` of `asked` slots. */
	applyRemoteAnswer(
		owner: string,
		job: number,
		{asked, granted, now}: {asked: number; granted: number; now: number},
	): void {
		const state = this.#state.jobs.lookUp(owner, job);
		if (state) {
			state.requestedElsewhere = Math.max(0, state.requestedElsewhere - asked);
			state.granted += granted;
			state.grantedAt = now;
			this.#state.jobs.updateQueued(state);
		}
	}

	/** Decides on all changes so far. Call it once for all messages of one event-loop turn. */
	decide(now: number): LendingDecisions {
		const state = this.#state;
		this.#applyDueChanges(now);
		if (state.isRecovering) {
			return {grants: [], refusals: [], recalls: [], shortages: []};
		}

		state.updateRanksIfChanged(now);
		state.jobs.teams.sumWeights();
		const refusals = [
			...judgeNewJobs(state, now),
			...refuseUnreachable(state, now),
		];
		const grants = grantSlots(state, now);
		const recalls = groupRecalls(recallSlots(state, now));
		const shortages = listShortages(state);
		return {grants, refusals, recalls, shortages};
	}

	/** When to decide again if no message arrives before; undefined if there is nothing to wait for. */
	findNextDecisionAt(now: number): number | undefined {
		const {jobs, slots, pool} = this.#state;
		const isWaiting = jobs.waitingTasks > 0;
		const times = [
			slots.findNextDue(),
			isWaiting ? pool.findNextProbe() : undefined,
			isWaiting || this.#jobsRequestedElsewhere.size > 0
				? now + idleDecisionIntervalMs
				: undefined,
		].filter((time) => time !== undefined);
		return times.length === 0 ? undefined : Math.max(now, Math.min(...times));
	}

	readState(now: number): LenderState {
		const {jobs, pool} = this.#state;
		const bestOrder = jobs.teams.findBestOrder();
		return {
			free: pool.countFree(now),
			slots: pool.capacity,
			queuedTasks: jobs.waitingTasks,
			queuedWorkMs: jobs.waitingWorkMs,
			bestRank: bestOrder === undefined ? undefined : bestOrder - now,
			leaving: pool.leavingBusyCount,
		};
	}

	#applyDueChanges(now: number): void {
		const state = this.#state;
		state.slots.releaseDue(now);
		state.pool.judge(now, state.hasFailures);
		state.hasFailures = false;
		for (const job of this.#jobsRequestedElsewhere) {
			if (job.requestedElsewhere === 0 || now >= job.requestedElsewhereUntil) {
				job.requestedElsewhere = 0;
				this.#jobsRequestedElsewhere.delete(job);
				state.jobs.updateQueued(job);
			}
		}
	}
}
