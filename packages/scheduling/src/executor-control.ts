/**
What a scheduler asks of executors. Implemented by the platform's adapter and by stand-ins.

Every call carries the group's fencing token: an executor obeys no token below the highest it has
seen. Times of an executor are on its own steady clock, which may run up to 2% slow.
*/
import {type ResultAsync} from 'neverthrow';
import {type Executor} from './executor.js';

/** One run: a task, by its job and its place there, and the number of its start. */
export type RunName = {job: string; index: number; attempt: number};

export type RunEnd = RunName & {
	/** Rises by one with each end of this executor's life. */
	sequence: number;
	/** `failed` is the task's or the executor's own fault; `ended`: stopped, or its lease lapsed. */
	outcome: 'done' | 'failed' | 'ended';
};

export type LeaseReply = {
	/** The executor's clock when it answered, milliseconds. */
	clockMs: number;
	running: RunName[];
	/** Ends that have not been acknowledged. */
	ended: RunEnd[];
	/** More ends than fit into one reply: the others come after these have been acknowledged. */
	hasMoreEnds: boolean;
};

/**
Why a call to an executor came to nothing.

- `fenced`: another scheduler with a higher token has the group.
- `outdated`: that attempt, or a later one, has run or been stopped there.
- `lease-passed`: the lease that the start carried had run out on the executor's clock.
- `no-room`: the executor does not have the room free.
- `unhealthy`: it declined; nothing was done.
- `replaced`: another life of the executor answers at this address.
- `unreachable`: no connection was made; nothing was done.
- `unanswered`: the call may have been carried out, or may be later.
- `rejected`: the executor calls the request invalid.
*/
export type CallFailure = {
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
	/** The executor's clock, where it answered. */
	clockMs?: number;
};

/** An answer that has not come after this long, beside what the call waits for by itself, counts as lost; milliseconds. */
type AnswerLimit = {answerLimitMs: number};

export type StopRequest = RunName & AnswerLimit & {token: number};

export type StartRequest = RunName &
	AnswerLimit & {
		spec: string;
		/** On the executor's clock; covers everything that runs there, and never gets shorter. */
		leaseUntilMs: number;
		token: number;
	};

export type LeaseRequest = AnswerLimit & {
	token: number;
	/** Ends up to this sequence have been taken note of; the executor forgets them. */
	acknowledged: number;
	/** Absent: the lease stays as it is. */
	leaseUntilMs?: number;
	/** The executor answers when a task ends, at latest after this long. */
	waitMs: number;
};

export type ExecutorControl = {
	startTask: (
		executor: Executor,
		request: StartRequest,
	) => ResultAsync<{clockMs: number}, CallFailure>;
	stopTask: (
		executor: Executor,
		request: StopRequest,
	) => ResultAsync<{clockMs: number}, CallFailure>;
	renewLease: (
		executor: Executor,
		request: LeaseRequest,
	) => ResultAsync<LeaseReply, CallFailure>;
	/** Closes what is kept open to an executor that has left the group. */
	forgetExecutor: (executor: Executor) => void;
};
