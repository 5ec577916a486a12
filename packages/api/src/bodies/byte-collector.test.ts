import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {createByteCollector} from './byte-collector.js';

/** A chunk as a connection gives it: a part of a larger buffer. */
function makeChunk(bytes: number, bufferBytes: number, value: number): Buffer {
	return Buffer.from(new ArrayBuffer(bufferBytes), 0, bytes).fill(value);
}

test('chunks of all sizes come back in their order', () => {
	const body = createByteCollector();
	const sizes = [1, 300, 70, 40_000, 1, 1, 17_000, 600, 0, 65_536, 5];
	const chunks = sizes.map((size, i) => makeChunk(size, 65_536, i));
	for (const chunk of chunks) {
		body.append(chunk);
	}

	const expected = Buffer.concat(chunks);
	assert.equal(body.length, expected.length);
	assert.deepEqual(body.joinAll(), expected);
});

// Guards against small chunks that each keep the buffer of a whole read.
test('small chunks hold little more than their bytes', () => {
	const body = createByteCollector();
	for (let i = 0; i < 200_000; i += 1) {
		body.append(makeChunk(1, 64, 0));
	}

	assert.ok(body.heldBytes < 250_000);
	const large = createByteCollector();
	for (let i = 0; i < 4; i += 1) {
		large.append(makeChunk(60_000, 65_536, 0));
	}

	assert.equal(large.heldBytes, 4 * 65_536);
});
