/**
No start exceeds the capacity of an executor that does not check it itself, whatever is lost, late, frozen or killed while capacities
shrink and grow. Random plans as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {capacityChangePlans, type FaultPlan} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(capacityChangePlans, 400);

// Guards against starts that exceed a reduced capacity, or don't count runs that are being stopped or that an earlier holder started.
test('no start exceeds the capacity of an executor while capacities change and faults occur', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

const lateJob: FaultPlan = {
	jobs: [
		{at: 5963, host: 0, tasks: 2, runMs: 2500, allowanceMs: 60, cpu: 3000},
	],
	faults: [{at: 0, durationMs: 100, kind: 'shrink', executor: 0, share: 0}],
};

// Guards against a simulation that ends before the callers of late jobs are answered.
test('all invariants hold when a job arrives long after the last fault', async () => {
	assert.deepEqual(await runPlan(lateJob), []);
});
