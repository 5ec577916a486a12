/**
Executors restart under their ids, and their answers to starts and stops don't state which process has answered; only their lists of
runs do. Random plans as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {unattributedStartPlans} from './fault-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Runs before the test starts: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(unattributedStartPlans, 400, {
	mayBeBlamed: true,
});

// Guards against a run of the next process that counts as lost with the former one, because it was accepted without saying by which.
test('no task runs twice at a time when only lists of runs state which process of an executor answers', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});
