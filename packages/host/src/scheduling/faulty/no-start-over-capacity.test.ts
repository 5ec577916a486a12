/**
No start brings an executor that doesn't guard its capacity over it, whatever is lost, late, frozen or killed while capacity shrinks
and grows.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {shrinkPlans, type FaultPlan} from './fault-plan.fixture.js';
import {playPlan} from './play-plan.fixture.js';
import {playPlans} from './play-plans.fixture.js';

// Played before the test begins: within a test the runner follows each promise, which takes three times as long.
const played = await playPlans(shrinkPlans, 400);

// Guards against starts over a capacity that has shrunk, beside runs that are being stopped, or beside runs of an earlier holder.
test('no plan of faults and changing room brings an executor over its capacity', () => {
	assert.ok(!played.failed, fc.defaultReportMessage(played));
});

const lateJob: FaultPlan = {
	jobs: [
		{at: 5963, host: 0, tasks: 2, runMs: 2500, allowanceMs: 60, cpu: 3000},
	],
	faults: [{at: 0, forMs: 100, kind: 'shrink', executor: 0, share: 0}],
};

// Guards against a play that ends before the callers of late jobs are answered.
test('promises hold where a job comes long after the last fault', async () => {
	assert.deepEqual(await playPlan(lateJob), []);
});
