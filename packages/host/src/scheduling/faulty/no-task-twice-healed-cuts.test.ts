/**
No task runs twice at a time when hosts and executors that were cut off together for seconds are back: both sides have scheduled their
executors meanwhile, and the registrations of those that were cut off have lapsed. Random plans as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	dividedCutPlans,
	healedCutPlans,
	type FaultPlan,
	type PlannedFault,
} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Run before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(healedCutPlans, 300);
const dividedResult = await checkPlans(dividedCutPlans, 100);

// Guards against a successor that does not know the executors on which the former holder went on during the cut.
test('no task runs twice at a time when hosts and executors that were cut off are back', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

// Guards against the same where executors have moved to another group during the cut.
test('no task runs twice at a time when a cut ends during which executors moved between groups', () => {
	assert.ok(!dividedResult.failed, fc.defaultReportMessage(dividedResult));
});

const cutMs = 5000;
const formerHolderAndExecutorCutOff: FaultPlan = {
	jobs: [{at: cutMs - 100, host: 0, tasks: 1, runMs: 2500, allowanceMs: 1000}],
	faults: [
		...[1, 2, 3].map((peer): PlannedFault => ({
			at: 0,
			durationMs: cutMs,
			kind: 'cut',
			host: 0,
			peer,
		})),
		{at: 0, durationMs: cutMs, kind: 'store', host: 0, how: 'refuses'},
		{at: 0, durationMs: cutMs, kind: 'cut-executor', host: 0, executor: 1},
		{at: 0, durationMs: cutMs, kind: 'cut-executor', host: 1, executor: 0},
		{at: 0, durationMs: cutMs + 1000, kind: 'unlist', executor: 0},
	],
};

// Guards against a successor that starts a task at once as the cut ends, as all executors that it lists have reported, while the task
// still runs on one that only the former holder reached.
test('a task that the former holder started during the cut waits until its run is over', async () => {
	assert.deepEqual(await runPlan(formerHolderAndExecutorCutOff), []);
});
