/**
The slots that are lent now. Each loan has a number of its own, so that a late or repeated release doesn't
affect a later loan of the same slot.
*/
import {type ExecutorState} from './executor-health.js';
import {type JobState, type LentSlot} from './job-state.js';
import {type TeamState} from './team-table.js';

type LendRequest = {
	owner: string;
	jobNumber: number;
	lentAt: number;
	job: JobState | undefined;
	team: TeamState;
	service: string;
	executor: ExecutorState;
};

/** After this time a grant has arrived, or its connection has been closed because it was silent. */
const grantDeliveryTimeoutMs = 3000;

export class LentSlotTable {
	readonly #slots = new Map<number, LentSlot>();
	readonly #byOwner = new Map<string, Set<LentSlot>>();
	/** Not sorted by time: there are few, so all are checked when one may be due. */
	readonly #quarantined = new Set<LentSlot>();
	/** Slots whose job isn't known yet: a new keeper may learn of a slot before its job. */
	readonly #orphans = new Set<LentSlot>();
	/** Number of slots that are recalled and not yet released. */
	#recalledCount = 0;
	#nextSlot: number;

	constructor(firstSlot: number) {
		this.#nextSlot = firstSlot;
	}

	get size(): number {
		return this.#slots.size;
	}

	get recalledCount(): number {
		return this.#recalledCount;
	}

	lookUp(slot: number): LentSlot | undefined {
		return this.#slots.get(slot);
	}

	lend(request: LendRequest): LentSlot {
		const slot = this.#nextSlot;
		this.#nextSlot += 1;
		return this.restore(slot, request);
	}

	/** Adds a slot under a given number, for example one that an earlier keeper lent. */
	restore(slot: number, request: LendRequest): LentSlot {
		const lent: LentSlot = {
			...request,
			slot,
			isRecalled: false,
			quarantinedUntil: undefined,
		};
		this.#slots.set(slot, lent);
		const owned = this.#byOwner.get(lent.owner) ?? new Set();
		owned.add(lent);
		this.#byOwner.set(lent.owner, owned);
		if (lent.job) {
			lent.job.heldSlots.set(slot, lent);
		} else {
			this.#orphans.add(lent);
		}

		lent.executor.busy += 1;
		lent.team.inUse += 1;
		return lent;
	}

	release(lent: LentSlot): void {
		this.#slots.delete(lent.slot);
		this.#quarantined.delete(lent);
		this.#orphans.delete(lent);
		this.#recalledCount -= Number(lent.isRecalled);
		const owned = this.#byOwner.get(lent.owner);
		owned?.delete(lent);
		if (owned?.size === 0) {
			this.#byOwner.delete(lent.owner);
		}

		lent.job?.heldSlots.delete(lent.slot);
		lent.executor.busy -= 1;
		lent.team.inUse -= 1;
	}

	/** Assigns restored slots to their job when its demand arrives. */
	setJob(job: JobState): void {
		for (const lent of this.#orphans) {
			if (lent.owner === job.owner && lent.jobNumber === job.job) {
				this.#orphans.delete(lent);
				lent.team.inUse -= 1;
				lent.job = job;
				lent.team = job.team;
				lent.service = job.demand.service;
				lent.team.inUse += 1;
				job.heldSlots.set(lent.slot, lent);
			}
		}
	}

	/** Marks a slot as recalled. Its owner releases it when the task on it ends. */
	markRecalled(lent: LentSlot): void {
		lent.isRecalled = true;
		lent.job?.heldSlots.delete(lent.slot);
		this.#recalledCount += 1;
	}

	listOwned(owner: string): LentSlot[] {
		return [...(this.#byOwner.get(owner) ?? [])];
	}

	listAll(): Iterable<LentSlot> {
		return this.#slots.values();
	}

	quarantine(lent: LentSlot, until: number): void {
		lent.quarantinedUntil ??= until;
		this.#quarantined.add(lent);
	}

	releaseSooner(lent: LentSlot, byMs: number): void {
		if (lent.quarantinedUntil !== undefined) {
			lent.quarantinedUntil -= byMs;
		}
	}

	/**
	Compares the lent slots with all those that a borrower reports as held. A borrower that reconnects as the
	same process keeps the slots that it reports: their quarantine ends. A slot that it doesn't report is
	released at once if it was quarantined, or if it was lent so long ago that the grant must have
	arrived: then the release was lost.
	*/
	reconcile(owner: string, held: ReadonlySet<number>, now: number): void {
		for (const lent of this.listOwned(owner)) {
			const isQuarantined = lent.quarantinedUntil !== undefined;
			if (held.has(lent.slot)) {
				lent.quarantinedUntil = undefined;
				this.#quarantined.delete(lent);
			} else if (isQuarantined || now - lent.lentAt > grantDeliveryTimeoutMs) {
				this.release(lent);
			}
		}
	}

	/** Releases the slots whose quarantine has ended. */
	releaseDue(now: number): void {
		for (const lent of this.#quarantined) {
			if (lent.quarantinedUntil! <= now) {
				this.release(lent);
			}
		}
	}

	/** Time at which the next quarantine ends; undefined if there is none. */
	findNextDue(): number | undefined {
		let due: number | undefined;
		for (const {quarantinedUntil} of this.#quarantined) {
			due = Math.min(due ?? quarantinedUntil!, quarantinedUntil!);
		}

		return due;
	}
}
