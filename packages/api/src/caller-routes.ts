/**
Routes of callers: issuer, submit, query, watch, cancel.
*/
import {type HttpBindings} from '@hono/node-server';
import {type Context, type Hono} from 'hono';
import {
	submissionSchema,
	type JobReply,
	type Problem,
} from '@gentianshift/resources';
import {err} from 'neverthrow';
import {readJson} from './body.js';
import {type BodyBudget} from './bodies/index.js';
import {type InFlight} from './in-flight.js';
import {createLineStream} from './lines.js';
import {readJobParameters, type JobParameters} from './parameters.js';
import {type CallerPort} from './ports.js';
import {createProblem} from './problems.js';
import {type Replies} from './replies.js';

export type Bindings = {Bindings: HttpBindings};
type JobContext = Context<Bindings>;

export type CallerRouteOptions = {
	callers: CallerPort;
	replies: Replies;
	bodyBytes: number;
	bodyBudget: BodyBudget;
	waits: InFlight;
	jobStreams: InFlight;
};

export function addCallerRoutes(
	app: Hono<Bindings>,
	{
		callers,
		replies,
		bodyBytes,
		bodyBudget,
		waits,
		jobStreams,
	}: CallerRouteOptions,
): void {
	const {sendJson, sendProblem, sendJobReply, sendLines} = replies;

	/** Waits for a port's reply; a host at the end of its patience answers itself. */
	const answer = async (
		work: Promise<JobReply>,
		id: string | undefined,
	): Promise<Response> =>
		sendJobReply(await waits.wait(work, () => err(createStopping(id))));

	const submit = async (c: JobContext): Promise<Response> => {
		const parameters = readParameters(c);
		if (parameters.isErr()) {
			return sendProblem(parameters.error);
		}

		const {id} = parameters.value;
		const {incoming} = c.env;
		const body = await readJson(
			{incoming, limit: bodyBytes, id, budget: bodyBudget},
			submissionSchema,
		);
		if (body.isErr()) {
			return sendProblem(body.error);
		}

		const request = {...parameters.value, submission: body.value};
		return answer(callers.submitJob(request), id);
	};

	const watch = (id: string): Response =>
		sendLines(
			createLineStream({
				generate: (signal) => callers.watchJob({id, signal}),
				toLine: toJobLine,
				lastLine: {problem: createStopping(id)},
				openStreams: jobStreams,
			}),
		);

	const query = async (c: JobContext): Promise<Response> => {
		const parameters = readParameters(c);
		if (parameters.isErr()) {
			return sendProblem(parameters.error);
		}

		const request = parameters.value as JobParameters & {id: string};
		return c.req.query('watch') === undefined
			? answer(callers.queryJob(request), request.id)
			: watch(request.id);
	};

	const cancel = async (c: JobContext): Promise<Response> => {
		const parameters = readParameters(c);
		if (parameters.isErr()) {
			return sendProblem(parameters.error);
		}

		const request = parameters.value as JobParameters & {id: string};
		return answer(callers.cancelJob(request), request.id);
	};

	app.get('/v1/issuer', () => sendJson(200, {issuer: callers.getIssuer()}));
	app.post('/v1/jobs', submit);
	app.put('/v1/jobs/:id', submit);
	app.get('/v1/jobs/:id', query);
	app.delete('/v1/jobs/:id', cancel);
}

function readParameters(c: JobContext) {
	return readJobParameters({
		id: c.req.param('id'),
		getHeader: (name) => c.req.header(name),
		getQuery: (name) => c.req.query(name),
	});
}

function toJobLine(reply: JobReply): unknown {
	return reply.match(
		(answer): unknown => ({answer}),
		(problem): unknown => ({problem}),
	);
}

/** The host stops before the job's answer came; what ran is not known in time. */
function createStopping(id: string | undefined): Problem {
	return createProblem({
		status: 503,
		code: 'stopping',
		detail: 'the host stopped before the answer came',
		ran: 'unknown',
		id,
	});
}
