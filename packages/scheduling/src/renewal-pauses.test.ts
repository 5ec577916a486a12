/**
Load pattern: short jobs that follow one another on the same executors, each of which is idle in between.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makePart, openScheduler, runFor} from './group-scheduler.fixture.js';

// Guards against a timer that stays behind with each start: at hundreds of starts a second a holder was woken as often
// again for nothing, and the runtime warned of a leak.
test('a start that ends the pause between two renewals leaves no wait behind', async () => {
	const {clock, scheduler, entry, executors} = await openScheduler({
		count: 2,
		taskMs: 10,
	});
	for (let i = 0; i < 20; i += 1) {
		const job = `job${i}`;
		scheduler.receivePart(
			entry,
			makePart(clock, {job, estimateMs: 10, claim: i + 1}),
		);
		await runFor(clock, 50, [[scheduler, entry, [i + 1]]]);
	}

	assert.equal(executors.runs.length, 20);
	assert.ok(clock.waitCount <= 2, `${clock.waitCount} waits`);
});
