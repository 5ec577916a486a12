/**
No task runs twice at a time, whatever is lost, late, frozen, killed or cut off together: the real entries, schedulers, sessions,
holdings and handlers of four hosts on a virtual clock, with plans of jobs and faults drawn by fast-check.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {faultPlans, type FaultPlan} from './fault-plan.fixture.js';
import {playPlan} from './play-plan.fixture.js';
import {playPlans} from './play-plans.fixture.js';

// Played before the tests begin: within a test the runner follows each promise, which takes three times as long.
const played = await playPlans(faultPlans);

// When a promise is broken, the plan is made as small as it can be and printed.
test('no plan of faults makes a task run twice, a refusal untrue or an answer partial', () => {
	assert.ok(!played.failed, fc.defaultReportMessage(played));
});

/** Plans that once broke a promise, each with what went wrong. */
const brokenOnce: ReadonlyArray<{cause: string; plan: FaultPlan}> = [
	{
		cause: 'the word to drop a job was lost with the connection to its holder',
		plan: {
			jobs: [
				{at: 0, host: 1, tasks: 1, runMs: 2500, allowanceMs: 1000},
				{at: 201, host: 1, tasks: 1, runMs: 60, allowanceMs: 1000},
			],
			faults: [{at: 150, forMs: 351, kind: 'cut', host: 0, peer: 1}],
		},
	},
	{
		cause:
			'a new holder acted on the first line of a report that its first look had missed',
		plan: {
			jobs: [
				{at: 562, host: 1, tasks: 1, runMs: 1500, allowanceMs: 1000},
				{at: 504, host: 0, tasks: 1, runMs: 60, allowanceMs: 1000},
			],
			faults: [
				{at: 800, forMs: 753, kind: 'hand-over'},
				{
					at: 0,
					forMs: 1563,
					kind: 'orders',
					executor: 1,
					how: 'lost',
					every: 3,
					lateMs: 200,
				},
			],
		},
	},
	{
		cause: 'an executor was silent in the moment after its group changed hands',
		plan: {
			jobs: [{at: 0, host: 0, tasks: 2, runMs: 2500, allowanceMs: 1000}],
			faults: [
				{at: 800, forMs: 753, kind: 'hand-over'},
				{at: 1600, forMs: 53, kind: 'plan-stop', host: 1},
				{at: 1600, forMs: 63, kind: 'silence', executor: 0},
			],
		},
	},
	{
		cause:
			'a holder that woke up took the word of an entry that had given up on it for one that had waited',
		plan: {
			jobs: [
				{at: 0, host: 2, tasks: 1, runMs: 2500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 2500, allowanceMs: 60},
				{at: 1600, host: 3, tasks: 3, runMs: 1500, allowanceMs: 60},
			],
			faults: [
				{at: 2405, forMs: 1896, kind: 'freeze', host: 0},
				{at: 0, forMs: 1331, kind: 'silence', executor: 2},
				{at: 0, forMs: 50, kind: 'kill', host: 0},
				{at: 890, forMs: 411, kind: 'hand-over'},
			],
		},
	},
	{
		cause:
			'words for other jobs reached a holder that the entry counted as silent',
		plan: {
			jobs: [
				{at: 0, host: 1, tasks: 1, runMs: 2200, allowanceMs: 1000},
				...Array.from({length: 15}, (_, i) => ({
					at: 150 * (i + 1),
					host: 1,
					tasks: 1,
					runMs: 60,
					allowanceMs: 60,
					isOnNewConnection: true,
				})),
			],
			faults: [{at: 10, forMs: 3000, kind: 'hold-up', host: 0, peer: 1}],
		},
	},
	{
		cause:
			'a holder whose machine was suspended took what entries had granted it before for fresh',
		plan: {
			jobs: [{at: 0, host: 1, tasks: 1, runMs: 2500, allowanceMs: 60}],
			faults: [{at: 0, forMs: 901, kind: 'suspend', host: 0}],
		},
	},
];

for (const {cause, plan} of brokenOnce) {
	test(`promises hold where ${cause}`, async () => {
		assert.deepEqual(await playPlan(plan), []);
	});
}
