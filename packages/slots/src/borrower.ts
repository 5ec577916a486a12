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
import {formatLeaseKey, LeaseTable, type LeaseKey} from './lease-table.js';
import {leaseRenewIntervalMs, type SlotPorts} from './ports.js';
import {ReleaseBuffer} from './release-buffer.js';

/** A job's demand is sent again when its remaining work has fallen by this fraction, because the keeper ranks jobs by remaining work. */
const demandUpdateFraction = 0.1;

/** Time in milliseconds after which a slot is returned if it is still unusable: no valid lease, or the executor isn't known here yet. */
const pendingSlotTimeoutMs = 100;

/** Every so many lease requests, the full list of held slots is sent, so that the keeper detects a lost release. */
const requestsPerHeldList = 8;

/** Interval in milliseconds at which the demand of a waiting job is sent again although it hasn't changed. */
const demandRepeatMs = 1000;

type BorrowingJob = {
	demand: JobDemand;
	/** Data centre to whose keeper the demand is sent. */
	homeDataCentre: string;
	/** Number of slots granted since the demand was first sent. */
	granted: number;
	isAdmitted: boolean;
	sentRemaining: number;
	demandSentAt: number;
};

type HeldSlot = LentSlot & LeaseKey & {isRecalled: boolean};

export class Borrower implements SlotSource {
	readonly #ports: SlotPorts;
	readonly #handlers: SlotHandlers;
	readonly #jobs = new Map<number, BorrowingJob>();
	readonly #heldSlots = new Map<number, HeldSlot>();
	readonly #leases = new LeaseTable();
	readonly #releases: ReleaseBuffer;
	/** Granted slots that aren't usable yet, by slot number, with the time at which they are returned. */
	readonly #pendingSlots = new Map<number, {slot: HeldSlot; until: number}>();
	/** Outcomes of tasks whose slots were kept, by target and data centre. They are sent with the next lease request. */
	readonly #reports = new Map<string, MessageOf<'lease'>['reports']>();
	readonly #timer: NodeJS.Timeout;

