/**
Executors that restart under their ids are used again soon. Random plans as in `no-task-twice-restarts`, without other faults.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {restartOnlyPlans} from './fault-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
// How crashes are attributed is not what these plans are about.
const result = await checkPlans(restartOnlyPlans, 100, {
	mayBeBlamed: true,
	areAllUsed: true,
});

// Guards against a new process whose answers or registrations are taken for late ones of the former process.
test('an executor that has restarted is open for starts after a heartbeat and a read of the list at most', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});
