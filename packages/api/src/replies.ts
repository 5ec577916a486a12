/**
Builds the responses of this layer. Each carries the issuer that ids may be made under now,
so that callers keep theirs fresh without asking.
*/
import {headers, type JobReply, type Problem} from '@gentianshift/resources';

export type ReplyOptions = {
	getIssuer: () => string;
	/** True while stopping: the connection is told to close after its answer. */
	isStopping: () => boolean;
	getExtraHeaders?: () => Record<string, string>;
};

export type Replies = ReturnType<typeof createReplies>;

export const contentTypes = {
	json: 'application/json',
	problem: 'application/problem+json',
	lines: 'application/x-ndjson',
} as const;

export function createReplies({
	getIssuer,
	isStopping,
	getExtraHeaders,
}: ReplyOptions) {
	/** A fresh object each time: the server adds the length to it. */
	const buildHeaders = (contentType: string): Record<string, string> => {
		const built: Record<string, string> = {
			'content-type': contentType,
			[headers.issuer]: getIssuer(),
			...getExtraHeaders?.(),
		};
		if (isStopping()) {
			built.connection = 'close';
		}

		return built;
	};

	const sendJson = (status: number, body: unknown): Response =>
		Response.json(body, {
			status,
			headers: buildHeaders(contentTypes.json),
		});

	const sendProblem = (problem: Problem): Response => {
		const built = buildHeaders(contentTypes.problem);
		if (problem.retryAfterMs !== undefined) {
			built['retry-after'] = formatRetryAfter(problem.retryAfterMs);
		}

		// The rest of a body that isn't wanted is not waited for.
		if (problem.status === 413 || problem.code === 'bodies-too-large') {
			built.connection = 'close';
		}

		return Response.json(problem, {
			status: problem.status,
			headers: built,
		});
	};

	/** 202 while the job waits or runs, 200 once it is over, else the problem's status. */
	const sendJobReply = (reply: JobReply): Response =>
		reply.match((answer) => {
			const isOpen = answer.state === 'queued' || answer.state === 'running';
			return sendJson(isOpen ? 202 : 200, answer);
		}, sendProblem);

	const sendText = (status: number, text: string, type: string): Response =>
		new Response(text, {status, headers: buildHeaders(type)});

	const sendLines = (lines: ReadableStream<Uint8Array>): Response =>
		new Response(lines, {headers: buildHeaders(contentTypes.lines)});

	return {sendJson, sendProblem, sendJobReply, sendText, sendLines};
}

/** Whole seconds, rounded up: a caller who comes back a little early is refused again. */
export function formatRetryAfter(retryAfterMs: number): string {
	return String(Math.max(0, Math.ceil(retryAfterMs / 1000)));
}
