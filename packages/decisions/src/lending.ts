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
	/**
	Slots asked for so far: those granted since the job's start, as the owner knows, and one for
	each task that has no slot now. What was granted is subtracted, so that grants under way are
	not asked for twice.
	*/
	asked: number;
	/** What one task is thought to take (learned by the owner, else declared). */
	taskMs: number;
	/** Time left to the job's deadline. */
	deadlineInMs: number;
	/** Time the job has waited already. */
	waitedMs: number;
	/** Slots granted so far, as the owner knows: read by a keeper that meets the job first. */
	granted?: number;
	/** An earlier keeper let the job in: it isn't judged again. */
	isAdmitted?: boolean;
	/** Slots that the job holds now from other keepers. */
	heldElsewhere?: number;
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

/** Slots of a lost owner, and how long none of them is lent for, milliseconds. */
export type QuarantinedSlots = {slots: number; forMs: number};

export type LendingDecisions = {
	grants: Grant[];
	refusals: Refusal[];
	recalls: Recall[];
	shortages: Shortage[];
};

/** A slot lent by an earlier keeper, as its borrower tells the new one. */
export type HeldSlot = {executor: string; slot: number; job: number};

export type LenderOptions = {
	/** First slot number; a new keeper of the same executors takes another range. */
	firstSlot?: number;
	/** Most tasks that may wait. */
	queueTasks?: number;
	/** How long a borrower may go on after its last heartbeat, milliseconds. */
	leaseMs?: number;
};

/** Figures for other keepers, owners and operators. */
export type LenderState = {
	/** Slots that may be lent now. */
	free: number;
	/** Slots that may be lent when all are free. */
	slots: number;
	queuedTasks: number;
	/** Milliseconds of one slot. */
	queuedWorkMs: number;
	/** Rank of the best waiting job (`rankJob`); undefined when none waits. */
	bestRank: number | undefined;
	/** Leaving executors that still have lent slots. */
	leaving: number;
};
