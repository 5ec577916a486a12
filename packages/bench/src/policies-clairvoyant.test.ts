import assert from 'node:assert/strict';
import {test} from 'node:test';
import {replayClairvoyant} from './policies-clairvoyant.js';

test('the least work goes first when a slot comes free', () => {
	const [long, short] = replayClairvoyant(
		[
			{atMs: 0, runMs: [100, 100, 100]},
			{atMs: 50, runMs: [10]},
		],
		1,
	);
	assert.equal(short!.endedAtMs, 110);
	assert.equal(long!.endedAtMs, 310);
});

test('a job alone has a ratio of one', () => {
	const [job] = replayClairvoyant([{atMs: 5, runMs: [30, 80, 20]}], 8);
	assert.equal(job!.ratio, 1);
});
