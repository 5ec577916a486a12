/**
The borrowing side: sends the demands of this host's jobs to the keepers, and passes granted slots
on to the jobs. A slot is usable only while this host holds a lease from the keeper.
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
import {formatPlace, LeaseBook, type Place} from './lease-table.js';
import {leaseRenewMs, type SlotPorts} from './ports.js';
import {Releases} from './release-buffer.js';

/** A job's demand is sent again when its remaining work has fallen by this fraction, because the keeper ranks jobs by remaining work. */
const tellFraction = 0.1;

/** Time in milliseconds after which a slot is returned if it is still unusable: no valid lease, or the executor isn't known here yet. */
const holdMs = 100;

/** Every so many lease requests, the full list of held slots is sent, so that the keeper detects a lost release. */
const listEvery = 8;

/** Interval in milliseconds at which the demand of a waiting job is sent again although it hasn't changed. */
const repeatMs = 1000;

type BorrowingJob = {
	demand: JobDemand;
	/** Data centre to whose keeper the demand is sent. */
	home: string;
	/** Number of slots granted since the demand was first sent. */
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
	/** Granted slots that aren't usable yet, by slot number, with the time at which they are returned. */
	readonly #pending = new Map<number, {slot: HeldSlot; until: number}>();
	/** Outcomes of tasks whose slots were kept, by target and data centre. They are sent with the next lease request. */
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

	/** Handles `hunger`, which a keeper sends when tasks begin to queue there: buffered releases are sent at once. */
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

	/** Slots of a target in a data centre that this host holds, as reported to the keeper. */
	listHeld({target, dataCentre}: Place): LentSlot[] {
		return [...this.#held.values()]
			.filter(
				(slot) => slot.target === target && slot.dataCentre === dataCentre,
			)
			.map(({executor, slot, job}) => ({executor, slot, job}));
	}

	/** Must be called when hosts or resources have changed: the keepers may have changed with them. */
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

	/** Must be called when the link to a host goes up or down: that host's keepers have lost their state about this host. */
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
	Chooses this host's own data centre if it serves the target, else the one with the most executors.
	A data centre without a live keeper is passed over, because nobody lends its slots: its only host
	may be stopping or may have died.
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

	/** Moves the demand of each job whose data centre has lost its keeper to another data centre's keeper. */
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
	Requests a lease from each of the target's keepers, unless a lease is valid or a request is pending.
	A request for a lease that isn't valid is sent along with the demand of every waiting job. If each
	new job sent one until the first answer, the event loop would be blocked for seconds when hundreds
	of jobs arrive at once on a host where a thousand wait.
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
			// If the slot is kept, one of the queued tasks starts on it right away.
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

	/** Asks for another slot for a job, because a granted one was returned unused. */
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

	/** Sends the demands of waiting jobs again at intervals, so that the keeper detects a lost grant. */
	#repeatDemands(): void {
		const now = this.#ports.now();
		for (const job of this.#jobs.values()) {
			if (job.demand.queued > 0 && now - job.toldAt > repeatMs) {
				this.#tellDemand(job);
			}
		}
	}

	/**
	Sends the demands again, and has the next lease request list the held slots. A host that doesn't
	answer may not know yet that it is the keeper, and may have dropped earlier messages, so this is
	repeated with each request until it answers.
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
