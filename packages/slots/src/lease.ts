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
const answerMs = 50;

export class Lease {
	/** Host key of the keeper that grants this lease. */
	keeper: string | undefined;
	/** Names of the executors that are leaving, as listed in the keeper's last answer. */
	leaving: ReadonlySet<string> = new Set();
	/**
	Whether tasks are queued at the keeper (`isHungry` in its messages): if so, slots are returned
	without buffering.
	*/
	isHungry = true;
	/** Whether the list of slots that this host holds has been sent to this keeper. */
	isTold = false;
	#until = -Infinity;
	#sequence = 0;
	#term: number | undefined;
	readonly #askedAt = new Map<number, number>();

	/** Switches to another keeper. The lease granted by the previous keeper is no longer valid. */
	changeKeeper(keeper: string | undefined): void {
		this.keeper = keeper;
		this.isTold = false;
		this.isHungry = true;
		this.#until = -Infinity;
		this.#term = undefined;
		this.#askedAt.clear();
	}

	/** Records a lease request sent at `now` and returns the sequence number to send with it. */
	ask(now: number): number {
		this.#sequence += 1;
		this.#askedAt.set(this.#sequence, now);
		for (const [sequence, askedAt] of this.#askedAt) {
			if (now - askedAt > leaseTermMs) {
				this.#askedAt.delete(sequence);
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
		const askedAt = this.#askedAt.get(sequence);
		if (askedAt !== undefined) {
			this.#askedAt.delete(sequence);
			this.#until = Math.max(this.#until, askedAt + leaseTermMs);
			this.leaving = new Set(leaving);
		}

		const isSame = this.#term === undefined || this.#term === term;
		this.#term = term;
		return isSame;
	}

	/** Whether a recent request is still unanswered. */
	isAwaited(now: number): boolean {
		return [...this.#askedAt.values()].some(
			(askedAt) => now - askedAt < answerMs,
		);
	}

	isValid(now: number): boolean {
		return now < this.#until;
	}
}
