/**
A host within its limits of memory and descriptors while clients misuse it, and ordinary callers are served beside them.
*/
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import {makeJobId} from './caller.js';
import {
	isAlive,
	makeChunks,
	makeHead,
	openCrowd,
	readPeakMemory,
	submitUntilCompleted,
	watchDescriptors,
	type CrowdOptions,
} from './client-crowd.js';
import {openSystem, queuePrefix} from './system.js';

/** What the smallest machines have. */
const memoryMb = 210;
const descriptors = 2212;
/** Of which so many are kept for files. */
const fileDescriptors = 200;
/** Below the largest body that the configuration allows. */
const almostWholeBytes = 260_000;
const smallChunksBytes = 245_760;
const oversizeBytes = 40 * 1024 * 1024;
const pieceBytes = 1024 * 1024;

function makeJobPath(): string {
	return `${queuePrefix}${makeJobId()}`;
}

/** A body of that many bytes in pieces, sent as they are. */
function makePieces(bytes: number): Buffer[] {
	const piece = Buffer.alloc(pieceBytes, 'x');
	return Array.from({length: bytes / pieceBytes}, () => piece);
}

async function playCrowd(
	context: TestContext,
	crowdOptions: CrowdOptions,
	limits: {descriptors?: number} = {},
) {
	const allowed = limits.descriptors ?? descriptors;
	const system = await openSystem(context, {
		hosts: {mieres: 1},
		executors: {mieres: 2},
		settings: [`limits.memory_mb=${memoryMb}`, `limits.max_fds=${allowed}`],
	});
	const [host] = system.hosts;
	const watch = watchDescriptors(host!);
	const crowd = await openCrowd(host!, crowdOptions);
	const beside = await submitUntilCompleted(host!);
	crowd.leave();
	const after = await submitUntilCompleted(host!);
	const mostDescriptors = watch.end();
	const peakMb = readPeakMemory(host!);
	context.diagnostic(
		`peak ${Math.round(peakMb)} MB, ${mostDescriptors} descriptors`,
	);
	assert.ok(isAlive(host!));
	assert.equal(beside.state, 'completed');
	assert.equal(after.state, 'completed');
	assert.ok(peakMb <= memoryMb, `the host held ${peakMb} MB`);
	assert.ok(
		mostDescriptors <= allowed - fileDescriptors,
		`the host held ${mostDescriptors} descriptors`,
	);
}

// Guards against bodies whose many small chunks take a multiple of their bytes, and all of a host's processor time.
test('bodies in chunks of one byte that stop short of their end leave a host within its memory', async (context) => {
	await playCrowd(context, {
		connections: 8,
		pieces: [makeHead('POST', makeJobPath()), makeChunks(smallChunksBytes, 1)],
	});
});

// Guards against many bodies of legal size that are held at once.
test('many bodies that stop short of their end leave a host within its memory', async (context) => {
	await playCrowd(context, {
		connections: 800,
		pieces: [
			makeHead('POST', makeJobPath()),
			makeChunks(almostWholeBytes, almostWholeBytes),
		],
	});
});

// Guards against a body that is kept although its head says that it is too large.
test('bodies that are announced far over the limit leave a host within its memory', async (context) => {
	await playCrowd(context, {
		connections: 8,
		pieces: [
			makeHead('POST', makeJobPath(), oversizeBytes),
			...makePieces(oversizeBytes),
		],
	});
});

// Guards against a body that is kept until its end, and measured only then.
test('bodies that are sent far over the limit leave a host within its memory', async (context) => {
	await playCrowd(context, {
		connections: 8,
		pieces: [
			makeHead('POST', makeJobPath()),
			...makePieces(oversizeBytes).map((piece) =>
				makeChunks(piece.length, piece.length),
			),
		],
	});
});

// Guards against bodies that collect unread where no body is expected.
test('bodies of requests that have none leave a host within its memory', async (context) => {
	await playCrowd(context, {
		connections: 60,
		pieces: [
			makeHead('DELETE', makeJobPath()),
			makeChunks(smallChunksBytes, 1),
		],
	});
});

// Guards against answers to invalid jobs that are many times as long as ordinary ones, and are never read.
test('answers that are never read leave a host within its memory', async (context) => {
	const job = Buffer.from(
		JSON.stringify({
			spec: 1,
			phases: Array.from({length: 5000}, () => ({count: 0, cpu: -1, gpu: -1})),
		}),
	);
	await playCrowd(context, {
		connections: 60,
		isDeaf: true,
		pieces: Array.from({length: 4}, () => [
			makeHead('POST', makeJobPath(), job.length),
			job,
		]).flat(),
	});
});

// Guards against jobs whose bodies are small, and whose tasks take a host's memory.
test('jobs of very many tasks leave a host within its memory', async (context) => {
	const job = Buffer.from(
		JSON.stringify({
			spec: '',
			phases: [{count: 100_000, cpu: 1, mem_mb: 1, estimated_ms: 1}],
			best_effort: true,
		}),
	);
	await playCrowd(context, {
		connections: 20,
		pieces: Array.from({length: 10}, () => [
			makeHead('POST', makeJobPath(), job.length),
			job,
		]).flat(),
	});
});

// Guards against connections that leave a host no descriptors for executors, other hosts and the store.
test('connections without a request leave a host within its descriptors', async (context) => {
	await playCrowd(context, {connections: 400, pieces: []}, {descriptors: 500});
});

// Guards against heads of requests that are never ended, on connections that are never closed.
test('heads of requests that are never ended leave a host within its descriptors', async (context) => {
	await playCrowd(
		context,
		{
			connections: 400,
			pieces: [Buffer.from('POST / HTTP/1.1\r\nhost: a\r\nx-a: ')],
		},
		{descriptors: 500},
	);
});
