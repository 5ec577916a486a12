/**
No task runs twice at a time when one connection between two hosts delays messages or goes silent, while the other works. A holder
sends its state over the connection that it opened, and the ends of tasks over the one that the entry host opened. Random plans as in
`no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {connectionFaultPlans} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

const planCount = 600;
// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(connectionFaultPlans, planCount);

// Guards against messages that arrive in another order than they were sent in.
test('no task runs twice at a time when single connections delay messages', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

// A host loses its group, takes it again and runs the task; then its message from the first term, which returned the task, arrives late.
// The entry host must not act on it by placing the task elsewhere.
test('a task that a holder returned in an earlier term is not placed elsewhere while the same host runs it in a later term', async () => {
	const violations = await runPlan({
		jobs: [
			{at: 100, host: 0, tasks: 4, runMs: 600, allowanceMs: 1000},
			{at: 100, host: 3, tasks: 2, runMs: 60, allowanceMs: 1000},
			{at: 100, host: 3, tasks: 1, runMs: 1500, allowanceMs: 1000},
		],
		faults: [
			{
				at: 0,
				durationMs: 2450,
				kind: 'delay-connection',
				host: 3,
				peer: 0,
				direction: 'answered',
			},
			{at: 350, durationMs: 1800, kind: 'hand-over'},
			{at: 2300, durationMs: 1500, kind: 'hand-over'},
		],
	});
	assert.deepEqual(violations, []);
});
