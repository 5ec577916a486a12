/**
Types of the decisions of a slot keeper: which waiting job gets which executor's slot, which
job is refused, which slots are called back. State in, decisions out; time is passed in.
*/

/** A job's demand for slots, as its owner tells the keeper. Times in milliseconds. */
export type Demand = {
	/** The owner: `<data centre>_<host>.<incarnation>`. */
	owner: string;
	/** The owner's own number of the job. */
	job: number;
	service: string;
	team: string;
	/** Tasks not yet done, those running included. */
	remaining: number;
	/** Slots asked for so far, counted up from the job's start; what was granted is subtracted. */
	asked: number;
	/** What one task is thought to take (learned by the owner, else declared). */
	taskMs: number;
	/** Time left to the job's deadline. */
	deadlineInMs: number;
	/** Time the job has waited already. */
	waitedMs: number;
};

export type LentExecutor = {name: string; slots: number; isLeaving: boolean};
export type TeamShare = {
	weight: number;
	/** Slots in this keeper's part of the quota. */ quota?: number;
};

/** How a task on a lent slot ended; `unused` when none was started. */
export type SlotOutcome = {
	result: 'done' | 'failed' | 'refused' | 'unknown' | 'unused';
	runMs: number;
};

export type Grant = {
	owner: string;
	job: number;
	executor: string;
	slot: number;
};
export type Refusal = {
	owner: string;
	job: number;
	code: 'overloaded' | 'deadline' | 'impossible';
	retryAfterMs?: number;
};
/** Asks an owner to give back slots as their tasks end, because better-ranked work waits. */
export type Recall = {owner: string; slots: number[]};
/** Demand that other data centres may serve from free slots. */
export type Shortage = {owner: string; job: number; count: number};

export type LendingDecisions = {
	grants: Grant[];
	refusals: Refusal[];
	recalls: Recall[];
	shortages: Shortage[];
};
