import assert from 'node:assert/strict';
import {once} from 'node:events';
import {request as httpRequest} from 'node:http';
import {connect} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {err, ok} from 'neverthrow';
import {
	type JobReply,
	type Problem,
	type Resource,
} from '@gentianshift/resources';
import {
	startApi,
	type Api,
	type ApiOptions,
	type CallerPort,
	type ChangeRequest,
	type OperatorPort,
	type SubmitRequest,
} from './index.js';

const issuer = 'mieres_m1.0123456789abcdef.3';
const id = `${issuer}.${'a'.repeat(16)}`;
const submission = {service: 'meals', team: 'kitchen', tasks: [1, 2]};
const meals: Resource = {
	kind: 'services',
	name: 'meals',
	revision: 7,
	changeId: 'c1',
	spec: {target: 'pantry'},
};

const overloaded: Problem = {
	type: 'about:blank',
	title: 'Service Unavailable',
	status: 503,
	code: 'overloaded',
	detail: 'too much ahead of it',
	ran: 'none',
	retryAfterMs: 1200,
};

type Fixture = {
	api: Api;
	submitted: SubmitRequest[];
	changes: ChangeRequest[];
	send: (
		method: string,
		path: string,
		options?: {body?: unknown; headers?: Record<string, string>},
	) => Promise<Answer>;
};

type Answer = {
	status: number;
	headers: Headers;
	body: string;
	json: Record<string, unknown>;
};

type Ports = Partial<CallerPort & OperatorPort>;

async function startFixture(
	t: TestContext,
	ports: Ports = {},
	options: Partial<ApiOptions> = {},
): Promise<Fixture> {
	const submitted: SubmitRequest[] = [];
	const changes: ChangeRequest[] = [];
	const api = await startApi({
		address: '127.0.0.1:0',
		limits: {bodyBytes: 20_000},
		callers: {
			getIssuer: () => issuer,
			async submitJob(request) {
				submitted.push(request);
				return complete(request.submission.tasks);
			},
			queryJob: async () => complete([]),
			cancelJob: async () => complete([]),
			async *watchJob() {
				yield ok({id, state: 'running', tasks: 2, done: 1});
				yield complete([1, 2]);
			},
			...ports,
		},
		operators: {
			listResources: () => [{resource: meals, status: {queue: 3}}],
			getResource: (_kind, name) =>
				name === 'meals' ? {resource: meals} : undefined,
			async changeResource(request) {
				changes.push(request);
				return ok({...request, revision: 8});
			},
			findChange: async () => ok('in-force'),
			async *watchResources(_kind, _name, signal) {
				yield {type: 'spec', view: {resource: meals}};
				await once(signal, 'abort');
			},
			listHosts: () => [{host: 'm1'}],
			...ports,
		},
		health: {isReady: () => true, renderMetrics: async () => 'a 1\n'},
		...options,
	});
	t.after(async () => api.stop({graceMs: 0}));
	const send: Fixture['send'] = async (method, path, {body, headers} = {}) => {
		const isRaw = body instanceof Uint8Array || typeof body === 'string';
		const response = await fetch(`http://${api.address}${path}`, {
			method,
			headers,
			body: isRaw ? body : JSON.stringify(body),
		});
		const answered = await response.text();
		const isJson = answered.startsWith('{') && !answered.includes('}\n');
		return {
			status: response.status,
			headers: response.headers,
			body: answered,
			json: isJson ? (JSON.parse(answered) as Record<string, unknown>) : {},
		};
	};

	return {api, submitted, changes, send};
}

async function readStatus(answer: Promise<Answer>): Promise<number> {
	const {status} = await answer;
	return status;
}

/** A job that never ends. */
async function waitForever(): Promise<JobReply> {
	return new Promise(() => {
		// Never settled.
	});
}

function complete(results: unknown[]): JobReply {
	const {length} = results;
	return ok({id, state: 'complete', tasks: length, done: length, results});
}

test('a submission reaches the port with its id, attempt, wait and trace', async (t) => {
	const {send, submitted} = await startFixture(t);
	const traceparent = `00-${'1'.repeat(32)}-${'2'.repeat(16)}-01`;
	const answer = await send('PUT', `/v1/jobs/${id}?wait=50`, {
		body: submission,
		headers: {'gentianshift-attempt': '2', traceparent},
	});
	assert.equal(answer.status, 200);
	assert.deepEqual(answer.json.results, [1, 2]);
	assert.equal(answer.headers.get('gentianshift-issuer'), issuer);
	assert.deepEqual(submitted, [
		{id, attempt: 2, waitMs: 50, traceparent, submission},
	]);
});

test('a running job is 202, a refusal a problem with Retry-After rounded up', async (t) => {
	const {send} = await startFixture(t, {
		submitJob: async () => err(overloaded),
		queryJob: async () => ok({id, state: 'running', tasks: 2, done: 1}),
	});
	assert.equal(await readStatus(send('GET', `/v1/jobs/${id}`)), 202);
	const refused = await send('PUT', `/v1/jobs/${id}`, {body: submission});
	assert.equal(refused.status, 503);
	assert.equal(refused.headers.get('retry-after'), '2');
	assert.equal(refused.headers.get('content-type'), 'application/problem+json');
	assert.deepEqual(refused.json, overloaded);
});

