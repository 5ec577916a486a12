/**
Connections that callers have opened in advance, as pools do, to a host that is stopped in the planned way.
*/
import assert from 'node:assert/strict';
import {type Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {makeJobId} from './caller.js';
import {listRuns} from './judge.js';
import {
	openSystem,
	queueHost,
	queuePrefix,
	stopHost,
	taskCpu,
	type SchedulingHostProcess,
} from './system.js';

const connectionCount = 60;
/** The first use is when the host still serves, the last one shortly before it has to be gone. */
const firstUseMs = 2300;
const useEveryMs = 55;
const taskMs = 900;
const patienceMs = 1500;
/** A connection that is closed no later than this after a request was sent has lost nothing that was read. */
const lossSlackMs = 200;

type Use = {
	id: string;
	end: 'answered' | 'broken' | 'closed before' | 'no answer';
	status?: number;
	tookMs: number;
};

function openConnection({callers}: SchedulingHostProcess): Socket {
	const [ip, port] = callers.split(':');
	const socket = connect(Number(port), ip);
	socket.on('error', () => undefined);
	return socket;
}

/** Sends a job as the first request of its connection. */
async function useConnection(socket: Socket): Promise<Use> {
	const id = makeJobId();
	if (socket.destroyed || socket.readableEnded) {
		return {id, end: 'closed before', tookMs: 0};
	}

	const body = JSON.stringify({
		spec: JSON.stringify({ms: taskMs, cpu: taskCpu, failures: 0}),
		phases: [{count: 1, cpu: taskCpu, mem_mb: 64, estimated_ms: taskMs}],
		best_effort: true,
	});
	const startedAt = performance.now();
	let answer = '';
	socket.on('data', (chunk: Buffer) => {
		answer += chunk.toString();
	});
	socket.write(
		[
			`POST ${queuePrefix}${id} HTTP/1.1`,
			`Host: ${queueHost}`,
			'Content-Type: application/json',
			`Content-Length: ${body.length}`,
			`Deadline-Ms: ${patienceMs}`,
			'',
			body,
		].join('\r\n'),
	);
	while (
		!/\r\n\r\n.+/sv.test(answer) &&
		!socket.destroyed &&
		performance.now() < startedAt + patienceMs
	) {
		await delay(5);
	}

	const tookMs = performance.now() - startedAt;
	const status = /^HTTP\/1.1 (?<status>\d+)/v.exec(answer)?.groups?.status;
	const isBroken = socket.destroyed;
	socket.destroy();
	if (status !== undefined) {
		return {id, end: 'answered', status: Number(status), tookMs};
	}

	return {id, end: isBroken ? 'broken' : 'no answer', tookMs};
}

// Guards against jobs that a stopping host takes from connections that had carried none, and breaks off when it ends.
test('a stopping host takes no job that it can not end from connections opened in advance', async (context) => {
	const system = await openSystem(context, {
		hosts: {mieres: 2},
		executors: {mieres: 9},
	});
	const host = system.hosts.find((one) => one !== system.findHolder('mieres'))!;
	const sockets = Array.from({length: connectionCount}, () =>
		openConnection(host),
	);
	await delay(500);
	const stopped = stopHost(host, 'SIGTERM');
	await delay(firstUseMs);
	const uses = await Promise.all(
		sockets.map(async (socket, i) => {
			await delay(i * useEveryMs);
			return useConnection(socket);
		}),
	);
	await stopped;
	const hasRun = ({id}: Use) => listRuns(system.executors, id).length > 0;
	const lost = uses.filter(
		(use) =>
			use.end === 'no answer' ||
			(use.end === 'broken' && (hasRun(use) || use.tookMs > lossSlackMs)),
	);
	assert.deepEqual(lost, []);
	const untrue = uses.filter((use) => use.status === 503 && hasRun(use));
	assert.deepEqual(untrue, []);
	assert.ok(uses.some(({status}) => status === 200));
});
