/**
Calls to executors that restart under their ids take time, and their answers overtake one another. Random plans as in
`no-task-twice-unattributed`, under each reading of what the platform's page leaves open.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {overtakingAnswerPlans} from './fault-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

// Runs before the test starts: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(overtakingAnswerPlans, 300, {
	mayBeBlamed: true,
});

// Guards against an answer to a start that is attributed to the wrong process because it comes after a list of the next one, and
// against a list asked for before a start that is taken as proof that the run is lost.
test('no task runs twice at a time when answers of executors that restart overtake one another', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});
