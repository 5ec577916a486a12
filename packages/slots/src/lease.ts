/**
A borrower's lease with the keeper of one target in one data centre. It is counted from when it
was asked for, by the borrower's own monotonic clock, and read right before each start.

What goes wrong: the keeper is frozen or cut off and cannot say that an executor is leaving; or
this host was paused while its lease ran out. Either way nothing new starts once the term is
over, at most `leaseTermMs` after the last request that was answered.
*/
import {leaseTermMs} from './ports.js';

/** An answer that takes longer than this is no longer waited for before the next request, milliseconds. */
const answerMs = 50;

export class Lease {
	/** Host key of the keeper it is with. */
	keeper: string | undefined;
	/** Executors that the keeper says are leaving. */
	leaving: ReadonlySet<string> = new Set();
	/** Work waits at the keeper: slots go back at once. */
	isHungry = true;
	/** Whether this keeper has been told what this host holds. */
	isTold = false;
	#until = -Infinity;
	#sequence = 0;
	#term: number | undefined;
	readonly #askedAt = new Map<number, number>();

	/** Another keeper: the lease with the one before says nothing any more. */
	changeKeeper(keeper: string | undefined): void {
		this.keeper = keeper;
		this.isTold = false;
		this.isHungry = true;
		this.#until = -Infinity;
		this.#term = undefined;
		this.#askedAt.clear();
	}

	/** Notes a request; its sequence number goes with it. */
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
	Extends it by an answer. False when the keeper's term is another than before: it took the
	role anew and must be told what this host holds and wants.
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

	/** Asked for a moment ago, and not answered yet. */
	isAwaited(now: number): boolean {
		return [...this.#askedAt.values()].some(
			(askedAt) => now - askedAt < answerMs,
		);
	}

	isValid(now: number): boolean {
		return now < this.#until;
	}
}
