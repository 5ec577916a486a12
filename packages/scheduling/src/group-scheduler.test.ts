/**
A group's scheduler on a virtual clock, with executors that lose calls and answers.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Part} from '@gentianshift/protocol';
import {createFakeExecutors, findOverlaps} from './fake-executors.fixture.js';
import {
	createEntry,
	createScheduler,
	listOutcomes,
	makePart,
	makeTasks,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';
import {type GroupScheduler} from './group-scheduler.js';
import {VirtualClock} from './virtual-clock.fixture.js';

test('tasks are started where there is free capacity, and their ends are sent to the entry', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({count: 2});
	scheduler.receivePart(
		entry,
		makePart(clock, {
			tasks: makeTasks(5),
		}),
	);
	await runFor(clock, 400, [[scheduler, entry]]);
	assert.deepEqual(
		listOutcomes(entry),
		Array.from({length: 5}, () => 'done'),
	);
	assert.equal(executors.runs.length, 5);
});

// A start's answer is lost, and the executor carries the start out seconds later, when the task has been placed
// again. If the late start ran as well, the task would run twice: a stock order would be paid for twice.
test('a start that is carried out late does not run beside the same task placed again', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 3000,
	});
	// Other runs keep the leases renewed, so that a late start is not refused because of an expired lease.
	const others = makePart(clock, {
		job: 'others',
		tasks: makeTasks(2),
		timeLeftMs: 10_000,
		estimateMs: 3000,
	});
	scheduler.receivePart(entry, others);
	await runFor(clock, 50, [[scheduler, entry]]);
	for (const fake of executors.fakes) {
		fake.lateStartMs = 2000;
	}

	scheduler.receivePart(
		entry,
		makePart(clock, {timeLeftMs: 10_000, estimateMs: 3000}),
	);
	await runFor(clock, 50, [[scheduler, entry]]);
	for (const fake of executors.fakes) {
		fake.lateStartMs = 0;
	}

	await runFor(clock, 6000, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done', 'done', 'done']);
	assert.deepEqual(findOverlaps(executors.runs), []);
});

// The host that accepted a job dies. Its caller sends the job again to another host after 1.3 s; if the first
// copy still ran then, the caller's order would be carried out twice.
test('runs of tasks from an entry are stopped within 1.1 s of its last message', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
	});
	scheduler.receivePart(entry, makePart(clock, {timeLeftMs: 10_000}));
	await runFor(clock, 300, [[scheduler, entry]]);
	const lastMessageAt = clock.now - 50;
	for (let i = 0; i < 30; i += 1) {
		scheduler.update();
		await clock.run(50);
	}

	const [run] = executors.runs;
	assert.equal(run?.outcome, 'ended');
	assert.ok(
		run.endedAt! - lastMessageAt < 1100,
		`${run.endedAt! - lastMessageAt} ms`,
	);
});

// An entry and its scheduler die at the same moment, so nobody stops the tasks. Their leases must not have been
// renewed beyond the time that the entry's silence allows.
test('a scheduler that dies with the entry leaves nothing running after 1.3 s', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
	});
	scheduler.receivePart(entry, makePart(clock, {timeLeftMs: 10_000}));
	await runFor(clock, 500, [[scheduler, entry]]);
	const lastMessageAt = clock.now - 50;
	for (let i = 0; i < 15; i += 1) {
		scheduler.update();
		await clock.run(50);
	}

	executors.fakes[0]!.unreachableFrom = 'all';
	await clock.run(2000);
	const [run] = executors.runs;
	assert.ok(
		run!.endedAt! - lastMessageAt < 1300,
		`${run!.endedAt! - lastMessageAt} ms`,
	);
});

// Another host takes the group over while a task runs, and the entry hands the job to the new scheduler. The
// run has to go on: a second start would carry the order out twice.
test('a new scheduler finds a task that runs already and does not start it again', async () => {
	const {
		clock,
		executors,
		scheduler: first,
		entry,
	} = await openScheduler({count: 2, taskMs: 1000});
	first.receivePart(entry, makePart(clock, {estimateMs: 1000}));
	await runFor(clock, 200, [[first, entry]]);
	const second = createScheduler(clock, executors, 2);
	await clock.run(10);
	second.receivePart(entry, makePart(clock, {isMoved: true, estimateMs: 1000}));
	await runFor(clock, 1500, [[second, entry]]);
	assert.equal(executors.runs.length, 1);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// The old scheduler still reaches an executor that the new one does not, and runs a task there. It stops the
// task in the end, as the entry no longer renews the claim there. Until then the new scheduler must not start
// the task elsewhere, however long it has held the group.
test('a part handed over from an old scheduler waits until that one has given its runs up', async () => {
	const {
		clock,
		executors,
		scheduler: first,
		entry,
	} = await openScheduler({count: 2, taskMs: 4000});
	first.receivePart(entry, makePart(clock, {timeLeftMs: 10_000}));
	await runFor(clock, 200, [[first, entry]]);
	const [run] = executors.runs;
	const reached = executors.executors.filter(({id}) => id !== run?.executor);
	executors.fakes.find(
		({executor}) => executor.id === run?.executor,
	)!.unreachableFrom = new Set([2]);
	const second = createScheduler(clock, executors, 2);
	assert.equal(reached.length, 1);
	await runFor(clock, 1000, [[first, entry]]);
	second.receivePart(
		entry,
		makePart(clock, {isMoved: true, timeLeftMs: 10_000}),
	);
	for (let i = 0; i < 60; i += 1) {
		first.update();
		await runFor(clock, 50, [[second, entry]]);
	}

	assert.equal(executors.runs.length, 2);
	assert.deepEqual(findOverlaps(executors.runs), []);
});

// The store was down, and registrations of executors expired meanwhile. A host that started during the outage
// takes the group over as soon as the store is back; its list still lacks an executor that runs a task. All
// executors that it knows have answered, but starting the task now would run it twice.
test('a part handed over from an old scheduler waits while the list of executors may be incomplete', async () => {
	const {
		clock,
		executors,
		scheduler: first,
		entry,
	} = await openScheduler({count: 2, taskMs: 4000});
	first.receivePart(entry, makePart(clock, {timeLeftMs: 10_000}));
	await runFor(clock, 200, [[first, entry]]);
	const [run] = executors.runs;
	const listed = executors.executors.filter(({id}) => id !== run?.executor);
	const second = createScheduler(clock, {...executors, executors: listed}, 2, {
		isListComplete: false,
	});
	await clock.run(50);
	second.receivePart(
		entry,
		makePart(clock, {isMoved: true, timeLeftMs: 10_000}),
	);
	for (let i = 0; i < 60; i += 1) {
		first.update();
		await runFor(clock, 50, [[second, entry]]);
	}

	assert.equal(executors.runs.length, 2);
	assert.deepEqual(findOverlaps(executors.runs), []);
});

/** Hands over a job of two tasks every 100 ms. Returns, by job, the outcomes and the time until the last end. */
async function runSteadyLoad(
	clock: VirtualClock,
	scheduler: GroupScheduler,
	entry: ReturnType<typeof createEntry>,
	jobs: number,
): Promise<Map<string, {outcomes: string[]; tookMs: number}>> {
	const startedAt = new Map<string, number>();
	const results = new Map<string, {outcomes: string[]; tookMs: number}>();
	let read = 0;
	const readEnds = () => {
		for (const {job, ends} of entry.endMessages.slice(read)) {
			const known = results.get(job) ?? {outcomes: [], tookMs: 0};
			known.outcomes.push(...ends.map(({outcome}) => outcome));
			known.tookMs = clock.now - startedAt.get(job)!;
			results.set(job, known);
		}

		read = entry.endMessages.length;
	};

	for (let i = 0; i < jobs; i += 1) {
		const job = `job${i}`;
		startedAt.set(job, clock.now);
		scheduler.receivePart(
			entry,
			makePart(clock, {
				job,
				tasks: makeTasks(2),
				remaining: 2,
			}),
		);
		await runFor(clock, 100, [[scheduler, entry]]);
		readEnds();
	}

	for (let i = 0; i < 40; i += 1) {
		await runFor(clock, 50, [[scheduler, entry]]);
		readEnds();
	}

	return results;
}

