/**
Executors whose capacity shrinks and grows while tasks run there, on a virtual clock.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createFakeExecutors,
	findOverfull,
	type FakeCall,
	type FakeExecutors,
} from './fake-executors.fixture.js';
import {
	createEntry,
	createScheduler,
	listOutcomes,
	makePart,
	makeTasks,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';
import {claimLimitMs, renewWaitMs} from './timing.js';
import {VirtualClock} from './virtual-clock.fixture.js';

const demand = {cpu: 14_000, memoryMb: 64, accelerators: 0};
const large = {...demand, cpu: 28_000};

/** What the executor says of its room from now on, as the scheduler's next list shows it. */
function sayCapacity(
	executors: FakeExecutors,
	scheduler: {setExecutors: (list: FakeExecutors['executors']) => void},
	capacity: Partial<typeof demand>,
): void {
	const [fake] = executors.fakes;
	executors.setCapacity(fake!, {...fake!.executor.capacity, ...capacity});
	scheduler.setExecutors(executors.fakes.map(({executor}) => executor));
}

function countActive({fakes}: FakeExecutors): number {
	return fakes.reduce((sum, {active}) => sum + active.length, 0);
}

// Guards against starts on an executor whose room shrank below what runs there.
test('an executor with less room than its runs need gets nothing until enough of them have ended', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: ({job}) => (job === 'job1' ? 400 : 100),
		getDemand: () => demand,
		isGuarded: false,
	});
	const part = makePart(clock, {tasks: makeTasks(2), remaining: 2});
	scheduler.receivePart(entry, part);
	await runFor(clock, 100, [[scheduler, entry]]);
	assert.equal(countActive(executors), 2);
	sayCapacity(executors, scheduler, {cpu: 16_000});
	const {free, capacity} = scheduler.describeState();
	assert.deepEqual({free, capacity}, {free: [0], capacity: 16_000});
	scheduler.receivePart(
		entry,
		makePart(clock, {job: 'job2', tasks: makeTasks(2), remaining: 2}),
	);
	await runFor(clock, 1000, [[scheduler, entry]]);
	assert.deepEqual(findOverfull(executors, 0), []);
	assert.deepEqual(listOutcomes(entry), ['done', 'done', 'done', 'done']);
});

// Guards against room that is told to entries although nothing can be started there.
test('an executor without memory left offers no processor', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({count: 1});
	scheduler.receivePart(entry, makePart(clock));
	await runFor(clock, 50, [[scheduler, entry]]);
	sayCapacity(executors, scheduler, {memoryMb: 32});
	assert.deepEqual(scheduler.describeState().free, [0]);
});

// Guards against starts in the room of a run that has been told to stop and still runs.
test('a run that is being stopped counts until its end is listed', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 2000,
		stopMs: 40,
		getDemand: () => demand,
		isGuarded: false,
	});
	scheduler.receivePart(
		entry,
		makePart(clock, {tasks: makeTasks(2), remaining: 2}),
	);
	await runFor(clock, 100, [[scheduler, entry]]);
	scheduler.receivePart(
		entry,
		makePart(clock, {job: 'job2', tasks: makeTasks(2), remaining: 2}),
	);
	scheduler.dropJob(entry, 'job1');
	await clock.run(30);
	assert.equal(executors.runs.length, 2);
	await runFor(clock, 200, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 4);
	assert.deepEqual(findOverfull(executors, 0), []);
});

// Guards against starts beside one that was carried out late, and is being stopped when its executor answers again.
test('a start that was carried out during a silence counts until it is gone', async () => {
	let isSilent = false;
	let lateMs = 0;
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
		stopMs: 60,
		getDemand: () => large,
		isGuarded: false,
		decideFate({kind}: FakeCall) {
			if (kind === 'start' && lateMs > 0) {
				return {type: 'late', ms: lateMs};
			}

			return {type: isSilent ? 'lost' : 'answered'};
		},
	});
	lateMs = 600;
	isSilent = true;
	scheduler.receivePart(entry, makePart(clock, {demand: large}));
	await runFor(clock, 650, [[scheduler, entry]]);
	assert.equal(countActive(executors), 1);
	lateMs = 0;
	isSilent = false;
	for (let i = 0; i < 40; i += 1) {
		scheduler.receive(entry, {
			t: 'keep',
			token: 1,
			stateAt: clock.now,
			claims: [1],
		});
		scheduler.update();
		await clock.run(10);
	}

	assert.equal(executors.runs.length, 2);
	assert.equal(countActive(executors), 1);
	assert.deepEqual(findOverfull(executors, 0), []);
});

// Guards against growing room that stays unused.
test('room that has grown is used with the next list', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		cpu: 10_000,
		taskMs: 2000,
	});
	scheduler.receivePart(
		entry,
		makePart(clock, {tasks: makeTasks(2), remaining: 2}),
	);
	await runFor(clock, 100, [[scheduler, entry]]);
	assert.equal(countActive(executors), 0);
	sayCapacity(executors, scheduler, {cpu: 32_000});
	await clock.run(1);
	assert.equal(countActive(executors), 2);
});

