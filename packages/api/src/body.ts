/**
Reads request bodies: bounded, as strict UTF-8, as JSON, against a schema.
*/
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {err, ok, Result, safeTry} from 'neverthrow';
import {type z} from 'zod';
import {toFindings, type Problem} from '@gentianshift/resources';
import {type BodyBudget, type BodyLease} from './body-budget.js';
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
	const lease = request.budget.openLease();
	try {
		return await parseBody(request, lease, schema);
	} finally {
		lease.release();
	}
}

async function parseBody<Schema extends z.ZodType>(
	request: BodyRequest,
	lease: BodyLease,
	schema: Schema,
): Promise<Result<z.infer<Schema>, Problem>> {
	const {id} = request;
	const ran = judgeRan(id);
	return safeTry(async function* () {
		const bytes = yield* await readBytes(request, lease);
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

/**
Collects the body. Past a limit it keeps nothing, so that a flood of bytes costs the host no
more memory than one body of legal size.
*/
async function readBytes(
	{incoming, limit, id}: BodyRequest,
	lease: BodyLease,
): Promise<Result<Uint8Array, Problem>> {
	return new Promise((resolve) => {
		let chunks: Uint8Array[] = [];
		let length = 0;
		let refusal: Problem | undefined;
		let drainTimer: NodeJS.Timeout | undefined;
		const settle = (result: Result<Uint8Array, Problem>) => {
			clearTimeout(drainTimer);
			incoming.off('data', onData);
			resolve(result);
		};

		const refuse = (problem: Problem) => {
			refusal = problem;
			chunks = [];
			drainTimer = setTimeout(() => {
				incoming.pause();
				settle(err(problem));
			}, drainMs);
		};

		const onData = (chunk: Uint8Array) => {
			length += chunk.length;
			if (refusal) {
				return;
			}

			if (length > limit) {
				refuse(describeTooLarge(limit, id));
			} else if (lease.extend(length)) {
				chunks.push(chunk);
			} else {
				refuse(describeNoMemory(id));
			}
		};

		const onLost = () => {
			settle(err(refusal ?? describeLost(id)));
		};

		if (Number(incoming.headers['content-length'] ?? 0) > limit) {
			refuse(describeTooLarge(limit, id));
		}

		incoming.on('data', onData);
		incoming.once('end', () => {
			settle(refusal ? err(refusal) : ok(joinChunks(chunks)));
		});
		incoming.once('error', onLost);
		incoming.once('close', onLost);
	});
}

function joinChunks(chunks: readonly Uint8Array[]): Uint8Array {
	return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
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
