/**
No task runs in two copies of its job at a time, where callers whose connection breaks under their request send it again at once:
drawn plans over real hosts on a virtual clock, as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {resendPlans, type FaultPlan} from './fault-plan.fixture.js';
import {playPlan} from './play-plan.fixture.js';
import {playPlans} from './play-plans.fixture.js';

// Played before the tests begin: within a test the runner follows each promise, which takes three times as long.
const played = await playPlans(resendPlans);

// Guards against two copies of a job at two entries that hand its tasks to two groups at the same time.
test('no task runs twice when callers whose connection breaks send again at once', () => {
	assert.ok(!played.failed, fc.defaultReportMessage(played));
});

/** Plans that once broke a promise, each with what went wrong. */
const brokenOnce: ReadonlyArray<{cause: string; plan: FaultPlan}> = [
	{
		cause:
			'two entries handed the copies of a job to two groups, as its caller sent it again at once',
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
			'a group counted as out of reach although the connection to its holder was back',
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
			'a new holder started an earlier copy that only the former one knew to be replaced',
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
		cause: 'a holder died just before it was asked for other copies',
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
			'a holder that did not know its successor was asked for other copies',
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
	test(`promises hold where ${cause}`, async () => {
		assert.deepEqual(await playPlan(plan), []);
	});
}