test('a job is watched to its answer as JSON lines', async (t) => {
	const {send} = await startFixture(t);
	const {body} = await send('GET', `/v1/jobs/${id}?watch`);
	const lines = body
		.trim()
		.split('\n')
		.map((line) => JSON.parse(line) as {answer: {state: string}});
	assert.deepEqual(
		lines.map((line) => line.answer.state),
		['running', 'complete'],
	);
});

type BadCase = {
	name: string;
	path?: string;
	body?: unknown;
	headers?: Record<string, string>;
	status: number;
	code: string;
	/** What is said with an id, and without one. */
	ran: [string, string];
};

const badCases: BadCase[] = [
	{
		name: 'malformed JSON',
		body: '{"service":',
		status: 400,
		code: 'bad-json',
		ran: ['unknown', 'none'],
	},
	{
		name: 'bad UTF-8',
		body: new Uint8Array([0x22, 0xc3, 0x28, 0x22]),
		status: 400,
		code: 'bad-utf8',
		ran: ['unknown', 'none'],
	},
	{
		name: '1,701 tasks',
		body: {...submission, tasks: Array.from({length: 1701}).fill(0)},
		status: 400,
		code: 'bad-body',
		ran: ['unknown', 'none'],
	},
	{
		name: 'an unknown key',
		body: {...submission, extra: 1},
		status: 400,
		code: 'bad-body',
		ran: ['unknown', 'none'],
	},
	{
		name: 'a body over the limit',
		body: 'x'.repeat(20_001),
		status: 413,
		code: 'body-too-large',
		ran: ['unknown', 'unknown'],
	},
	{
		name: 'an attempt out of range',
		body: submission,
		headers: {'gentianshift-attempt': '0'},
		status: 400,
		code: 'bad-parameter',
		ran: ['unknown', 'none'],
	},
	{
		name: 'a wait out of range',
		path: '?wait=-1',
		body: submission,
		status: 400,
		code: 'bad-parameter',
		ran: ['unknown', 'none'],
	},
];

for (const {name, path = '', body, headers, status, code, ran} of badCases) {
	test(`${name} is a clear problem that never claims too much`, async (t) => {
		// A caller whose first send of a job ran, and whose second is malformed, must not read
		// that nothing ran: it would order again under a new id.
		const {send, submitted} = await startFixture(t);
		const named = await send('PUT', `/v1/jobs/${id}${path}`, {body, headers});
		const unnamed = await send('POST', `/v1/jobs${path}`, {body, headers});
		for (const [i, answer] of [named, unnamed].entries()) {
			assert.equal(answer.status, status);
			assert.equal(answer.json.code, code);
			assert.equal(answer.json.ran, ran[i]);
			assert.equal(answer.headers.get('gentianshift-issuer'), issuer);
		}

		assert.deepEqual(submitted, []);
		assert.equal(await readStatus(send('GET', '/healthz')), 200);
	});
}

test('a malformed id and an unknown route are told apart', async (t) => {
	const {send} = await startFixture(t);
	const malformed = await send('PUT', '/v1/jobs/x', {body: submission});
	assert.equal(malformed.json.code, 'malformed-id');
	assert.equal(malformed.json.ran, 'none');
	const unknown = await send('GET', '/v2/jobs');
	assert.equal(unknown.json.code, 'unknown-route');
});

test('an exception in a port is a problem that says unknown', async (t) => {
	const errors: Error[] = [];
	const {send} = await startFixture(
		t,
		{
			async submitJob() {
				throw new Error('a fault');
			},
		},
		{
			onError(error) {
				errors.push(error);
			},
		},
	);
	const answer = await send('PUT', `/v1/jobs/${id}`, {body: submission});
	assert.equal(answer.status, 500);
	assert.equal(answer.json.ran, 'unknown');
	assert.equal(errors.length, 1);
});

test('an endless body is answered before its end', async (t) => {
	// A client streams without end, by mistake or in malice. A host that read on would fill
	// its memory and die with all its jobs.
	const {api, send} = await startFixture(t);
	const req = httpRequest(`http://${api.address}/v1/jobs/${id}`, {
		method: 'PUT',
	});
	req.on('error', () => {
		// The host hangs up.
	});
	req.write('['.repeat(30_000));
	const [res] = (await once(req, 'response')) as [NodeJS.ReadableStream];
	assert.match(await text(res), /body-too-large/v);
	req.destroy();
	assert.equal(await readStatus(send('GET', '/healthz')), 200);
});

