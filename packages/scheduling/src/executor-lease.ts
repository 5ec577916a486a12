/**
The lease of all runs on one executor, as the scheduler tracks it: the executor's clock, and the latest time until
which the executor may still consider the lease valid.
*/
import {clockSlackMs, leaseMs, longestLeaseMs} from './timing.js';

/**
A lease that was extended on another process's clock may last for hours. Runs that were sent here count as over this
long after the last extension all the same: tasks are far shorter, and none may wait for ever.
*/
const maxForeignLeaseMs = 20_000;

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
	earlier holder may have renewed the lease until a moment ago, on the clock of an earlier process. Otherwise, if the executor went silent right after its
	first report, its runs would at once count as over.
	*/
	assumeRenewed: (now: number) => void;
	/**
	Assumes that the executor has extended its lease to `untilMs` of its own clock. To be called when a call to the former
	process of the executor, whose clock was another, may have been carried out by the present one.
	*/
	assumeExtended: (untilMs: number, now: number) => void;
	/** The latest end that a call has stated, on the executor's clock; undefined: none yet. */
	readonly statedUntilMs: number | undefined;
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
	let statedUntilMs: number | undefined;
	let foreignUntilMs: number | undefined;
	let extendedAt = -Infinity;

	function findForeignEnd(): number {
		if (foreignUntilMs === undefined) {
			return -Infinity;
		}

		const latest = extendedAt + maxForeignLeaseMs;
		return clock === undefined
			? latest
			: Math.min(
					latest,
					clock.readAt + (foreignUntilMs - clock.clockMs) + clockSlackMs,
				);
	}

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
			extendedAt = now;
			const untilMs = Math.floor(clock.clockMs + (until - clock.readAt));
			statedUntilMs = Math.max(statedUntilMs ?? untilMs, untilMs);
			return untilMs;
		},
		assumeRenewed(now) {
			endsAt = Math.max(endsAt, now + longestLeaseMs + clockSlackMs);
		},
		assumeExtended(untilMs, now) {
			foreignUntilMs = Math.max(foreignUntilMs ?? untilMs, untilMs);
			extendedAt = Math.max(extendedAt, now);
		},
		get statedUntilMs() {
			return statedUntilMs;
		},
		hasPassed: (now) => now > Math.max(endsAt, findForeignEnd()),
	};
}
