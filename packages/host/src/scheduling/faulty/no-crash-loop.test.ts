/**
A task that crashes every executor that runs it is not started over and over, and jobs beside it are not blamed. Random plans as in
`no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {executorCrashPlans, crashOnlyPlans} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(executorCrashPlans, 300);
const crashOnlyResult = await checkPlans(crashOnlyPlans, 200);

// Guards against takeovers, jobs that move to another holder, and callers that send again, each of which could start such a task anew.
test('no task is started more than twice after three executors have crashed under it', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

// Guards against blaming jobs that ran beside the task that crashed the executor.
test('no job is blamed because it runs beside a job that crashes executors', () => {
	assert.ok(!crashOnlyResult.failed, fc.defaultReportMessage(crashOnlyResult));
});

// Guards against a previous holder that starts tasks on an executor which came after its successor had listed the executors.
test('a holder that learns of its successor starts no further task', async () => {
	const violations = await runPlan({
		jobs: [
			{
				at: 271,
				host: 1,
				tasks: 3,
				runMs: 1500,
				allowanceMs: 60,
				crashAfterMs: 5,
			},
			{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60, crashAfterMs: 500},
		],
		faults: [{at: 217, durationMs: 1336, kind: 'hand-over'}],
		restartDelayMs: 1290,
	});
	assert.deepEqual(violations, []);
});

// Guards against crashes that no holder counts because the group changes holders before they are recognised as crashes.
test('silent executors are reported when a group changes holders', async () => {
	const violations = await runPlan({
		jobs: [
			{
				at: 779,
				host: 1,
				tasks: 1,
				runMs: 600,
				allowanceMs: 60,
				crashAfterMs: 50,
			},
		],
		faults: [
			{at: 1600, durationMs: 1603, kind: 'hand-over'},
			{at: 2400, durationMs: 453, kind: 'hand-over'},
		],
		restartDelayMs: 508,
	});
	assert.deepEqual(violations, []);
});

// Guards against blaming a long job that ran on two executors which crashed under others.
test('a long job is not blamed because two others crash executors beside it', async () => {
	const violations = await runPlan({
		jobs: [
			{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60, crashAfterMs: 5},
			{
				at: 0,
				host: 0,
				tasks: 1,
				runMs: 1500,
				allowanceMs: 60,
				isOnNewConnection: true,
				crashAfterMs: 500,
			},
			{at: 0, host: 1, tasks: 3, runMs: 2500, allowanceMs: 60},
		],
		faults: [{at: 0, durationMs: 50, kind: 'cut', host: 2, peer: 0}],
		restartDelayMs: 500,
	});
	assert.deepEqual(violations, []);
});
