/**
How far the lease of an executor may be renewed, given the runs on it.

A lease covers all runs on an executor, so it must not go beyond the earliest time by which one of them has to end.
Every run has such a time, including a run that no entry has claimed yet and a run whose stop is not answered.
Otherwise, if the stop is lost repeatedly, the run would go on under leases renewed for other runs, while its caller
has resubmitted the job elsewhere.
*/
import {type Run} from './run.js';
import {claimLimitMs, stopLimitMs} from './timing.js';

/**
Returns a time on this host's clock. `getClaimLimit`: until when the claim on the job allows runs; `Infinity`: the job
is not known.
*/
export function computeLeaseCap(
	runs: Iterable<Run>,
	getClaimLimit: (job: string) => number,
): number {
	let cap = Infinity;
	for (const run of runs) {
		cap = Math.min(cap, computeRunCap(run, getClaimLimit));
	}

	return cap;
}

function computeRunCap(
	{job, isUnclaimed, startedAt, stopBy}: Run,
	getClaimLimit: (job: string) => number,
): number {
	const limit = isUnclaimed
		? startedAt + claimLimitMs + stopLimitMs
		: getClaimLimit(job);
	// The message that the run is to be stopped may have been read late, while the caller counts from when it was sent.
	return Math.min(limit, stopBy ?? Infinity);
}
