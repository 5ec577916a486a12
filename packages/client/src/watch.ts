/**
Watches a job over JSON lines; a watch that breaks goes on at another host.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {err, ok} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';
import {
	jobAnswerSchema,
	problemSchema,
	type JobReply,
} from '@gentianshift/resources';
import {type HostList} from './host-list.js';
import {createLocalProblem} from './local-problems.js';

const lineSchema = z.union([
	z.object({answer: jobAnswerSchema}),
	z.object({problem: problemSchema}),
]);

/** Rounds over all hosts that may end without a line. */
const maxEmptyRounds = 5;
/** Milliseconds between rounds. */
const pauseMs = 200;

export type WatchOptions = {
	id: string;
	hosts: HostList;
	signal?: AbortSignal;
	dispatcher?: Dispatcher;
};

/** Yields states until the job's answer or problem; ends early when the signal is aborted. */
export async function* watchJob(
	options: WatchOptions,
): AsyncGenerator<JobReply> {
	const {id, hosts, signal} = options;
	let emptyRounds = 0;
	while (!signal?.aborted && emptyRounds < maxEmptyRounds) {
		emptyRounds++;
		for (const host of hosts.listInOrder()) {
			for await (const reply of watchAt(host, options)) {
				if (isMovable(reply)) {
					break;
				}

				emptyRounds = 0;
				yield reply;
				if (hasEnded(reply)) {
					return;
				}
			}
		}

		await sleep(pauseMs);
	}

	if (!signal?.aborted) {
		yield err(
			createLocalProblem('no-answer', 'unknown', 'no host tells of it', id),
		);
	}
}

async function* watchAt(
	host: string,
	{id, hosts, signal, dispatcher}: WatchOptions,
): AsyncGenerator<JobReply> {
	try {
		const url = new URL(`/v1/jobs/${id}?watch`, host);
		const response = await request(url, {signal, dispatcher});
		if (response.statusCode >= 300) {
			yield err(problemSchema.parse(await response.body.json()));
			return;
		}

		let rest = '';
		response.body.setEncoding('utf8');
		for await (const chunk of response.body as AsyncIterable<string>) {
			const lines = (rest + chunk).split('\n');
			rest = lines.pop()!;
			yield* lines.filter((line) => line !== '').map((line) => readLine(line));
		}
	} catch {
		// A broken watch goes on elsewhere; nothing is lost but time.
		hosts.markSuspect(host);
	}
}

function readLine(line: string): JobReply {
	const parsed = lineSchema.parse(JSON.parse(line));
	return 'answer' in parsed ? ok(parsed.answer) : err(parsed.problem);
}

/** The host stops or has lost touch with the owner: another one may tell more. */
function isMovable(reply: JobReply): boolean {
	return reply.isErr() && reply.error.code === 'stopping';
}

function hasEnded(reply: JobReply): boolean {
	return (
		reply.isErr() ||
		(reply.value.state !== 'queued' && reply.value.state !== 'running')
	);
}
