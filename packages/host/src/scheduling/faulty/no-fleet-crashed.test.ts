/**
Tasks that crash each executor that starts them, beside sound ones: drawn plans over real hosts on a virtual clock, as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {crashPlans, plainCrashPlans} from './fault-plan.fixture.js';
import {playPlan} from './play-plan.fixture.js';
import {playPlans} from './play-plans.fixture.js';

// Played before the tests begin: within a test the runner follows each promise, which takes three times as long.
const played = await playPlans(crashPlans, 300);
const playedPlain = await playPlans(plainCrashPlans, 200);

// Guards against a crashing task that is started over and over by way of takeovers, moved parts and callers that come again.
test('no task is started three times more after three executors have crashed under it', () => {
	assert.ok(!played.failed, fc.defaultReportMessage(played));
});

// Guards against sound jobs that are taken for the one that crashes their executors.
test('no sound job fails beside one that crashes its executors', () => {
	assert.ok(!playedPlain.failed, fc.defaultReportMessage(playedPlain));
});

// Guards against a former holder that starts tasks on an executor that came after its successor had listed them.
test('a holder that hears of its successor starts nothing more', async () => {
	const broken = await playPlan({
		jobs: [
			{
				at: 271,
				host: 1,
				tasks: 3,
				runMs: 1500,
				allowanceMs: 60,
				crashMs: 5,
			},
			{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60, crashMs: 500},
		],
		faults: [{at: 217, forMs: 1336, kind: 'hand-over'}],
		backMs: 1290,
	});
	assert.deepEqual(broken, []);
});

// Guards against crashes that count for nobody as their group changes hands before they are known.
test('silent executors are told of as a group changes hands', async () => {
	const broken = await playPlan({
		jobs: [
			{at: 779, host: 1, tasks: 1, runMs: 600, allowanceMs: 60, crashMs: 50},
		],
		faults: [
			{at: 1600, forMs: 1603, kind: 'hand-over'},
			{at: 2400, forMs: 453, kind: 'hand-over'},
		],
		backMs: 508,
	});
	assert.deepEqual(broken, []);
});
