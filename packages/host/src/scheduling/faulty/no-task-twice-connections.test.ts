/**
No task runs twice at a time where a single connection between two hosts holds messages up or falls silent, while the others
between them go on: a holder's state and the ends that it tells take different ones. Real hosts on a virtual clock.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {connectionPlans} from './fault-plan.fixture.js';
import {playPlan} from './play-plan.fixture.js';
import {playPlans} from './play-plans.fixture.js';

const planCount = 600;
// Played before the tests begin: within a test the runner follows each promise, which takes three times as long.
const played = await playPlans(connectionPlans, planCount);

// Guards against words that come in another order than they were said.
test('no task runs twice when single connections hold messages up', () => {
	assert.ok(!played.failed, fc.defaultReportMessage(played));
});

// Guards against a task that is placed elsewhere for a former holding's word, on a host that has the group again and runs the task.
test('a task that an earlier holding gave back is not placed beside its run under a later holding of the same host', async () => {
	const broken = await playPlan({
		jobs: [
			{at: 100, host: 0, tasks: 4, runMs: 600, allowanceMs: 1000},
			{at: 100, host: 3, tasks: 2, runMs: 60, allowanceMs: 1000},
			{at: 100, host: 3, tasks: 1, runMs: 1500, allowanceMs: 1000},
		],
		faults: [
			{
				at: 0,
				forMs: 2450,
				kind: 'hold-up-connection',
				host: 3,
				peer: 0,
				way: 'answered',
			},
			{at: 350, forMs: 1800, kind: 'hand-over'},
			{at: 2300, forMs: 1500, kind: 'hand-over'},
		],
	});
	assert.deepEqual(broken, []);
});
