/**
No task runs in two copies of its job at a time when a caller's connection breaks during its request and the caller sends the job
again at once. Random plans as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {resendPlans, type FaultPlan} from './fault-plan.fixture.js';
import {playPlan} from './play-plan.fixture.js';
import {playPlans} from './play-plans.fixture.js';

// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const played = await playPlans(resendPlans);

// Guards against two entry hosts with a copy of the same job that hand its tasks to two groups at the same time.
test('no task runs twice at a time when callers whose connection breaks send their jobs again at once', () => {
	assert.ok(!played.failed, fc.defaultReportMessage(played));
});

/** Plans that once violated an invariant, each with the situation that led to it. */
const brokenOnce: ReadonlyArray<{cause: string; plan: FaultPlan}> = [
	{
		cause:
			'a caller sent its job again at once, and two entry hosts handed the copies to two groups',
		plan: {
			jobs: [
				{at: 0, host: 3, tasks: 1, runMs: 60, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
			],
			faults: [{at: 2, forMs: 0, kind: 'reset-requests', host: 3, noticeMs: 9}],
		},
	},
	{
		cause:
			'a group counted as unreachable although the connection to its holder was back',
		plan: {
			jobs: [
				{at: 0, host: 0, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
			],
			faults: [
				{at: 195, forMs: 206, kind: 'reset-requests', host: 0, noticeMs: 0},
				{at: 0, forMs: 400, kind: 'silence', executor: 0},
			],
		},
	},
	{
		cause:
			'a new holder started an earlier copy, and only the previous holder knew that it had been replaced',
		plan: {
			jobs: [
				{at: 0, host: 0, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
			],
			faults: [
				{at: 1431, forMs: 133, kind: 'reset-requests', host: 1, noticeMs: 133},
				{at: 800, forMs: 630, kind: 'hand-over'},
				{at: 0, forMs: 0, kind: 'reset-requests', host: 0, noticeMs: 0},
			],
		},
	},
	{
		cause:
			'a holder died just before it was asked to stop other copies of a job',
		plan: {
			jobs: [
				{at: 0, host: 2, tasks: 2, runMs: 60, allowanceMs: 3000},
				{at: 5, host: 3, tasks: 1, runMs: 1500, allowanceMs: 3000},
			],
			faults: [
				{at: 100, forMs: 4000, kind: 'kill', host: 0},
				{at: 110, forMs: 0, kind: 'reset-requests', host: 3, noticeMs: 300},
			],
		},
	},
	{
		cause:
			'a previous holder that did not know of its successor was asked to stop other copies of a job',
		plan: {
			jobs: [{at: 2163, host: 1, tasks: 1, runMs: 600, allowanceMs: 1000}],
			faults: [
				{at: 1800, forMs: 4000, kind: 'hand-over'},
				{at: 1805, forMs: 700, kind: 'cut', host: 0, peer: 1},
				{at: 1805, forMs: 700, kind: 'cut', host: 2, peer: 1},
				{at: 2166, forMs: 0, kind: 'reset-requests', host: 1, noticeMs: 200},
			],
		},
	},
];

for (const {cause, plan} of brokenOnce) {
	test(`all invariants hold when ${cause}`, async () => {
		assert.deepEqual(await playPlan(plan), []);
	});
}
