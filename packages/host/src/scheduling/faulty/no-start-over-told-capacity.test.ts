/**
No start exceeds the capacity of an executor that does not check it itself, while the store turns some hosts away, or all, and capacities
shrink. Random plans as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	type FaultPlan,
	type PlannedFault,
	type PlannedJob,
} from './fault-plan.fixture.js';
import {
	refusedReaderPlans,
	refuseStore,
} from './refused-reader-plans.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(refusedReaderPlans, 300);

// Guards against a holder that starts more than its executors hold, as the last list that it could read is old.
test('no start exceeds a reduced capacity that another host has read', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

/** Two large tasks at a time on each executor of the first data centre, as its capacity was before. */
function makeLoad(until: number): PlannedJob[] {
	return Array.from({length: until / 200}, (_, i) => ({
		at: i * 200,
		host: i % 4,
		tasks: 4,
		runMs: 300,
		allowanceMs: 1000,
		cpu: 14_000,
	}));
}

function shrinkFirstCentre(at: number): PlannedFault[] {
	return [0, 1].map((executor) => ({
		at,
		durationMs: 12_000,
		kind: 'shrink',
		executor,
		share: 0.45,
	}));
}

const plans: Record<string, FaultPlan> = {
	'the store turns away all hosts of the data centre': {
		jobs: makeLoad(9000),
		faults: [...refuseStore([0, 1], 500, 9000), ...shrinkFirstCentre(1000)],
		isUnguarded: true,
	},
	'the store answers one host of another data centre only': {
		jobs: makeLoad(9000),
		faults: [...refuseStore([0, 1, 2], 500, 9000), ...shrinkFirstCentre(1000)],
		isUnguarded: true,
	},
	'the holder dies after it has read them, and the store is away for all': {
		jobs: makeLoad(9000),
		faults: [
			...shrinkFirstCentre(1000),
			{at: 1800, durationMs: 8000, kind: 'kill', host: 0},
			...refuseStore([0, 1, 2, 3], 1800, 8000),
		],
		isUnguarded: true,
	},
	'the holder is cut off from all hosts and the store': {
		jobs: makeLoad(9000),
		faults: [
			{
				at: 500,
				durationMs: 9000,
				kind: 'isolate',
				host: 0,
				how: 'broken',
				redialMs: 0,
				backlogMs: 0,
				isCutFromStore: true,
				isCutFromExecutors: false,
			},
			...shrinkFirstCentre(1000),
		],
		isUnguarded: true,
	},
};
for (const [name, plan] of Object.entries(plans)) {
	// Guards against starts by the capacities of a list from before, once one host has read the newer ones.
	test(`capacities that have shrunk are respected while ${name}`, async () => {
		assert.deepEqual(await runPlan(plan), []);
	});
}
