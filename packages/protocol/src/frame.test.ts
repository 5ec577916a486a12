import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {encodeFrame, FrameReader, maxFrameBytes} from './frame.js';

function readAll(bytes: Buffer, pieceSize: number): unknown[][] {
	const reader = new FrameReader();
	const frames: unknown[][] = [];
	for (let at = 0; at < bytes.length; at += pieceSize) {
		frames.push(
			...reader.readFrames(bytes.subarray(at, at + pieceSize))._unsafeUnwrap(),
		);
	}

	return frames;
}

for (const pieceSize of [1, 3, 7, 1000]) {
	test(`frames are decoded whole and in order from chunks of ${pieceSize} bytes`, () => {
		const bytes = Buffer.concat([
			encodeFrame([{t: 'a'}, {t: 'b', n: 1}]),
			encodeFrame([]),
			encodeFrame([{t: 'c'}]),
		]);
		assert.deepEqual(readAll(bytes, pieceSize), [
			[{t: 'a'}, {t: 'b', n: 1}],
			[],
			[{t: 'c'}],
		]);
	});
}

test('a frame above the size limit is refused by its length prefix, before its body arrives', () => {
	// A client that isn't a host connects and sends text, whose first bytes decode as a huge length.
	// A host that buffered that many bytes would run out of memory.
	const header = Buffer.alloc(4);
	header.writeUInt32BE(maxFrameBytes + 1);
	assert.equal(
		new FrameReader().readFrames(header)._unsafeUnwrapErr().code,
		'oversized-frame',
	);
});

for (const body of [Buffer.from([0xff, 0xff, 0xff]), Buffer.from([0x01])]) {
	test(`a frame whose body is not a CBOR array (${body.toString('hex')}) is refused`, () => {
		const frame = Buffer.concat([Buffer.from([0, 0, 0, body.length]), body]);
		assert.equal(
			new FrameReader().readFrames(frame)._unsafeUnwrapErr().code,
			'malformed-frame',
		);
	});
}
