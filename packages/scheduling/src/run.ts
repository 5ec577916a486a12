/**
A task's run on an executor, as the scheduler that started or found it knows it.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {type RunName} from './executor-control.js';

/**
- `starting`: the start has no answer yet.
- `running`: the executor has accepted it, or lists it.
- `stopping`: a stop has to be answered before the run is known to be over.
*/
export type RunState = 'starting' | 'running' | 'stopping';

export type Run = RunName & {
	demand: TaskDemand;
	state: RunState;
	/** How long it is expected to take, milliseconds; undefined: not known. */
	estimateMs?: number;
	/** When the start was sent; for a run found at takeover, when it was found. */
	startedAt: number;
	/** When the executor accepted the start: lists of an earlier moment may lack it. */
	acceptedAt?: number;
	/** When the executor answered the stop: a later list without the run proves that it is over. */
	stoppedAt?: number;
	/** When it has to be over at the latest, once it is to be stopped: no lease goes further. */
	stopBy?: number;
	/** The executor has answered the start with a refusal, or could not be reached: it did not run. */
	isRefused?: boolean;
	/** Started by an earlier holder of the group, and not claimed by an entry. */
	isFound: boolean;
	/** It has taken too long, and its executor's trust has been lowered for it. */
	isOverdue?: boolean;
};

/**
How a run ended for its scheduler. `lost`: the lease passed or the executor's life ended;
`unstarted`: it is proved that it never ran; `refused`: likewise, as its executor had no room for it.
*/
export type RunOutcome =
	'done' | 'failed' | 'ended' | 'lost' | 'unstarted' | 'refused';

/** Names a task in maps. */
export function formatTaskKey({
	job,
	index,
}: {
	job: string;
	index: number;
}): string {
	return `${job}/${index}`;
}
