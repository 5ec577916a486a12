/**
No start brings an executor that doesn't guard its capacity over it, whatever is lost, late, frozen or killed while capacity shrinks
and grows.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {shrinkPlans} from './fault-plan.fixture.js';
import {playPlans} from './play-plans.fixture.js';

// Played before the test begins: within a test the runner follows each promise, which takes three times as long.
const played = await playPlans(shrinkPlans, 400);

// Guards against starts over a capacity that has shrunk, beside runs that are being stopped, or beside runs of an earlier holder.
test('no plan of faults and changing room brings an executor over its capacity', () => {
	assert.ok(!played.failed, fc.defaultReportMessage(played));
});
