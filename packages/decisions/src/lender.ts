/**
The decisions of a keeper: it lends the slots of one target's executors in one data centre to the
owners of jobs. State in, decisions out; it reads no clock and opens no socket.
*/
import {
	grantSlots,
	judgeNewcomers,
	lendSlot,
	listShortages,
	recallSlots,
	sweepHopeless,
} from './decide.js';
import {noteOutcome} from './executor-health.js';
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

/** Waiting jobs are looked at again this often if nothing happens, milliseconds. */
const lookEveryMs = 50;

/** An answer from another data centre's keeper that takes longer than this is given up on. */
const shiftAnswerMs = 50;

/**
Makes the decisions of a keeper.

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
	/** Jobs with demand at another keeper. */
	readonly #shifting = new Set<JobState>();

	constructor(options: LenderOptions) {
		this.#state = new KeeperState(options);
	}

	setExecutors(executors: readonly LentExecutor[], now: number): void {
		this.#state.pool.set(executors);
		this.#state.pool.judge(now, true);
		this.#state.hasNews = true;
	}

	setTeams(shares: ReadonlyMap<string, TeamShare>): void {
		this.#state.jobs.teams.setShares(shares);
	}

	/** Tells how many slots other data centres have free: admission counts on them. */
	setRemoteFree(slots: number): void {
		this.#state.remoteFree = slots;
	}

	/** Takes a job's demand, new or brought up to date; the same one twice changes nothing. */
	demand(demand: Demand, now: number): void {
		const state = this.#state;
		const job = state.jobs.update(demand, state.viewJob(demand, now));
		state.slots.adopt(job);
	}

	/** The job ended or was cancelled: it leaves the queue. Its lent slots come back by release. */
	withdraw(owner: string, job: number): void {
		const state = this.#state.jobs.lookUp(owner, job);
		if (state) {
			this.#state.jobs.remove(state);
			this.#shifting.delete(state);
		}
	}

	/** Takes a slot back; one that isn't lent any more is ignored. */
	release(slot: number, outcome: SlotOutcome, now: number): void {
		const lent = this.#state.slots.lookUp(slot);
		if (lent) {
			this.report(slot, outcome, now);
			this.#state.slots.release(lent);
			this.#state.dropIfSpent(lent.job);
		}
	}

	/** Learns how a task ended on a slot that its owner keeps for the next one. */
	report(slot: number, outcome: SlotOutcome, now: number): void {
		const lent = this.#state.slots.lookUp(slot);
		if (!lent) {
			return;
		}

		const estimate = this.#state.estimates.get(lent.service);
		noteOutcome(lent.executor, outcome, estimate?.meanMs ?? outcome.runMs);
		if (outcome.result === 'done') {
			estimate?.note(outcome.runMs, now);
		} else if (outcome.result !== 'unused') {
			this.#state.hasFailures = true;
		}
	}

	/**
	The owner died, or its connection did. Its tasks may still run at the executors: a slot lent again at
	once would put two tasks on it, and the executor would queue or refuse one. So its slots stay out for
	the lease, in which it may still start tasks unless its process is known to be gone, and the time
	nearly all tasks end in.
	*/
	dropOwner(owner: string, now: number, isGone = false): QuarantinedSlots {
		const {jobs, slots, estimates, leaseMs} = this.#state;
		for (const job of jobs.listOwned(owner)) {
			this.withdraw(owner, job.job);
		}

		const quarantined = {slots: 0, forMs: 0};
		for (const lent of slots.listOwned(owner)) {
			const runMs = estimates.get(lent.service)?.p99Ms ?? 0;
			const forMs = isGone ? runMs : leaseMs + runMs;
			slots.quarantine(lent, now + forMs);
			quarantined.slots += 1;
			quarantined.forMs = Math.max(quarantined.forMs, forMs);
		}

		return quarantined;
	}

	/** A lost owner's process is known to be gone: it has started nothing more since it was dropped. Call once for an owner. */
	noteGone(owner: string): void {
		const {slots, leaseMs} = this.#state;
		for (const lent of slots.listOwned(owner)) {
			slots.releaseSooner(lent, leaseMs);
		}
	}

	/** Starts as a new keeper: until all borrowers have told what they hold, nothing is lent. */
	startRecovery(_now: number): void {
		this.#state.isRecovering = true;
	}

	finishRecovery(_now: number): void {
		this.#state.isRecovering = false;
	}

	/** Enters the slots that an owner has from an earlier keeper; those known are left alone. */
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
				team: job?.team ?? jobs.teams.open(''),
				service: job?.demand.service ?? '',
				executor: pool.findOrEnter(executor),
			});
		}
	}

	/**
	Grants a job of another data centre from slots free and not wanted here; never queues it.
	Local work goes first, or a busy data centre would push its queue onto its neighbours.
	*/
	shiftIn(demand: Demand, count: number, now: number): Grant[] {
		const state = this.#state;
		this.#settle(now);
		const isWanted = state.jobs.waitingTasks + state.jobs.newcomerCount > 0;
		const isClosed = isWanted || state.isRecovering;
		const free = isClosed ? 0 : state.pool.countFree(now);
		if (free === 0) {
			return [];
		}

		const job = state.jobs.enterForeign(demand, state.viewJob(demand, now));
		const grants: Grant[] = [];
		while (grants.length < Math.min(count, free)) {
			grants.push(lendSlot(state, job, state.pool.pick(now)!, now));
		}

		return grants;
	}

	/** What a job last told; undefined when it is unknown here. */
	readDemand(owner: string, job: number): Demand | undefined {
		return this.#state.jobs.lookUp(owner, job)?.demand;
	}

	/** Notes that slots were asked for elsewhere: until the answer they aren't granted here too. */
	startShift(owner: string, job: number, count: number, now: number): void {
		const state = this.#state.jobs.lookUp(owner, job);
		if (state) {
			state.shifting += count;
			state.shiftingUntil = now + shiftAnswerMs;
			this.#shifting.add(state);
			this.#state.jobs.relist(state);
		}
	}

	/** Takes the other keeper's answer: of `asked` slots it granted some. */
	settleShift(
		owner: string,
		job: number,
		{asked, granted, now}: {asked: number; granted: number; now: number},
	): void {
		const state = this.#state.jobs.lookUp(owner, job);
		if (state) {
			state.shifting = Math.max(0, state.shifting - asked);
			state.granted += granted;
			state.grantedAt = now;
			this.#state.jobs.relist(state);
		}
	}

	/** Decides on all that has changed: call it once for all messages of a loop turn. */
	decide(now: number): LendingDecisions {
		const state = this.#state;
		this.#settle(now);
		if (state.isRecovering) {
			return {grants: [], refusals: [], recalls: [], shortages: []};
		}

		state.rerankIfChanged(now);
		state.jobs.teams.refresh();
		const refusals = [
			...judgeNewcomers(state, now),
			...sweepHopeless(state, now),
		];
		const grants = grantSlots(state, now);
		const recalls = groupRecalls(recallSlots(state, now));
		const shortages = listShortages(state);
		return {grants, refusals, recalls, shortages};
	}

	/** When to decide again if nothing comes before; undefined: not at all. */
	nextDecisionAt(now: number): number | undefined {
		const {jobs, slots, pool} = this.#state;
		const isWaiting = jobs.waitingTasks > 0;
		const times = [
			slots.findNextDue(),
			isWaiting ? pool.findNextProbe() : undefined,
			isWaiting || this.#shifting.size > 0 ? now + lookEveryMs : undefined,
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
			leaving: pool.leavingBusy,
		};
	}

	#settle(now: number): void {
		const state = this.#state;
		state.slots.releaseDue(now);
		state.pool.judge(now, state.hasFailures);
		state.hasFailures = false;
		for (const job of this.#shifting) {
			if (job.shifting === 0 || now >= job.shiftingUntil) {
				job.shifting = 0;
				this.#shifting.delete(job);
				state.jobs.relist(job);
			}
		}
	}
}
