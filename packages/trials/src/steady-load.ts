/**
Callers that submit one job after another through a balancer: to any host that is ready.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {
	headers,
	type JobAnswer,
	type Problem,
	type Submission,
} from '@gentianshift/resources';
import {isFinal, type JobOutcome, makeJobId} from './caller.js';
import {probeUrl} from './hosts.js';

export type LoadOptions = {
	submission: Submission;
	callers: number;
	/** Between the jobs of one caller, milliseconds. */
	pauseMs: number;
};

export type LoadResult = {
	outcomes: JobOutcome[];
	/** Requests that a host had taken and left without an answer. */
	cutOff: string[];
};

type Balancer = {pick: () => string | undefined; stop: () => Promise<void>};

/** A balancer looks this often whether a host is ready, milliseconds. */
const probeEveryMs = 50;

const waitMs = 5000;

/** The connect step itself failed: no request was taken. */
const connectFailures = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** Starts the callers; `stop` lets each end its job. */
export function startLoad(
	hosts: ReadonlyArray<{url: string}>,
	{submission, callers, pauseMs}: LoadOptions,
) {
	const result: LoadResult = {outcomes: [], cutOff: []};
	const dispatcher = new Agent({pipelining: 1});
	const balancer = startBalancer(hosts.map(({url}) => url));
	const stopping = new AbortController();
	const running = Array.from({length: callers}, async () => {
		while (!stopping.signal.aborted) {
			const url = balancer.pick();
			if (url !== undefined) {
				await submitOne(url, submission, {result, dispatcher});
			}

			await delay(pauseMs);
		}
	});
	return {
		async stop(): Promise<LoadResult> {
			stopping.abort();
			await Promise.all(running);
			await balancer.stop();
			await dispatcher.close();
			return result;
		},
	};
}

function startBalancer(urls: readonly string[]): Balancer {
	let ready: string[] = [...urls];
	let turn = 0;
	const stopping = new AbortController();
	const probing = (async () => {
		while (!stopping.signal.aborted) {
			const probes = await Promise.all(
				urls.map(async (url) => probeUrl(`${url}/readyz`)),
			);
			ready = urls.filter((_, i) => probes[i] === true);
			await delay(probeEveryMs);
		}
	})();
	return {
		pick: () => ready[turn++ % Math.max(ready.length, 1)],
		async stop() {
			stopping.abort();
			await probing;
		},
	};
}

/** One job at one host, asked for there until its answer is final. */
async function submitOne(
	url: string,
	submission: Submission,
	{result, dispatcher}: {result: LoadResult; dispatcher: Agent},
): Promise<void> {
	const submittedAt = Date.now();
	const begin = performance.now();
	let id = '';
	let isTaken = false;
	try {
		const issuer = await request(`${url}/v1/issuer`, {dispatcher});
		const told = (await issuer.body.json()) as {issuer: string};
		id = makeJobId(told.issuer);
		for (;;) {
			const reply = await putJob(url, id, submission, dispatcher);
			isTaken = true;
			const tookMs = performance.now() - begin;
			const base = {id, submission, submittedAt, tookMs};
			if ('problem' in reply) {
				result.outcomes.push({...base, kind: 'problem', ...reply});
				return;
			}

			if (isFinal(reply.answer)) {
				result.outcomes.push({...base, kind: 'answer', ...reply});
				return;
			}
		}
	} catch (error) {
		const {code} = error as {code?: string};
		if (isTaken || !connectFailures.has(String(code))) {
			result.cutOff.push(`${url} ${id}: ${String(error)}`);
		}
	}
}

async function putJob(
	url: string,
	id: string,
	submission: Submission,
	dispatcher: Agent,
): Promise<{answer: JobAnswer} | {problem: Problem}> {
	const reply = await request(`${url}/v1/jobs/${id}?wait=${waitMs}`, {
		method: 'PUT',
		dispatcher,
		headers: {'content-type': 'application/json', [headers.attempt]: '1'},
		body: JSON.stringify(submission),
	});
	const body = await reply.body.json();
	return reply.statusCode < 300
		? {answer: body as JobAnswer}
		: {problem: body as Problem};
}