// On one executor of eight all tasks hang, while it reports that it is healthy. It seems to have the most free capacity,
// so every job would get a task there and its caller would wait in vain.
test('an executor on which tasks hang delays a few jobs, not all', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({count: 8});
	executors.fakes[0]!.slowness = Infinity;
	const results = await runSteadyLoad(clock, scheduler, entry, 40);
	const served = [...results.values()].filter(
		({outcomes}) => outcomes.filter((one) => one === 'done').length === 2,
	);
	assert.equal(served.length, 40);
	const delayed = served.filter(({tookMs}) => tookMs > 200);
	assert.ok(delayed.length <= 6, `${delayed.length} of 40 were delayed`);
	assert.deepEqual(findOverlaps(executors.runs), []);
});

// A task hangs while all other executors are busy, so that it can be moved nowhere when it is found
// overdue. If it were checked only then, it would hold up its job until the caller gives up.
test('a task that hangs is moved as soon as there is free capacity, also after it was found overdue', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		cpu: 14_000,
		taskMs: 600,
	});
	executors.fakes[0]!.slowness = Infinity;
	const stuck = makePart(clock, {job: 'stuck', estimateMs: 100});
	const long = makePart(clock, {job: 'long', estimateMs: 600});
	scheduler.receivePart(entry, stuck);
	scheduler.receivePart(entry, long);
	await runFor(clock, 550, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), []);
	await runFor(clock, 1000, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done', 'done']);
	assert.deepEqual(findOverlaps(executors.runs), []);
});

