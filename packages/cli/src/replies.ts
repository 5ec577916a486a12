/**
Answers of the API, checked before anything is told to the user.
*/
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {
	type Problem,
	problemSchema,
	resourceSchema,
} from '@gentianshift/resources';
import {type HttpError, type HttpReply} from './http.js';

/** A problem told by a host, or the lack of an answer. */
export type Failure = Problem | HttpError;

/** A resource with the live status that the host adds. */
export const viewSchema = z.object({
	resource: resourceSchema,
	status: z.record(z.string(), z.unknown()).optional(),
});

export const viewListSchema = z.object({items: z.array(viewSchema)});

export const eventSchema = z.object({
	type: z.enum(['spec', 'status', 'deleted', 'reconnect']),
	view: viewSchema.optional(),
});

export type View = z.infer<typeof viewSchema>;
export type Event = z.infer<typeof eventSchema>;

/** Reads an answer by its schema; any other answer becomes a failure. */
export function readReply<Schema extends z.ZodType>(
	{host, status, body}: HttpReply,
	schema: Schema,
): Result<z.output<Schema>, Failure> {
	if (status >= 400) {
		return err(readProblem(host, status, body));
	}

	const parsed = schema.safeParse(body);
	return parsed.success
		? ok(parsed.data)
		: err({code: 'lost', message: `${host}: not an answer of this API`});
}

/** The problem in an answer of any status from 400 up. */
export function readProblem(
	host: string,
	status: number,
	body: unknown,
): Failure {
	const parsed = problemSchema.safeParse(body);
	return parsed.success
		? parsed.data
		: {code: 'lost', message: `${host}: status ${status}`};
}

export function isProblem(failure: Failure): failure is Problem {
	return 'ran' in failure;
}

/** A failure in one line. */
export function formatFailure(failure: Failure): string {
	if (!isProblem(failure)) {
		return failure.code === 'unreachable'
			? `no host answered: ${failure.message}`
			: `answer lost: ${failure.message}`;
	}

	const back =
		failure.retryAfterMs === undefined
			? ''
			: `; come back in ${(failure.retryAfterMs / 1000).toFixed(1)} s`;
	return `${failure.title}: ${failure.detail} [${failure.code}, ran: ${failure.ran}]${back}`;
}
