/**
How long a lease may last at a process whose clock is not known.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLeaseCalls} from './lease-calls.js';

// Guards against a run that goes on at another process, under the longest lease on the slowest clock, when its task is placed again.
test('a lease has passed everywhere only when the longest one has on the slowest clock', () => {
	const calls = createLeaseCalls();
	calls.noteAnswered(500);
	assert.equal(calls.hasPassedEverywhere(500 + 1000 / 0.98), false);
	assert.equal(calls.hasPassedEverywhere(500 + 1061), true);
});

// Guards against a renewal that is carried out late, while the run is still there.
test('each call without an answer may extend the lease once more, until it can not arrive any more', () => {
	const calls = createLeaseCalls();
	calls.noteAnswered(0);
	calls.noteUnanswered(700);
	calls.noteUnanswered(850);
	assert.equal(calls.hasPassedEverywhere(3 * 1020), false);
	assert.equal(calls.hasPassedEverywhere(3 * 1060 + 1), true);
	calls.noteAnswered(30_000);
	assert.equal(calls.hasPassedEverywhere(31_061), true);
});
