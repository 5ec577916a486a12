/**
A caller of a trial: submits jobs by id, resubmits the same id elsewhere after a lost answer, and
keeps what it was told.
*/
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request, type Dispatcher} from 'undici';
import {
	headers,
	type JobAnswer,
	type Problem,
	type Submission,
} from '@gentianshift/resources';

/** What the caller knows of a job in the end; `lost`: no host gave a final answer in time. */
export type JobOutcome = {
	id: string;
	submission: Submission;
	/** From submission to the final answer, milliseconds. */
	tookMs: number;
	/** Unix milliseconds. */
	submittedAt: number;
} & (
	| {kind: 'answer'; answer: JobAnswer}
	| {kind: 'problem'; problem: Problem}
	| {kind: 'lost'; detail: string}
);

export type Reply =
	| {kind: 'answer'; status: number; answer: JobAnswer}
	| {kind: 'problem'; status: number; problem: Problem}
	| {kind: 'lost'; detail: string};

export type CallOptions = {
	waitMs?: number;
	attempt?: number;
	/** Given up on, and taken as lost, after this long, milliseconds. */
	limitMs?: number;
	dispatcher?: Dispatcher;
};

const defaultWaitMs = 2000;
/** Added to the wait before an answer counts as lost, milliseconds. */
const replyMarginMs = 3000;
/** Between resubmissions after a lost answer, milliseconds. */
const resubmitPauseMs = 50;

/** Connections are not kept between trials' hosts that are killed and come back. */
const defaultDispatcher = new Agent({connections: 256, pipelining: 1});

/** Ends connections that are kept open, so that a test process can end. */
export async function closeCallers(): Promise<void> {
	await defaultDispatcher.close();
}

export async function fetchIssuer(url: string): Promise<string> {
	const response = await request(`${url}/v1/issuer`);
	const {issuer} = (await response.body.json()) as {issuer: string};
	return issuer;
}

export function makeJobId(issuer: string): string {
	return `${issuer}.${randomBytes(8).toString('hex')}`;
}

/** One attempt at one host. */
export async function submitOnce(
	url: string,
	id: string,
	submission: Submission,
	options: CallOptions = {},
): Promise<Reply> {
	const {waitMs = defaultWaitMs, attempt = 1} = options;
	return call(`${url}/v1/jobs/${id}?wait=${waitMs}`, options, {
		method: 'PUT',
		headers: {
			'content-type': 'application/json',
			[headers.attempt]: String(attempt),
		},
		body: JSON.stringify(submission),
	});
}

export async function queryOnce(
	url: string,
	id: string,
	options: CallOptions = {},
): Promise<Reply> {
	const {waitMs = defaultWaitMs} = options;
	return call(`${url}/v1/jobs/${id}?wait=${waitMs}`, options, {method: 'GET'});
}

export async function cancelOnce(
	url: string,
	id: string,
	options: CallOptions = {},
): Promise<Reply> {
	return call(`${url}/v1/jobs/${id}`, options, {method: 'DELETE'});
}

/**
Submits a job until its final answer is known: a reply that is lost, or not final yet, is asked
for at the next host with the same id and the same attempt.
*/
export async function runJob(
	urls: readonly string[],
	id: string,
	submission: Submission,
	options: CallOptions = {},
): Promise<JobOutcome> {
	const {limitMs = 30_000} = options;
	const submittedAt = Date.now();
	const begin = performance.now();
	let detail = 'no reply';
	for (let turn = 0; performance.now() - begin < limitMs; turn++) {
		const url = urls[turn % urls.length]!;
		const reply = await submitOnce(url, id, submission, options);
		const tookMs = performance.now() - begin;
		const base = {id, submission, submittedAt, tookMs};
		if (reply.kind === 'problem') {
			return {...base, kind: 'problem', problem: reply.problem};
		}

		if (reply.kind === 'answer' && isFinal(reply.answer)) {
			return {...base, kind: 'answer', answer: reply.answer};
		}

		if (reply.kind === 'lost') {
			detail = reply.detail;
			await delay(resubmitPauseMs);
		}
	}

	const tookMs = performance.now() - begin;
	return {id, submission, submittedAt, tookMs, kind: 'lost', detail};
}

export function isFinal(answer: JobAnswer): boolean {
	return answer.state !== 'queued' && answer.state !== 'running';
}

async function call(
	url: string,
	{waitMs = defaultWaitMs, dispatcher = defaultDispatcher}: CallOptions,
	options: {
		method: 'GET' | 'PUT' | 'DELETE';
		headers?: Record<string, string>;
		body?: string;
	},
): Promise<Reply> {
	try {
		const response = await request(url, {
			...options,
			dispatcher,
			signal: AbortSignal.timeout(waitMs + replyMarginMs),
		});
		const body = await response.body.json();
		const status = response.statusCode;
		return status < 300
			? {kind: 'answer', status, answer: body as JobAnswer}
			: {kind: 'problem', status, problem: body as Problem};
	} catch (error) {
		return {kind: 'lost', detail: String(error)};
	}
}
