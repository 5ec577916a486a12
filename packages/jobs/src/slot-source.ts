/**
The interface through which the owner of a job obtains executor slots. A host implements it with
the slots package, in which keepers grant slots; the benchmark implements it with other policies.
*/
import {type SlotOutcome} from '@gentianshift/decisions';
import {type Executor} from '@gentianshift/resources';

/** A slot of one executor, granted to a job, that runs one task at a time. */
export type UsableSlot = {
	executor: Executor;
	/**
	Whether a task may be started on the slot now: its lease has not expired and the executor is not
	leaving. Must be called right before each start, because this host may have been paused.
	*/
	isUsable: () => boolean;
	/** Reports the end of a task; returns true if the job may use the slot for its next task. */
	endTask: (
		outcome: SlotOutcome,
		left: Pick<JobDemand, 'remaining' | 'queued'>,
	) => boolean;
	/** Returns the slot. */
	release: (outcome: SlotOutcome) => void;
};

export type JobDemand = {
	/** Number of the job, unique within its owner's process. */
	job: number;
	target: string;
	service: string;
	team: string;
	/** Tasks not yet done, including those that run. */
	remaining: number;
	/** Tasks that wait for a slot. */
	queued: number;
	/** Expected run time of one task, milliseconds. */
	taskMs: number;
	/** Whether a task of the job was started; such a job can no longer be refused. */
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
	/** Called only before a slot was granted to the job. */
	onRefusal: (job: number, refusal: SlotRefusal) => void;
};

export type SlotSource = {
	/** Sets or replaces the demand of a job. */
	demandSlots: (demand: JobDemand) => void;
	/** Removes the demand of a job, which then gets no more slots. */
	withdrawDemand: (job: number) => void;
};
