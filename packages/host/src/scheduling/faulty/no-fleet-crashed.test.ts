/**
Tasks that crash each executor that starts them, beside sound ones: drawn plans over real hosts on a virtual clock, as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {crashPlans, plainCrashPlans} from './fault-plan.fixture.js';
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
