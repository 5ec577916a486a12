import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createWorkMeter} from './work-meter.js';

test('nested work counts for its own cause only, also when it throws', () => {
	let now = 0;
	const meter = createWorkMeter(() => now);
	const answer = meter.measure('outer', () => {
		now += 5;
		assert.throws(() =>
			meter.measure('inner', () => {
				now += 20;
				throw new Error('broken');
			}),
		);
		now += 10;
		return 'done';
	});
	assert.equal(answer, 'done');
	assert.deepEqual(Object.fromEntries(meter.list()), {
		inner: {seconds: 0.02, count: 1},
		outer: {seconds: 0.015, count: 1},
	});
});
