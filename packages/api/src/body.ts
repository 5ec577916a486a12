/**
Reads request bodies: bounded, as strict UTF-8, as JSON, against a schema.
*/
import {type IncomingMessage} from 'node:http';
import {err, ok, Result, safeTry} from 'neverthrow';
import {type z} from 'zod';
import {toFindings, type Problem} from '@gentianshift/resources';
import {readBytes, type BodyBudget, type BodyRefusal} from './bodies/index.js';
import {createProblem, judgeRan} from './problems.js';

const decoder = new TextDecoder('utf-8', {fatal: true});
const decodeText = Result.fromThrowable((bytes: Uint8Array) =>
	decoder.decode(bytes),
);
const parseText = Result.fromThrowable(
	(text: string): unknown => JSON.parse(text) as unknown,
	(error) => (error as SyntaxError).message,
);

export type BodyRequest = {
	incoming: IncomingMessage;
	/** Bytes. */
	limit: number;
	/** The job's id, if the request names one. */
	id?: string;
	budget: BodyBudget;
};

/** When to come back once the memory for bodies is taken: a body's usual time, milliseconds. */
const noMemoryRetryMs = 1000;

/** Reads a body and checks it by a schema; all findings are in one problem. */
export async function readJson<Schema extends z.ZodType>(
	request: BodyRequest,
	schema: Schema,
): Promise<Result<z.infer<Schema>, Problem>> {
	const {id} = request;
	const ran = judgeRan(id);
	return safeTry(async function* () {
		const bytes = yield* await readBody(request);
		const text = yield* decodeText(bytes).mapErr(() =>
			createProblem({
				status: 400,
				code: 'bad-utf8',
				detail: 'the body is not UTF-8',
				ran,
				id,
			}),
		);
		const value = yield* parseText(text).mapErr((message) =>
			createProblem({
				status: 400,
				code: 'bad-json',
				detail: `the body is not JSON: ${message}`,
				ran,
				id,
			}),
		);
		const parsed = schema.safeParse(value);
		if (parsed.success) {
			return ok(parsed.data);
		}

		return err(
			createProblem({
				status: 400,
				code: 'bad-body',
				detail: `the body has ${parsed.error.issues.length} findings`,
				ran,
				id,
				findings: toFindings(parsed.error),
			}),
		);
	});
}

/**
How long the rest of a body that is refused is still read and thrown away, milliseconds. Closed
at once, the connection would be reset under the client's writing, and the answer lost with it.
*/
const drainMs = 1000;

/** Reads the body; a refusal comes when the client has ended its writing, or after `drainMs`. */
async function readBody({
	incoming,
	limit,
	id,
	budget,
}: BodyRequest): Promise<Result<Uint8Array, Problem>> {
	const read = await readBytes(incoming, {getLimit: () => limit, budget});
	if (read.isErr()) {
		await waitForEnd(incoming);
	}

	return read.mapErr((refusal) => describeRefusal(refusal, {limit, id}));
}

async function waitForEnd(incoming: IncomingMessage): Promise<void> {
	if (incoming.complete || incoming.destroyed) {
		return;
	}

	await new Promise<void>((resolve) => {
		const timer = setTimeout(() => {
			incoming.pause();
			resolve();
		}, drainMs);
		for (const event of ['end', 'error', 'close']) {
			incoming.once(event, () => {
				clearTimeout(timer);
				resolve();
			});
		}
	});
}

function describeRefusal(
	refusal: BodyRefusal,
	{limit, id}: {limit: number; id: string | undefined},
): Problem {
	switch (refusal) {
		case 'too-large': {
			return describeTooLarge(limit, id);
		}

		case 'too-many-chunks': {
			return describeTooManyChunks(id);
		}

		case 'no-memory': {
			return describeNoMemory(id);
		}

		case 'cut-off': {
			return describeLost(id);
		}
	}
}

function describeTooLarge(limit: number, id: string | undefined): Problem {
	return createProblem({
		status: 413,
		code: 'body-too-large',
		detail: `the body is larger than ${limit} bytes`,
		ran: 'unknown',
		id,
	});
}

function describeTooManyChunks(id: string | undefined): Problem {
	return createProblem({
		status: 400,
		code: 'too-many-chunks',
		detail: 'the body comes in too many small chunks',
		ran: 'unknown',
		id,
	});
}

/** Another host, or this one a little later, may take a copy: what ran is not known here. */
function describeNoMemory(id: string | undefined): Problem {
	return createProblem({
		status: 503,
		code: 'bodies-too-large',
		detail: 'the host has no memory left for large bodies now',
		ran: 'unknown',
		id,
		retryAfterMs: noMemoryRetryMs,
	});
}

/** Nobody reads this answer; the connection ended before the body did. */
function describeLost(id: string | undefined): Problem {
	return createProblem({
		status: 400,
		code: 'body-cut-off',
		detail: 'the connection ended before the body did',
		ran: 'unknown',
		id,
	});
}
