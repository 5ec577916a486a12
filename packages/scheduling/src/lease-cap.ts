/**
How far the lease of an executor may be renewed, by what runs there.

A lease covers everything on its executor, so it goes no further than the run whose time is up first. Each run has
such a time, also one that nobody has claimed yet and one whose stop has no answer: without it a stop that is lost
again and again leaves a task running under leases that are renewed for its neighbours, while its caller has come
again elsewhere.
*/
import {type Run} from './run.js';
import {claimLimitMs, stopLimitMs} from './timing.js';

/** `getClaimLimit`: until when the job's claim allows runs; `Infinity`: the job is not known. */
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
	{job, isFound, startedAt, stopBy}: Run,
	getClaimLimit: (job: string) => number,
): number {
	if (stopBy !== undefined) {
		return stopBy;
	}

	return isFound ? startedAt + claimLimitMs + stopLimitMs : getClaimLimit(job);
}
