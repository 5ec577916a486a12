/**
No task runs twice at a time when hosts that were cut off from all others are back, while callers reached them all the time. Random plans
as in `no-task-twice`.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {healPlans, lateReadPlans} from './fault-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Run before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(healPlans, 120);
const lateResult = await checkPlans(lateReadPlans, 120);

// Guards against messages of before and during a cut that count as new at the heal, and against holders and entries that act on an old view.
test('no task runs twice at a time when a cut between hosts heals', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

// Guards against claims, copies and leases that outlive their time at a host that reads its connections late.
test('no task runs twice at a time when hosts read what they are sent late', () => {
	assert.ok(!lateResult.failed, fc.defaultReportMessage(lateResult));
});
