/**
The calls that a scheduler makes to executors. Implemented by the platform's adapter and by test doubles.

Every call carries the group's fencing token: an executor refuses a call whose token is below the highest it has seen.
Times of an executor are on its own monotonic clock, which may run up to 2% slow.
*/
import {type ResultAsync} from 'neverthrow';
import {type Executor} from './executor.js';

/** Identifies one run: the job, the index of the task in that job, and the number of the start (from 1). */
export type RunName = {job: string; index: number; attempt: number};

export type RunEnd = RunName & {
	/** Rises by one with each end that this executor process reports. */
	sequence: number;
	/** `failed`: the task or the executor failed; `ended`: the run was stopped or its lease lapsed. */
	outcome: 'done' | 'failed' | 'ended';
};

/** Names the process that answered. */
export type Answerer = {
	/** When the process started, Unix milliseconds; undefined: the answer does not say. */
	bornMs?: number;
};

/** The answer to a start or a stop. */
export type OrderReply = Answerer & {
	/** The executor's clock when it answered, milliseconds. */
	clockMs: number;
};

export type LeaseReply = Answerer & {
	/** The executor's clock when it answered, milliseconds. */
	clockMs: number;
	running: RunName[];
	/** Ends that the scheduler has not acknowledged yet. */
	ended: RunEnd[];
	/** There are more ends than fit into one reply; the others follow once these are acknowledged. */
	hasMoreEnds: boolean;
};

/**
Why a call to an executor failed.

- `fenced`: another scheduler with a higher token holds the group.
- `outdated`: this attempt of the task, or a later one, was already started or stopped on the executor.
- `lease-passed`: the lease that the start carried had expired on the executor's clock.
- `no-room`: the executor has too little free capacity.
- `unhealthy`: the executor refused the call as unhealthy; nothing was done.
- `replaced`: an executor with another id answers at this address.
- `unreachable`: no connection was made; nothing was done.
- `unanswered`: the call may have been carried out, or may be carried out later.
- `rejected`: the executor considers the request invalid.
*/
export type CallFailure = Answerer & {
	code:
		| 'fenced'
		| 'outdated'
		| 'lease-passed'
		| 'no-room'
		| 'unhealthy'
		| 'replaced'
		| 'unreachable'
		| 'unanswered'
		| 'rejected';
	message: string;
	/** The executor's clock, milliseconds, if the executor answered. */
	clockMs?: number;
};

/** Time-out for the answer, milliseconds, in addition to the call's own `waitMs`. */
type AnswerLimit = {answerTimeoutMs: number};

export type StopRequest = RunName & AnswerLimit & {token: number};

export type StartRequest = RunName &
	AnswerLimit & {
		spec: string;
		/**
		End of the lease on the executor's clock. The lease covers all runs on the executor and is never shortened.
		*/
		leaseUntilMs: number;
		token: number;
	};

export type LeaseRequest = AnswerLimit & {
	token: number;
	/** The scheduler has recorded all ends up to this sequence; the executor may discard them. */
	acknowledged: number;
	/** New end of the lease on the executor's clock; absent: the lease is not extended. */
	leaseUntilMs?: number;
	/** The executor answers when a run ends, at the latest after this long. */
	waitMs: number;
};

export type ExecutorControl = {
	startTask: (
		executor: Executor,
		request: StartRequest,
	) => ResultAsync<OrderReply, CallFailure>;
	stopTask: (
		executor: Executor,
		request: StopRequest,
	) => ResultAsync<OrderReply, CallFailure>;
	renewLease: (
		executor: Executor,
		request: LeaseRequest,
	) => ResultAsync<LeaseReply, CallFailure>;
	/** Closes the connections to an executor that has left the group. */
	forgetExecutor: (executor: Executor) => void;
};
