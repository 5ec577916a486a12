/**
The borrowing side: tells keepers what this host's jobs want, and hands granted slots to the
jobs' owner under a lease.
*/
import {type SlotOutcome} from '@gentianshift/decisions';
import {
	type JobDemand,
	type SlotHandlers,
	type SlotSource,
	type UsableSlot,
} from '@gentianshift/jobs';
import {
	type LentSlot,
	type Message,
	type MessageOf,
} from '@gentianshift/protocol';
import {type Executor} from '@gentianshift/resources';
import {type Lease} from './lease.js';
import {formatPlace, LeaseBook, type Place} from './lease-book.js';
import {leaseRenewMs, type SlotPorts} from './ports.js';
import {Releases} from './releases.js';

/** A job's demand is told anew when its remaining work fell by this part: it ranks by it. */
const tellFraction = 0.1;

/** A slot that can't be used yet (lease or executor not known here) is given back after this, milliseconds. */
const holdMs = 100;

/** Each so many requests a lease carries all that is held, so that a lost release is found. */
const listEvery = 8;

/** How often a waiting job's demand is told although nothing changed, milliseconds. */
const repeatMs = 1000;

type BorrowingJob = {
	demand: JobDemand;
	home: string;
	/** Slots granted since the demand was first told. */
	granted: number;
	isAdmitted: boolean;
	toldRemaining: number;
	toldAt: number;
};

type HeldSlot = LentSlot & Place & {isRecalled: boolean};

export class Borrower implements SlotSource {
	readonly #ports: SlotPorts;
	readonly #handlers: SlotHandlers;
	readonly #jobs = new Map<number, BorrowingJob>();
	readonly #held = new Map<number, HeldSlot>();
	readonly #leases = new LeaseBook();
	readonly #releases: Releases;
	/** Granted, and not usable yet. */
	readonly #pending = new Map<number, {slot: HeldSlot; until: number}>();
	/** Tasks that ended on slots kept, by place: they go with the next lease. */
	readonly #reports = new Map<string, MessageOf<'lease'>['reports']>();
	readonly #timer: NodeJS.Timeout;

