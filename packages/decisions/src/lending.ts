/**
Types of the decisions of a keeper, the process that allocates the slots of one target's executors in one
data centre: which waiting job gets which executor's slot, which job is refused, and which slots are
recalled. Time is passed in.
*/

/** A job's demand for slots, as its owner sends it to the keeper. Times in milliseconds. */
export type Demand = {
	/** The process that runs the job: `<data centre>_<host>.<incarnation>`. */
	owner: string;
	/** Number of the job, unique for its owner. */
	job: number;
	service: string;
	team: string;
	/** Tasks not yet done, those running included. */
	remaining: number;
	/**
	Slots asked for since the job's start: those granted so far, as the owner knows, and one for each
	task without a slot now. The keeper subtracts the grants that it has made, so that grants in transit
	are not made twice.
	*/
	asked: number;
	/** Expected run time of one task: learned by the owner, else declared. */
	taskMs: number;
	/** Time left to the job's deadline. */
	deadlineInMs: number;
	/** Time the job has waited already. */
	waitedMs: number;
	/**
	Slots granted since the job's start, as the owner knows: the starting count of a keeper that doesn't
	know the job yet, and a correction for lost grants.
	*/
	granted?: number;
	/** An earlier keeper admitted the job: admission is not checked again. */
	isAdmitted?: boolean;
	/** Slots that the job holds now from other keepers. */
	heldElsewhere?: number;
};

export type LentExecutor = {name: string; slots: number; isLeaving: boolean};
export type TeamShare = {
	weight: number;
	/** Maximum number of slots at this keeper: its part of the team's quota. */
	quota?: number;
};

/** How a task on a lent slot ended; `unused` if none was started. */
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
/**
Asks an owner to release slots as their tasks end: better-ranked jobs wait, or the executor is leaving or
ejected.
*/
export type Recall = {owner: string; slots: number[]};
/** A number of slots that a job waits for and that other data centres may grant from free slots. */
export type Shortage = {owner: string; job: number; count: number};

/** Number of slots of a lost owner, and the longest time that one of them stays unlent, milliseconds. */
export type QuarantinedSlots = {slots: number; maxQuarantineMs: number};

export type LendingDecisions = {
	grants: Grant[];
	refusals: Refusal[];
	recalls: Recall[];
	shortages: Shortage[];
};

/** A slot lent by an earlier keeper, as its borrower reports it to the new one. */
export type HeldSlot = {executor: string; slot: number; job: number};

export type LenderOptions = {
	/** First slot number. A new keeper of the same executors must use another range. */
	firstSlot?: number;
	/** Maximum number of waiting tasks. */
	queueTasks?: number;
	/** How long a borrower may use its slots after its last heartbeat, milliseconds. */
	leaseMs?: number;
};

/** Figures for other keepers, owners and operators. */
export type LenderState = {
	/** Slots that may be lent now. */
	free: number;
	/** Slots that may be lent in total when none is in use. */
	slots: number;
	queuedTasks: number;
	/** Work of the waiting jobs, slot-milliseconds. */
	queuedWorkMs: number;
	/** Rank of the best waiting job (`rankJob`); undefined if none waits. */
	bestRank: number | undefined;
	/** Number of leaving executors that still have lent slots. */
	leaving: number;
};
