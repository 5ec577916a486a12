/**
The time-out for executors' answers on fast and slow connections, and on one that becomes slow.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createAnswerTimes} from './answer-times.js';
import {maxCallTimeoutMs} from './timing.js';

test('the time-out is short while answers arrive quickly', () => {
	const times = createAnswerTimes();
	assert.equal(
		times.getTimeoutMs(),
		maxCallTimeoutMs,
		'no answer has been measured yet',
	);
	for (let i = 0; i < 20; i += 1) {
		times.recordAnswer(2 + (i % 3));
	}

	assert.ok(times.getTimeoutMs() <= 50);
});

// The host is short of processor time and reads answers late. If these counted as lost, running tasks would be stopped.
test('the time-out is longer than slow answers take', () => {
	const times = createAnswerTimes();
	for (let i = 0; i < 20; i += 1) {
		times.recordAnswer(i % 2 === 0 ? 10 : 60);
	}

	assert.ok(times.getTimeoutMs() > 60);
});

// All answers have become slower than the time-out. None arrives within it, so no sample would raise the estimate.
test('the time-out grows after several lost answers in a row', () => {
	const times = createAnswerTimes();
	times.recordAnswer(2);
	for (let i = 0; i < 3; i += 1) {
		times.recordLoss();
	}

	assert.equal(times.getTimeoutMs(), maxCallTimeoutMs);
	times.recordAnswer(100);
	assert.ok(times.getTimeoutMs() > 100);
});
