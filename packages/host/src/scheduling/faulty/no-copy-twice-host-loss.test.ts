/**
No task runs in two copies of its job at a time when hosts die, or lose the connection to each other, while callers send jobs again at
once. Random plans as in `no-copy-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {hostLossPlans, type FaultPlan} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

/** Plans in which hosts die take longer than others; a test file may take two minutes while other work runs on the machine. */
const planCount = 800;
// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(hostLossPlans, planCount);

// Guards against a copy that is placed although another copy may run, and no scheduler that can be reached knows whether it does.
test('no task runs twice at a time when the callers of lost hosts send their jobs again at once', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

/** Plans that once violated an invariant, each with the situation that led to it. */
const regressions: ReadonlyArray<{situation: string; plan: FaultPlan}> = [
	{
		situation:
			'a job was recalled from an entry host that was itself waiting for another copy to end',
		plan: {
			jobs: [
				{at: 0, host: 2, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
			],
			faults: [
				{
					at: 1092,
					durationMs: 0,
					kind: 'reset-resend-at-once',
					host: 3,
					noticeDelayMs: 0,
				},
				{at: 800, durationMs: 400, kind: 'kill-resend-at-once', host: 2},
			],
		},
	},
	{
		situation:
			'an entry host died while the next entry host could not reach the holder',
		plan: {
			jobs: [{at: 0, host: 0, tasks: 1, runMs: 1500, allowanceMs: 60}],
			faults: [
				{at: 1600, durationMs: 400, kind: 'kill-resend-at-once', host: 1},
				{at: 1600, durationMs: 400, kind: 'cut', host: 2, peer: 0},
				{
					at: 542,
					durationMs: 0,
					kind: 'reset-resend-at-once',
					host: 0,
					noticeDelayMs: 10,
				},
			],
		},
	},
	{
		situation:
			'an entry host died long after the next entry host had been cut off from the holder',
		plan: {
			jobs: [{at: 0, host: 0, tasks: 1, runMs: 1500, allowanceMs: 60}],
			faults: [
				{at: 2400, durationMs: 400, kind: 'kill-resend-at-once', host: 1},
				{at: 1600, durationMs: 950, kind: 'cut', host: 2, peer: 0},
				{
					at: 1039,
					durationMs: 0,
					kind: 'reset-resend-at-once',
					host: 0,
					noticeDelayMs: 0,
				},
			],
		},
	},
	{
		situation:
			'an entry host that had just started knew neither the group nor the other copy',
		plan: {
			jobs: [
				{at: 0, host: 2, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
			],
			faults: [
				{
					at: 800,
					durationMs: 12,
					kind: 'reset-resend-at-once',
					host: 2,
					noticeDelayMs: 0,
				},
				{at: 800, durationMs: 50, kind: 'silence', executor: 2},
				{at: 0, durationMs: 800, kind: 'kill-resend-at-once', host: 3},
			],
		},
	},
	{
		situation:
			'no host had a connection to the first entry host when its copy was asked for',
		plan: {
			jobs: [
				{at: 0, host: 2, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
			],
			faults: [
				{at: 0, durationMs: 800, kind: 'cut', host: 2, peer: 3},
				{
					at: 800,
					durationMs: 12,
					kind: 'reset-resend-at-once',
					host: 2,
					noticeDelayMs: 0,
				},
				{at: 800, durationMs: 50, kind: 'silence', executor: 2},
				{at: 0, durationMs: 400, kind: 'kill-resend-at-once', host: 0},
			],
		},
	},
	{
		situation:
			'a re-established connection made a host forget a holder that had died',
		plan: {
			jobs: [
				{at: 0, host: 2, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
			],
			faults: [
				{at: 0, durationMs: 400, kind: 'kill-resend-at-once', host: 2},
				{
					at: 301,
					durationMs: 0,
					kind: 'reset-resend-at-once',
					host: 0,
					noticeDelayMs: 0,
				},
				{
					at: 0,
					durationMs: 0,
					kind: 'reset-resend-at-once',
					host: 0,
					noticeDelayMs: 0,
				},
			],
		},
	},
	{
		situation:
			'an entry host that had just started did not know of a holder that had died',
		plan: {
			jobs: [
				{at: 0, host: 0, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 0, tasks: 1, runMs: 60, allowanceMs: 60},
			],
			faults: [
				{at: 800, durationMs: 50, kind: 'kill-resend-at-once', host: 0},
				{at: 0, durationMs: 799, kind: 'cut', host: 1, peer: 0},
				{at: 0, durationMs: 50, kind: 'kill-resend-at-once', host: 1},
			],
		},
	},
	{
		situation:
			'an entry host accepted a job again after its message to drop the earlier copy was lost',
		plan: {
			jobs: [
				{at: 1801, host: 1, tasks: 1, runMs: 60, allowanceMs: 1000},
				{at: 0, host: 1, tasks: 2, runMs: 1500, allowanceMs: 60},
				{
					at: 1798,
					host: 1,
					tasks: 4,
					runMs: 600,
					allowanceMs: 60,
					isOnNewConnection: true,
				},
			],
			faults: [
				{
					at: 2387,
					durationMs: 12,
					kind: 'reset-resend-at-once',
					host: 2,
					noticeDelayMs: 0,
				},
				{at: 800, durationMs: 1001, kind: 'kill-resend-at-once', host: 1},
			],
		},
	},
	{
		situation:
			'an entry host died whose tasks were at a later holder than the one that the next entry host knew',
		plan: {
			jobs: [
				{at: 0, host: 3, tasks: 1, runMs: 1500, allowanceMs: 60},
				{at: 0, host: 2, tasks: 2, runMs: 60, allowanceMs: 60},
				{at: 4, host: 0, tasks: 4, runMs: 600, allowanceMs: 60},
			],
			faults: [
				{at: 1600, durationMs: 898, kind: 'cut', host: 0, peer: 1},
				{
					at: 693,
					durationMs: 0,
					kind: 'reset-resend-at-once',
					host: 1,
					noticeDelayMs: 0,
				},
				{at: 2400, durationMs: 50, kind: 'kill-resend-at-once', host: 3},
				{
					at: 656,
					durationMs: 0,
					kind: 'reset-resend-at-once',
					host: 0,
					noticeDelayMs: 0,
				},
			],
		},
	},
];

for (const {situation, plan} of regressions) {
	test(`all invariants hold when ${situation}`, async () => {
		assert.deepEqual(await runPlan(plan), []);
	});
}
