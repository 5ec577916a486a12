/**
Claims: what an entry lets a group do with a job's tasks, renewed by name and ended by the holder's own clock.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {silenceMs} from '@gentianshift/protocol';
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

// Guards against a task that its entry has moved and that runs on at its former holder, as the entry has other jobs there.
test('a claim that its entry does not name ends, whatever else the entry says', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 5000,
	});
	scheduler.receivePart(entry, makePart(clock, long));
	scheduler.receivePart(
		entry,
		makePart(clock, {...long, job: 'other', claim: 2}),
	);
	const takenAwayAt = clock.now;
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
	assert.ok(ended.endedAt! - takenAwayAt <= orphanLimitMs);
	assert.equal(kept?.job, 'other');
	assert.equal(kept.endedAt, undefined);
	assert.deepEqual(listOutcomes(entry), ['returned']);
});

// Guards against work that its sender has long given up: the message was held up in a connection through a cut.
test('a part that answers an old state is not started, and its tasks are given back', async () => {
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

// Guards against words that were held up and come in a row once the cut is over: each answers a state of before it.
test('answers to old states renew nothing beyond what those states allow', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
	});
	const heldUp: number[] = [];
	scheduler.receivePart(entry, makePart(clock, long));
	for (let passed = 0; passed < 800; passed += 50) {
		heldUp.push(scheduler.describeState().at);
		await runFor(clock, 50, [[scheduler, entry, []]]);
	}

	const lastStateAt = heldUp.at(-1)!;
	for (const stateAt of heldUp) {
		scheduler.receive(entry, {t: 'keep', token: 1, stateAt, claims: [1]});
	}

	await runFor(clock, 2000, [[scheduler, entry, []]]);
	const [run] = executors.runs;
	assert.equal(run?.outcome, 'ended');
	assert.ok(run.endedAt! - lastStateAt <= orphanLimitMs);
});

// Guards against a task that comes back to a group in which a run of it has not been stopped yet.
test('a task that is handed over again waits for the runs of its former claim', async () => {
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
	assert.deepEqual(entry.replaced, []);
});

// Guards against a job that is stopped for a part of before: it came late, on a connection that has broken since.
test('a part of a former claim that comes late leaves the later one', async () => {
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

// Guards against a former holder that goes on with what the next one has: the entry's words are for the next one.
test('answers to another holder renew nothing here', async () => {
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

// Guards against a task that starts again after it has ended done: its end was lost with a connection that fell silent, and is told again
// only to an entry that comes again sooner than such a connection is noticed and made anew.
test('an end is remembered until a silent connection is replaced', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 100,
	});
	const part = makePart(clock, long);
	scheduler.receivePart(entry, part);
	await runFor(clock, 150, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
	await runFor(clock, silenceMs + 200, [[scheduler, entry, []]]);
	scheduler.receivePart(entry, {...part, stateAt: clock.now, isMoved: true});
	await runFor(clock, 300, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 1);
});

// Guards against an entry that lives and waits until its caller's time is over for a task that nobody has any more.
test('a task that ends done while its claim has ended is told to its entry', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 895,
	});
	const [fake] = executors.fakes;
	scheduler.receivePart(entry, makePart(clock, long));
	await runFor(clock, 850, [[scheduler, entry, []]]);
	fake!.cutFrom = 'all';
	await runFor(clock, 100, [[scheduler, entry, []]]);
	fake!.cutFrom = new Set();
	await runFor(clock, 1000, [[scheduler, entry]]);
	assert.equal(executors.runs[0]?.outcome, 'done');
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// Guards against the same for the other tasks of a job, where one is given back and comes again before their runs are stopped.
test('a claim that has ended and is used again does not hide what is left of it', async () => {
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
	other!.cutFrom = 'all';
	await runFor(clock, 1000, [[scheduler, entry, []]]);
	other!.cutFrom = new Set();
	scheduler.receivePart(entry, {
		...part,
		stateAt: clock.now,
		tasks: [[0, 2, 2]],
	});
	await runFor(clock, 2000, [[scheduler, entry]]);
	const indices = entry.told.flatMap(({ends}) => ends.map(({index}) => index));
	assert.ok(indices.includes(1), `told of ${indices.join(', ')}`);
});

// Guards against a later copy of a job that is stopped for a part which is not started either: its entry has just thawed.
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
	assert.deepEqual(second.replaced, []);
	assert.equal(executors.runs[0]?.endedAt, undefined);
});
