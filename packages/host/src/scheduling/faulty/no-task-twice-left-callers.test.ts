/**
No task runs twice at a time when callers leave a frozen host and send their jobs again to others. Random plans as in
`no-task-twice`; what lies in the host's connections is read when it wakes.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {leftFreezePlans, type FaultPlan} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

const planCount = 600;
// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(leftFreezePlans, planCount);

// Guards against an entry that acts on what it reads after a freeze before it has read that the callers have left.
test('no task runs twice at a time when callers leave a frozen host', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

const regressions: ReadonlyArray<{situation: string; plan: FaultPlan}> = [
	{
		situation:
			'a host wakes to a request on a used connection whose caller has sent the job to another data centre',
		plan: {
			jobs: [{at: 200, host: 0, tasks: 1, runMs: 2500, allowanceMs: 1000}],
			faults: [
				{at: 0, durationMs: 9000, kind: 'kill', host: 1},
				{at: 100, durationMs: 3500, kind: 'freeze', host: 0},
				{at: 700, durationMs: 50, kind: 'reset-callers', host: 0},
			],
		},
	},
	{
		situation:
			'the close of such a connection reaches the host long after it has woken',
		plan: {
			jobs: [{at: 200, host: 0, tasks: 1, runMs: 2500, allowanceMs: 1000}],
			faults: [
				{at: 0, durationMs: 9000, kind: 'kill', host: 1},
				{at: 100, durationMs: 3500, kind: 'freeze', host: 0},
				{
					at: 700,
					durationMs: 50,
					kind: 'reset-callers',
					host: 0,
					noticeDelayMs: 3500,
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