// A caller declares a third of the true run time. All tasks are late at once, each on another sound executor.
// If they were stopped, they would begin again elsewhere and be late again, until no time is left for a job
// that would have ended if left alone.
test('a job whose tasks all take longer than declared is left alone', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 16,
		taskMs: 2600,
	});
	const part = makePart(clock, {
		estimateMs: 842,
		tasks: [0, 1, 2, 3, 4, 5, 6].map((index) => [index, 1, 1]),
		remaining: 7,
	});
	scheduler.receivePart(entry, part);
	await runFor(clock, 2800, [[scheduler, entry]]);
	assert.deepEqual(
		listOutcomes(entry),
		Array.from({length: 7}, () => 'done'),
	);
	assert.equal(executors.runs.length, 7);
});

// A job's only task takes much longer than declared. A new run could not end while the caller waits, so
// stopping this one would only make certain that the caller gets no result.
test('a late task is left alone when no time is left for another run', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 4,
		taskMs: 600,
	});
	const part = makePart(clock, {estimateMs: 200, timeLeftMs: 640});
	scheduler.receivePart(entry, part);
	await runFor(clock, 700, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
	assert.equal(executors.runs.length, 1);
});

// A job with many tasks waits for free capacity, and a job of one short task arrives. It goes first by rank; if it were
// refused because of the larger job's work, its caller would be turned away from a group that would serve it
// next.
test('a small job is not refused because of larger ones that rank behind it', async () => {
	const {clock, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 200,
	});
	const wide = makePart(clock, {
		job: 'wide',
		estimateMs: 200,
		dueInMs: 2500,
		remaining: 12,
		tasks: Array.from({length: 12}, (_, index) => [index, 1, 1]),
	});
	scheduler.receivePart(entry, wide);
	await runFor(clock, 100, [[scheduler, entry]]);
	const small = makePart(clock, {
		job: 'small',
		estimateMs: 200,
		dueInMs: 500,
		admitInMs: 500,
	});
	scheduler.receivePart(entry, small);
	await runFor(clock, 400, [[scheduler, entry]]);
	const ends = entry.endMessages
		.filter(({job}) => job === 'small')
		.flatMap((message) => message.ends);
	assert.deepEqual(
		ends.map(({outcome}) => outcome),
		['done'],
	);
});

// An executor fails every task at once, so that its capacity is always free. Every task would be started there and
// use up one of its few attempts.
test('an executor that fails every task gets few tasks', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({count: 8});
	executors.fakes[0]!.isFailing = true;
	const results = await runSteadyLoad(clock, scheduler, entry, 40);
	const failed = executors.runs.filter(({outcome}) => outcome === 'failed');
	assert.ok(failed.length <= 8, `${failed.length} runs failed`);
	assert.ok(
		[...results.values()].every(({outcomes}) => !outcomes.includes('failed')),
	);
});

// An executor runs at a sixth of its speed for a while. Tasks placed there make their jobs late.
test('an executor that has become slow gets few tasks while others have free capacity', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({count: 8});
	executors.fakes[0]!.slowness = 6;
	const results = await runSteadyLoad(clock, scheduler, entry, 40);
	const delayed = [...results.values()].filter(({tookMs}) => tookMs > 200);
	assert.ok(delayed.length <= 6, `${delayed.length} of 40 were delayed`);
});

// One data centre is full while others have capacity for three more tasks. A task that waits behind long ones would
// be late; one that is returned can start in another data centre a millisecond later.
test('tasks that find no free capacity are returned while another group has some for them', async () => {
	const clock = new VirtualClock();
	const executors = createFakeExecutors(clock, {count: 1});
	const scheduler = createScheduler(clock, executors, 1, {
		capacityElsewhere: 3,
	});
	const entry = createEntry();
	await clock.run(10);
	const tasks = Array.from({length: 8}, (_, i): [number, number, number] => [
		i,
		1,
		1,
	]);
	scheduler.receivePart(entry, makePart(clock, {tasks, remaining: 8}));
	assert.equal(
		listOutcomes(entry).filter((one) => one === 'returned').length,
		3,
	);
	scheduler.receivePart(
		entry,
		makePart(clock, {job: 'job2', shifts: 2, remaining: 1}),
	);
	assert.equal(
		listOutcomes(entry).filter((one) => one === 'returned').length,
		3,
	);
	await runFor(clock, 600, [[scheduler, entry]]);
	const outcomes = listOutcomes(entry);
	assert.equal(outcomes.filter((one) => one === 'done').length, 6);
});

