/**
Executors restart under their ids, and the new processes carry out orders to the former ones seconds late. Random plans as in
`no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {restartPlans} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// With three executors, a task that runs whenever its executors restart is taken for the cause of these crashes, and its job is given
// up; how crashes are attributed is not what these plans are about.
const mayBeBlamed = true;

// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(restartPlans, 150, {mayBeBlamed});

// Guards against late starts that a new process carries out beside another run of the task, against runs of the former process
// that count as going on or as done, and against refusals of jobs that have run.
test('no task runs twice at a time, and no job counts as completed without its tasks, when executors restart under their ids', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

// Guards against placing a task elsewhere when the lease of a silent executor has passed, although its next process accepts the
// start that is still on its way.
test('a start on its way when executors restart is not carried out beside another run of its task', async () => {
	const restart = {
		kind: 'restart',
		hasLateRegistration: false,
		clockMs: 0,
	} as const;
	const violations = await runPlan(
		{
			jobs: [
				{at: 0, tasks: 1, runMs: 60, isOnNewConnection: false},
				{at: 1957, tasks: 3, runMs: 600, isOnNewConnection: false},
				{at: 3798, tasks: 3, runMs: 2500, isOnNewConnection: true},
				{at: 432, tasks: 3, runMs: 600, isOnNewConnection: true},
			].map((job) => ({...job, host: 0, allowanceMs: 60})),
			faults: [
				{
					...restart,
					at: 1957,
					durationMs: 1265,
					executor: 0,
					leadMs: 80,
					lateMs: 2987,
					registeredAfterMs: 1489,
				},
				{
					...restart,
					at: 3743,
					durationMs: 499,
					executor: 0,
					leadMs: 79,
					lateMs: 2045,
					registeredAfterMs: 835,
				},
				{
					...restart,
					at: 432,
					durationMs: 3250,
					executor: 1,
					leadMs: 65,
					lateMs: 2807,
					registeredAfterMs: 1375,
					hasLateRegistration: true,
				},
			],
			hasBorn: true,
		},
		{mayBeBlamed},
	);
	assert.deepEqual(violations, []);
});

// Guards against a late start that is carried out by a process that has answered its holder's renewals, because the executor leaves
// the stops of the attempt unanswered.
test('a start to a process two restarts ago is not carried out beside another run of its task when its stops have no answer', async () => {
	const restart = {
		kind: 'restart',
		executor: 0,
		lateMs: 2000,
		registeredAfterMs: 0,
		hasLateRegistration: false,
		clockMs: 0,
	} as const;
	const violations = await runPlan(
		{
			jobs: [
				{at: 0, host: 2, tasks: 3, runMs: 2500},
				{at: 2, host: 0, tasks: 1, runMs: 2500},
				{at: 0, host: 2, tasks: 3, runMs: 2500},
				{at: 1594, host: 0, tasks: 3, runMs: 600},
				{at: 0, host: 1, tasks: 3, runMs: 600},
				{at: 1861, host: 0, tasks: 3, runMs: 600},
			].map((job) => ({...job, allowanceMs: 60, isOnNewConnection: false})),
			faults: [
				{...restart, at: 0, durationMs: 20, leadMs: 0},
				{...restart, at: 1594, durationMs: 20, leadMs: 0},
				{...restart, at: 0, durationMs: 20, leadMs: 100},
				{...restart, at: 1860, durationMs: 1500, leadMs: 143},
			],
			hasBorn: true,
		},
		{mayBeBlamed},
	);
	assert.deepEqual(violations, []);
});

// Guards against a late start of the former holder at a process that its successor has never reached: the task is placed elsewhere as
// the former holder's leases have passed, and the start begins a run with a lease of its own.
test('a start of the former holder is not carried out beside another run of its task by a process that is out of reach', async () => {
	const restart = {
		kind: 'restart',
		lateMs: 2000,
		registeredAfterMs: 0,
		hasLateRegistration: false,
	} as const;
	const violations = await runPlan(
		{
			jobs: [
				{at: 225, host: 0, tasks: 1, runMs: 60, isOnNewConnection: false},
				{at: 211, host: 1, tasks: 3, runMs: 600, isOnNewConnection: true},
				{at: 3, host: 0, tasks: 3, runMs: 600, isOnNewConnection: false},
				{at: 433, host: 1, tasks: 3, runMs: 600, isOnNewConnection: false},
			].map((job) => ({...job, allowanceMs: 60})),
			faults: [
				{
					...restart,
					at: 211,
					durationMs: 352,
					executor: 1,
					leadMs: 28,
					clockMs: 0,
				},
				{...restart, at: 2, durationMs: 1500, executor: 0, leadMs: 25},
				{
					...restart,
					at: 433,
					durationMs: 20,
					executor: 0,
					leadMs: 0,
					clockMs: 0,
				},
				{at: 287, durationMs: 50, kind: 'hand-over'},
				{at: 616, durationMs: 1592, kind: 'silence', executor: 1},
			],
			hasBorn: true,
		},
		{mayBeBlamed},
	);
	assert.deepEqual(violations, []);
});

// Guards against two runs of a task whose late start reaches a process that has just restarted, after a change of holders.
test('a late start at an executor that restarts twice, with a change of holders between, runs beside no other run of its task', async () => {
	const restart = {
		kind: 'restart',
		executor: 1,
		clockMs: 0,
	} as const;
	const violations = await runPlan(
		{
			jobs: [
				{at: 1081, tasks: 3, runMs: 2500, isOnNewConnection: false},
				{at: 3999, tasks: 3, runMs: 600, isOnNewConnection: false},
				{at: 2055, tasks: 3, runMs: 600, isOnNewConnection: true},
			].map((job) => ({...job, host: 0, allowanceMs: 60})),
			faults: [
				{
					...restart,
					at: 3999,
					durationMs: 24,
					leadMs: 2,
					lateMs: 3076,
					registeredAfterMs: 261,
					hasLateRegistration: false,
				},
				{
					...restart,
					at: 2055,
					durationMs: 207,
					leadMs: 4,
					lateMs: 2125,
					registeredAfterMs: 13,
					hasLateRegistration: true,
				},
				{at: 3499, durationMs: 326, kind: 'hand-over'},
			],
			hasBorn: true,
		},
		{mayBeBlamed},
	);
	assert.deepEqual(violations, []);
});
