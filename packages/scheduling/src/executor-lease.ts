/**
The lease of all that runs on one executor, as its scheduler reckons it: the executor's clock, and the latest moment
to which the lease has been renewed.
*/
import {clockSlackMs, leaseMs} from './timing.js';

export type ExecutorLease = {
	/** Takes the executor's clock, read now. */
	setClock: (clockMs: number, now: number) => void;
	/**
	Extends the lease, no further than `cap` on this host's clock. Gives its new end on the executor's clock; undefined:
	it can't be extended, as the cap has passed or the executor's clock is not known yet.
	*/
	extend: (cap: number, now: number) => number | undefined;
	/**
	Runs were found there that this scheduler did not start: an earlier holder may have renewed the lease until a moment
	ago. Without this, runs of an executor that goes silent right after its first report would count as over at once.
	*/
	assumeRenewed: (now: number) => void;
	/** Everything there has ended for certain, also by the slowest clock. */
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
	/** At latest then everything there has ended, unless renewed; this host's clock. */
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
