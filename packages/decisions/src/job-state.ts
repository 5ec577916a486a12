/**
A job as its keeper knows it, and the slots lent to it.
*/
import {type Demand} from './lending.js';
import {type TeamState} from './team-table.js';
import {type ExecutorState} from './executor-health.js';

export type JobState = {
	readonly owner: string;
	readonly job: number;
	readonly sequence: number;
	/** Rank as a time on the keeper's clock: see `rankJob`. Fixed while the job is listed. */
	order: number;
	readonly team: TeamState;
	demand: Demand;
	/** When the job began to wait, on the keeper's clock. */
	readonly since: number;
	deadlineAt: number;
	isAdmitted: boolean;
	/** Its deadline is near: it goes before all that isn't. */
	isUrgent: boolean;
	isListed: boolean;
	/** What is left, milliseconds of one slot; in the team's sum while listed. */
	workMs: number;
	/** Lent slots for another data centre's keeper; never queued here. */
	isForeign: boolean;
	/** Slots granted since the job's start, by this keeper or, as told, by others. */
	granted: number;
	/** When `granted` last rose, on the keeper's clock. */
	grantedAt: number;
	/** Slots asked for elsewhere, until the answer or `shiftingUntil`. */
	shifting: number;
	shiftingUntil: number;
	/** Lent slots not yet called back. */
	readonly held: Map<number, LentSlot>;
};

export type LentSlot = {
	readonly slot: number;
	readonly owner: string;
	readonly jobNumber: number;
	readonly executor: ExecutorState;
	readonly lentAt: number;
	team: TeamState;
	service: string;
	/** Absent for a slot that a new keeper learned of before its job. */
	job: JobState | undefined;
	isRecalled: boolean;
	/** Set when its owner died: free again from then on. */
	quarantinedUntil: number | undefined;
};

/** Slots the job wants beyond those granted or being asked for elsewhere. */
export function countWanted(job: JobState): number {
	return Math.max(0, job.demand.asked - job.granted - job.shifting);
}
