import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {openExchange} from './exchange.fixture.js';

/** Enough loop turns for all that a message brings about on one host. */
const manyTurns = 10;

async function waitTurns(): Promise<void> {
	for (let i = 0; i < manyTurns; i++) {
		await nextTurn();
	}
}

// Guards against a host that wakes from a freeze and, by a lease that its own keeper renewed before reading, starts a task on an executor that is leaving.
test('a thawed host starts nothing on its kept slots before it has read what came meanwhile', async (context) => {
	const {starts, submit, freeze, readLeaving, fireTimers} =
		openExchange(context);
	submit(1, 3);
	await waitTurns();
	assert.equal(starts.length, 2);
	freeze();
	fireTimers();
	const {slot} = starts[0]!;
	const hasKept = slot.keep(
		{result: 'done', runMs: 100},
		{remaining: 2, queued: 1},
	);
	assert.equal(hasKept && slot.isUsable(), false, 'before reading');
	readLeaving();
	await waitTurns();
	assert.equal(slot.isUsable(), false, 'after reading');
	assert.equal(starts.length, 2);
});

// Guards against a host, frozen while it handles a loop turn, that starts a job of the rest of that turn on an executor that is leaving.
test('a host thawed amid a loop turn starts nothing before the next turn has read what came meanwhile', async (context) => {
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

// Guards against a host that leaves its free slots idle after a thaw until the next renewal of its leases.
test('a thawed host starts what waits once it has read what came meanwhile', async (context) => {
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