	constructor(ports: SlotPorts, handlers: SlotHandlers) {
		this.#ports = ports;
		this.#handlers = handlers;
		this.#releases = new ReleaseBuffer((leaseKey, message) => {
			this.#sendToKeeper(leaseKey, message);
		});
		this.#timer = setInterval(() => {
			this.#renewLeases();
		}, leaseRenewIntervalMs);
	}

	demandSlots(demand: JobDemand): void {
		const known = this.#jobs.get(demand.job);
		if (known) {
			known.demand = demand;
			this.#sendDemand(known);
			return;
		}

		const job = {
			demand,
			homeDataCentre: this.#chooseHomeDataCentre(demand.target),
			granted: 0,
			isAdmitted: demand.hasStarted,
			sentRemaining: demand.remaining,
			demandSentAt: 0,
		};
		this.#openLeases(demand.target);
		this.#jobs.set(demand.job, job);
		this.#sendDemand(job);
	}

	withdrawDemand(number: number): void {
		const job = this.#jobs.get(number);
		if (!job) {
			return;
		}

		this.#jobs.delete(number);
		const {target} = job.demand;
		this.#sendToKeeper(
			{target, dataCentre: job.homeDataCentre},
			{t: 'withdraw', target, job: number},
		);
	}

	receiveGrant(keeper: string, message: MessageOf<'grant'>): void {
		this.#setHasQueuedTasks(keeper, message.target, message.isHungry);
		for (const lent of message.slots) {
			this.#acceptSlot(keeper, message.target, lent);
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
			const slot = this.#heldSlots.get(number);
			if (slot) {
				slot.isRecalled = true;
			}
		}
	}

	/** Handles `hunger`, which a keeper sends when tasks begin to queue there: buffered releases are sent at once. */
	receiveHunger(keeper: string, message: MessageOf<'hunger'>): void {
		this.#setHasQueuedTasks(keeper, message.target, true);
		this.#releases.flush();
	}

	receiveLeased(keeper: string, message: MessageOf<'leased'>): void {
		this.#setHasQueuedTasks(keeper, message.target, message.isHungry);
		const {sequence, term, leaving} = message;
		for (const {lease, ...leaseKey} of this.#leases.listByKeeper(
			keeper,
			message.target,
		)) {
			if (!lease.extend(sequence, term, leaving)) {
				this.#startResync(leaseKey, lease);
				this.#renewLease(leaseKey, lease);
			}
		}

		this.#handOverPending();
	}

	/** Slots of a target in a data centre that this host holds, as reported to the keeper. */
	listHeld({target, dataCentre}: LeaseKey): LentSlot[] {
		return [...this.#heldSlots.values()]
			.filter(
				(slot) => slot.target === target && slot.dataCentre === dataCentre,
			)
			.map(({executor, slot, job}) => ({executor, slot, job}));
	}

	/** Must be called when hosts or resources have changed: the keepers may have changed with them. */
	refreshKeepers(): void {
		for (const {lease, ...leaseKey} of this.#leases.list()) {
			const keeper = this.#ports.findKeeper(
				leaseKey.target,
				leaseKey.dataCentre,
			);
			if (keeper !== lease.keeper) {
				lease.changeKeeper(keeper);
				this.#renewLease(leaseKey, lease);
			}
		}

		this.#moveOrphanedJobs();
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

	#setHasQueuedTasks(
		keeper: string,
		target: string,
		hasQueuedTasks: boolean,
	): void {
		for (const {lease} of this.#leases.listByKeeper(keeper, target)) {
			lease.hasQueuedTasks = hasQueuedTasks;
		}
	}

	/**
	Chooses this host's own data centre if it serves the target, else the one with the most executors.
	A data centre without a live keeper is passed over, because nobody lends its slots: its only host
	may be stopping or may have died.
	*/
	#chooseHomeDataCentre(target: string): string {
		const candidates = this.#ports
			.listDataCentres(target)
			.filter(
				(candidate) => this.#ports.findKeeper(target, candidate) !== undefined,
			);
		const {dataCentre} = this.#ports;
		if (candidates.length === 0 || candidates.includes(dataCentre)) {
			return dataCentre;
		}

		const count = (candidate: string) =>
			this.#ports.listExecutors(target, candidate).length;
		return [...candidates].toSorted((a, b) => count(b) - count(a))[0]!;
	}

	/** Moves the demand of each job whose data centre has lost its keeper to another data centre's keeper. */
	#moveOrphanedJobs(): void {
		for (const job of this.#jobs.values()) {
			const {target} = job.demand;
			if (this.#ports.findKeeper(target, job.homeDataCentre) !== undefined) {
				continue;
			}

			const homeDataCentre = this.#chooseHomeDataCentre(target);
			if (homeDataCentre !== job.homeDataCentre) {
				job.homeDataCentre = homeDataCentre;
				this.#openLeases(target);
				this.#sendDemand(job);
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
			const leaseKey = {target, dataCentre};
			const keeper = this.#ports.findKeeper(target, dataCentre);
			const lease =
				this.#leases.get(leaseKey) ?? this.#leases.open(leaseKey, keeper);
			if (!lease.isValid(now) && !lease.hasPendingRequest(now)) {
				this.#renewLease(leaseKey, lease);
			}
		}
	}

	#sendDemand(job: BorrowingJob): void {
		const {demand} = job;
		const {target, queued, ...rest} = demand;
		const now = this.#ports.now();
		job.sentRemaining = demand.remaining;
		job.demandSentAt = now;
		const leaseKey = {target, dataCentre: job.homeDataCentre};
		this.#sendToKeeper(leaseKey, {
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
		for (const {slot} of this.#pendingSlots.values()) {
			count += Number(slot.job === demand.job);
		}

		return count;
	}

	#countHeldElsewhere({demand, homeDataCentre}: BorrowingJob): number {
		let count = 0;
		for (const slot of this.#heldSlots.values()) {
			count += Number(
				slot.job === demand.job && slot.dataCentre !== homeDataCentre,
			);
		}

		return count;
	}

	#sendWaitingDemands({target, dataCentre}: LeaseKey): void {
		for (const job of this.#jobs.values()) {
			if (
				job.demand.target === target &&
				job.homeDataCentre === dataCentre &&
				job.demand.queued > 0
			) {
				this.#sendDemand(job);
			}
		}
	}

	#acceptSlot(keeper: string, target: string, lent: LentSlot): void {
		const executor = this.#ports.findActiveExecutor(target, lent.executor);
		const dataCentre =
			executor?.dataCentre ?? this.#findDataCentre(target, keeper);
		const slot: HeldSlot = {...lent, target, dataCentre, isRecalled: false};
		this.#heldSlots.set(lent.slot, slot);
		const job = this.#jobs.get(lent.job);
		if (job) {
			job.granted += 1;
			job.isAdmitted = true;
		}

		if (this.#isUsable(slot)) {
			this.#handOver(slot, executor!);
		} else {
			this.#pendingSlots.set(slot.slot, {
				slot,
				until: this.#ports.now() + pendingSlotTimeoutMs,
			});
			setTimeout(() => {
				this.#handOverPending();
			}, pendingSlotTimeoutMs + 1);
		}
	}

	#findDataCentre(target: string, keeper: string): string {
		const [entry] = this.#leases.listByKeeper(keeper, target);
		return entry?.dataCentre ?? this.#ports.dataCentre;
	}

	#handOverPending(): void {
		const now = this.#ports.now();
		for (const {slot, until} of this.#pendingSlots.values()) {
			const executor = this.#ports.findActiveExecutor(
				slot.target,
				slot.executor,
			);
			if (executor && this.#isUsable(slot)) {
				this.#pendingSlots.delete(slot.slot);
				this.#handOver(slot, executor);
			} else if (now >= until) {
				this.#pendingSlots.delete(slot.slot);
				this.#release(slot, {result: 'unused', runMs: 0});
				this.#sendDemandOf(slot.job);
			}
		}
	}

	#handOver(slot: HeldSlot, executor: Executor): void {
		this.#handlers.onSlot(slot.job, this.#createUsable(slot, executor));
		const job = this.#jobs.get(slot.job);
		if (job && this.#heldSlots.has(slot.slot)) {
			job.demand = {...job.demand, queued: job.demand.queued - 1};
		}
	}

	#createUsable(slot: HeldSlot, executor: Executor): UsableSlot {
		return {
			executor,
			isUsable: () => this.#isUsable(slot),
			endTask: (outcome, left) => this.#keep(slot, outcome, left),
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
			this.#ports.findActiveExecutor(slot.target, slot.executor) !== undefined
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

		this.#addReport(slot, outcome);
		if (
			job &&
			left.remaining <= job.sentRemaining * (1 - demandUpdateFraction)
		) {
			this.#sendDemand(job);
		}

		return true;
	}

	#addReport(slot: HeldSlot, outcome: SlotOutcome): void {
		const key = formatLeaseKey(slot);
		const reports = this.#reports.get(key) ?? [];
		reports.push({slot: slot.slot, ...outcome});
		this.#reports.set(key, reports);
	}

	#release(slot: HeldSlot, outcome: SlotOutcome): void {
		if (!this.#heldSlots.delete(slot.slot)) {
			return;
		}

		if (outcome.result === 'unused') {
			this.#ports.countWasted('unused-grant');
		}

		const hasQueuedTasks = this.#leases.get(slot)?.hasQueuedTasks ?? true;
		this.#releases.add(slot, {slot: slot.slot, hasQueuedTasks}, outcome);
	}

	/** Asks for another slot for a job, because a granted one was returned unused. */
	#sendDemandOf(number: number): void {
		const job = this.#jobs.get(number);
		if (job) {
			this.#sendDemand(job);
		}
	}

	#renewLeases(): void {
		this.refreshKeepers();
		for (const {lease, ...leaseKey} of this.#leases.list()) {
			if (this.#isLeaseNeeded(leaseKey.target)) {
				this.#renewLease(leaseKey, lease);
			} else {
				this.#leases.delete(leaseKey);
			}
		}

		this.#repeatDemands();
	}

	/** Sends the demands of waiting jobs again at intervals, so that the keeper detects a lost grant. */
	#repeatDemands(): void {
		const now = this.#ports.now();
		for (const job of this.#jobs.values()) {
			if (job.demand.queued > 0 && now - job.demandSentAt > demandRepeatMs) {
				this.#sendDemand(job);
			}
		}
	}

	/**
	Sends the demands again, and has the next lease request list the held slots. A host that doesn't
	answer may not know yet that it is the keeper, and may have dropped earlier messages, so this is
	repeated with each request until it answers.
	*/
	#startResync(leaseKey: LeaseKey, lease: Lease): void {
		lease.hasSentHeldSlots = false;
		this.#sendWaitingDemands(leaseKey);
	}

	#isLeaseNeeded(target: string): boolean {
		for (const job of this.#jobs.values()) {
			if (job.demand.target === target) {
				return true;
			}
		}

		for (const slot of this.#heldSlots.values()) {
			if (slot.target === target) {
				return true;
			}
		}

		return false;
	}

	#renewLease(leaseKey: LeaseKey, lease: Lease): void {
		if (!lease.isValid(this.#ports.now())) {
			this.#startResync(leaseKey, lease);
		}

		const key = formatLeaseKey(leaseKey);
		const sequence = lease.recordRequest(this.#ports.now());
		const isListed =
			!lease.hasSentHeldSlots || sequence % requestsPerHeldList === 0;
		const message: MessageOf<'lease'> = {
			t: 'lease',
			target: leaseKey.target,
			sequence,
			held: isListed ? this.listHeld(leaseKey) : undefined,
			reports: this.#reports.get(key) ?? [],
		};
		if (this.#sendToKeeper(leaseKey, message)) {
			lease.hasSentHeldSlots = true;
			this.#reports.delete(key);
		}
	}

	#sendToKeeper({target, dataCentre}: LeaseKey, message: Message): boolean {
		const keeper = this.#ports.findKeeper(target, dataCentre);
		return keeper !== undefined && this.#ports.sendToHost(keeper, message);
	}
}
