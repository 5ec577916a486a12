/**
Routes of operators: resources and their changes, watches, hosts.
*/
import {randomUUID} from 'node:crypto';
import {type Context, type Hono} from 'hono';
import {z} from 'zod';
import {
	kindSchema,
	nameSchema,
	specSchemas,
	toFindings,
	type Kind,
	type Problem,
} from '@gentianshift/resources';
import {err, ok, type Result} from 'neverthrow';
import {readJson} from './body.js';
import {type BodyBudget} from './bodies/index.js';
import {type Bindings} from './caller-routes.js';
import {type InFlight} from './in-flight.js';
import {createLineStream} from './lines.js';
import {type ChangeRequest, type OperatorPort} from './ports.js';
import {presentView} from './present.js';
import {createProblem} from './problems.js';
import {type Replies} from './replies.js';

/** The store holds values up to a megabyte; a spec's change stays under it. */
const maxSpecBytes = 1_000_000;

const changeIdSchema = z
	.string()
	.regex(
		/^[\w\-]{1,64}$/v,
		'a change id has 1 to 64 letters, digits, "_", "-"',
	);
const revisionSchema = z.number().int().min(0);

const changeSchemas = {
	services: createChangeSchema(specSchemas.services),
	teams: createChangeSchema(specSchemas.teams),
	targets: createChangeSchema(specSchemas.targets),
} as const;

export type OperatorRouteOptions = {
	operators: OperatorPort;
	replies: Replies;
	bodyBudget: BodyBudget;
	resourceStreams: InFlight;
};

type OperatorContext = Context<Bindings>;
type Change = {spec: unknown; resourceVersion?: number; changeId?: string};
type Key = {kind: Kind; name: string};

export function addOperatorRoutes(
	app: Hono<Bindings>,
	{operators, replies, bodyBudget, resourceStreams}: OperatorRouteOptions,
): void {
	const {sendJson, sendProblem, sendLines} = replies;

	const watch = (kind: Kind, name?: string): Response =>
		sendLines(
			createLineStream({
				generate: (signal) => operators.watchResources(kind, name, signal),
				toLine: ({type, view}) => ({
					type,
					view: view && presentView(view),
				}),
				lastLine: {type: 'reconnect'},
				openStreams: resourceStreams,
			}),
		);

	const list = (c: OperatorContext): Response => {
		const kind = kindSchema.parse(c.req.param('kind'));
		if (c.req.query('watch') !== undefined) {
			return watch(kind);
		}

		const items = operators
			.listResources(kind)
			.map((view) => presentView(view));
		return sendJson(200, {items});
	};

	const get = (c: OperatorContext): Response => {
		const key = readKey(c);
		if (key.isErr()) {
			return sendProblem(key.error);
		}

		const {kind, name} = key.value;
		if (c.req.query('watch') !== undefined) {
			return watch(kind, name);
		}

		const view = operators.getResource(kind, name);
		return view
			? sendJson(200, presentView(view))
			: sendProblem(createAbsent(key.value));
	};

	const change = async (request: ChangeRequest): Promise<Response> => {
		const changed = await operators.changeResource(request);
		return changed.match(
			(resource) => sendJson(200, presentView({resource})),
			sendProblem,
		);
	};

	const put = async (c: OperatorContext): Promise<Response> => {
		const key = readKey(c);
		if (key.isErr()) {
			return sendProblem(key.error);
		}

		const body = await readJson(
			{incoming: c.env.incoming, limit: maxSpecBytes, budget: bodyBudget},
			changeSchemas[key.value.kind] as z.ZodType<Change>,
		);
		if (body.isErr()) {
			return sendProblem(body.error);
		}

		const request = createChange(c, key.value, body.value);
		return request.isOk() ? change(request.value) : sendProblem(request.error);
	};

	const remove = async (c: OperatorContext): Promise<Response> => {
		const request = readKey(c).andThen((key) =>
			createChange(c, key, {spec: null}),
		);
		return request.isOk() ? change(request.value) : sendProblem(request.error);
	};

	const findChange = async (c: OperatorContext): Promise<Response> => {
		const key = readKey(c);
		if (key.isErr()) {
			return sendProblem(key.error);
		}

		const {kind, name} = key.value;
		const changeId = c.req.param('changeId')!;
		const found = await operators.findChange(kind, name, changeId);
		return found.match(
			(state) => sendJson(200, {changeId, state}),
			sendProblem,
		);
	};

	const base = '/v1/:kind{(?:services|teams|targets)}';
	app.get('/v1/hosts', () => sendJson(200, {items: operators.listHosts()}));
	app.get(base, list);
	app.get(`${base}/:name`, get);
	app.put(`${base}/:name`, put);
	app.delete(`${base}/:name`, remove);
	app.get(`${base}/:name/changes/:changeId`, findChange);
}

function createChangeSchema<Spec extends z.ZodType>(spec: Spec) {
	return z.strictObject({
		spec,
		/** Change only if this is the revision in force; 0: only if absent. */
		resourceVersion: revisionSchema.optional(),
		changeId: changeIdSchema.optional(),
	});
}

function readKey(c: OperatorContext): Result<Key, Problem> {
	const kind = kindSchema.parse(c.req.param('kind'));
	const name = nameSchema.safeParse(c.req.param('name'));
	return name.success
		? ok({kind, name: name.data})
		: err(createBadRequest('bad-name', name.error));
}

/** Joins what body, `If-Match` and query say of one change. */
function createChange(
	c: OperatorContext,
	key: Key,
	{spec, resourceVersion, changeId}: Change,
): Result<ChangeRequest, Problem> {
	const asked = changeIdSchema.safeParse(
		changeId ?? c.req.query('changeId') ?? randomUUID(),
	);
	if (!asked.success) {
		return err(createBadRequest('bad-change-id', asked.error));
	}

	const revisions = [
		c.req.header('if-match'),
		c.req.query('resourceVersion'),
		resourceVersion,
	];
	return readRevision(revisions).map((expectRevision) => ({
		...key,
		spec,
		changeId: asked.data,
		expectRevision,
	}));
}

/** The one revision that all places name: `12`, `"12"` as in `If-Match`, or `*` for any. */
function readRevision(
	places: Array<number | string | undefined>,
): Result<number | undefined, Problem> {
	const named = places
		.filter((place) => place !== undefined && place !== '*')
		.map((place) => /^"?(\d{1,15})"?$/v.exec(String(place))?.[1]);
	if (named.includes(undefined) || new Set(named).size > 1) {
		return err(createBadRevision());
	}

	return ok(named[0] === undefined ? undefined : Number(named[0]));
}

function createBadRequest(code: string, error: z.ZodError): Problem {
	const findings = toFindings(error);
	const detail = findings.map((finding) => finding.message).join('; ');
	return createProblem({status: 400, code, detail, ran: 'none', findings});
}

function createBadRevision(): Problem {
	return createProblem({
		status: 400,
		code: 'bad-revision',
		detail:
			'If-Match and resourceVersion name one revision, an integer from 0 up',
		ran: 'none',
	});
}

function createAbsent({kind, name}: Key): Problem {
	return createProblem({
		status: 404,
		code: 'not-found',
		detail: `there is no ${kind}/${name}`,
		ran: 'none',
	});
}
