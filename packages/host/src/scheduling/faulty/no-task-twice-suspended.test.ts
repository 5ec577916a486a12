/**
No task runs twice at a time when machines are suspended. Their monotonic clocks don't count that time, so claims and leases
look as fresh afterwards as before. Random plans as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {suspensionPlans, type FaultPlan} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

const planCount = 600;
// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(suspensionPlans, planCount);

// Guards against claims and leases whose end is computed from a clock that stops, while other hosts wait for that end on running clocks.
test('no task runs twice at a time when machines are suspended', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

const regressions: ReadonlyArray<{situation: string; plan: FaultPlan}> = [
	{
		situation:
			'a holder starts a task again after its suspension, and the entry host has moved the task by its own clock',
		plan: {
			jobs: [
				{at: 1400, host: 1, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 2, runMs: 2500, allowanceMs: 60},
			],
			faults: [{at: 2400, durationMs: 901, kind: 'suspend', host: 0}],
		},
	},
	{
		situation:
			'the same happens and no other host can take the group, however long the suspension lasts',
		plan: {
			jobs: [{at: 100, host: 1, tasks: 6, runMs: 1500, allowanceMs: 1000}],
			faults: [
				{at: 0, durationMs: 6000, kind: 'kill', host: 3},
				{at: 150, durationMs: 2000, kind: 'suspend', host: 2},
			],
		},
	},
	{
		situation:
			'a run outlives its entry host by as long as its scheduler was suspended, and the caller has sent the job again',
		plan: {
			jobs: [
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
				{at: 0, host: 0, tasks: 3, runMs: 60, allowanceMs: 60},
				{at: 0, host: 0, tasks: 3, runMs: 2500, allowanceMs: 60},
			],
			faults: [
				{at: 1600, durationMs: 600, kind: 'suspend', host: 0},
				{at: 1600, durationMs: 400, kind: 'kill', host: 1},
				{at: 0, durationMs: 400, kind: 'unlist', executor: 0},
			],
		},
	},
	{
		situation:
			'an entry host that is also the holder renews its claims after a freeze, before it notices that the caller has left',
		plan: {
			jobs: [{at: 100, host: 0, tasks: 1, runMs: 1500, allowanceMs: 1000}],
			faults: [
				{at: 0, durationMs: 6000, kind: 'kill', host: 1},
				{at: 150, durationMs: 1700, kind: 'freeze', host: 0},
				{
					at: 160,
					durationMs: 50,
					kind: 'reset-callers',
					host: 0,
					noticeDelayMs: 1695,
				},
			],
		},
	},
];

for (const {situation, plan} of regressions) {
	test(`no task runs twice at a time when ${situation}`, async () => {
		assert.deepEqual(await runPlan(plan), []);
	});
}
