/**
No task is started in an evacuated data centre by a host that is in touch with the store or with others, whatever else goes wrong; and
no job is refused or lost because its data centre is evacuated while another has room. Random plans as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	evacuationPlans,
	soundEvacuationPlans,
	type FaultPlan,
} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Run before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(evacuationPlans, 1000);
const soundResult = await checkPlans(soundEvacuationPlans, 300, {
	areAllCompleted: true,
});

// Guards against a holder that goes on, or a new one that begins, to start tasks where operators want none.
test('no task is started in an evacuated data centre while faults occur', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

// Guards against jobs that wait in, or are refused by, the data centre that their caller came to.
test('all jobs are completed while one data centre after another is evacuated', () => {
	assert.ok(!soundResult.failed, fc.defaultReportMessage(soundResult));
});

const evacuationWithoutStore: FaultPlan = {
	jobs: Array.from({length: 20}, (_, i) => ({
		at: 300 * i,
		host: i % 2,
		tasks: 2,
		runMs: 600,
		allowanceMs: 1000,
	})),
	faults: [
		{at: 0, durationMs: 8000, kind: 'store', host: 0, how: 'refuses'},
		{at: 0, durationMs: 8000, kind: 'store', host: 1, how: 'refuses'},
		{at: 500, durationMs: 6000, kind: 'evacuate', centre: 0},
	],
};

// Guards against hosts that learn of an evacuation only from the store, while it turns them away.
test('all invariants hold when the store turns away the hosts of an evacuated data centre', async () => {
	assert.deepEqual(await runPlan(evacuationWithoutStore), []);
});

const evacuationDuringTakeover: FaultPlan = {
	jobs: Array.from({length: 10}, (_, i) => ({
		at: 300 * i,
		host: i % 4,
		tasks: 2,
		runMs: 600,
		allowanceMs: 1000,
	})),
	faults: [
		{at: 500, durationMs: 6000, kind: 'evacuate', centre: 0},
		{at: 510, durationMs: 300, kind: 'hand-over'},
		{at: 515, durationMs: 0, kind: 'compact'},
	],
};

// Guards against a new holder that goes by what was in force when the former one took the group.
test('all invariants hold when a group changes hands and the store discards its history right after an evacuation', async () => {
	assert.deepEqual(await runPlan(evacuationDuringTakeover), []);
});
