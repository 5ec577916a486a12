/**
No job is refused of which a task has run, or runs later, when its entry withdraws its tasks. Random plans as in `no-task-twice`, with more
work than the executors can end in time, so that jobs are withdrawn while messages are late and executors become free.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {withdrawalPlans} from './fault-plan.fixture.js';
import {checkPlans} from './check-plans.fixture.js';

const planCount = 300;
const outcomes = new Map<string, number>();
// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const result = await checkPlans(withdrawalPlans, planCount, {
	log(line) {
		const outcome =
			/tasks were withdrawn \{.*"outcome":"(?<outcome>\w+)"/v.exec(line)?.groups
				?.outcome;
		if (outcome !== undefined) {
			outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
		}
	},
});

// Guards against a holder that starts a task after it has returned it, and an entry that takes a missing answer for a return: the
// caller was told that nothing has run, and would submit the job again.
test('no job is refused although a task of it ran', () => {
	assert.ok(!result.failed, fc.defaultReportMessage(result));
});

// Guards against plans in which no withdrawal takes place.
test('the plans have withdrawals that are answered, and others that are not', () => {
	for (const outcome of ['returned', 'started', 'unanswered']) {
		assert.ok(outcomes.has(outcome), outcome);
	}
});
