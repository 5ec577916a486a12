/**
A discrete-event simulation on a virtual clock: owners, keepers and executors of a few data centres, with
message delays between them. It models only what is needed to measure how the decisions affect callers.
*/
import {createLender, type Lender} from './lender.js';
import {type Grant, type SlotOutcome, type TeamShare} from './lending.js';
import {keepsSlot, rankJob} from './rank.js';
import {RankedList} from './ranked-list.js';

export type JobPlan = {
	at: number;
	team: string;
	/** Index of the data centre whose host receives the job. */
	dataCentre: number;
	deadlineMs: number;
	declaredMs: number;
	/** Real run time of each task on a healthy executor. */
	runMs: number[];
	cancelAt?: number;
};

export type ExecutorPlan = {
	name: string;
	dataCentre: number;
	slots: number;
	/** Outcome of a task that runs for `runMs` on a healthy executor. */
	run?: (runMs: number) => SlotOutcome;
};

export type JobRecord = {
	plan: JobPlan;
	state: 'open' | 'done' | 'failed' | 'refused' | 'cancelled' | 'late';
	endedAt: number;
	workDoneMs: number;
	/** The part of `workDoneMs` that was done before the last arrival. */
	workBeforeLastArrivalMs: number;
};

export type ReplayPlan = {
	jobs: JobPlan[];
	executors: ExecutorPlan[];
	dataCentres?: number;
	teams?: Map<string, TeamShare>;
	/** One-way message delays inside a data centre and between two. */
	localDelayMs?: number;
	remoteDelayMs?: number;
};

export type ReplayReport = {
	jobs: JobRecord[];
	unusedGrants: number;
	starts: number;
	recalls: number;
	endedAt: number;
};

type Slot = Grant & {keeper: number; isRecalled: boolean};
type Job = JobRecord & {
	number: number;
	nextTask: number;
	doneTasks: number;
	granted: number;
	heldElsewhere: number;
	slots: Set<Slot>;
};
type Event = {order: number; sequence: number; run: () => void};

/** Interval at which keepers exchange their numbers of free slots. */
const stateIntervalMs = 5;

function sum(numbers: number[]): number {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
}

export class Replay {
	now = 0;
	readonly report: ReplayReport;
	readonly #events = new RankedList<Event>();
	#sequence = 0;
	readonly #plan: ReplayPlan;
	readonly #lastArrivalAt: number;
	readonly #keepers: Lender[] = [];
	readonly #isDeciding: boolean[] = [];
	readonly #nextDecisionAt: number[] = [];
	readonly #free: number[] = [];
	readonly #jobs: Job[];
	readonly #slots = new Map<string, Slot>();
	readonly #busy = new Map<string, number>();

