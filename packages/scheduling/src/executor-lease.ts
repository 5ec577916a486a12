/**
The lease of all runs on one executor, as the scheduler tracks it: the executor's clock, and the latest time until
which the executor may still consider the lease valid.
*/
import {clockSlackMs, leaseMs} from './timing.js';

export type ExecutorLease = {
	/** Records what the executor's clock showed at `now` of this host's clock. */
	setClock: (clockMs: number, now: number) => void;
	/**
	Extends the lease, but not beyond `cap` (this host's clock). Returns its new end on the executor's clock;
	undefined if it can't be extended, because the cap has passed or the executor's clock is not known yet.
	*/
	extend: (cap: number, now: number) => number | undefined;
	/**
	Assumes that the lease was renewed just now. To be called when runs are found that this scheduler did not start: an
	earlier holder may have renewed the lease until a moment ago. Otherwise, if the executor went silent right after its
	first report, its runs would at once count as over.
	*/
	assumeRenewed: (now: number) => void;
	/** All runs on the executor are certain to have ended, even if its clock is the slowest allowed. */
	hasPassed: (now: number) => boolean;
};

/**
@example
const lease = createExecutorLease();
lease.setClock(5000, 100);
lease.extend(Infinity, 100); // 5700
*/
export function createExecutorLease(): ExecutorLease {
	let clock: {clockMs: number; readAt: number} | undefined;
	/** Unless the lease is renewed, all runs have ended by then; this host's clock. */
	let endsAt = 0;
	return {
		setClock(clockMs, now) {
			clock = {clockMs, readAt: now};
		},
		extend(cap, now) {
			const until = Math.min(now + leaseMs, cap);
			if (!clock || until <= now) {
				return undefined;
			}

			endsAt = Math.max(endsAt, until + clockSlackMs);
			return Math.floor(clock.clockMs + (until - clock.readAt));
		},
		assumeRenewed(now) {
			endsAt = Math.max(endsAt, now + leaseMs + clockSlackMs);
		},
		hasPassed: (now) => now > endsAt,
	};
}