// A task was returned, and at the same moment the entry sends its part again, because its connection was lost.
// The entry places the task elsewhere when it learns of the return; if the task were started here as well, it
// would run twice.
test('a part that is sent again does not start a task that was returned', async () => {
	const clock = new VirtualClock();
	const executors = createFakeExecutors(clock, {count: 1});
	const scheduler = createScheduler(clock, executors, 1, {
		capacityElsewhere: 1,
	});
	const entry = createEntry();
	await clock.run(10);
	const full = makePart(clock, {
		job: 'job0',
		tasks: makeTasks(2),
	});
	scheduler.receivePart(entry, full);
	const part = makePart(clock, {tasks: [[0, 1, 1]]});
	scheduler.receivePart(entry, part);
	assert.deepEqual(listOutcomes(entry), ['returned']);
	await runFor(clock, 300, [[scheduler, entry]]);
	scheduler.receivePart(entry, part);
	await runFor(clock, 300, [[scheduler, entry]]);
	assert.equal(executors.runs.filter(({job}) => job === 'job1').length, 0);
	assert.equal(listOutcomes(entry).at(-1), 'returned');
	scheduler.receivePart(entry, makePart(clock, {tasks: [[0, 1, 2]]}));
	await runFor(clock, 300, [[scheduler, entry]]);
	assert.equal(executors.runs.filter(({job}) => job === 'job1').length, 1);
});

// Ten hosts see the same free capacity in a state message that is a moment old, and send their jobs at once. If all
// were admitted, each would make the others late; jobs that can't be in time are returned at once.
test('jobs that would be late are returned at once, the others end in time', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({count: 2});
	for (let i = 0; i < 20; i += 1) {
		const tasks: Part['tasks'] = [
			[0, 1, 1],
			[1, 1, 1],
		];
		scheduler.receivePart(
			entry,
			makePart(clock, {job: `job${i}`, tasks, remaining: 2, admitInMs: 300}),
		);
	}

	const atOnce = listOutcomes(entry).filter((one) => one === 'returned').length;
	assert.ok(atOnce >= 26, `${atOnce} tasks came back at once`);
	await runFor(clock, 300, [[scheduler, entry]]);
	const done = listOutcomes(entry).filter((one) => one === 'done').length;
	assert.equal(done + atOnce, 40);
	assert.ok(done >= 8, `${done} tasks were done in time`);
});

// The group changes hands while it is full, and the entry's part arrives before the executors have reported
// their runs. If tasks were returned because another group has free capacity, they would be started a second time.
test('a new scheduler does not return tasks that run under the old one', async () => {
	const {
		clock,
		executors,
		scheduler: first,
		entry,
	} = await openScheduler({count: 1, taskMs: 600});
	const tasks: Part['tasks'] = [
		[0, 1, 1],
		[1, 1, 1],
	];
	const part = makePart(clock, {tasks, remaining: 2, estimateMs: 600});
	first.receivePart(entry, part);
	await runFor(clock, 200, [[first, entry]]);
	const second = createScheduler(clock, executors, 2, {
		capacityElsewhere: 5,
	});
	const moved = {...part, stateAt: clock.now, isMoved: true, admitInMs: 100};
	second.receivePart(entry, moved);
	await runFor(clock, 1000, [[second, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done', 'done']);
	assert.equal(executors.runs.length, 2);
});

// A holder wakes from a pause in which its entry has placed a task elsewhere. The entry still renews the claim
// of another job here; the task must not be started again for that.
test('a task whose claim ended during a pause is not started again', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
	});
	scheduler.receivePart(
		entry,
		makePart(clock, {estimateMs: 5000, timeLeftMs: 20_000}),
	);
	await runFor(clock, 100, [[scheduler, entry]]);
	await clock.run(1900);
	assert.equal(executors.runs[0]!.outcome, 'ended');
	const other = makePart(clock, {job: 'other', claim: 2, timeLeftMs: 20_000});
	scheduler.receivePart(entry, other);
	scheduler.update();
	await runFor(clock, 1000, [[scheduler, entry, [2]]]);
	const started = executors.runs.filter(({job}) => job === 'job1');
	assert.equal(started.length, 1);
	const returned = entry.endMessages.findLast(({job}) => job === 'job1');
	assert.equal(returned?.ends[0]?.outcome, 'returned');
});
