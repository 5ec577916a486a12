/**
A caller sends its job again as a cut ends in which a host and an executor went on together. The executor's registration has lapsed for
the group's next holder.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type FaultPlan, type PlannedFault} from './fault-plan.fixture.js';
import {runPlan} from './run-plan.fixture.js';

const cutMs = 5000;

function planCopy(fault: PlannedFault): FaultPlan {
	const at = 0;
	const durationMs = cutMs;
	return {
		jobs: [
			{at: cutMs - 100, host: 0, tasks: 1, runMs: 2500, allowanceMs: 1000},
		],
		faults: [
			...[1, 2, 3].map((peer): PlannedFault => ({
				at,
				durationMs,
				kind: 'cut',
				host: 0,
				peer,
			})),
			{at, durationMs, kind: 'store', host: 0, how: 'refuses'},
			{at, durationMs, kind: 'cut-executor', host: 0, executor: 1},
			{at, durationMs, kind: 'cut-executor', host: 1, executor: 0},
			{at, durationMs: cutMs + 1000, kind: 'unlist', executor: 0},
			fault,
		],
	};
}

// Guards against a holder that confirms that nothing of a job runs, while the former holder's run goes on on an executor that only that one
// reached during a cut.
for (const afterMs of [60, 200, 350]) {
	test(`a copy sent ${afterMs} ms after the end of a cut waits for the former holder's run`, async () => {
		const plan = planCopy({
			at: cutMs + afterMs,
			durationMs: 0,
			kind: 'reset-resend-at-once',
			host: 0,
			noticeDelayMs: 0,
		});
		assert.deepEqual(await runPlan(plan), []);
	});
	test(`the same ${afterMs} ms after the cut when the first entry dies`, async () => {
		const plan = planCopy({
			at: cutMs + afterMs,
			durationMs: 3000,
			kind: 'kill-resend-at-once',
			host: 0,
		});
		assert.deepEqual(await runPlan(plan), []);
	});
}
