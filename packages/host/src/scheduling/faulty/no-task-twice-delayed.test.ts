/**
No task keeps running at a scheduler after its entry host has taken it away, whatever other messages still reach that scheduler.
Random plans as in `no-task-twice`, in which messages are delayed while hosts send many of them.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {delayedMessagePlans} from './fault-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

const planCount = 600;
// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(delayedMessagePlans, planCount);

// Guards against messages for other jobs, or late messages, that keep a task running at a holder which the entry host has given up on.
test('no task runs twice at a time when messages between hosts are delayed', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});
