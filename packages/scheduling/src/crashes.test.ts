/**
How a group's scheduler handles tasks that crash their executors. A crashed executor is back after two seconds,
under a new id.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Ends} from '@gentianshift/protocol';
import {
	createEntry,
	makePart,
	makeTasks,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';

const longMs = 20_000;

type Options = Parameters<typeof openScheduler>[0];

async function openCrashing(options: Partial<Options> = {}) {
	return openScheduler({
		count: 4,
		findCrashMs: ({job, index}) =>
			job === 'job1' && index === 0 ? 20 : undefined,
		...options,
	});
}

/** Largest number of executors that a message to the entry lists as crashed under the task. */
function countCrashes(endMessages: readonly Ends[], index = 0): number {
	const rows = endMessages.flatMap(({crashes = []}) => crashes);
	return Math.max(
		0,
		...rows
			.filter((row) => row.index === index)
			.map(({crashed}) => crashed.length),
	);
}

// Guards against a task that crashes one executor after another for as long as its caller waits.
test('a task is given up after two executors have crashed under it', async () => {
	const {clock, executors, scheduler, entry} = await openCrashing();
	scheduler.receivePart(
		entry,
		makePart(clock, {tasks: makeTasks(3), timeLeftMs: longMs}),
	);
	await runFor(clock, longMs, [[scheduler, entry]]);
	const starts = executors.runs.filter(({index}) => index === 0);
	assert.equal(starts.length, 2);
	assert.equal(countCrashes(entry.endMessages), 2);
	assert.deepEqual(
		executors.runs.filter(({endedAt}) => endedAt === undefined),
		[],
	);
});

// Guards against starting a job again that was given up, because its caller resends it to another entry.
test('a job that was given up is not started for another entry', async () => {
	const {clock, executors, scheduler, entry} = await openCrashing();
	scheduler.receivePart(entry, makePart(clock, {timeLeftMs: longMs}));
	await runFor(clock, 10_000, [[scheduler, entry]]);
	const before = executors.runs.length;
	const other = createEntry('langreo_l1.0');
	scheduler.receivePart(other, makePart(clock, {timeLeftMs: longMs}));
	await runFor(clock, 1000, [[scheduler, other]]);
	assert.equal(executors.runs.length, before);
	assert.equal(countCrashes(other.endMessages), 2);
});

// Guards against a crash count that starts at zero in each group that the task is moved to.
test('crashes that the entry lists in a part are counted', async () => {
	const {clock, executors, scheduler, entry} = await openCrashing();
	const crashes = [{job: 'job1', index: 0, crashed: ['x1'], silent: []}];
	scheduler.receivePart(entry, makePart(clock, {crashes, timeLeftMs: longMs}));
	await runFor(clock, 10_000, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 1);
	assert.equal(countCrashes(entry.endMessages), 2);
});

// Guards against giving up tasks that caused no crash but shared an executor with one that did.
test('tasks that shared an executor with a crashing task are completed', async () => {
	const {clock, executors, scheduler, entry} = await openCrashing();
	scheduler.receivePart(entry, makePart(clock, {timeLeftMs: longMs}));
	const sound = makePart(clock, {
		job: 'job2',
		tasks: makeTasks(7),
		timeLeftMs: longMs,
		claim: 2,
	});
	scheduler.receivePart(entry, sound);
	await runFor(clock, 10_000, [[scheduler, entry, [1, 2]]]);
	const done = executors.runs.filter(
		({job, outcome}) => job === 'job2' && outcome === 'done',
	);
	assert.equal(done.length, 7);
	const again = executors.runs.filter(
		({job, isCrashed}) => job === 'job2' && isCrashed,
	);
	assert.equal(again.length, 1);
});

