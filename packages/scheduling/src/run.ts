/**
A task's run on an executor, as known to the scheduler that started it or found it in an executor's report.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {type RunName} from './executor-control.js';

/**
- `starting`: the start has not been answered yet.
- `running`: the executor has accepted the start, or lists the run.
- `stopping`: a stop was requested; the run is over only once a stop is answered.
*/
export type RunState = 'starting' | 'running' | 'stopping';

export type Run = RunName & {
	demand: TaskDemand;
	state: RunState;
	/** Expected run time, milliseconds; undefined: not known. */
	estimateMs?: number;
	/** When the start was sent; for a run found at takeover, when it was found. */
	startedAt: number;
	/** When the executor accepted the start: a list of an earlier time may lack the run. */
	acceptedAt?: number;
	/** Start time of the process that accepted the start, Unix milliseconds; undefined: its answer did not say. */
	acceptedBornMs?: number;
	/**
	The session's process of the executor has, or had, the run: it stated its start time when it accepted the start, or it has
	listed the run. Without that, a later process may be the one that accepted the start.
	*/
	isConfirmed?: boolean;
	/** When the executor answered the stop: a later list without the run proves that it is over. */
	stoppedAt?: number;
	/** When a run that is to be stopped has to be over at the latest: no lease is extended past it. */
	stopBy?: number;
	/** The executor refused the start or could not be reached, so the run never began. */
	isRefused?: boolean;
	/**
	The start had no answer, and a later process of the executor may still carry it out. The run counts until a stop of the
	attempt is answered, or the start can't arrive any more.
	*/
	isHeld?: boolean;
	/** Sent to a former process of the executor: a crash of the present one is not blamed on it. */
	isInherited?: boolean;
	/** The run was found in a report, started by an earlier holder of the group, and no job has claimed it yet. */
	isUnclaimed: boolean;
	/** The run has taken too long, and its executor's trust has been lowered for it. */
	isOverdue?: boolean;
};

/**
How a run ended for its scheduler.
- `ended`: the executor stopped it, on a stop call or because its lease expired there.
- `lost`: its lease expired or its executor's process ended, and no end was reported.
- `unstarted`: it is proved that it never ran.
- `refused`: it never ran, as its executor had too little free capacity for it.
*/
export type RunOutcome =
	'done' | 'failed' | 'ended' | 'lost' | 'unstarted' | 'refused';

/** Makes the key that stands for a task in maps. */
export function formatTaskKey({
	job,
	index,
}: {
	job: string;
	index: number;
}): string {
	return `${job}/${index}`;
}
