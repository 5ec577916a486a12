/**
Executors that restart under their ids refuse connections, can't be reached, move to other groups, or have their tasks withdrawn. Only
their lists of runs state which process answers. Random plans as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	dividedRestartPlans,
	silentRestartPlans,
	withdrawalRestartPlans,
} from './fault-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

const options = {mayBeBlamed: true};

// Run before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const silentResult = await checkPlans(silentRestartPlans, 100, options);
const dividedResult = await checkPlans(dividedRestartPlans, 50, options);
const withdrawalResult = await checkPlans(withdrawalRestartPlans, 50, options);

// Guards against a lease that counts as passed while a run goes on, because the executor was silent or has restarted.
test('no task runs twice at a time when executors that restart are silent for a while', () => {
	assert.ok(!silentResult.failed, fc.defaultReportMessage(silentResult));
});

// Guards against a start that the next process of an executor has accepted, and that two groups of one host count differently.
test('no task runs twice at a time when executors that restart move between groups', () => {
	assert.ok(!dividedResult.failed, fc.defaultReportMessage(dividedResult));
});

// Guards against tasks that are handed over again after a withdrawal while a process that restarts has accepted them.
test('no task runs twice at a time when tasks are withdrawn while executors restart', () => {
	assert.ok(
		!withdrawalResult.failed,
		fc.defaultReportMessage(withdrawalResult),
	);
});
