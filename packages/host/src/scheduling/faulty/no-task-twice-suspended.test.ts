/**
No task runs twice at a time where machines are suspended: their steady clocks don't count that time, so what they hold
looks as fresh afterwards as it was before. Real hosts on a virtual clock, as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {suspendPlans, type FaultPlan} from './fault-plan.fixture.js';
import {playPlan} from './play-plan.fixture.js';
import {playPlans} from './play-plans.fixture.js';

const planCount = 600;
// Played before the tests begin: within a test the runner follows each promise, which takes three times as long.
const played = await playPlans(suspendPlans, planCount);

// Guards against claims and leases that are reckoned on a clock which stands still while others wait for their end.
test('no task runs twice when machines are suspended', () => {
	assert.ok(!played.failed, fc.defaultReportMessage(played));
});

const plans: ReadonlyArray<{guardsAgainst: string; plan: FaultPlan}> = [
	{
		guardsAgainst:
			'a holder that starts a task anew after its suspension, and its entry that moves the task by its own clock',
		plan: {
			jobs: [
				{at: 1400, host: 1, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 2, runMs: 2500, allowanceMs: 60},
			],
			faults: [{at: 2400, forMs: 901, kind: 'suspend', host: 0}],
		},
	},
	{
		guardsAgainst:
			'the same where nobody else can take the group, however long the suspension',
		plan: {
			jobs: [{at: 100, host: 1, tasks: 6, runMs: 1500, allowanceMs: 1000}],
			faults: [
				{at: 0, forMs: 6000, kind: 'kill', host: 3},
				{at: 150, forMs: 2000, kind: 'suspend', host: 2},
			],
		},
	},
	{
		guardsAgainst:
			'a run that outlives its entry by the time that its scheduler was suspended, while the caller has come again',
		plan: {
			jobs: [
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
				{at: 0, host: 0, tasks: 3, runMs: 60, allowanceMs: 60},
				{at: 0, host: 0, tasks: 3, runMs: 2500, allowanceMs: 60},
			],
			faults: [
				{at: 1600, forMs: 600, kind: 'suspend', host: 0},
				{at: 1600, forMs: 400, kind: 'kill', host: 1},
				{at: 0, forMs: 400, kind: 'unlist', executor: 0},
			],
		},
	},
	{
		guardsAgainst:
			'an entry on the holder’s own host that renews its claims after a freeze, before it has read that the caller has left',
		plan: {
			jobs: [{at: 100, host: 0, tasks: 1, runMs: 1500, allowanceMs: 1000}],
			faults: [
				{at: 0, forMs: 6000, kind: 'kill', host: 1},
				{at: 150, forMs: 1700, kind: 'freeze', host: 0},
				{at: 160, forMs: 50, kind: 'reset-callers', host: 0, noticeMs: 1695},
			],
		},
	},
];

for (const {guardsAgainst, plan} of plans) {
	// Guards against what its name says.
	test(`no task runs twice: ${guardsAgainst}`, async () => {
		assert.deepEqual(await playPlan(plan), []);
	});
}
