/**
Parts of an earlier holder of the group that come long after the present one has begun. A task that the earlier one has started on an
executor that the present one does not list would run a second time if the reports of the listed executors counted as proof.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findOverlaps} from './fake-executors.fixture.js';
import {
	createScheduler,
	makePart,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';
import {clockSlackMs, orphanLimitMs} from './timing.js';

const limitMs = orphanLimitMs + clockSlackMs;

async function openLateScheduler() {
	const opened = await openScheduler({count: 1, taskMs: 5000});
	await opened.clock.run(limitMs);
	return opened;
}

const moved = {isMoved: true, estimateMs: 5000, timeLeftMs: 20_000, token: 1};

// Guards against a former holder that went on during a cut, on an executor whose registration has lapsed here.
test('a task of an earlier holder that comes late waits for the time limit of its runs', async () => {
	const {clock, executors, scheduler, entry} = await openLateScheduler();
	const part = makePart(clock, {...moved, firstToken: 0});
	const movedAt = clock.now;
	scheduler.receivePart(entry, part);
	while (executors.runs.length === 0 && clock.now < movedAt + 2 * limitMs) {
		const {token, at} = scheduler.describeState();
		scheduler.receive(entry, {t: 'keep', token, stateAt: at, claims: [1]});
		scheduler.update();
		await clock.run(10);
	}

	assert.ok(executors.runs[0]!.startedAt > movedAt + limitMs);
});

// Guards against a wait of a second for each task whose part is sent again because a connection broke.
test('a task that only this holder was ever sent is started at once when it is sent again late', async () => {
	const {clock, executors, scheduler, entry} = await openLateScheduler();
	scheduler.receivePart(entry, makePart(clock, {...moved, firstToken: 1}));
	await clock.run(10);
	assert.equal(executors.runs.length, 1);
});

// Guards against a holder that has just begun, and takes a task of the holder before its predecessor for one of the predecessor: that
// one's reports show nothing of executors whose registrations had lapsed before.
for (const afterMs of [100, 500, 1000, 1100]) {
	test(`a task of the holder before the last waits for the limit of its runs, ${afterMs} ms after the last has begun`, async () => {
		const {clock, executors, scheduler, entry} = await openScheduler({
			count: 2,
			taskMs: 5000,
		});
		const [near, far] = executors.fakes;
		scheduler.setExecutors([near!.executor]);
		await clock.run(50);
		far!.unreachableFrom = new Set([1]);
		const farExecutors = {...executors, executors: [far!.executor]};
		const second = createScheduler(clock, farExecutors, 2);
		await runFor(clock, 5000, [[second, entry, []]]);
		second.close();
		const third = createScheduler(clock, farExecutors, 3);
		const part = makePart(clock, {estimateMs: 5000, timeLeftMs: 20_000});
		scheduler.receivePart(entry, part);
		await runFor(clock, afterMs, [
			[scheduler, entry],
			[third, entry, []],
		]);
		assert.equal(executors.runs.length, 1);
		third.receivePart(entry, {
			...part,
			token: 3,
			stateAt: clock.now,
			claim: 2,
			isMoved: true,
			firstToken: 1,
		});
		await runFor(clock, 2500, [[third, entry, [2]]]);
		assert.deepEqual(findOverlaps(executors.runs), []);
	});
}
