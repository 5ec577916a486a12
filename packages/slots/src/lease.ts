/**
A borrower's lease with the keeper of one target in one data centre. The lease term is counted from
the time of the request, by the borrower's own monotonic clock, and is checked right before each
task start.

The lease covers two failures: the keeper is frozen or partitioned and cannot report that an executor
is leaving, or this host was paused while its lease expired. In both cases the borrower starts no task
after the lease has expired, which is at most `leaseTermMs` after the last request that was answered.
*/
import {leaseTermMs} from './ports.js';

/** Time in milliseconds after which an unanswered request no longer holds back the next one. */
const answerTimeoutMs = 50;

export class Lease {
	/** Host key of the keeper that grants this lease. */
	keeper: string | undefined;
	/** Names of the executors that are leaving, as listed in the keeper's last answer. */
	leaving: ReadonlySet<string> = new Set();
	/**
	Whether tasks are queued at the keeper (`isHungry` in its messages): if so, slots are returned
	without buffering.
	*/
	hasQueuedTasks = true;
	/** Whether the list of slots that this host holds has been sent to this keeper. */
	hasSentHeldSlots = false;
	#validUntil = -Infinity;
	#sequence = 0;
	#term: number | undefined;
	readonly #requestTimes = new Map<number, number>();

	/** Switches to another keeper. The lease granted by the previous keeper is no longer valid. */
	changeKeeper(keeper: string | undefined): void {
		this.keeper = keeper;
		this.hasSentHeldSlots = false;
		this.hasQueuedTasks = true;
		this.#validUntil = -Infinity;
		this.#term = undefined;
		this.#requestTimes.clear();
	}

	/** Records a lease request sent at `now` and returns the sequence number to send with it. */
	recordRequest(now: number): number {
		this.#sequence += 1;
		this.#requestTimes.set(this.#sequence, now);
		for (const [sequence, requestedAt] of this.#requestTimes) {
			if (now - requestedAt > leaseTermMs) {
				this.#requestTimes.delete(sequence);
			}
		}

		return this.#sequence;
	}

	/**
	Extends the lease when its keeper has answered a request. Returns false when the keeper's term has
	changed: the keeper has taken the role anew without its former state, so this host must send its
	held slots and its demands again.
	*/
	extend(sequence: number, term: number, leaving: readonly string[]): boolean {
		const requestedAt = this.#requestTimes.get(sequence);
		if (requestedAt !== undefined) {
			this.#requestTimes.delete(sequence);
			this.#validUntil = Math.max(this.#validUntil, requestedAt + leaseTermMs);
			this.leaving = new Set(leaving);
		}

		const isSame = this.#term === undefined || this.#term === term;
		this.#term = term;
		return isSame;
	}

	/** Whether a recent request is still unanswered. */
	hasPendingRequest(now: number): boolean {
		return [...this.#requestTimes.values()].some(
			(requestedAt) => now - requestedAt < answerTimeoutMs,
		);
	}

	isValid(now: number): boolean {
		return now < this.#validUntil;
	}
}
