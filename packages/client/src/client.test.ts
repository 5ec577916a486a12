import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {test, type TestContext} from 'node:test';
import {z} from 'zod';
import {submitDishes} from './example.js';
import {createClient, type ClientOptions} from './index.js';

const issuer = 'mieres_m1.0123456789abcdef.3';

type Seen = {host: number; method: string; id: string; attempt: string};
type Reply = {status: number; body: unknown} | 'cut' | 'silent' | 'page';
type AnswerJob = (seen: Seen, count: number) => Reply;

/** Some fake hosts with one answer function and a list of what they were asked about jobs. */
async function startHosts(
	t: TestContext,
	count: number,
	answerJob: AnswerJob,
	options: Partial<ClientOptions> = {},
) {
	const seen: Seen[] = [];
	const answer = async (
		host: number,
		req: IncomingMessage,
		res: ServerResponse,
	) => {
		const url = new URL(req.url!, 'http://a');
		await text(req);
		res.setHeader('gentianshift-issuer', issuer);
		if (url.pathname === '/v1/issuer') {
			res.end(JSON.stringify({issuer}));
			return;
		}

		const job: Seen = {
			host,
			method: req.method!,
			id: url.pathname.slice('/v1/jobs/'.length),
			attempt: String(req.headers['gentianshift-attempt']),
		};
		seen.push(job);
		sendReply(res, answerJob(job, seen.length));
	};

	const addresses: string[] = [];
	for (let host = 0; host < count; host++) {
		const server = createServer((req, res) => {
			void answer(host, req, res);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		t.after(() => {
			server.closeAllConnections();
			server.close();
		});
		addresses.push(
			`http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		);
	}

	const client = createClient({
		hosts: addresses,
		team: 'kitchen',
		silenceMs: 300,
		waitMs: 100,
		...options,
	});
	return {client, seen, addresses};
}

function sendReply(res: ServerResponse, reply: Reply): void {
	if (reply === 'cut') {
		res.destroy();
	} else if (reply === 'page') {
		res.writeHead(502).end('<html>Bad Gateway</html>');
	} else if (reply !== 'silent') {
		res.writeHead(reply.status).end(`${JSON.stringify(reply.body)}\n`);
	}
}

function complete(results: unknown[], state = 'complete'): Reply {
	const {length} = results;
	const body = {id: 'x', state, tasks: length, done: length, results};
	return {status: state === 'complete' ? 200 : 202, body};
}

function refuse(
	ran: string,
	retryAfterMs?: number,
	code = 'overloaded',
): Reply {
	const body = {title: 't', status: 503, detail: 'd', code, ran, retryAfterMs};
	return {status: 503, body};
}

const job = {service: 'meals', tasks: ['a', 'b'], deadlineMs: 5000};

test('a whole answer comes typed and in the order of the tasks', async (t) => {
	const {client, seen} = await startHosts(t, 1, () =>
		complete([{n: 1}, {n: 2}]),
	);
	const answer = await client.submit({
		...job,
		result: z.object({n: z.number()}),
	});
	const {results} = answer._unsafeUnwrap();
	assert.deepEqual(
		results.map(({n}) => n),
		[1, 2],
	);
	assert.match(seen[0]!.id, /^mieres_m1\.0123456789abcdef\.3\.[\da-f]{32}$/v);
});

for (const loss of ['cut', 'silent', 'page'] as const) {
	test(`an answer lost (${loss}) is asked for elsewhere under the same id and attempt`, async (t) => {
		// The order went through, but its answer never came: the connection broke or fell
		// silent, or a balancer answered. Under a new id the fish would be bought twice.
		const {client, seen} = await startHosts(t, 3, (_seen, count) =>
			count < 3 ? loss : complete([1, 2]),
		);
		const answer = await client.submit(job);
		assert.ok(answer.isOk());
		assert.equal(new Set(seen.map(({id}) => id)).size, 1);
		assert.deepEqual(
			seen.map(({attempt}) => attempt),
			['1', '1', '1'],
		);
		assert.equal(new Set(seen.map(({host}) => host)).size, 3);
	});
}

test('a running job is asked for until it ends, and its progress is told', async (t) => {
	const {client, seen} = await startHosts(t, 1, (_seen, count) =>
		count < 3 ? complete([], 'running') : complete([1, 2]),
	);
	const states: string[] = [];
	const answer = await client.submit({
		...job,
		onProgress({state}) {
			states.push(state);
		},
	});
	assert.ok(answer.isOk());
	assert.deepEqual(states, ['running', 'running']);
	assert.deepEqual(
		seen.map(({method}) => method),
		['PUT', 'GET', 'GET'],
	);
});

test('a true refusal is followed with the next attempt, as often as asked', async (t) => {
	const {client, seen} = await startHosts(t, 1, () => refuse('none', 10), {
		retries: 2,
	});
	const answer = await client.submit(job);
	assert.equal(answer._unsafeUnwrapErr().code, 'overloaded');
	assert.deepEqual(
		seen.map(({attempt}) => attempt),
		['1', '2', '3'],
	);
	assert.equal(new Set(seen.map(({id}) => id)).size, 1);
});

for (const [ran, retryAfterMs] of [
	['unknown', 10],
	['some', 10],
	['none', undefined],
] as const) {
	test(`a refusal that says "${ran}", come back ${retryAfterMs}, is final`, async (t) => {
		// The host doesn't know whether the quote was committed. A client that tried again
		// as a new attempt could commit the same reel twice.
		const {client, seen} = await startHosts(
			t,
			2,
			() => refuse(ran, retryAfterMs),
			{retries: 5},
		);
		const answer = await client.submit(job);
		assert.equal(answer._unsafeUnwrapErr().ran, ran);
		assert.equal(seen.length, 1);
	});
}

test('an owner that one host cannot reach is asked for at each other host once', async (t) => {
	// Data centres are cut from each other: some hosts reach the owner, some don't.
	const {client, seen} = await startHosts(t, 3, () =>
		refuse('unknown', undefined, 'owner-unreachable'),
	);
	const answer = await client.submit(job);
	assert.equal(answer._unsafeUnwrapErr().code, 'owner-unreachable');
	assert.equal(new Set(seen.map(({host}) => host)).size, 3);
	assert.ok(seen.every(({attempt}) => attempt === '1'));
});

test('without any host nothing was sent, which is what the problem says', async () => {
	const client = createClient({hosts: ['http://127.0.0.1:1'], team: 'kitchen'});
	const answer = await client.submit(job);
	const problem = answer._unsafeUnwrapErr();
	assert.equal(problem.code, 'unreachable');
	assert.equal(problem.ran, 'none');
});

test('after a send without answers the client says unknown, never none', async (t) => {
	const {client} = await startHosts(t, 2, () => 'cut');
	const answer = await client.submit({...job, deadlineMs: 1});
	const problem = answer._unsafeUnwrapErr();
	assert.equal(problem.code, 'no-answer');
	assert.equal(problem.ran, 'unknown');
	assert.ok(problem.id?.startsWith(issuer));
});

test('an answer with too few results is no answer', async (t) => {
	const {client} = await startHosts(t, 1, () => complete([1]));
	const answer = await client.submit(job);
	assert.equal(answer._unsafeUnwrapErr().ran, 'unknown');
});

test('aborting cancels the job', async (t) => {
	const abort = new AbortController();
	const {client, seen} = await startHosts(t, 1, () => complete([], 'running'));
	const answer = await client.submit({
		...job,
		signal: abort.signal,
		onProgress() {
			abort.abort();
		},
	});
	assert.equal(answer._unsafeUnwrapErr().code, 'aborted');
	assert.equal(seen.at(-1)!.method, 'DELETE');
});

test('a watch that breaks goes on at another host', async (t) => {
	const {client} = await startHosts(t, 2, (_seen, count) => {
		const {body} = complete([1, 2]) as {body: unknown};
		return count < 2 ? 'cut' : {status: 200, body: {answer: body}};
	});
	const states: string[] = [];
	for await (const reply of client.watch('x')) {
		states.push(reply._unsafeUnwrap().state);
	}

	assert.deepEqual(states, ['complete']);
});

test('the example orders its dishes', async (t) => {
	const {addresses} = await startHosts(t, 1, () =>
		complete([{value: 'fabada'}, {value: 'cachopo'}]),
	);
	assert.equal(await submitDishes(addresses), 'ready: fabada, cachopo');
});
