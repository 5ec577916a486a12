import assert from 'node:assert/strict';
import {test} from 'node:test';
import {replayClairvoyant} from './policies-clairvoyant.js';

test('the least work goes first when a slot comes free', () => {
	const [long, short] = replayClairvoyant(
		[
			{at: 0, tasks: [100, 100, 100]},
			{at: 50, tasks: [10]},
		],
		1,
	);
	assert.equal(short!.endedAtMs, 110);
	assert.equal(long!.endedAtMs, 310);
});

test('a job alone has a ratio of one', () => {
	const [job] = replayClairvoyant([{at: 5, tasks: [30, 80, 20]}], 8);
	assert.equal(job!.ratio, 1);
});
