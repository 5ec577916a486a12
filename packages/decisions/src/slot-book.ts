/**
The slots lent now: each under a number of its own, so that a late or repeated release, of a
slot lent again since, changes nothing.
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

/** A grant has arrived by then, milliseconds, or its connection has been closed as silent. */
const grantArrivesMs = 3000;

export class SlotBook {
	readonly #slots = new Map<number, LentSlot>();
	readonly #byOwner = new Map<string, Set<LentSlot>>();
	/** In order of time only by chance: few, and looked through when one is due. */
	readonly #quarantined = new Set<LentSlot>();
	/** Slots whose job isn't known yet: a new keeper hears of a slot before its job. */
	readonly #orphans = new Set<LentSlot>();
	/** Called back and not returned yet. */
	#recalled = 0;
	#nextSlot: number;

	constructor(firstSlot: number) {
		this.#nextSlot = firstSlot;
	}

	get size(): number {
		return this.#slots.size;
	}

	get recalled(): number {
		return this.#recalled;
	}

	lookUp(slot: number): LentSlot | undefined {
		return this.#slots.get(slot);
	}

	lend(request: LendRequest): LentSlot {
		const slot = this.#nextSlot;
		this.#nextSlot += 1;
		return this.restore(slot, request);
	}

	/** Enters a slot under a number it already has: one that an earlier keeper lent. */
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
			lent.job.held.set(slot, lent);
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
		this.#recalled -= Number(lent.isRecalled);
		const owned = this.#byOwner.get(lent.owner);
		owned?.delete(lent);
		if (owned?.size === 0) {
			this.#byOwner.delete(lent.owner);
		}

		lent.job?.held.delete(lent.slot);
		lent.executor.busy -= 1;
		lent.team.inUse -= 1;
	}

	/** Joins restored slots to their job when its demand comes. */
	adopt(job: JobState): void {
		for (const lent of this.#orphans) {
			if (lent.owner === job.owner && lent.jobNumber === job.job) {
				this.#orphans.delete(lent);
				lent.team.inUse -= 1;
				lent.job = job;
				lent.team = job.team;
				lent.service = job.demand.service;
				lent.team.inUse += 1;
				job.held.set(lent.slot, lent);
			}
		}
	}

	/** Marks a slot as called back; its owner gives it back when its task ends. */
	markRecalled(lent: LentSlot): void {
		lent.isRecalled = true;
		lent.job?.held.delete(lent.slot);
		this.#recalled += 1;
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
	Compares with all that a borrower says it holds. One whose connection broke and that is back as
	the same process holds what it names as before. What it doesn't name is free at once if it was
	quarantined, or lent so long ago that the grant must have arrived: the release was lost.
	*/
	reconcile(owner: string, held: ReadonlySet<number>, now: number): void {
		for (const lent of this.listOwned(owner)) {
			const isQuarantined = lent.quarantinedUntil !== undefined;
			if (held.has(lent.slot)) {
				lent.quarantinedUntil = undefined;
				this.#quarantined.delete(lent);
			} else if (isQuarantined || now - lent.lentAt > grantArrivesMs) {
				this.release(lent);
			}
		}
	}

	/** Frees the slots whose quarantine has ended. */
	releaseDue(now: number): void {
		for (const lent of this.#quarantined) {
			if (lent.quarantinedUntil! <= now) {
				this.release(lent);
			}
		}
	}

	/** When the next quarantine ends. */
	findNextDue(): number | undefined {
		let due: number | undefined;
		for (const {quarantinedUntil} of this.#quarantined) {
			due = Math.min(due ?? quarantinedUntil!, quarantinedUntil!);
		}

		return due;
	}
}
