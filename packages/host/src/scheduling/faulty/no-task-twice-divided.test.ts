/**
No task runs twice at a time while the executors of a data centre are divided into more groups, whatever else goes wrong, and no job is
refused or lost because of a division. Random plans as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	divisionPlans,
	soundDivisionPlans,
	type FaultPlan,
} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Run before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(divisionPlans, 500);
const soundResult = await checkPlans(soundDivisionPlans, 200, {
	areAllCompleted: true,
});

// Guards against an executor that two groups call, and against a new holder that takes a run outside its group for over.
test('all invariants hold while executors move between groups and faults occur', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

// Guards against jobs that are lost or refused because the executors that they run on move to another group.
test('all jobs are completed while executors move between groups', () => {
	assert.ok(!soundResult.failed, fc.defaultReportMessage(soundResult));
});

const twoTakeoversAfterDivision: FaultPlan = {
	groups: 2,
	jobs: [
		{at: 1, host: 0, tasks: 1, runMs: 2500, allowanceMs: 60},
		{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
	],
	faults: [
		{at: 800, durationMs: 53, kind: 'hand-over'},
		{at: 0, durationMs: 903, kind: 'hand-over'},
		{at: 0, durationMs: 50, kind: 'divide', centre: 0, count: 3, isTold: false},
	],
};

// Guards against a second successor that relies on reports, as its predecessor had no executors to release itself.
test('all invariants hold when a group changes hands twice while executors that it has lost still run its tasks', async () => {
	assert.deepEqual(await runPlan(twoTakeoversAfterDivision), []);
});
