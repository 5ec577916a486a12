/**
No task runs twice at a time, whatever combination of messages and hosts is lost, late, frozen, killed or cut off. Four hosts run the
production code of entry hosts, schedulers, executor sessions, takeovers and message handlers on a virtual clock, under plans of jobs
and faults that fast-check generates at random.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {faultPlans, type FaultPlan} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(faultPlans);

// If an invariant is violated, the plan is shrunk as far as possible and printed.
test('no plan of faults makes a task run twice at a time, a refused job run, or an incomplete job count as completed', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

/** Plans that once violated an invariant, each with the situation that led to it. */
const regressions: ReadonlyArray<{situation: string; plan: FaultPlan}> = [
	{
		situation:
			'the message to drop a job was lost with the connection to the holder',
		plan: {
			jobs: [
				{at: 0, host: 1, tasks: 1, runMs: 2500, allowanceMs: 1000},
				{at: 201, host: 1, tasks: 1, runMs: 60, allowanceMs: 1000},
			],
			faults: [{at: 150, durationMs: 351, kind: 'cut', host: 0, peer: 1}],
		},
	},
	{
		situation:
			'a new holder, whose first query of an executor was lost, acted on the first line of the later report alone',
		plan: {
			jobs: [
				{at: 562, host: 1, tasks: 1, runMs: 1500, allowanceMs: 1000},
				{at: 504, host: 0, tasks: 1, runMs: 60, allowanceMs: 1000},
			],
			faults: [
				{at: 800, durationMs: 753, kind: 'hand-over'},
				{
					at: 0,
					durationMs: 1563,
					kind: 'faulty-calls',
					executor: 1,
					how: 'lost',
					every: 3,
					lateMs: 200,
				},
			],
		},
	},
	{
		situation:
			'an executor was silent right after its group had changed holders',
		plan: {
			jobs: [{at: 0, host: 0, tasks: 2, runMs: 2500, allowanceMs: 1000}],
			faults: [
				{at: 800, durationMs: 753, kind: 'hand-over'},
				{at: 1600, durationMs: 53, kind: 'graceful-stop', host: 1},
				{at: 1600, durationMs: 63, kind: 'silence', executor: 0},
			],
		},
	},
	{
		situation:
			'a holder that resumed after a freeze treated an entry host that had given up on it as one that had kept waiting',
		plan: {
			jobs: [
				{at: 0, host: 2, tasks: 1, runMs: 2500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 2500, allowanceMs: 60},
				{at: 1600, host: 3, tasks: 3, runMs: 1500, allowanceMs: 60},
			],
			faults: [
				{at: 2405, durationMs: 1896, kind: 'freeze', host: 0},
				{at: 0, durationMs: 1331, kind: 'silence', executor: 2},
				{at: 0, durationMs: 50, kind: 'kill', host: 0},
				{at: 890, durationMs: 411, kind: 'hand-over'},
			],
		},
	},
	{
		situation:
			'messages for other jobs reached a holder that the entry host considered silent',
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
			faults: [
				{at: 10, durationMs: 3000, kind: 'delay-messages', host: 0, peer: 1},
			],
		},
	},
	{
		situation:
			'an executor was silent while its group changed holders, and the first entry host of a job had given its copy up',
		plan: {
			jobs: [
				{
					at: 0,
					host: 0,
					tasks: 1,
					runMs: 60,
					allowanceMs: 60,
					isOnNewConnection: false,
					crashAfterMs: 500,
				},
				{
					at: 59,
					host: 1,
					tasks: 1,
					runMs: 1500,
					allowanceMs: 60,
					isOnNewConnection: false,
				},
			],
			faults: [
				{
					at: 800,
					durationMs: 400,
					kind: 'faulty-calls',
					executor: 0,
					how: 'lost',
					every: 1,
					lateMs: 200,
				},
				{at: 803, durationMs: 50, kind: 'hand-over'},
				{
					at: 790,
					durationMs: 9,
					kind: 'reset-resend-at-once',
					host: 1,
					noticeDelayMs: 0,
				},
			],
			restartDelayMs: 500,
		},
	},
	{
		situation:
			'a holder whose machine was suspended treated claims that entry hosts had renewed before as fresh',
		plan: {
			jobs: [{at: 0, host: 1, tasks: 1, runMs: 2500, allowanceMs: 60}],
			faults: [{at: 0, durationMs: 901, kind: 'suspend', host: 0}],
		},
	},
	{
		situation:
			'a holder without the store went on using an executor whose registration had lapsed for all others',
		plan: {
			jobs: [{at: 6500, host: 1, tasks: 1, runMs: 2500, allowanceMs: 1000}],
			faults: [
				{at: 1400, durationMs: 9000, kind: 'unlist', executor: 0},
				{at: 3100, durationMs: 5000, kind: 'store', host: 0, how: 'refuses'},
			],
		},
	},
];

for (const {situation, plan} of regressions) {
	test(`all invariants hold when ${situation}`, async () => {
		assert.deepEqual(await runPlan(plan), []);
	});
}
