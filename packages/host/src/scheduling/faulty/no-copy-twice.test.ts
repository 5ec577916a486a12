/**
No task runs in two copies of its job at a time when a caller's connection breaks during its request and the caller sends the job
again at once. Random plans as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {resendPlans, type FaultPlan} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(resendPlans);

// Guards against two entry hosts with a copy of the same job that hand its tasks to two groups at the same time.
test('no task runs twice at a time when callers whose connection breaks send their jobs again at once', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

/** Plans that once violated an invariant, each with the situation that led to it. */
const regressions: ReadonlyArray<{situation: string; plan: FaultPlan}> = [
	{
		situation:
			'a caller sent its job again at once, and two entry hosts handed the copies to two groups',
		plan: {
			jobs: [
				{at: 0, host: 3, tasks: 1, runMs: 60, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
			],
			faults: [
				{
					at: 2,
					durationMs: 0,
					kind: 'reset-resend-at-once',
					host: 3,
					noticeDelayMs: 9,
				},
			],
		},
	},
	{
		situation:
			'a group counted as unreachable although the connection to its holder was back',
		plan: {
			jobs: [
				{at: 0, host: 0, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
			],
			faults: [
				{
					at: 195,
					durationMs: 206,
					kind: 'reset-resend-at-once',
					host: 0,
					noticeDelayMs: 0,
				},
				{at: 0, durationMs: 400, kind: 'silence', executor: 0},
			],
		},
	},
	{
		situation:
			'a new holder started an earlier copy, and only the previous holder knew that it had been replaced',
		plan: {
			jobs: [
				{at: 0, host: 0, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
			],
			faults: [
				{
					at: 1431,
					durationMs: 133,
					kind: 'reset-resend-at-once',
					host: 1,
					noticeDelayMs: 133,
				},
				{at: 800, durationMs: 630, kind: 'hand-over'},
				{
					at: 0,
					durationMs: 0,
					kind: 'reset-resend-at-once',
					host: 0,
					noticeDelayMs: 0,
				},
			],
		},
	},
	{
		situation:
			'a holder died just before it was asked to stop other copies of a job',
		plan: {
			jobs: [
				{at: 0, host: 2, tasks: 2, runMs: 60, allowanceMs: 3000},
				{at: 5, host: 3, tasks: 1, runMs: 1500, allowanceMs: 3000},
			],
			faults: [
				{at: 100, durationMs: 4000, kind: 'kill', host: 0},
				{
					at: 110,
					durationMs: 0,
					kind: 'reset-resend-at-once',
					host: 3,
					noticeDelayMs: 300,
				},
			],
		},
	},
	{
		situation:
			'a previous holder that did not know of its successor was asked to stop other copies of a job',
		plan: {
			jobs: [{at: 2163, host: 1, tasks: 1, runMs: 600, allowanceMs: 1000}],
			faults: [
				{at: 1800, durationMs: 4000, kind: 'hand-over'},
				{at: 1805, durationMs: 700, kind: 'cut', host: 0, peer: 1},
				{at: 1805, durationMs: 700, kind: 'cut', host: 2, peer: 1},
				{
					at: 2166,
					durationMs: 0,
					kind: 'reset-resend-at-once',
					host: 1,
					noticeDelayMs: 200,
				},
			],
		},
	},
];

for (const {situation, plan} of regressions) {
	test(`all invariants hold when ${situation}`, async () => {
		assert.deepEqual(await runPlan(plan), []);
	});
}