	constructor(ports: SlotPorts, handlers: SlotHandlers) {
		this.#ports = ports;
		this.#handlers = handlers;
		this.#releases = new Releases((place, message) => {
			this.#sendToKeeper(place, message);
		});
		this.#timer = setInterval(() => {
			this.#renewLeases();
		}, leaseRenewMs);
	}

	demandSlots(demand: JobDemand): void {
		const known = this.#jobs.get(demand.job);
		if (known) {
			known.demand = demand;
			this.#tellDemand(known);
			return;
		}

		const job = {
			demand,
			home: this.#chooseHome(demand.target),
			granted: 0,
			isAdmitted: demand.hasStarted,
			toldRemaining: demand.remaining,
			toldAt: 0,
		};
		this.#openLeases(demand.target);
		this.#jobs.set(demand.job, job);
		this.#tellDemand(job);
	}

	withdrawDemand(number: number): void {
		const job = this.#jobs.get(number);
		if (!job) {
			return;
		}

		this.#jobs.delete(number);
		const {target} = job.demand;
		this.#sendToKeeper(
			{target, dataCentre: job.home},
			{t: 'withdraw', target, job: number},
		);
	}

	receiveGrant(keeper: string, message: MessageOf<'grant'>): void {
		this.#noteHunger(keeper, message.target, message.isHungry);
		for (const lent of message.slots) {
			this.#takeSlot(keeper, message.target, lent);
		}
	}

	receiveRefuse(message: MessageOf<'refuse'>): void {
		if (this.#jobs.delete(message.job)) {
			this.#handlers.onRefusal(message.job, {
				code: message.code,
				retryAfterMs: message.retryAfterMs,
			});
		}
	}

	receiveRecall(message: MessageOf<'recall'>): void {
		for (const number of message.slots) {
			const slot = this.#held.get(number);
			if (slot) {
				slot.isRecalled = true;
			}
		}
	}

	/** Work has begun to wait at a keeper: what was gathered for it goes back now. */
	receiveHunger(keeper: string, message: MessageOf<'hunger'>): void {
		this.#noteHunger(keeper, message.target, true);
		this.#releases.flush();
	}

	receiveLeased(keeper: string, message: MessageOf<'leased'>): void {
		this.#noteHunger(keeper, message.target, message.isHungry);
		const {sequence, term, leaving} = message;
		for (const {lease, ...place} of this.#leases.listWith(
			keeper,
			message.target,
		)) {
			if (!lease.extend(sequence, term, leaving)) {
				this.#tellAgain(place, lease);
				this.#renewLease(place, lease);
			}
		}

		this.#usePending();
	}

	/** What this host holds of a target in a data centre, for its keeper. */
	listHeld({target, dataCentre}: Place): LentSlot[] {
		return [...this.#held.values()]
			.filter(
				(slot) => slot.target === target && slot.dataCentre === dataCentre,
			)
			.map(({executor, slot, job}) => ({executor, slot, job}));
	}

	/** Hosts or resources changed: keepers may be others now. */
	refreshKeepers(): void {
		for (const {lease, ...place} of this.#leases.list()) {
			const keeper = this.#ports.findKeeper(place.target, place.dataCentre);
			if (keeper !== lease.keeper) {
				lease.changeKeeper(keeper);
				this.#renewLease(place, lease);
			}
		}

		this.#moveHomeless();
	}

	/** The link to a host is up or down: what its keeper knew of this host is gone. */
	resetKeeper(hostKey: string): void {
		for (const {lease} of this.#leases.list()) {
			if (lease.keeper === hostKey) {
				lease.changeKeeper(undefined);
			}
		}

		this.refreshKeepers();
	}

	stop(): void {
		this.#releases.stop();
		clearInterval(this.#timer);
	}

	#noteHunger(keeper: string, target: string, isHungry: boolean): void {
		for (const {lease} of this.#leases.listWith(keeper, target)) {
			lease.isHungry = isHungry;
		}
	}

	/**
	The own data centre where it serves the target, else the one with the most executors. One
	without a live keeper serves nobody: its only host may be stopping, or have died.
	*/
	#chooseHome(target: string): string {
		const places = this.#ports
			.listDataCentres(target)
			.filter((place) => this.#ports.findKeeper(target, place) !== undefined);
		const {dataCentre} = this.#ports;
		if (places.length === 0 || places.includes(dataCentre)) {
			return dataCentre;
		}

		const count = (place: string) =>
			this.#ports.listExecutors(target, place).length;
		return [...places].toSorted((a, b) => count(b) - count(a))[0]!;
	}

	/** Jobs whose home has no keeper any more wait at another data centre's. */
	#moveHomeless(): void {
		for (const job of this.#jobs.values()) {
			const {target} = job.demand;
			if (this.#ports.findKeeper(target, job.home) !== undefined) {
				continue;
			}

			const home = this.#chooseHome(target);
			if (home !== job.home) {
				job.home = home;
				this.#openLeases(target);
				this.#tellDemand(job);
			}
		}
	}

	/**
	With a request goes each waiting job's demand. Sent for each new job until the first answer, that
	would take seconds of the loop where hundreds come at once to a host on which a thousand wait.
	*/
	#openLeases(target: string): void {
		const now = this.#ports.now();
		for (const dataCentre of this.#ports.listDataCentres(target)) {
			const place = {target, dataCentre};
			const keeper = this.#ports.findKeeper(target, dataCentre);
			const lease = this.#leases.get(place) ?? this.#leases.open(place, keeper);
			if (!lease.isValid(now) && !lease.isAwaited(now)) {
				this.#renewLease(place, lease);
			}
		}
	}

	#tellDemand(job: BorrowingJob): void {
		const {demand} = job;
		const {target, queued, ...rest} = demand;
		const now = this.#ports.now();
		job.toldRemaining = demand.remaining;
		job.toldAt = now;
		const place = {target, dataCentre: job.home};
		this.#sendToKeeper(place, {
			t: 'demand',
			target,
			job: rest.job,
			service: rest.service,
			team: rest.team,
			remaining: rest.remaining,
			asked: job.granted + Math.max(0, queued - this.#countPending(job)),
			taskMs: rest.taskMs,
			deadlineInMs: rest.deadlineAt - now,
			waitedMs: now - rest.submittedAt,
			granted: job.granted,
			isAdmitted: job.isAdmitted,
			heldElsewhere: this.#countHeldElsewhere(job),
		});
	}

	#countPending({demand}: BorrowingJob): number {
		let count = 0;
		for (const {slot} of this.#pending.values()) {
			count += Number(slot.job === demand.job);
		}

		return count;
	}

	#countHeldElsewhere({demand, home}: BorrowingJob): number {
		let count = 0;
		for (const slot of this.#held.values()) {
			count += Number(slot.job === demand.job && slot.dataCentre !== home);
		}

		return count;
	}

	#retellDemands({target, dataCentre}: Place): void {
		for (const job of this.#jobs.values()) {
			if (
				job.demand.target === target &&
				job.home === dataCentre &&
				job.demand.queued > 0
			) {
				this.#tellDemand(job);
			}
		}
	}

	#takeSlot(keeper: string, target: string, lent: LentSlot): void {
		const executor = this.#ports.findActive(target, lent.executor);
		const dataCentre = executor?.dataCentre ?? this.#findPlace(target, keeper);
		const slot: HeldSlot = {...lent, target, dataCentre, isRecalled: false};
		this.#held.set(lent.slot, slot);
		const job = this.#jobs.get(lent.job);
		if (job) {
			job.granted += 1;
			job.isAdmitted = true;
		}

		if (this.#isUsable(slot)) {
			this.#handOver(slot, executor!);
		} else {
			this.#pending.set(slot.slot, {slot, until: this.#ports.now() + holdMs});
			setTimeout(() => {
				this.#usePending();
			}, holdMs + 1);
		}
	}

	#findPlace(target: string, keeper: string): string {
		const [entry] = this.#leases.listWith(keeper, target);
		return entry?.dataCentre ?? this.#ports.dataCentre;
	}

	#usePending(): void {
		const now = this.#ports.now();
		for (const {slot, until} of this.#pending.values()) {
			const executor = this.#ports.findActive(slot.target, slot.executor);
			if (executor && this.#isUsable(slot)) {
				this.#pending.delete(slot.slot);
				this.#handOver(slot, executor);
			} else if (now >= until) {
				this.#pending.delete(slot.slot);
				this.#release(slot, {result: 'unused', runMs: 0});
				this.#askAgain(slot.job);
			}
		}
	}

	#handOver(slot: HeldSlot, executor: Executor): void {
		this.#handlers.onSlot(slot.job, this.#createUsable(slot, executor));
		const job = this.#jobs.get(slot.job);
		if (job && this.#held.has(slot.slot)) {
			job.demand = {...job.demand, queued: job.demand.queued - 1};
		}
	}

	#createUsable(slot: HeldSlot, executor: Executor): UsableSlot {
		return {
			executor,
			isUsable: () => this.#isUsable(slot),
			keep: (outcome, left) => this.#keep(slot, outcome, left),
			release: (outcome) => {
				this.#release(slot, outcome);
			},
		};
	}

	#isUsable(slot: HeldSlot): boolean {
		const lease = this.#leases.get(slot);
		return (
			lease !== undefined &&
			lease.isValid(this.#ports.now()) &&
			!lease.leaving.has(slot.executor) &&
			this.#ports.findActive(slot.target, slot.executor) !== undefined
		);
	}

	#keep(
		slot: HeldSlot,
		outcome: SlotOutcome,
		left: {remaining: number; queued: number},
	): boolean {
		const job = this.#jobs.get(slot.job);
		if (job) {
			// One of those queued starts on this slot right away, if it is kept.
			job.demand = {
				...job.demand,
				...left,
				queued: left.queued - Number(!slot.isRecalled),
			};
		}

		if (slot.isRecalled) {
			return false;
		}

		this.#report(slot, outcome);
		if (job && left.remaining <= job.toldRemaining * (1 - tellFraction)) {
			this.#tellDemand(job);
		}

		return true;
	}

	#report(slot: HeldSlot, outcome: SlotOutcome): void {
		const key = formatPlace(slot);
		const reports = this.#reports.get(key) ?? [];
		reports.push({slot: slot.slot, ...outcome});
		this.#reports.set(key, reports);
	}

	#release(slot: HeldSlot, outcome: SlotOutcome): void {
		if (!this.#held.delete(slot.slot)) {
			return;
		}

		if (outcome.result === 'unused') {
			this.#ports.countWasted('unused-grant');
		}

		const isHungry = this.#leases.get(slot)?.isHungry ?? true;
		this.#releases.add(slot, {slot: slot.slot, isHungry}, outcome);
	}

	/** A slot of this job came to nothing: it wants another one. */
	#askAgain(number: number): void {
		const job = this.#jobs.get(number);
		if (job) {
			this.#tellDemand(job);
		}
	}

	#renewLeases(): void {
		this.refreshKeepers();
		for (const {lease, ...place} of this.#leases.list()) {
			if (this.#isLeaseNeeded(place.target)) {
				this.#renewLease(place, lease);
			} else {
				this.#leases.delete(place);
			}
		}

		this.#repeatDemands();
	}

	/** A waiting job's demand is told now and then, so that a lost grant is found. */
	#repeatDemands(): void {
		const now = this.#ports.now();
		for (const job of this.#jobs.values()) {
			if (job.demand.queued > 0 && now - job.toldAt > repeatMs) {
				this.#tellDemand(job);
			}
		}
	}

	/**
	A keeper that doesn't answer may not hold the role yet by its own view, and have dropped what
	it was told: it is told again with each request until it answers.
	*/
	#tellAgain(place: Place, lease: Lease): void {
		lease.isTold = false;
		this.#retellDemands(place);
	}

	#isLeaseNeeded(target: string): boolean {
		for (const job of this.#jobs.values()) {
			if (job.demand.target === target) {
				return true;
			}
		}

		for (const slot of this.#held.values()) {
			if (slot.target === target) {
				return true;
			}
		}

		return false;
	}

	#renewLease(place: Place, lease: Lease): void {
		if (!lease.isValid(this.#ports.now())) {
			this.#tellAgain(place, lease);
		}

		const key = formatPlace(place);
		const sequence = lease.ask(this.#ports.now());
		const isListed = !lease.isTold || sequence % listEvery === 0;
		const message: MessageOf<'lease'> = {
			t: 'lease',
			target: place.target,
			sequence,
			held: isListed ? this.listHeld(place) : undefined,
			reports: this.#reports.get(key) ?? [],
		};
		if (this.#sendToKeeper(place, message)) {
			lease.isTold = true;
			this.#reports.delete(key);
		}
	}

	#sendToKeeper({target, dataCentre}: Place, message: Message): boolean {
		const keeper = this.#ports.findKeeper(target, dataCentre);
		return keeper !== undefined && this.#ports.sendToHost(keeper, message);
	}
}