for (const [name, bytes, answer] of [
	['garbage', '\u0000\u0001 hello\r\n\r\n', /400 [\s\S]*bad-request/v],
	[
		'a head without end',
		'GET / HTTP/1.1\r\nhost: a\r\n',
		/408 [\s\S]*timeout/v,
	],
	[
		'a body without end',
		'POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 99\r\n\r\n{',
		/408 [\s\S]*timeout/v,
	],
	[
		'headers over the limit',
		`GET / HTTP/1.1\r\nhost: a\r\nx: ${'x'.repeat(17_000)}\r\n\r\n`,
		/431 [\s\S]*headers-too-large/v,
	],
] as const) {
	test(`${name} gets an answer and is hung up on`, async (t) => {
		// A slow or half-open client keeps a connection for ever; enough of them and callers
		// find no host that takes theirs.
		const {api, send} = await startFixture(
			t,
			{},
			{timeouts: {headersMs: 300, requestMs: 400}},
		);
		const [host, port] = api.address.split(':');
		const socket = connect(Number(port), host);
		socket.write(bytes);
		assert.match(await text(socket), answer);
		assert.equal(await readStatus(send('GET', '/healthz')), 200);
	});
}

test('a change is checked by its kind and keeps revision and change id', async (t) => {
	const {send, changes} = await startFixture(t);
	const changed = await send('PUT', '/v1/teams/kitchen', {
		body: {spec: {weight: 2}, changeId: 'c9'},
		headers: {'if-match': '"7"'},
	});
	assert.equal((changed.json.resource as Resource).revision, 8);
	assert.deepEqual(changes, [
		{
			kind: 'teams',
			name: 'kitchen',
			spec: {weight: 2},
			expectRevision: 7,
			changeId: 'c9',
		},
	]);
	const bad = await send('PUT', '/v1/services/meals', {
		body: {spec: {target: 'NO', taskMs: 0, typo: 1}, resourceVersion: -1},
	});
	assert.equal(bad.status, 400);
	assert.equal((bad.json.findings as unknown[]).length, 4);
	assert.equal(changes.length, 1);
});

test('a lost race and an unknown outcome tell how to go on', async (t) => {
	const {send} = await startFixture(t, {
		changeResource: async ({changeId}) =>
			err(
				changeId === 'race'
					? {...overloaded, status: 409, code: 'conflict', revision: 9}
					: {...overloaded, status: 504, code: 'unknown-outcome', changeId},
			),
	});
	const race = await send(
		'DELETE',
		'/v1/teams/kitchen?resourceVersion=4&changeId=race',
	);
	assert.equal(race.status, 409);
	assert.equal(race.json.revision, 9);
	const lost = await send('DELETE', '/v1/teams/kitchen?changeId=c7');
	assert.equal(lost.status, 504);
	assert.equal(lost.json.changeId, 'c7');
	const found = await send('GET', '/v1/teams/kitchen/changes/c7');
	assert.deepEqual(found.json, {changeId: 'c7', state: 'in-force'});
});

test('resources are listed, read and absent', async (t) => {
	const {send} = await startFixture(t);
	const listed = await send('GET', '/v1/services');
	const {items} = listed.json as {
		items: Array<{resource: Record<string, unknown>; status: unknown}>;
	};
	assert.equal(items[0]!.resource.resourceVersion, 7);
	assert.deepEqual(items[0]!.status, {queue: 3});
	assert.equal(await readStatus(send('GET', '/v1/services/meals')), 200);
	assert.equal(await readStatus(send('GET', '/v1/services/none')), 404);
	const metrics = await send('GET', '/metrics');
	assert.equal(metrics.body, 'a 1\n');
});

test('a planned stop lets requests end and tells watches to reconnect', async (t) => {
	// An operator replaces a host while a cook's job runs there. Were the connection cut, the
	// cook would not know whether the order went through.
	let finishJob: (reply: JobReply) => void = () => undefined;
	const job = new Promise<JobReply>((resolve) => {
		finishJob = resolve;
	});
	const {api, send} = await startFixture(t, {
		submitJob: async () => job,
	});
	const submitting = send('PUT', `/v1/jobs/${id}`, {body: submission});
	const watching = send('GET', '/v1/services?watch');
	await sleep(100);
	const stopping = api.stop({graceMs: 10_000});
	const watched = await watching;
	assert.match(watched.body, /\{"type":"reconnect"\}\n$/v);
	finishJob(complete([1, 2]));
	const answer = await submitting;
	assert.equal(answer.status, 200);
	assert.equal(answer.headers.get('connection'), 'close');
	await stopping;
	await assert.rejects(send('GET', '/healthz'));
});

test('what outlasts the grace gets a last word instead of a cut', async (t) => {
	// A job runs longer than the stop may take. Its caller gets an answer at once and asks
	// again elsewhere, instead of waiting on a dead connection.
	const {api, send} = await startFixture(t, {
		submitJob: async () => waitForever(),
		async *watchJob() {
			yield await waitForever();
		},
	});
	const submitting = send('PUT', `/v1/jobs/${id}`, {body: submission});
	const watching = send('GET', `/v1/jobs/${id}?watch`);
	await sleep(100);
	await api.stop({graceMs: 50});
	const answer = await submitting;
	assert.equal(answer.json.code, 'stopping');
	assert.equal(answer.json.ran, 'unknown');
	const watched = await watching;
	assert.match(watched.body, /"stopping"/v);
});
