/**
Executors whose capacity shrinks and grows while tasks run there, on a virtual clock.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createFakeExecutors,
	findOverloads,
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
import {claimLimitMs, maxRenewWaitMs} from './timing.js';
import {VirtualClock} from './virtual-clock.fixture.js';

const demand = {cpu: 14_000, memoryMb: 64, accelerators: 0};
const large = {...demand, cpu: 28_000};

/** Changes the capacity that the first executor reports, and gives the scheduler the new list of executors. */
function reportCapacity(
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

// The capacity shrinks below what the runs use. A start before enough of them have ended would overload the executor.
test('an executor whose runs exceed its capacity gets no start until enough of them have ended', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: ({job}) => (job === 'job1' ? 400 : 100),
		getDemand: () => demand,
		isCapacityEnforced: false,
	});
	const part = makePart(clock, {tasks: makeTasks(2), remaining: 2});
	scheduler.receivePart(entry, part);
	await runFor(clock, 100, [[scheduler, entry]]);
	assert.equal(countActive(executors), 2);
	reportCapacity(executors, scheduler, {cpu: 16_000});
	const {free, capacity} = scheduler.describeState();
	assert.deepEqual({free, capacity}, {free: [0], capacity: 16_000});
	scheduler.receivePart(
		entry,
		makePart(clock, {job: 'job2', tasks: makeTasks(2), remaining: 2}),
	);
	await runFor(clock, 1000, [[scheduler, entry]]);
	assert.deepEqual(findOverloads(executors, 0), []);
	assert.deepEqual(listOutcomes(entry), ['done', 'done', 'done', 'done']);
});

// Entries would send tasks to free processor time that no task can use.
test('an executor without free memory offers no processor time', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({count: 1});
	scheduler.receivePart(entry, makePart(clock));
	await runFor(clock, 50, [[scheduler, entry]]);
	reportCapacity(executors, scheduler, {memoryMb: 32});
	assert.deepEqual(scheduler.describeState().free, [0]);
});

// A stop is answered before the run has ended. A start in its place would overload the executor.
test('a run that is being stopped uses capacity until the executor reports its end', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 2000,
		stopMs: 40,
		getDemand: () => demand,
		isCapacityEnforced: false,
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
	scheduler.dropJob(entry, {job: 'job1', takenAtMs: Infinity});
	await clock.run(30);
	assert.equal(executors.runs.length, 2);
	await runFor(clock, 200, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 4);
	assert.deepEqual(findOverloads(executors, 0), []);
});

// A start gets no answer and is carried out late, while the executor is silent. When the executor answers again, that
// run is stopped; a start before it has ended would overload the executor.
test('a run that started late during a silence uses capacity until it has ended', async () => {
	let isSilent = false;
	let lateMs = 0;
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
		stopMs: 60,
		getDemand: () => large,
		isCapacityEnforced: false,
		decideOutcome({kind}: FakeCall) {
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
	assert.deepEqual(findOverloads(executors, 0), []);
});

// The added capacity would stay unused while tasks wait.
test('a capacity that has grown is used as soon as the next list shows it', async () => {
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
	reportCapacity(executors, scheduler, {cpu: 32_000});
	await clock.run(1);
	assert.equal(countActive(executors), 2);
});

/**
The first holder starts a large task and closes. The second one receives the part of another job before that of the
large task.
*/
async function takeOver(isCapacityEnforced: boolean) {
	const starts: string[] = [];
	const clock = new VirtualClock();
	const executors = createFakeExecutors(clock, {
		count: 1,
		taskMs: 600,
		getDemand: (job) => (job === 'large' ? large : demand),
		isCapacityEnforced,
		decideOutcome({kind, token}) {
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

// A new holder can only estimate the demand of a run that it has found. If the run needs more, a start would overload
// an executor that does not refuse it.
test('a new holder starts nothing on an executor that does not enforce its capacity until it knows the demand of its runs', async () => {
	const {clock, executors, entry, second, part} = await takeOver(false);
	assert.equal(executors.runs.length, 1);
	assert.deepEqual(second.describeState().free, [0]);
	await runFor(clock, 100, [[second, entry]]);
	assert.equal(executors.runs.length, 1);
	second.receivePart(entry, {...part, stateAt: clock.now, isMoved: true});
	await runFor(clock, 1500, [[second, entry]]);
	assert.deepEqual(findOverloads(executors, 0), []);
	assert.deepEqual(listOutcomes(entry), ['done', 'done', 'done']);
});

// The executor would stay idle because of a run whose demand no entry will ever send.
test('an executor that does not enforce its capacity gets tasks again once an unclaimed run has been stopped', async () => {
	const {clock, executors, entry, second} = await takeOver(false);
	await runFor(clock, claimLimitMs + 2 * maxRenewWaitMs, [[second, entry]]);
	assert.equal(countActive(executors), 2);
	assert.deepEqual(findOverloads(executors, 0), []);
});

// The start would be sent and refused again and again, and each attempt costs a call.
test('an executor that has refused a start for lack of free capacity gets no other until that changes', async () => {
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

// A refusal for lack of free capacity is no fault of the executor or the task. If it counted as one, the task would go
// to a worse executor.
test('a refusal for lack of free capacity does not count against the executor or the task', async () => {
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

// Otherwise an executor would never be tried again after a refusal.
test('an executor that has refused a start is tried again after a short pause', async () => {
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

// Free capacity that is known to have changed would stay unused for the whole pause after a refusal.
test('an executor that has refused a start is tried again at once when its free capacity changes', async () => {
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
	reportCapacity(executors, scheduler, {cpu: 2 * demand.cpu});
	await clock.run(5);
	assert.equal(countActive(executors), 2);
});