	constructor(plan: ReplayPlan) {
		this.#plan = plan;
		this.#lastArrivalAt = Math.max(...plan.jobs.map(({at}) => at));
		this.#jobs = plan.jobs.map((job, number) => ({
			plan: job,
			state: 'open',
			endedAt: 0,
			workDoneMs: 0,
			workBeforeLastArrivalMs: 0,
			number,
			nextTask: 0,
			doneTasks: 0,
			granted: 0,
			heldElsewhere: 0,
			slots: new Set<Slot>(),
		}));
		this.report = {
			jobs: this.#jobs,
			unusedGrants: 0,
			starts: 0,
			recalls: 0,
			endedAt: 0,
		};
		for (let index = 0; index < (plan.dataCentres ?? 1); index += 1) {
			const keeper = createLender();
			keeper.setExecutors(
				plan.executors
					.filter(({dataCentre}) => dataCentre === index)
					.map(({name, slots}) => ({name, slots, isLeaving: false})),
				0,
			);
			keeper.setTeams(plan.teams ?? new Map());
			this.#keepers.push(keeper);
		}
	}

	run(): ReplayReport {
		for (const job of this.#jobs) {
			this.#schedule(job.plan.at, () => {
				this.#submit(job);
			});
		}

		this.#exchangeStates();
		for (
			let event = this.#events.items.shift();
			event;
			event = this.#events.items.shift()
		) {
			this.now = event.order;
			event.run();
		}

		this.report.endedAt = this.now;
		return this.report;
	}

	#schedule(time: number, run: () => void): void {
		this.#sequence += 1;
		this.#events.insert({order: time, sequence: this.#sequence, run});
	}

	#getDelayMs(from: number, to: number): number {
		return from === to
			? (this.#plan.localDelayMs ?? 0.3)
			: (this.#plan.remoteDelayMs ?? 1);
	}

	#submit(job: Job): void {
		this.#sendDemand(job);
		this.#schedule(job.plan.at + job.plan.deadlineMs, () => {
			this.#end(job, 'late');
		});
		if (job.plan.cancelAt !== undefined) {
			this.#schedule(job.plan.cancelAt, () => {
				this.#end(job, 'cancelled');
			});
		}
	}

	#describe(job: Job) {
		const {plan, number, doneTasks, granted, nextTask, heldElsewhere} = job;
		return {
			owner: `host-${plan.dataCentre}`,
			job: number,
			service: 'meals',
			team: plan.team,
			remaining: plan.runMs.length - doneTasks,
			asked: granted + plan.runMs.length - nextTask,
			taskMs: plan.declaredMs,
			deadlineInMs: plan.at + plan.deadlineMs - this.now,
			waitedMs: this.now - plan.at,
			heldElsewhere,
		};
	}

	/** Sends the job's demand to its keeper. */
	#sendDemand(job: Job): void {
		const keeper = job.plan.dataCentre;
		const demand = this.#describe(job);
		this.#send(keeper, keeper, (lender) => {
			lender.updateDemand(demand, this.now);
		});
	}

	#send(from: number, keeper: number, act: (lender: Lender) => void): void {
		this.#schedule(this.now + this.#getDelayMs(from, keeper), () => {
			act(this.#keepers[keeper]!);
			this.#scheduleDecision(keeper);
		});
	}

	#scheduleDecision(keeper: number): void {
		if (!this.#isDeciding[keeper]) {
			this.#isDeciding[keeper] = true;
			this.#schedule(this.now, () => {
				this.#isDeciding[keeper] = false;
				this.#decide(keeper);
			});
		}
	}

	#decide(keeper: number): void {
		const lender = this.#keepers[keeper]!;
		const {grants, refusals, recalls, shortages} = lender.decide(this.now);
		this.#deliver(keeper, grants);
		for (const refusal of refusals) {
			this.#schedule(this.now + this.#getDelayMs(keeper, keeper), () => {
				this.#end(this.#jobs[refusal.job]!, 'refused');
			});
		}

		for (const slot of recalls.flatMap((recall) => recall.slots)) {
			this.report.recalls += 1;
			const lent = this.#slots.get(`${keeper}/${slot}`);
			this.#schedule(this.now + this.#getDelayMs(keeper, keeper), () => {
				if (lent) {
					lent.isRecalled = true;
				}
			});
		}

		for (const shortage of shortages) {
			this.#shift(keeper, this.#jobs[shortage.job]!, shortage.count);
		}

		this.#scheduleNextDecision(keeper, lender.findNextDecisionAt(this.now));
	}

	#scheduleNextDecision(keeper: number, next: number | undefined): void {
		const planned = this.#nextDecisionAt[keeper] ?? 0;
		if (next === undefined || (planned > this.now && planned <= next)) {
			return;
		}

		const time = Math.max(next, this.now + 1);
		this.#nextDecisionAt[keeper] = time;
		this.#schedule(time, () => {
			this.#scheduleDecision(keeper);
		});
	}

	#deliver(keeper: number, grants: Grant[]): void {
		for (const grant of grants) {
			const job = this.#jobs[grant.job]!;
			const slot = {...grant, keeper, isRecalled: false};
			this.#slots.set(`${keeper}/${grant.slot}`, slot);
			this.#schedule(
				this.now + this.#getDelayMs(keeper, job.plan.dataCentre),
				() => {
					this.#receiveGrant(job, slot);
				},
			);
		}
	}

	#shift(from: number, job: Job, wanted: number): void {
		const others = this.#free.map((free, index) => (index === from ? 0 : free));
		const to = others.indexOf(Math.max(...others));
		const asked = Math.min(wanted, this.#free[to] ?? 0);
		if (to === from || asked < 1) {
			return;
		}

		this.#free[to]! -= asked;
		const demand = this.#describe(job);
		this.#keepers[from]!.recordRemoteRequest(
			demand.owner,
			job.number,
			asked,
			this.now,
		);
		this.#send(from, to, (lender) => {
			const grants = lender.grantToForeign(demand, asked, this.now);
			this.#deliver(to, grants);
			this.#send(to, from, (home) => {
				home.applyRemoteAnswer(demand.owner, job.number, {
					asked,
					granted: grants.length,
					now: this.now,
				});
			});
		});
	}

	#exchangeStates(): void {
		for (const [dataCentre, keeper] of this.#keepers.entries()) {
			this.#free[dataCentre] = keeper.readState(this.now).free;
		}

		for (const [dataCentre, keeper] of this.#keepers.entries()) {
			const others = this.#free.filter((_, index) => index !== dataCentre);
			keeper.setRemoteFree(sum(others));
		}

		if (this.#jobs.some(({state}) => state === 'open')) {
			this.#schedule(this.now + stateIntervalMs, () => {
				this.#exchangeStates();
			});
		}
	}

	#receiveGrant(job: Job, slot: Slot): void {
		job.granted += 1;
		job.heldElsewhere += Number(slot.keeper !== job.plan.dataCentre);
		job.slots.add(slot);
		if (job.state !== 'open' || job.nextTask === job.plan.runMs.length) {
			this.report.unusedGrants += 1;
			this.#giveBack(job, slot, {result: 'unused', runMs: 0});
			return;
		}

		this.#start(job, slot);
	}

	#start(job: Job, slot: Slot): void {
		const runMs = job.plan.runMs[job.nextTask]!;
		job.nextTask += 1;
		this.report.starts += 1;
		const executor = this.#plan.executors.find(
			({name}) => name === slot.executor,
		)!;
		const busy = (this.#busy.get(slot.executor) ?? 0) + 1;
		this.#busy.set(slot.executor, busy);
		if (busy > executor.slots) {
			throw new Error(
				`${slot.executor} got ${busy} tasks for ${executor.slots} slots`,
			);
		}

		const outcome = executor.run?.(runMs) ?? {result: 'done', runMs};
		const roundTripMs = 2 * this.#getDelayMs(job.plan.dataCentre, slot.keeper);
		this.#schedule(this.now + outcome.runMs + roundTripMs, () => {
			this.#busy.set(slot.executor, this.#busy.get(slot.executor)! - 1);
			this.#finish(job, slot, {outcome, runMs});
		});
	}

	#finish(
		job: Job,
		slot: Slot,
		{outcome, runMs}: {outcome: SlotOutcome; runMs: number},
	): void {
		if (outcome.result === 'done') {
			job.doneTasks += 1;
			job.workDoneMs += runMs;
			job.workBeforeLastArrivalMs +=
				this.now <= this.#lastArrivalAt ? runMs : 0;
		} else {
			this.#end(job, 'failed');
		}

		if (job.doneTasks === job.plan.runMs.length) {
			this.#end(job, 'done');
		}

		const hasTasksLeft =
			job.state === 'open' && job.nextTask < job.plan.runMs.length;
		if (!hasTasksLeft || slot.isRecalled || !this.#keepsSlot(job, slot)) {
			this.#giveBack(job, slot, outcome);
		} else {
			this.#send(job.plan.dataCentre, slot.keeper, (lender) => {
				lender.recordOutcome(slot.slot, outcome, this.now);
			});
			this.#start(job, slot);
		}

		if (job.state === 'open') {
			this.#sendDemand(job);
		}
	}

	#keepsSlot(job: Job, slot: Slot): boolean {
		const {remaining, taskMs, waitedMs} = this.#describe(job);
		const state = this.#keepers[slot.keeper]!.readState(this.now);
		return keepsSlot(
			rankJob({remaining, taskMs, waitedMs}, state.slots),
			state.bestRank,
		);
	}

	#giveBack(job: Job, slot: Slot, outcome: SlotOutcome): void {
		job.slots.delete(slot);
		job.heldElsewhere -= Number(slot.keeper !== job.plan.dataCentre);
		this.#send(job.plan.dataCentre, slot.keeper, (lender) => {
			lender.release(slot.slot, outcome, this.now);
		});
	}

	#end(job: Job, state: JobRecord['state']): void {
		if (job.state !== 'open') {
			return;
		}

		job.state = state;
		job.endedAt = this.now;
		const keeper = job.plan.dataCentre;
		this.#send(keeper, keeper, (lender) => {
			lender.withdraw(`host-${keeper}`, job.number);
		});
	}
}
