/**
Tests of the times after which callers that were refused for lack of room are told to come again.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDraw} from '@gentianshift/standins';
import {createFinishedWork, finishedWindowMs} from './finished-work.js';
import {makePart, openScheduler, runFor} from './group-scheduler.fixture.js';
import {type OpenGroup} from './place-job.js';
import {drawRetryAfterMs, estimateRetryMs} from './retry-after.js';

function makeGroup(group: Partial<OpenGroup> = {}): OpenGroup {
	return {
		group: 'mieres',
		dataCentre: 'mieres',
		free: [],
		capacity: 100_000,
		backlog: [0, 0, 0, 0],
		lateBacklog: [0, 0, 0, 0],
		running: [100_000, 0, 0, 0],
		...group,
	};
}

const neverAsked = (): number => assert.fail('not needed');

// Executors that stop and repeat tasks end half of what their capacity allows. By the capacity callers were told to come again in half the
// time, and were refused again.
test('room is expected when the waiting work has ended at the measured rate', () => {
	const group = makeGroup({
		backlog: [0, 100_000 * 1000, 0, 0],
		lateBacklog: [0, 0, 100_000 * 1000, 0],
		finished: 50_000 * finishedWindowMs,
	});
	assert.equal(estimateRetryMs([group], neverAsked), 4000);
});

test('room is expected at the group that has it first', () => {
	const slow = makeGroup({backlog: [1_000_000], finished: 1000});
	const fast = makeGroup({backlog: [1_000_000], finished: 100_000});
	assert.equal(estimateRetryMs([slow, fast], neverAsked), 5000);
});

// A holder of the previous build does not tell what it has ended; and right after a takeover nothing has ended.
test('a group that has ended nothing lately is judged by its capacity', () => {
	const groups = [makeGroup(), makeGroup({finished: 0})];
	assert.equal(
		estimateRetryMs(groups, () => 700),
		700,
	);
	assert.equal(estimateRetryMs([], neverAsked), Infinity);
});

// Callers that are refused in one moment of a burst would come back together, and be refused again.
test('callers are told times that are spread over half as long again', () => {
	const draw = createDraw(1);
	const counts = new Map<number, number>();
	for (let i = 0; i < 900; i += 1) {
		const ms = drawRetryAfterMs(3700, () => draw.drawUniform());
		counts.set(ms, (counts.get(ms) ?? 0) + 1);
	}

	assert.deepEqual(
		[...counts.keys()].toSorted((a, b) => a - b),
		[4000, 5000, 6000],
	);
	assert.ok([...counts.values()].every((count) => count > 240));
});

test('callers are told whole seconds from 1 to 10', () => {
	for (const ms of [0, 10, 1000, 5000, 9000, 60_000, Infinity]) {
		for (const random of [0, 0.5, 0.999_999]) {
			const retryMs = drawRetryAfterMs(ms, () => random);
			assert.ok(retryMs >= 1000 && retryMs <= 10_000, `${ms}: ${retryMs}`);
			assert.ok(retryMs >= Math.min(ms, 6000), `${ms}: ${retryMs}`);
			assert.equal(retryMs % 1000, 0);
		}
	}
});

test('work counts as finished lately for half a second', () => {
	const work = createFinishedWork();
	work.add(100, 0);
	work.add(50, 300);
	assert.equal(work.measure(400), 150);
	assert.equal(work.measure(finishedWindowMs), 50);
	assert.equal(work.measure(2000), 0);
});

test('a scheduler tells what its executors have ended lately', async () => {
	const {clock, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: () => 100,
	});
	scheduler.receive(entry, makePart(clock));
	await runFor(clock, 150, [[scheduler, entry]]);
	const {finished = 0} = scheduler.describeState();
	assert.ok(finished >= 14_000 * 100 && finished < 14_000 * 150, `${finished}`);
	await runFor(clock, 600, [[scheduler, entry]]);
	assert.equal(scheduler.describeState().finished, 0);
});