/** A holder has a large task run and is gone; the next one gets a part for another job before that of the large task. */
async function takeOver(isGuarded: boolean) {
	const starts: string[] = [];
	const clock = new VirtualClock();
	const executors = createFakeExecutors(clock, {
		count: 1,
		taskMs: 600,
		getDemand: (job) => (job === 'large' ? large : demand),
		isGuarded,
		decideFate({kind, token}) {
			if (kind === 'start' && token === 2) {
				starts.push(`${clock.now}`);
			}

			return {type: 'answered'};
		},
	});
	const entry = createEntry();
	const first = createScheduler(clock, executors, 1);
	await clock.run(10);
	const part = makePart(clock, {
		job: 'large',
		demand: large,
		estimateMs: 600,
	});
	first.receivePart(entry, part);
	await runFor(clock, 100, [[first, entry]]);
	first.close();
	const second = createScheduler(clock, executors, 2);
	await clock.run(10);
	second.receivePart(
		entry,
		makePart(clock, {token: 2, tasks: makeTasks(2), remaining: 2}),
	);
	return {clock, executors, entry, second, part, starts};
}

// Guards against starts beside a run whose size the new holder can only guess.
test('a new holder starts nothing on an executor that does not guard its capacity until it knows what its runs need', async () => {
	const {clock, executors, entry, second, part} = await takeOver(false);
	assert.equal(executors.runs.length, 1);
	assert.deepEqual(second.describeState().free, [0]);
	await runFor(clock, 100, [[second, entry]]);
	assert.equal(executors.runs.length, 1);
	second.receivePart(entry, {...part, stateAt: clock.now, isMoved: true});
	await runFor(clock, 1500, [[second, entry]]);
	assert.deepEqual(findOverfull(executors, 0), []);
	assert.deepEqual(listOutcomes(entry), ['done', 'done', 'done']);
});

// Guards against an executor left idle for runs that nobody claims.
test('a run that nobody claims leaves an executor that does not guard its capacity once it is gone', async () => {
	const {clock, executors, entry, second} = await takeOver(false);
	await runFor(clock, claimLimitMs + 2 * renewWaitMs, [[second, entry]]);
	assert.equal(countActive(executors), 2);
	assert.deepEqual(findOverfull(executors, 0), []);
});

// Guards against starts that are refused again and again, each at a price.
test('an executor that has refused a start for want of room gets nothing until its room changes', async () => {
	const {clock, executors, entry, second, part, starts} = await takeOver(true);
	second.receivePart(entry, {...part, stateAt: clock.now, isMoved: true});
	await runFor(clock, 50, [[second, entry]]);
	assert.equal(starts.length, 1);
	const [large] = executors.runs;
	await runFor(clock, 1500, [[second, entry]]);
	assert.equal(starts.length, 3);
	assert.ok(Number(starts[1]) - large!.endedAt! < 10);
	assert.deepEqual(listOutcomes(entry), ['done', 'done', 'done']);
});

// Guards against a task that goes to a worse executor for a refusal that says nothing of either.
test('a refusal for want of room does not count against the executor or the task', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 2000,
		getDemand: () => demand,
	});
	const [first, second] = executors.fakes;
	scheduler.setExecutors([first!.executor]);
	const {capacity} = first!.executor;
	executors.setCapacity(first!, {...capacity, cpu: 0});
	scheduler.receivePart(entry, makePart(clock, {estimateMs: 2000}));
	await clock.run(5);
	assert.equal(executors.runs.length, 0);
	executors.setCapacity(first!, {...capacity, cpu: 64_000});
	scheduler.setExecutors([first!.executor, second!.executor]);
	await runFor(clock, 300, [[scheduler, entry]]);
	assert.deepEqual(
		executors.runs.map(({executor}) => executor),
		[first!.executor.id],
	);
});

// Guards against an executor that is never tried again after a refusal.
test('an executor that has refused a start is tried again after a short rest', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 2000,
		getDemand: () => demand,
	});
	const [fake] = executors.fakes;
	const {capacity} = fake!.executor;
	executors.setCapacity(fake!, {...capacity, cpu: 0});
	scheduler.receivePart(entry, makePart(clock));
	await runFor(clock, 50, [[scheduler, entry]]);
	assert.deepEqual(scheduler.describeState().free, [0]);
	executors.setCapacity(fake!, capacity);
	await runFor(clock, 500, [[scheduler, entry]]);
	assert.equal(countActive(executors), 1);
});

// Guards against room that stays unused for the rest after a refusal, although it is known to have changed.
test('an executor that has refused a start is tried again at once when its room changes', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: ({job}) => (job === 'short' ? 30 : 2000),
		getDemand: () => demand,
	});
	const [fake] = executors.fakes;
	const {capacity} = fake!.executor;
	scheduler.receivePart(entry, makePart(clock, {job: 'short'}));
	await clock.run(5);
	executors.setCapacity(fake!, {...capacity, cpu: demand.cpu});
	scheduler.receivePart(entry, makePart(clock));
	await clock.run(5);
	assert.equal(countActive(executors), 1);
	assert.deepEqual(scheduler.describeState().free, [0]);
	await clock.run(40);
	assert.deepEqual(
		executors.runs.map(({job}) => job),
		['short', 'job1'],
	);
	scheduler.receivePart(entry, makePart(clock, {job: 'job2'}));
	await clock.run(5);
	assert.equal(countActive(executors), 1);
	sayCapacity(executors, scheduler, {cpu: 2 * demand.cpu});
	await clock.run(5);
	assert.equal(countActive(executors), 2);
});
