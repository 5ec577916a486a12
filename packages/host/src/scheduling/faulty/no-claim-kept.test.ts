/**
No task runs on where its entry has taken it away, whatever else reaches its former scheduler: drawn plans over real hosts on a virtual
clock, as in `no-task-twice`, in which messages are held up while hosts have much to say.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {heldUpPlans} from './fault-plan.fixture.js';
import {playPlans} from './play-plans.fixture.js';

const planCount = 600;
// Played before the tests begin: within a test the runner follows each promise, which takes three times as long.
const played = await playPlans(heldUpPlans, planCount);

// Guards against words for other jobs, or late ones, that keep a task alive at a holder which its entry has given up on.
test('no task runs twice when messages between hosts are held up', () => {
	assert.ok(!played.failed, fc.defaultReportMessage(played));
});
