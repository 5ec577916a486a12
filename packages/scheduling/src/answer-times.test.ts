/**
When an answer counts as lost: quick and slow ways to executors, and a way that has turned slow.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createAnswerTimes} from './answer-times.js';
import {orderTimeoutMs} from './timing.js';

test('a lost answer is noticed soon where answers come at once', () => {
	const times = createAnswerTimes();
	assert.equal(times.getLimitMs(), orderTimeoutMs, 'nothing is known yet');
	for (let i = 0; i < 20; i += 1) {
		times.note(2 + (i % 3));
	}

	assert.ok(times.getLimitMs() <= 50);
});

// The host is short of processor time and reads answers late. Taken for lost, tasks that run would be stopped.
test('answers that take long are waited for', () => {
	const times = createAnswerTimes();
	for (let i = 0; i < 20; i += 1) {
		times.note(i % 2 === 0 ? 10 : 60);
	}

	assert.ok(times.getLimitMs() > 60);
});

// All answers have turned slower than the bound, so that none comes within it to tell.
test('a bound that no answer meets grows', () => {
	const times = createAnswerTimes();
	times.note(2);
	for (let i = 0; i < 3; i += 1) {
		times.noteLost();
	}

	assert.equal(times.getLimitMs(), orderTimeoutMs);
	times.note(100);
	assert.ok(times.getLimitMs() > 100);
});
