import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {setImmediate as waitTurn} from 'node:timers/promises';
import {createBodyBudget} from './body-budget.js';
import {readBytes, type BodyRefusal} from './read-bytes.js';

const limit = 10_000;

function openBody({
	headers = {},
	budget = createBodyBudget(limit),
}: {
	headers?: IncomingMessage['headers'];
	budget?: ReturnType<typeof createBodyBudget>;
} = {}) {
	const stream = new PassThrough();
	const incoming = Object.assign(stream, {
		headers,
	}) as unknown as IncomingMessage;
	return {
		stream,
		read: readBytes(incoming, {getLimit: () => limit, budget}),
		async write(bytes: number, chunkBytes: number) {
			for (let written = 0; written < bytes; written += chunkBytes) {
				stream.write(Buffer.alloc(chunkBytes, 'x'));
				await waitTurn();
			}
		},
	};
}

async function assertRefused(
	read: ReturnType<typeof readBytes>,
	refusal: BodyRefusal,
): Promise<void> {
	const body = await read;
	assert.equal(body._unsafeUnwrapErr(), refusal);
}

test('a body of legal size is read whole', async () => {
	const {stream, read, write} = openBody();
	await write(limit, 500);
	stream.end();
	const body = await read;
	assert.equal(body._unsafeUnwrap().length, limit);
});

// Guards against a body that is kept until its end before it is measured.
test('a body over the limit is refused before its end, one that is announced so before its first byte', async () => {
	const sent = openBody();
	await sent.write(limit + 500, 500);
	await assertRefused(sent.read, 'too-large');
	const announced = openBody({headers: {'content-length': '10001'}});
	await assertRefused(announced.read, 'too-large');
});

// Guards against the processor time and the memory of a chunk's object, taken by a body of legal size.
test('a body in thousands of tiny chunks is refused, one in as many as it has bytes for is read', async () => {
	const tiny = openBody();
	await tiny.write(2000, 1);
	await assertRefused(tiny.read, 'too-many-chunks');
	const small = openBody();
	await small.write(9600, 64);
	small.stream.end();
	const body = await small.read;
	assert.ok(body.isOk());
});

// Guards against bodies that stop short of their end and lock out others.
test('a body that holds the most gives way to others', async () => {
	const budget = createBodyBudget(8000);
	const large = openBody({budget});
	await large.write(6000, 1000);
	const small = openBody({budget});
	await small.write(3000, 1000);
	small.stream.end();
	await assertRefused(large.read, 'no-memory');
	const body = await small.read;
	assert.ok(body.isOk());
});
