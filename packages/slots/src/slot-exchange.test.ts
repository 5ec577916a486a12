import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {openExchange} from './exchange.fixture.js';

/** Enough event loop turns for a message to be handled on one host, with all follow-up messages. */
const manyTurns = 10;

async function waitTurns(): Promise<void> {
	for (let i = 0; i < manyTurns; i++) {
		await nextTurn();
	}
}

// After a freeze, the host's own keeper must not renew the lease before the host has read its input: the
// host would start a task on an executor that is leaving.
test('after a freeze, a host starts nothing on its kept slots before it has read what arrived meanwhile', async (context) => {
	const {starts, submit, freeze, readLeaving, fireTimers} =
		openExchange(context);
	submit(1, 3);
	await waitTurns();
	assert.equal(starts.length, 2);
	freeze();
	fireTimers();
	const {slot} = starts[0]!;
	const hasKept = slot.endTask(
		{result: 'done', runMs: 100},
		{remaining: 2, queued: 1},
	);
	assert.equal(hasKept && slot.isUsable(), false, 'before reading');
	readLeaving();
	await waitTurns();
	assert.equal(slot.isUsable(), false, 'after reading');
	assert.equal(starts.length, 2);
});

// If a host freezes within an event loop turn, the rest of that turn may bring a job. Without this rule the
// host would start the job on an executor that is leaving.
test('after a freeze within a loop turn, a host starts nothing before the next turn has read what arrived meanwhile', async (context) => {
	const {starts, submit, freeze, readLeaving} = openExchange(context);
	submit(1);
	await waitTurns();
	assert.equal(starts.length, 1);
	freeze();
	submit(2);
	await nextTurn();
	readLeaving();
	await waitTurns();
	assert.equal(starts.length, 1);
});

// Otherwise the host would leave its free slots idle after a freeze until the next renewal of its leases.
test('after a freeze, a host starts waiting jobs once it has read what arrived meanwhile', async (context) => {
	const {starts, clock, submit, freeze, fireTimers} = openExchange(context);
	submit(1);
	await waitTurns();
	freeze();
	fireTimers();
	submit(2);
	await waitTurns();
	assert.deepEqual(
		starts.map(({at}) => at),
		[1000, clock.now],
	);
});
