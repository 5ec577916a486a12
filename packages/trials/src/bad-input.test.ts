/**
Bad input at the callers' and the inner port of real hosts: each kind gets a clear error, and the
hosts go on serving others.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {after, before, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {closeCallers, runJob, submitOnce} from './caller.js';
import {type RunningSystem, startSystem} from './harness.js';
import {checkPromises} from './judge.js';

let system: RunningSystem;

before(async () => {
	system = await startSystem();
});

after(async () => {
	await closeCallers();
	await system?.end();
});

const job = {service: 'meals', team: 'cooks'};

type BadRequest = {
	path?: string;
	headers?: Record<string, string>;
	body: string | Uint8Array;
};

/** Sends a submission as raw bytes and reads the problem it gets. */
async function submitRaw({path, headers, body}: BadRequest) {
	const id = await system.makeId();
	const reply = await request(
		`${system.urls[0]!}${path ?? `/v1/jobs/${id}?wait=2000`}`,
		{
			method: 'PUT',
			headers: {'content-type': 'application/json', ...headers},
			body,
		},
	);
	const problem = (await reply.body.json()) as {code: string; ran: string};
	return {
		id,
		status: reply.statusCode,
		type: String(reply.headers['content-type']),
		problem,
	};
}

/** Serves a small job at each host: none of them took harm. */
async function checkServing(): Promise<void> {
	for (const {name, url} of system.hosts) {
		const id = await system.makeId(name);
		const tasks = [{ms: 1, value: id}];
		const outcome = await runJob([url], id, {...job, tasks});
		assert.equal(outcome.kind, 'answer', JSON.stringify(outcome));
		const starts = await system.readStarts();
		assert.deepEqual(checkPromises({starts, outcomes: [outcome]}), []);
	}
}

async function openSocket(port: number): Promise<Socket> {
	const socket = connect(port, system.hosts[0]!.ip);
	socket.on('error', () => {
		// The host may hang up on bad input at any time.
	});
	await once(socket, 'connect');
	return socket;
}

const oneTask = JSON.stringify({...job, tasks: [{ms: 1}]});

const tooMany = JSON.stringify({
	...job,
	tasks: Array.from({length: 1701}, () => 1),
});
const tooLarge = JSON.stringify({
	...job,
	tasks: ['x'.repeat(17 * 1024 * 1024)],
});
const badUtf8 = Buffer.from(
	oneTask.replace('cooks', 'c\u00FF\u00FEoks'),
	'latin1',
);

/**
Refused before the owner is asked: under this id the job may have been submitted well before, and
be running, so a host that reads only this request can't say that nothing ran.
*/
const unread: Array<[string, number, BadRequest]> = [
	['malformed JSON', 400, {body: '{"service": "meals",'}],
	['bad UTF-8', 400, {body: badUtf8}],
	['1,701 tasks', 400, {body: tooMany}],
	['no tasks', 400, {body: JSON.stringify({...job, tasks: []})}],
	['an unknown field', 400, {body: oneTask.replace('{', '{"colour": 1, ')}],
	['a body over the limit', 413, {body: tooLarge}],
	[
		'an attempt of 0',
		400,
		{headers: {'gentianshift-attempt': '0'}, body: oneTask},
	],
	[
		'an attempt that is no number',
		400,
		{headers: {'gentianshift-attempt': 'many'}, body: oneTask},
	],
];

/** Refused by the owner, or under no id that could have run. */
const refused: Array<[string, number, BadRequest]> = [
	['an unknown service', 404, {body: oneTask.replace('meals', 'no-such')}],
	['an unknown team', 403, {body: oneTask.replace('cooks', 'no-such')}],
	['a malformed id', 400, {path: '/v1/jobs/x?wait=0', body: oneTask}],
];

async function checkRefusal(
	bad: BadRequest,
	status: number,
	ran: 'none' | 'unknown',
): Promise<void> {
	const reply = await submitRaw(bad);
	assert.equal(reply.status, status, JSON.stringify(reply.problem));
	assert.match(reply.type, /^application\/problem\+json/v);
	assert.equal(reply.problem.ran, ran);
	const starts = await system.readStarts();
	assert.ok(starts.every(({task}) => !task.startsWith(reply.id)));
	await checkServing();
}

