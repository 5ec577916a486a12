/**
What callers ask of a host: submit a job, ask for it, cancel it.
*/
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {
	headers,
	type JobAnswer,
	jobAnswerSchema,
	type Submission,
} from '@gentianshift/resources';
import {type HttpReply, type HttpRequest, sendRequest} from './http.js';
import {type Failure, isProblem, readReply} from './replies.js';

export type SubmitOptions = {
	id: string;
	attempt: number;
	submission: Submission;
	/** Told each state of the job on the way. */
	onProgress: (answer: JobAnswer) => void;
};

/** A host holds one question open for this long; short, so that progress is seen. */
const waitMs = 1000;

/** Over a wait, the answer may take this much longer until the host is taken for dead. */
const graceMs = 5000;

/** A lost answer is asked for this often, at each host in turn, before it counts as unknown. */
const lostAttempts = 5;
const lostPauseMs = 300;

/** Makes a new job id under an issuer that a host hands out. */
export async function createJobId(
	hosts: readonly string[],
): Promise<Result<string, Failure>> {
	const reply = await sendRequest(hosts, {method: 'GET', path: '/v1/issuer'});
	return reply
		.andThen((answer) => readReply(answer, z.object({issuer: z.string()})))
		.map(({issuer}) => `${issuer}.${randomBytes(8).toString('hex')}`);
}

/**
Submits a job and waits for its whole answer. After a lost answer the same id is submitted
again: it joins the running job or gets the recorded answer, so nothing runs twice.
*/
export async function submitJob(
	hosts: readonly string[],
	{id, attempt, submission, onProgress}: SubmitOptions,
): Promise<Result<JobAnswer, Failure>> {
	return waitForJob(
		hosts,
		{
			method: 'PUT',
			path: `/v1/jobs/${id}?wait=${waitMs}`,
			body: submission,
			headers: {[headers.attempt]: String(attempt)},
		},
		onProgress,
	);
}

/** Asks for a job, and waits for its end where asked to. */
export async function queryJob(
	hosts: readonly string[],
	id: string,
	limitMs: number,
): Promise<Result<JobAnswer, Failure>> {
	const reply = await sendRequest(hosts, {
		method: 'GET',
		path: `/v1/jobs/${id}?wait=${limitMs}`,
		timeoutMs: limitMs + graceMs,
	});
	return readAnswer(reply);
}

export async function cancelJob(
	hosts: readonly string[],
	id: string,
): Promise<Result<JobAnswer, Failure>> {
	return readAnswer(
		await sendRequest(hosts, {method: 'DELETE', path: `/v1/jobs/${id}`}),
	);
}

async function waitForJob(
	hosts: readonly string[],
	request: HttpRequest,
	onProgress: (answer: JobAnswer) => void,
): Promise<Result<JobAnswer, Failure>> {
	let wasLost = false;
	let lost = 0;
	for (;;) {
		const order = listFrom(hosts, lost);
		const timeoutMs = waitMs + graceMs;
		const answer = readAnswer(
			await sendRequest(order, {...request, timeoutMs}),
		);
		if (answer.isOk() && !hasEnded(answer.value)) {
			onProgress(answer.value);
		} else if (answer.isErr() && isUnanswered(answer.error, wasLost)) {
			wasLost = true;
			lost++;
			if (lost >= lostAttempts) {
				return err({code: 'lost', message: answer.error.message});
			}

			await delay(lostPauseMs);
		} else {
			return answer;
		}
	}
}

/** Once an answer was lost, a host that cannot be reached leaves the outcome unknown as well. */
function isUnanswered(
	failure: Failure,
	wasLost: boolean,
): failure is {code: 'lost' | 'unreachable'; message: string} {
	return !isProblem(failure) && (failure.code === 'lost' || wasLost);
}

function readAnswer(
	reply: Result<HttpReply, Failure>,
): Result<JobAnswer, Failure> {
	return reply.andThen((answer) => readReply(answer, jobAnswerSchema));
}

export function hasEnded({state}: JobAnswer): boolean {
	return state !== 'queued' && state !== 'running';
}

function listFrom<T>(items: readonly T[], by: number): T[] {
	const start = by % items.length;
	return [...items.slice(start), ...items.slice(0, start)];
}
