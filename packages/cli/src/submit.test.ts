import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {type FakeReply, runRecorded, startFakeHost} from './fixtures.js';

const issuer = 'mieres_m1.0123456789abcdef.0';
const tasks = {'tasks.ndjson': '{"n":1}\n\n{"n":2}\n'};

/** A host that answers submissions one after another from a list, the last one for ever. */
async function startHostWith(context: TestContext, replies: FakeReply[]) {
	const host = await startFakeHost(({path, method}) => {
		if (path === '/v1/issuer') {
			return {status: 200, body: {issuer}};
		}

		assert.ok(method === 'PUT' || method === 'GET');
		return replies.length > 1 ? replies.shift()! : replies[0]!;
	});
	context.after(host.stop);
	return host;
}

function makeAnswer(state: string, results?: unknown[]): FakeReply {
	const done = results?.length ?? 0;
	return {
		status: state === 'complete' ? 200 : 202,
		body: {id: 'x', state, tasks: 2, done, results},
	};
}

function makeProblem(ran: string, status = 503): FakeReply {
	const body = {
		title: 'Refused',
		status,
		detail: 'd',
		code: 'overloaded',
		ran,
		retryAfterMs: 1500,
	};
	return {status, body};
}

async function submit(...urls: string[]) {
	const hosts = urls.flatMap((url) => ['--host', url]);
	const job = ['--service', 'meals', '--team', 'cooks', '--deadline', '300ms'];
	return runRecorded(
		['submit', ...job, '--tasks', 'tasks.ndjson', ...hosts],
		tasks,
	);
}

test('submit waits for the whole answer and writes a result a line', async (context) => {
	const host = await startHostWith(context, [
		makeAnswer('running'),
		makeAnswer('complete', ['a', {b: 1}]),
	]);
	const {code, out, error, progress} = await submit(host.url);
	assert.equal(code, 0);
	assert.deepEqual(progress, ['running: 0 of 2 tasks done']);
	assert.equal(out, '"a"\n{"b":1}');
	assert.match(error, new RegExp(`^job ${issuer}\\.[0-9a-f]{32}\n`, 'v'));
	const puts = host.requests.slice(1);
	assert.equal(new Set(puts.map(({path}) => path)).size, 1);
	assert.deepEqual(puts[0]!.body.tasks, [{n: 1}, {n: 2}]);
});

// The host dies, or the connection does, while the caller waits. Submitted under a new id the
// job would run a second time; under the same one it joins the running job.
test('a lost answer is asked for again under the same id', async (context) => {
	const host = await startHostWith(context, [
		'drop',
		makeAnswer('complete', [1, 2]),
	]);
	const {code, out} = await submit(host.url);
	assert.equal(code, 0);
	assert.equal(out, '1\n2');
	assert.equal(host.requests[1]!.path, host.requests[2]!.path);
});

for (const [ran, expected] of [
	['none', 3],
	['some', 1],
	['unknown', 4],
] as const) {
	test(`a problem with ran "${ran}" exits with ${expected}`, async (context) => {
		const host = await startHostWith(context, [makeProblem(ran)]);
		const {code, error} = await submit(host.url);
		assert.equal(code, expected);
		assert.match(
			error,
			new RegExp(String.raw`ran: ${ran}\]; come back in 1\.5 s`, 'v'),
		);
		assert.equal(host.requests.length, 2);
	});
}

test('answers lost again and again leave the outcome unknown', async (context) => {
	const host = await startHostWith(context, ['drop']);
	const {code, error} = await submit(host.url);
	assert.equal(code, 4);
	assert.match(error, /ask later: gentianshift job mieres_m1/v);
});

test('without any host nothing was sent, and the exit code says so', async () => {
	const {code} = await submit('http://127.0.0.1:1');
	assert.equal(code, 5);
});

test('malformed tasks are told with their lines, and nothing is sent', async (context) => {
	const host = await startHostWith(context, ['drop']);
	const {code, error} = await runRecorded(
		[
			'submit',
			'--service',
			's',
			'--team',
			't',
			'--tasks',
			'f',
			'--host',
			host.url,
		],
		{f: '1\n{\n2\n]\n'},
	);
	assert.equal(code, 2);
	assert.deepEqual(
		error.split('\n').map((line) => line.slice(0, 3)),
		['f:2', 'f:4'],
	);
	assert.deepEqual(host.requests, []);
});

test('wrong usage exits with 2 and names what is allowed', async () => {
	const {code, error} = await runRecorded([
		'submit',
		'--deadline',
		'soon',
		'--host',
		'http://127.0.0.1:1',
	]);
	assert.equal(code, 2);
	assert.match(error, /allowed: a duration like 200ms, 30s or 5m/v);
});