const badRequests = [
	...unread.map((bad) => [...bad, 'unknown'] as const),
	...refused.map((bad) => [...bad, 'none'] as const),
];

for (const [name, status, bad, ran] of badRequests) {
	// A caller's program has a fault. Told nothing clear, its author would search in the wrong place.
	test(`${name} gets ${status} as a problem, and nothing starts`, async () => {
		await checkRefusal(bad, status, ran);
	});
}

// Two jobs get the same id, by a caller's fault. Mixed up, one caller would be given the other's
// answer, or a task of the second would count as run though it never was.
test('the id of another job is refused, and the first answer stays', async () => {
	const id = await system.makeId();
	const [first, second] = system.urls as [string, string];
	const tasks = [{ms: 1, value: 'first'}];
	const outcome = await runJob([first], id, {...job, tasks});
	const other = await submitOnce(second, id, {
		...job,
		tasks: [{ms: 1, value: 'second'}],
	});
	assert.equal(other.kind === 'problem' && other.problem.code, 'id-in-use');
	const again = await runJob([second], id, {...job, tasks});
	assert.ok(outcome.kind === 'answer' && again.kind === 'answer');
	assert.deepEqual(again.answer, outcome.answer);
	const starts = await system.readStarts();
	assert.deepEqual(checkPromises({starts, outcomes: [outcome, again]}), []);
});

// Anything can connect to the inner port: a scanner, a wrong program, an older version. A host
// that trusts the length it reads would run out of memory; its peers would see it die.
test('garbage and oversized frames on the inner port are hung up on', async () => {
	const {innerPort} = system.hosts[0]!;
	const frames = [
		Buffer.from('GET / HTTP/1.1\r\nhost: x\r\n\r\n'),
		Buffer.from([0xff, 0xff, 0xff, 0xff, 1, 2, 3]),
		Buffer.from([0, 0, 0, 3, 0xff, 0xff, 0xff]),
		Buffer.from([0, 0, 0, 1, 0x80]),
		Buffer.alloc(4096, 0xa5),
	];
	for (const frame of frames) {
		const socket = await openSocket(innerPort);
		const closed = once(socket, 'close', {signal: AbortSignal.timeout(10_000)});
		socket.resume();
		socket.write(frame);
		await closed;
	}

	await checkServing();
});

// Callers behind bad lines begin a request and never end it. If each of them held a place, a
// few hundred would shut everybody else out.
test('slow and half-open clients keep nobody else from being served', async () => {
	const {callersPort, innerPort} = system.hosts[0]!;
	const sockets: Socket[] = [];
	for (let i = 0; i < 200; i++) {
		const toCallers = await openSocket(callersPort);
		toCallers.write(
			i % 2 === 0
				? 'PUT /v1/jobs/x HTTP/1.1\r\nhost: x\r\n'
				: 'POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 1000\r\n\r\n{"serv',
		);
		const toInner = await openSocket(innerPort);
		toInner.write(Buffer.from([0, 0]));
		sockets.push(toCallers, toInner);
	}

	await checkServing();
	for (const socket of sockets) {
		socket.destroy();
	}

	await checkServing();
});

// A caller's connection breaks while it waits. The job must go on, since the caller comes back
// for the answer; started anew it would run twice.
test('a caller who hangs up gets its whole answer by asking again elsewhere', async () => {
	const id = await system.makeId();
	const tasks = [{ms: 500, value: 'lunch'}];
	const body = JSON.stringify({...job, tasks});
	const socket = await openSocket(system.hosts[0]!.callersPort);
	socket.write(
		`PUT /v1/jobs/${id}?wait=5000 HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
	);
	await delay(200);
	socket.destroy();
	const outcome = await runJob([system.urls[2]!], id, {...job, tasks});
	assert.equal(outcome.kind, 'answer');
	const starts = await system.readStarts();
	assert.deepEqual(checkPromises({starts, outcomes: [outcome]}), []);
	assert.equal(starts.filter(({task}) => task.startsWith(id)).length, 1);
});
