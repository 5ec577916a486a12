/**
A job as its keeper knows it, and the slots lent to the job.
*/
import {type Demand} from './lending.js';
import {type TeamState} from './team-table.js';
import {type ExecutorState} from './executor-health.js';

export type JobState = {
	readonly owner: string;
	readonly job: number;
	readonly sequence: number;
	/**
	Sort key: the rank (see `rankJob`) as a time on the keeper's clock, lower first. Must not change while the job is in
	its team's queue.
	*/
	order: number;
	readonly team: TeamState;
	demand: Demand;
	/** When the job began to wait, on the keeper's clock. */
	readonly waitingSince: number;
	deadlineAt: number;
	isAdmitted: boolean;
	/** The deadline is near: the job is served before all jobs that aren't urgent. */
	isUrgent: boolean;
	isQueued: boolean;
	/** Remaining work, slot-milliseconds. Included in the team's sum while the job is in the queue. */
	workMs: number;
	/** The job belongs to another data centre and only borrows slots here; it is never queued here. */
	isForeign: boolean;
	/** Slots granted since the job's start: by this keeper, and by others as far as reported. */
	granted: number;
	/** When `granted` last rose, on the keeper's clock. */
	grantedAt: number;
	/** Slots requested from other keepers, until they answer or the request times out. */
	requestedElsewhere: number;
	requestedElsewhereUntil: number;
	/** Lent slots, by number, that are not recalled. */
	readonly heldSlots: Map<number, LentSlot>;
};

export type LentSlot = {
	readonly slot: number;
	readonly owner: string;
	readonly jobNumber: number;
	readonly executor: ExecutorState;
	readonly lentAt: number;
	team: TeamState;
	service: string;
	/** Undefined while a new keeper knows the slot but not yet its job. */
	job: JobState | undefined;
	isRecalled: boolean;
	/** Set when the owner is lost: the slot is free from this time on. */
	quarantinedUntil: number | undefined;
};

/** Number of slots that the job still wants, besides those granted or requested elsewhere. */
export function countWanted(job: JobState): number {
	return Math.max(0, job.demand.asked - job.granted - job.requestedElsewhere);
}
