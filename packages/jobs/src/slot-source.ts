/**
Where the owner of a job gets executor slots from, as functions passed in: the keepers of the
slots package in a host, other policies in the bench.
*/
import {type SlotOutcome} from '@gentianshift/decisions';
import {type Executor} from '@gentianshift/resources';

/** A slot of one executor that a job may use for one task after another. */
export type UsableSlot = {
	executor: Executor;
	/**
	Whether a task may be started on it at this moment: its lease still runs and the executor
	isn't leaving. Read right before each start, because this host may have been paused.
	*/
	isUsable: () => boolean;
	/** The task ended; true when the slot may be used at once for the job's next task. */
	keep: (
		outcome: SlotOutcome,
		left: Pick<JobDemand, 'remaining' | 'queued'>,
	) => boolean;
	/** Gives the slot back. */
	release: (outcome: SlotOutcome) => void;
};

export type JobDemand = {
	/** The owner's own number of the job. */
	job: number;
	target: string;
	service: string;
	team: string;
	/** Tasks not yet done, those running included. */
	remaining: number;
	/** Tasks that wait for a slot. */
	queued: number;
	taskMs: number;
	/** Something of the job was started: it can no longer be refused. */
	hasStarted: boolean;
	/** Monotonic milliseconds. */
	deadlineAt: number;
	submittedAt: number;
};

export type SlotRefusal = {
	code: 'overloaded' | 'deadline' | 'impossible';
	retryAfterMs?: number;
};

export type SlotHandlers = {
	onSlot: (job: number, slot: UsableSlot) => void;
	/** Only before any slot of the job was granted. */
	onRefusal: (job: number, refusal: SlotRefusal) => void;
};

export type SlotSource = {
	/** Tells or updates what a job wants. */
	demandSlots: (demand: JobDemand) => void;
	/** The job wants nothing more. */
	withdrawDemand: (job: number) => void;
};
