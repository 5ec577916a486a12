/**
What a caller sets once for a client, and with each job.
*/
import {type Dispatcher} from 'undici';
import {type z} from 'zod';
import {type JobAnswer, type Problem} from '@gentianshift/resources';

export type ClientOptions = {
	/** Base addresses of entry hosts or of their balancer, like `http://10.0.0.1:8080`. */
	hosts: string[];
	team: string;
	/** Of undici; its global one where absent. */
	dispatcher?: Dispatcher;
	/** Makes the random part of an id, 32 hexadecimal digits; cryptographic where absent. */
	random?: () => string;
	/** Times to come back after a refusal that says when; 0 where absent. */
	retries?: number;
	/** Milliseconds for one request to wait for the answer; 5,000 where absent. */
	waitMs?: number;
	/** Milliseconds beyond that until the connection counts as silent; 2,000 where absent. */
	silenceMs?: number;
};

export type SubmitOptions<Output = unknown> = {
	service: string;
	/**
	An id or a name (see `makeName`) of the caller's own, kept to submit the same job again after
	the caller itself was restarted; one is made where absent. It must not stand for another job.
	*/
	id?: string;
	/** Payloads, posted to executors as JSON. */
	tasks: unknown[];
	/** Milliseconds from now; the service's own where absent. */
	deadlineMs?: number;
	/** Checks each result and gives it its type. */
	result?: z.ZodType<Output>;
	/** Aborting cancels the job. */
	signal?: AbortSignal;
	/** Told the state about twice a second while the job waits or runs. */
	onProgress?: (answer: JobAnswer) => void;
};

/** A whole answer: one result for each task, in the tasks' order. */
export type WholeAnswer<Output = unknown> = Omit<JobAnswer, 'results'> & {
	results: Output[];
};

/**
Why there is no whole answer. `ran` tells what is known: only after "none" may the same order
be placed anew under another id. Codes of the client itself: `unreachable`, `no-answer`,
`aborted`, `bad-result`.
*/
export type ClientProblem = Problem;
