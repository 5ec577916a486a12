/**
A renewal of the lease that was sent to one process of an executor is carried out late by the next process, whose clock has begun
anew. Random plans as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {lateRenewalPlans} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

const mayBeBlamed = true;

// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(lateRenewalPlans, 300, {mayBeBlamed});

// Guards against placing a task elsewhere when its executor is silent, while the lease that it runs under was extended late.
test('no task runs twice at a time when the next process of an executor carries out renewals late', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

// Guards against the same, in its simplest form: a renewal with 500 ms of delay extends the lease of the next process to 1,000 ms
// after it arrives, and the holder, which had no answer to it, reckons the lease from its own last renewal.
test('a run under a lease that a renewal to the former process has extended is not placed elsewhere', async () => {
	const violations = await runPlan(
		{
			jobs: [
				{at: 300, host: 0, tasks: 1, runMs: 500, allowanceMs: 60},
				{at: 1117, host: 0, tasks: 1, runMs: 1500, allowanceMs: 60},
			],
			faults: [
				{
					at: 640,
					durationMs: 476,
					kind: 'faulty-calls',
					executor: 0,
					how: 'late',
					every: 2,
					lateMs: 500,
					only: 'renewal',
				},
				{
					at: 751,
					durationMs: 20,
					kind: 'restart',
					executor: 0,
					leadMs: 0,
					lateMs: 0,
					registeredAfterMs: 1400,
					hasLateRegistration: false,
					clockMs: 0,
				},
				{at: 1318, durationMs: 1021, kind: 'silence', executor: 0},
			],
			holdMaxMs: 1000,
			hasBorn: true,
		},
		{mayBeBlamed},
	);
	assert.deepEqual(violations, []);
});

// Guards against the same across a change of holders: the new holder can't reach the executor, and waits for the leases that its
// predecessor had renewed, but not for one that a late renewal extends.
test('a run under a lease that a late renewal of the former holder has extended is not placed elsewhere', async () => {
	const violations = await runPlan(
		{
			jobs: [
				{at: 400, host: 0, tasks: 1, runMs: 200, allowanceMs: 60},
				{at: 1000, host: 0, tasks: 1, runMs: 1500, allowanceMs: 60},
			],
			faults: [
				{
					at: 500,
					durationMs: 0,
					kind: 'restart',
					executor: 0,
					leadMs: 0,
					lateMs: 0,
					registeredAfterMs: 0,
					hasLateRegistration: false,
					clockMs: 0,
				},
				{
					at: 800,
					durationMs: 102,
					kind: 'faulty-calls',
					executor: 0,
					how: 'late',
					every: 1,
					lateMs: 400,
					only: 'renewal',
				},
				{at: 1049, durationMs: 100, kind: 'hand-over'},
				{at: 1100, durationMs: 1100, kind: 'silence', executor: 0},
			],
			holdMaxMs: 1000,
			hasBorn: true,
		},
		{mayBeBlamed},
	);
	assert.deepEqual(violations, []);
});

// Guards against the same where the start is accepted right after the restart, before the former holder's first call there is answered:
// nothing tells its late renewal from one to this process, and the lease that it extends outlasts what its successor waits for.
test('a run on a process that the former holder has not reached is not placed elsewhere while a late renewal extends its lease', async () => {
	for (const lateMs of [900, 1000, 1100]) {
		for (const restartAt of [945, 960, 975, 990, 1005, 1020]) {
			const violations = await runPlan(
				{
					jobs: [
						{at: 600, host: 0, tasks: 1, runMs: 1500, allowanceMs: 60},
						{
							at: restartAt + 5,
							host: 0,
							tasks: 3,
							runMs: 2500,
							allowanceMs: 60,
						},
					],
					faults: [
						{
							at: restartAt,
							durationMs: 0,
							kind: 'restart',
							executor: 0,
							leadMs: 0,
							lateMs: 0,
							registeredAfterMs: 0,
							hasLateRegistration: false,
							clockMs: 0,
						},
						{
							at: 820,
							durationMs: 240,
							kind: 'faulty-calls',
							executor: 0,
							how: 'late',
							every: 1,
							lateMs,
							only: 'renewal',
						},
						{at: 1049, durationMs: 100, kind: 'hand-over'},
						{at: 1060, durationMs: 3000, kind: 'silence', executor: 0},
					],
					holdMaxMs: 1000,
					hasBorn: true,
				},
				{mayBeBlamed},
			);
			assert.deepEqual(violations, [], `${lateMs} ${restartAt}`);
		}
	}
});

// Guards against the same where the new holder does not know of the restart either: the store has yet to list the new process as the
// former holder's leases pass.
test('a run on a process that neither the former holder has reached nor the store lists is not placed elsewhere', async () => {
	const violations = await runPlan(
		{
			jobs: [
				{at: 600, host: 0, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 950, host: 0, tasks: 3, runMs: 2500, allowanceMs: 60},
			],
			faults: [
				{
					at: 945,
					durationMs: 0,
					kind: 'restart',
					executor: 0,
					leadMs: 0,
					lateMs: 0,
					registeredAfterMs: 1400,
					hasLateRegistration: false,
					clockMs: 0,
				},
				{
					at: 820,
					durationMs: 240,
					kind: 'faulty-calls',
					executor: 0,
					how: 'late',
					every: 1,
					lateMs: 900,
					only: 'renewal',
				},
				{at: 1049, durationMs: 100, kind: 'hand-over'},
				{at: 1060, durationMs: 3000, kind: 'silence', executor: 0},
			],
			holdMaxMs: 1000,
			hasBorn: true,
		},
		{mayBeBlamed},
	);
	assert.deepEqual(violations, []);
});
