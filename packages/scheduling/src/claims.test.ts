/**
Tests of claims: an entry's permission for a group to run tasks of a job. The entry renews each claim by its number; the holder ends it by
its own clock.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {silenceTimeoutMs} from '@gentianshift/protocol';
import {findOverlaps} from './fake-executors.fixture.js';
import {
	createEntry,
	listOutcomes,
	makePart,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';
import {entrySilenceMs, orphanLimitMs} from './timing.js';

const long = {estimateMs: 5000, timeLeftMs: 20_000};

// An entry has moved a task but has other jobs at the task's previous holder. If any message of the entry renewed the claim,
// the task would run on there.
test('a claim that its entry does not name ends, whatever other messages the entry sends', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 5000,
	});
	scheduler.receivePart(entry, makePart(clock, long));
	scheduler.receivePart(
		entry,
		makePart(clock, {...long, job: 'other', claim: 2}),
	);
	const lastRenewedAt = clock.now;
	for (let passed = 0; passed < 1500; passed += 50) {
		scheduler.receive(entry, {
			t: 'replace',
			job: `job at ${clock.now}`,
			takenAtMs: clock.now,
			timeLeftMs: 1000,
		});
		await runFor(clock, 50, [[scheduler, entry, [2]]]);
	}

	const [ended, kept] = executors.runs;
	assert.equal(ended?.outcome, 'ended');
	assert.ok(ended.endedAt! - lastRenewedAt <= orphanLimitMs);
	assert.equal(kept?.job, 'other');
	assert.equal(kept.endedAt, undefined);
	assert.deepEqual(listOutcomes(entry), ['returned']);
});

// A part is held up in a connection during a cut, and its sender has long given up the work.
test('a part that answers an old state is not started, and its tasks are returned', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 50,
	});
	const part = makePart(clock, long);
	await runFor(clock, entrySilenceMs + 50, [[scheduler, entry]]);
	scheduler.receivePart(entry, part);
	await runFor(clock, 200, [[scheduler, entry, []]]);
	assert.equal(executors.runs.length, 0);
	assert.deepEqual(listOutcomes(entry), ['returned']);
});

// Answers to states from before a cut are held up and arrive one after another once the cut is over.
test('answers to old states renew a claim no further than those states allow', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
	});
	const delayedStates: number[] = [];
	scheduler.receivePart(entry, makePart(clock, long));
	for (let passed = 0; passed < 800; passed += 50) {
		delayedStates.push(scheduler.describeState().at);
		await runFor(clock, 50, [[scheduler, entry, []]]);
	}

	const lastStateAt = delayedStates.at(-1)!;
	for (const stateAt of delayedStates) {
		scheduler.receive(entry, {t: 'keep', token: 1, stateAt, claims: [1]});
	}

	await runFor(clock, 2000, [[scheduler, entry, []]]);
	const [run] = executors.runs;
	assert.equal(run?.outcome, 'ended');
	assert.ok(run.endedAt! - lastStateAt <= orphanLimitMs);
});

// A task returns to a group in which its earlier run has not stopped yet; started at once, it would run twice.
test('a task that is sent again under a new claim waits until its earlier run has stopped', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 500,
	});
	const {takenAtMs, ...part} = makePart(clock, long);
	scheduler.receivePart(entry, {...part, takenAtMs});
	await runFor(clock, 100, [[scheduler, entry]]);
	const again = makePart(clock, {
		...long,
		takenAtMs,
		claim: 2,
		tasks: [[0, 17, 2]],
	});
	scheduler.receivePart(entry, again);
	await runFor(clock, 1000, [[scheduler, entry, [2]]]);
	assert.deepEqual(findOverlaps(executors.runs), []);
	assert.deepEqual(
		executors.runs.map(({outcome}) => outcome),
		['ended', 'done'],
	);
	assert.deepEqual(entry.replacedMessages, []);
});

// A part arrives late, over a connection that has broken since. The job must not be stopped because of it.
test('a late part of an earlier claim does not affect the later claim', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 300,
	});
	const former = makePart(clock, long);
	scheduler.receivePart(
		entry,
		makePart(clock, {...long, claim: 2, tasks: [[0, 17, 2]]}),
	);
	scheduler.receivePart(entry, former);
	await runFor(clock, 500, [[scheduler, entry, [2]]]);
	assert.deepEqual(
		executors.runs.map(({outcome}) => outcome),
		['done'],
	);
});

// The entry's answers are for the next holder. If the previous holder counted them, it would keep running tasks that the
// next one has.
test('answers to the state of another holder renew no claims here', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
	});
	scheduler.receivePart(entry, makePart(clock, long));
	const answeredAt = clock.now;
	for (let passed = 0; passed < 1500; passed += 50) {
		const stateAt = clock.now;
		scheduler.receive(entry, {t: 'keep', token: 2, stateAt, claims: [1]});
		scheduler.update();
		await clock.run(50);
	}

	const [run] = executors.runs;
	assert.equal(run?.outcome, 'ended');
	assert.ok(run.endedAt! - answeredAt <= orphanLimitMs);
});

// The report that a task is done is lost with a connection that fell silent. If the scheduler forgot the end before such a
// connection is detected and replaced, the task would start again when its entry sends it again.
test('the end of a task is remembered until a silent connection is replaced', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 100,
	});
	const part = makePart(clock, long);
	scheduler.receivePart(entry, part);
	await runFor(clock, 150, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
	await runFor(clock, silenceTimeoutMs + 200, [[scheduler, entry, []]]);
	scheduler.receivePart(entry, {...part, stateAt: clock.now, isMoved: true});
	await runFor(clock, 300, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 1);
});

// Otherwise an entry that is alive would wait, until its caller's time is over, for a task that no scheduler has.
test('a task that is done after its claim ended is reported to its entry', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 895,
	});
	const [fake] = executors.fakes;
	scheduler.receivePart(entry, makePart(clock, long));
	await runFor(clock, 850, [[scheduler, entry, []]]);
	fake!.unreachableFrom = 'all';
	await runFor(clock, 100, [[scheduler, entry, []]]);
	fake!.unreachableFrom = new Set();
	await runFor(clock, 1000, [[scheduler, entry]]);
	assert.equal(executors.runs[0]?.outcome, 'done');
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// The same for the other tasks of a job when one task was returned and is sent again before their runs have stopped.
test('a part under an ended claim does not suppress reports of its other tasks', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 5000,
	});
	const demand = {cpu: 20_000, memoryMb: 64, accelerators: 0};
	const part = makePart(clock, {
		...long,
		demand,
		tasks: [
			[0, 1, 1],
			[1, 1, 1],
		],
	});
	scheduler.receivePart(entry, part);
	await runFor(clock, 100, [[scheduler, entry]]);
	const other = executors.fakes.find(
		({executor}) => executor.id === executors.runs[1]?.executor,
	);
	other!.unreachableFrom = 'all';
	await runFor(clock, 1000, [[scheduler, entry, []]]);
	other!.unreachableFrom = new Set();
	scheduler.receivePart(entry, {
		...part,
		stateAt: clock.now,
		tasks: [[0, 2, 2]],
	});
	await runFor(clock, 2000, [[scheduler, entry]]);
	const indices = entry.endMessages.flatMap(({ends}) =>
		ends.map(({index}) => index),
	);
	assert.ok(indices.includes(1), `ends of tasks ${indices.join(', ')}`);
});

// An entry that was paused sends an outdated part. That part is not started, so it must not stop the later copy either.
test('a part that answers an old state does not replace a later copy', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
	});
	const late = makePart(clock, long);
	await runFor(clock, entrySilenceMs + 50, [[scheduler, entry, []]]);
	const second = createEntry('mieres_m2.0');
	scheduler.receivePart(second, makePart(clock, {...long, claim: 7}));
	await runFor(clock, 100, [[scheduler, second, [7]]]);
	scheduler.receivePart(entry, late);
	await runFor(clock, 300, [[scheduler, second, [7]]]);
	assert.deepEqual(second.replacedMessages, []);
	assert.equal(executors.runs[0]?.endedAt, undefined);
});