// Guards against taking a lost connection between the scheduler and its executors for crashes.
test('a silent executor that answers again under the same id has not crashed', async () => {
	const {clock, executors, scheduler, entry} = await openCrashing({
		count: 3,
		taskMs: 4000,
		findCrashMs: undefined,
	});
	scheduler.receivePart(
		entry,
		makePart(clock, {estimateMs: 4000, timeLeftMs: longMs}),
	);
	await runFor(clock, 100, [[scheduler, entry]]);
	for (let i = 0; i < 2; i += 1) {
		const {executor: id} = executors.runs.findLast(
			({endedAt}) => endedAt === undefined,
		)!;
		const cut = executors.fakes.find(({executor}) => executor.id === id)!;
		cut.unreachableFrom = 'all';
		await runFor(clock, 1500, [[scheduler, entry]]);
		cut.unreachableFrom = new Set();
		await runFor(clock, 1000, [[scheduler, entry]]);
	}

	await runFor(clock, 8000, [[scheduler, entry]]);
	assert.equal(executors.runs.at(-1)!.outcome, 'done');
	assert.equal(countCrashes(entry.endMessages), 0);
});

// Guards against crashing one executor after another while the crash of the earlier ones is not confirmed yet.
test('a task waits while two silent executors may have crashed under it', async () => {
	const {clock, executors, scheduler, entry} = await openCrashing({
		getRestartMs: () => 8000,
	});
	scheduler.receivePart(entry, makePart(clock, {timeLeftMs: longMs}));
	await runFor(clock, 7000, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 2);
	assert.equal(countCrashes(entry.endMessages), 0);
	await runFor(clock, 6000, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 2);
	assert.equal(countCrashes(entry.endMessages), 2);
});

// Guards against a task that goes on crashing executors because a few others restart again and again meanwhile.
test('a task is given up after two crashes also while other executors restart all the time', async () => {
	const {clock, executors, scheduler, entry} = await openCrashing({
		count: 12,
		getRestartMs: () => 200,
		onCrash() {
			clock.schedule(200, () => {
				scheduler.setExecutors(executors.fakes.map(({executor}) => executor));
			});
		},
	});
	const restarting = executors.fakes.slice(8);
	// Less capacity, so that the first run of the task is not on one of them.
	for (const fake of restarting) {
		executors.setCapacity(fake, {...fake.executor.capacity, cpu: 16_000});
	}

	const crashAll = (): void => {
		for (const fake of restarting) {
			executors.crash(fake);
		}

		clock.schedule(700, crashAll);
	};

	crashAll();
	await runFor(clock, 4000, [[scheduler, entry]]);
	scheduler.receivePart(entry, makePart(clock, {timeLeftMs: longMs}));
	await runFor(clock, 10_000, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 2);
	assert.equal(countCrashes(entry.endMessages), 2);
});

// Guards against giving up a job whose executors were restarted with others, which ran nothing.
test('a task that loses three executors with others is completed', async () => {
	const {clock, executors, scheduler, entry} = await openCrashing({
		count: 24,
		taskMs: 400,
		findCrashMs: undefined,
	});
	await runFor(clock, 2500, [[scheduler, entry]]);
	scheduler.receivePart(
		entry,
		makePart(clock, {estimateMs: 400, timeLeftMs: longMs}),
	);
	for (let losses = 0; losses < 3; losses += 1) {
		for (let i = 0; i < 60 && executors.runs.length === losses; i += 1) {
			await runFor(clock, 50, [[scheduler, entry]]);
		}

		const {executor: id} = executors.runs.at(-1)!;
		const steady = executors.fakes.filter(({life}) => life === 1);
		for (const fake of [
			...steady.filter(({executor}) => executor.id === id),
			...steady.filter(({executor}) => executor.id !== id).slice(0, 4),
		]) {
			executors.crash(fake);
		}
	}

	await runFor(clock, 8000, [[scheduler, entry]]);
	assert.deepEqual(
		executors.runs.map(({isCrashed}) => isCrashed ?? false),
		[true, true, true, false],
	);
	assert.equal(executors.runs.at(-1)!.outcome, 'done');
	assert.ok(countCrashes(entry.endMessages) <= 1);
});
