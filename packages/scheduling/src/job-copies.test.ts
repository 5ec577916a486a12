/**
Tests of copies of one job at several entries: at a scheduler with executors on a virtual clock, and at two schedulers.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Replace} from '@gentianshift/protocol';
import {findOverlaps} from './fake-executors.fixture.js';
import {
	createEntry,
	makePart,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';
import {createJobCopies} from './job-copies.js';

function makeReplace(message: Partial<Replace> = {}): Replace {
	return {
		t: 'replace',
		job: 'job1',
		takenAtMs: 1000,
		timeLeftMs: 3000,
		...message,
	};
}

function createCopies() {
	const clock = {now: 0};
	const copies = createJobCopies({
		group: 'mieres',
		now: () => clock.now,
		mayRun: () => false,
		dropOthers: () => false,
		listCrashes: () => undefined,
	});
	return {clock, copies};
}

// Otherwise the second copy would start in another group while the first one still runs here.
test('a replacement is confirmed only once the runs of the other copies have ended', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 3000,
	});
	const part = makePart(clock, {estimateMs: 3000, timeLeftMs: 10_000});
	scheduler.receivePart(entry, part);
	await runFor(clock, 50, [[scheduler, entry]]);
	const later = createEntry('langreo_l1.0');
	executors.fakes[0]!.unreachableFrom = 'all';
	scheduler.receive(later, makeReplace());
	await runFor(clock, 200, [[scheduler, entry]]);
	assert.equal(executors.runs[0]!.endedAt, undefined);
	assert.equal(later.replacedMessages.length, 0);
	executors.fakes[0]!.unreachableFrom = new Set();
	await runFor(clock, 400, [[scheduler, entry]]);
	assert.equal(executors.runs[0]!.outcome, 'ended');
	assert.equal(later.replacedMessages[0]?.isRefused, false);
	assert.equal(entry.replacedMessages.at(-1)?.isRefused, true);
});

// The first entry reads the request late, from a connection that has broken since, and sends its tasks when the second copy runs.
test('a part of an earlier copy that arrives late is not started', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 500,
	});
	const later = createEntry('langreo_l1.0');
	scheduler.receive(later, makeReplace());
	const part = makePart(clock, {estimateMs: 500});
	scheduler.receivePart(later, part);
	await runFor(clock, 100, [[scheduler, later]]);
	scheduler.receivePart(entry, {...part, stateAt: clock.now});
	await runFor(clock, 600, [[scheduler, later]]);
	assert.deepEqual(findOverlaps(executors.runs), []);
	assert.equal(executors.runs.length, 1);
	assert.equal(executors.runs[0]!.outcome, 'done');
	assert.equal(entry.replacedMessages.at(-1)?.isRefused, true);
});

// A caller was answered 504 and submits the job again 1,300 ms later on the same connection. The job must not be refused because
// of a copy that has ended.
test('a job can be submitted again once the entry that replaced its copies has dropped it', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 50,
	});
	const earlier = createEntry('langreo_l1.0');
	scheduler.receive(earlier, makeReplace());
	scheduler.dropJob(earlier, {job: 'job1', takenAtMs: Infinity});
	scheduler.receivePart(entry, makePart(clock));
	await runFor(clock, 50, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 0, 'runs of the copy may be stopped');
	await runFor(clock, 1250, [[scheduler, entry]]);
	scheduler.receivePart(entry, makePart(clock));
	await runFor(clock, 200, [[scheduler, entry]]);
	assert.equal(executors.runs[0]?.outcome, 'done');
});

// The host that accepted the job first is dead. The caller submits the job again 1,300 ms later, over a connection that it already
// has to another host, and must not be refused.
test('a copy whose entry is dead does not block the next submission', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 50,
	});
	const dead = createEntry('langreo_l1.0');
	scheduler.receive(dead, makeReplace());
	await runFor(clock, 1300, [[scheduler, entry]]);
	scheduler.receivePart(entry, makePart(clock));
	await runFor(clock, 200, [[scheduler, entry]]);
	assert.equal(executors.runs[0]?.outcome, 'done');
});

// Otherwise both copies could be confirmed, each by the schedulers that its message reached last.
test('when two entries replace each other, all schedulers refuse the same one', () => {
	const first = createEntry('mieres_m1.0');
	const second = createEntry('langreo_l1.0');
	const ofFirst = makeReplace({takenAtMs: 1000});
	const ofSecond = makeReplace({takenAtMs: 1009});
	const {copies: here} = createCopies();
	here.replace(first, ofFirst);
	here.replace(second, ofSecond);
	const {copies: there} = createCopies();
	there.replace(second, ofSecond);
	there.replace(first, ofFirst);
	assert.deepEqual(
		second.replacedMessages.map(({isRefused}) => isRefused),
		[false, false],
	);
	assert.deepEqual(
		first.replacedMessages.map(({isRefused}) => isRefused),
		[false, true],
	);
	assert.ok(here.isReplaced('job1', first));
	assert.ok(there.isReplaced('job1', first));
});

// The entry's `drop` of the first submission was lost with a connection, so that copy would run on beside the second one.
test('a job that its entry accepts again stops the runs of the earlier submission', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 500,
	});
	scheduler.receivePart(entry, makePart(clock, {estimateMs: 500}));
	await runFor(clock, 50, [[scheduler, entry]]);
	scheduler.receive(entry, makeReplace({takenAtMs: clock.now}));
	assert.equal(entry.replacedMessages.at(-1)?.isRefused, true);
	await runFor(clock, 100, [[scheduler, entry]]);
	assert.equal(executors.runs[0]!.outcome, 'ended');
	assert.equal(entry.replacedMessages.at(-1)?.isRefused, false);
});

// The `drop` of an earlier submission arrives after the job was accepted again. Its caller waits, so the job must not be lost.
test('the drop of an earlier submission does not affect the later one', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 100,
	});
	const part = makePart(clock);
	scheduler.receivePart(entry, part);
	scheduler.dropJob(entry, {
		job: part.job,
		takenAtMs: part.takenAtMs - 1,
	});
	await runFor(clock, 200, [[scheduler, entry]]);
	assert.equal(executors.runs[0]?.outcome, 'done');
});

test('of two copies accepted at the same time, all schedulers refuse the same one', () => {
	const first = createEntry('mieres_m1.0');
	const second = createEntry('langreo_l1.0');
	for (const order of [
		[first, second],
		[second, first],
	]) {
		const {copies} = createCopies();
		for (const entry of order) {
			copies.replace(entry, makeReplace());
		}

		assert.ok(copies.isReplaced('job1', second));
		assert.ok(!copies.isReplaced('job1', first));
	}
});

// Otherwise a job would be refused for ever if the entry of its other copy died.
test('a copy no longer blocks others once its caller no longer waits', () => {
	const {clock, copies} = createCopies();
	const first = createEntry('mieres_m1.0');
	copies.replace(createEntry('langreo_l1.0'), makeReplace({timeLeftMs: 500}));
	assert.ok(copies.isReplaced('job1', first));
	clock.now = 500;
	assert.ok(!copies.isReplaced('job1', first));
});
