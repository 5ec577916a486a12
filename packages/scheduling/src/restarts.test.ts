/**
Executors that start again under their id, as the scheduler of their group sees them, on a virtual clock.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {errAsync, ok, ResultAsync} from 'neverthrow';
import {type Executor} from './executor.js';
import {
	createFakeExecutors,
	findOverlaps,
	type CallDelay,
	type CallOutcome,
	type FakeCall,
	type FakeExecutors,
} from './fake-executors.fixture.js';
import {makeStoreToken} from './fencing-token.js';
import {
	createEntry,
	createScheduler,
	listOutcomes,
	makePart,
	makeTasks,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';
import {VirtualClock} from './virtual-clock.fixture.js';

const firstBornMs = 1_000_000;
const cpu = 14_000;
const getDemand = () => ({cpu, memoryMb: 64, accelerators: 0});

function listExecutors({fakes}: FakeExecutors) {
	return fakes.map(({executor}) => executor);
}

/** The first start is not answered, and is carried out `ms` later. */
function delayFirstStart(ms: number) {
	let hasDelayed = false;
	return ({kind}: FakeCall): CallOutcome => {
		if (kind !== 'start' || hasDelayed) {
			return {type: 'answered'};
		}

		hasDelayed = true;
		return {type: 'late', ms};
	};
}

const clocks: ReadonlyArray<{how: string; clockMs: number | undefined}> = [
	{how: 'behind', clockMs: 0},
	{how: 'equal to', clockMs: undefined},
	{how: 'ahead of', clockMs: 500_000},
];

for (const {how, clockMs} of clocks) {
	// Guards against an executor whose reports are dropped as older ones, and whose ends are taken for acknowledged ones, until
	// its clock and its numbers have caught up with those of the former process.
	test(`tasks run again on a restarted executor whose clock is ${how} the former one, without a registration`, async () => {
		const {clock, executors, scheduler, entry} = await openScheduler({
			count: 1,
			taskMs: 100,
			getDemand,
			firstBornMs,
		});
		await clock.run(5000);
		for (let i = 0; i < 6; i += 1) {
			scheduler.receivePart(
				entry,
				makePart(clock, {job: `early${i}`, tasks: makeTasks(1)}),
			);
			await runFor(clock, 150, [[scheduler, entry]]);
		}

		scheduler.receivePart(entry, makePart(clock, {tasks: makeTasks(2)}));
		await clock.run(50);
		executors.restart(executors.fakes[0]!, {downMs: 20, clockMs});
		await runFor(clock, 500, [[scheduler, entry]]);
		assert.deepEqual(
			listOutcomes(entry),
			Array.from({length: 8}, () => 'done'),
		);
		assert.deepEqual(findOverlaps(executors.runs), []);
	});
}

for (const {how, clockMs} of clocks) {
	// Guards against counting a run of the next process as lost with the former one, because the answer to its start doesn't state
	// which of them has it: the task would run a second time elsewhere.
	test(`a start that the next process of its executor accepts, with a clock ${how} the former one, is not sent again`, async () => {
		for (const taskMs of [600, 60, 30]) {
			const {clock, executors, scheduler, entry} = await openScheduler({
				count: 4,
				taskMs,
				getDemand,
				firstBornMs,
				bornIn: 'lists',
				stopMs: 20,
			});
			await clock.run(900);
			for (const fake of executors.fakes) {
				executors.restart(fake, {downMs: 20, clockMs});
			}

			await clock.run(30);
			const tasks = makeTasks(2);
			scheduler.receivePart(
				entry,
				makePart(clock, {tasks, remaining: 2, estimateMs: taskMs}),
			);
			await runFor(clock, 2000, [[scheduler, entry]]);
			assert.deepEqual(findOverlaps(executors.runs), []);
			assert.deepEqual(listOutcomes(entry), ['done', 'done']);
			assert.equal(executors.runs.length, 2);
		}
	});
}

// Guards against a lease that is reckoned by the clock of the former process: the next one, which has accepted the start, may end the
// run later.
test('a task accepted by a process that is not known is placed elsewhere only when the longest lease has passed', async () => {
	for (const clockMs of [0, 400]) {
		const clock = new VirtualClock();
		const executors = createFakeExecutors(clock, {
			count: 2,
			taskMs: 950,
			getDemand,
			firstBornMs,
			bornIn: 'lists',
		});
		const {control} = executors;
		let isUnhealthy = false;
		const refuseCall = (executor: Executor) =>
			isUnhealthy && executor.id === 'e1'
				? errAsync({code: 'unhealthy' as const, message: 'status 503'})
				: undefined;
		const unhealthyControl: typeof control = {
			...control,
			startTask: (executor, request) =>
				refuseCall(executor) ?? control.startTask(executor, request),
			stopTask: (executor, request) =>
				refuseCall(executor) ?? control.stopTask(executor, request),
			renewLease: (executor, request) =>
				refuseCall(executor) ?? control.renewLease(executor, request),
		};
		const scheduler = createScheduler(
			clock,
			{...executors, control: unhealthyControl},
			1,
		);
		const entry = createEntry();
		await clock.run(910);
		executors.restart(executors.fakes[0]!, {downMs: 20, clockMs});
		await clock.run(30);
		scheduler.receivePart(entry, makePart(clock));
		isUnhealthy = true;
		await runFor(clock, 4000, [[scheduler, entry]]);
		assert.deepEqual(findOverlaps(executors.runs), []);
		assert.deepEqual(
			executors.runs.map(({executor}) => executor),
			['e1', 'e2'],
		);
		assert.deepEqual(listOutcomes(entry), ['done']);
	}
});

// Guards against waiting for an answer of the executor when the store has already told of its new process.
test('a registration of a later process ends the runs of the former one at once', async () => {
	const logged: string[] = [];
	const {clock, executors, scheduler, entry} = await openScheduler(
		{count: 2, taskMs: 100, getDemand, firstBornMs},
		{
			log(message) {
				logged.push(message);
			},
		},
	);
	scheduler.receivePart(entry, makePart(clock));
	await clock.run(50);
	const [run] = executors.runs;
	const fake = executors.fakes.find(
		({executor}) => executor.id === run!.executor,
	)!;
	executors.restart(fake, {downMs: 3000});
	scheduler.setExecutors(listExecutors(executors));
	await clock.run(2);
	assert.equal(executors.runs.length, 2);
	assert.ok(logged.includes('executor has started again'));
	assert.deepEqual(findOverlaps(executors.runs), []);
});

// Guards against a second start that can't be explained from the log: it has to name the run that was given up, the process that
// ended, and the process that had accepted the start.
test('the log names each run that is given up with the process of its executor', async () => {
	const lines: unknown[] = [];
	const {clock, executors, scheduler, entry} = await openScheduler(
		{count: 1, taskMs: 100, getDemand, firstBornMs},
		{
			log(message, fields) {
				if (message === 'run is over with the process of its executor') {
					lines.push(fields);
				}
			},
		},
	);
	scheduler.receivePart(entry, makePart(clock));
	await clock.run(50);
	executors.restart(executors.fakes[0]!, {downMs: 3000});
	scheduler.setExecutors(listExecutors(executors));
	assert.deepEqual(lines, [
		{
			executor: 'e1',
			bornMs: firstBornMs,
			job: 'job1',
			task: 0,
			attempt: 1,
			ageMs: 50,
			acceptedAgoMs: 50,
			acceptedBornMs: firstBornMs,
		},
	]);
});

// Guards against starts on a process of another kind: until its registration is read, the labels of the former one would count.
test('a task that requires a label is not started on a later process before its registration is read', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 100,
		getDemand,
		firstBornMs,
	});
	const label = (executor: Executor, kind: string) => ({
		...executor,
		labels: [kind],
	});
	const [first, second] = executors.fakes;
	scheduler.setExecutors([
		label(first!.executor, 'a'),
		label(second!.executor, 'b'),
	]);
	executors.restart(first!, {downMs: 10});
	await runFor(clock, 1100, [[scheduler, entry]]);
	const constraints = {requiredLabel: 'a'};
	scheduler.receivePart(entry, makePart(clock, {constraints}));
	await runFor(clock, 200, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 0);
	scheduler.setExecutors([
		label(first!.executor, 'b'),
		label(second!.executor, 'a'),
	]);
	await runFor(clock, 200, [[scheduler, entry]]);
	assert.deepEqual(
		executors.runs.map(({executor}) => executor),
		['e2'],
	);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// Guards against starts beyond the capacity of a process that is smaller than the former one and does not refuse them.
test('nothing is started on a later process that does not guard its capacity before its registration is read', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 100,
		getDemand,
		firstBornMs,
		isCapacityEnforced: false,
	});
	const [fake] = executors.fakes;
	executors.restart(fake!, {downMs: 10});
	await runFor(clock, 1100, [[scheduler, entry]]);
	scheduler.receivePart(entry, makePart(clock));
	await runFor(clock, 200, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 0);
	assert.deepEqual(listOutcomes(entry), ['returned']);
	scheduler.setExecutors(listExecutors(executors));
	scheduler.receivePart(entry, makePart(clock, {job: 'job2'}));
	await runFor(clock, 200, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 1);
});

// Guards against a list that is older than what the executor has answered: it would end the new session again.
test('a registration of the former process that comes after an answer of the later one changes nothing', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 300,
		getDemand,
		firstBornMs,
	});
	const former = listExecutors(executors);
	executors.restart(executors.fakes[0]!, {downMs: 10});
	await runFor(clock, 1100, [[scheduler, entry]]);
	scheduler.receivePart(entry, makePart(clock));
	await clock.run(50);
	scheduler.setExecutors(
		former.map((one) => ({...one, isDraining: true, labels: ['late']})),
	);
	assert.deepEqual(scheduler.countExecutors(), {open: 1, all: 1});
	await runFor(clock, 400, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
	assert.equal(executors.runs.length, 1);
});

// Guards against an executor that is unused for longer than a heartbeat, or a task that runs twice, because the second restart
// comes before the first is known.
test('two restarts within one heartbeat leave one open session, whichever of them is registered', async () => {
	for (const registered of [0, 1, 2]) {
		const {clock, executors, scheduler, entry} = await openScheduler({
			count: 1,
			taskMs: 200,
			getDemand,
			firstBornMs,
		});
		const fake = executors.fakes[0]!;
		scheduler.receivePart(entry, makePart(clock));
		await clock.run(50);
		const processes = [fake.executor];
		executors.restart(fake, {downMs: 200, clockMs: 0});
		processes.push(fake.executor);
		await clock.run(210);
		executors.restart(fake, {downMs: 200, clockMs: 0});
		processes.push(fake.executor);
		scheduler.setExecutors([processes[registered]!]);
		await runFor(clock, 1000, [[scheduler, entry]]);
		assert.deepEqual(scheduler.countExecutors(), {open: 1, all: 1});
		assert.deepEqual(listOutcomes(entry), ['done']);
		assert.deepEqual(findOverlaps(executors.runs), []);
	}
});

// A start is on its way when its executor restarts, and the new process, which knows no token and no attempt, carries it out
// seconds later. If the task had been placed elsewhere when the lease passed, it would run twice.
test('a start that a later process may carry out is cancelled there before its task is placed again', async () => {
	for (const {clockMs} of clocks) {
		for (const downMs of [50, 1500, 2490]) {
			const {clock, executors, scheduler, entry} = await openScheduler({
				count: 2,
				taskMs: 600,
				getDemand,
				firstBornMs,
				decideOutcome: delayFirstStart(2500),
			});
			scheduler.receivePart(entry, makePart(clock));
			const fake = executors.fakes[0]!;
			executors.restart(fake, {downMs, clockMs});
			await runFor(clock, 4000, [[scheduler, entry]]);
			assert.deepEqual(listOutcomes(entry), ['done'], `${downMs} ${clockMs}`);
			assert.deepEqual(findOverlaps(executors.runs), []);
			// A start that arrives right after the restart may come before the stop, and is stopped then.
			assert.ok(executors.runs.length <= (downMs > 2400 ? 2 : 1));
			assert.deepEqual(scheduler.countExecutors(), {open: 2, all: 2});
		}
	}
});

// As above, but the new process carries the start out before anyone reaches it.
test('a run that a later process began from a late start is stopped before its task is placed again', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 600,
		getDemand,
		firstBornMs,
		decideOutcome: delayFirstStart(2500),
	});
	scheduler.receivePart(entry, makePart(clock));
	const fake = executors.fakes[0]!;
	executors.restart(fake, {downMs: 2000, clockMs: 0});
	fake.unreachableFrom = 'all';
	await runFor(clock, 2700, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 1);
	fake.unreachableFrom = new Set();
	await runFor(clock, 1500, [[scheduler, entry]]);
	assert.deepEqual(
		executors.runs.map(({outcome}) => outcome),
		['ended', 'done'],
	);
	assert.deepEqual(findOverlaps(executors.runs), []);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// The former process answered the stop of a start, and the task was placed again. The stop says nothing to the new process.
test('a start that the former process has cancelled is cancelled again at the later one', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 4000,
		getDemand,
		firstBornMs,
		decideOutcome: delayFirstStart(3000),
	});
	scheduler.receivePart(entry, makePart(clock, {timeLeftMs: 9000}));
	await runFor(clock, 500, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 1);
	executors.restart(executors.fakes[0]!, {downMs: 100, clockMs: 0});
	await runFor(clock, 5000, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 1);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// Guards against a late start that reaches the next process of an idle executor before its scheduler does: the process knows neither
// the token nor the stop, and the task runs elsewhere.
test('a late start is refused by a process that has been up for 40 ms, although nothing ran on the former one', async () => {
	for (let lateMs = 3000; lateMs <= 4000; lateMs += 90) {
		const {clock, executors, scheduler, entry} = await openScheduler({
			count: 2,
			taskMs: 5000,
			getDemand,
			firstBornMs,
			decideOutcome: delayFirstStart(lateMs),
		});
		const startedAt = clock.now;
		scheduler.receivePart(
			entry,
			makePart(clock, {estimateMs: 5000, timeLeftMs: 9000}),
		);
		const restartAt = startedAt + lateMs - 740;
		await runFor(clock, restartAt - clock.now, [[scheduler, entry]]);
		await clock.run(Math.max(0, restartAt - clock.now));
		executors.restart(executors.fakes[0]!, {
			downMs: startedAt + lateMs - 40 - clock.now,
			clockMs: 0,
		});
		await runFor(clock, 2000, [[scheduler, entry]]);
		assert.deepEqual(findOverlaps(executors.runs), [], `${lateMs} ms late`);
		assert.equal(executors.runs.length, 1);
	}
});

// The same across a change of holders: the next holder knows nothing of the start that its predecessor had no answer to.
test('a late start of the former holder is refused by a process that has been up for 40 ms', async () => {
	for (let lateMs = 3000; lateMs <= 4000; lateMs += 90) {
		const {clock, executors, scheduler, entry} = await openScheduler({
			count: 2,
			taskMs: 5000,
			getDemand,
			firstBornMs,
			decideOutcome: delayFirstStart(lateMs),
		});
		const startedAt = clock.now;
		scheduler.receivePart(
			entry,
			makePart(clock, {estimateMs: 5000, timeLeftMs: 9000}),
		);
		await runFor(clock, 500, [[scheduler, entry]]);
		scheduler.close();
		const next = createScheduler(clock, executors, 2);
		next.receivePart(
			entry,
			makePart(clock, {
				token: 2,
				estimateMs: 5000,
				timeLeftMs: 9000,
				isMoved: true,
			}),
		);
		const restartAt = startedAt + lateMs - 740;
		await runFor(clock, restartAt - clock.now, [[next, entry]]);
		executors.restart(executors.fakes[0]!, {
			downMs: startedAt + lateMs - 40 - clock.now,
			clockMs: 0,
		});
		await runFor(clock, 2000, [[next, entry]]);
		assert.deepEqual(findOverlaps(executors.runs), [], `${lateMs} ms late`);
		assert.equal(executors.runs.length, 1);
	}
});

// Guards against a late start that the next process carries out beside another run of its task, because the stops that would cancel
// it there are lost. The first call that the process has answered has to be enough.
test('a late start is refused by a process that has answered a renewal but no stop', async () => {
	const clock = new VirtualClock();
	const decideFirstStart = delayFirstStart(3000);
	let areStopsLost = false;
	const executors = createFakeExecutors(clock, {
		count: 2,
		taskMs: 5000,
		getDemand,
		firstBornMs,
		decideOutcome: (call) =>
			areStopsLost && call.kind === 'stop' && call.executor === 'e1'
				? {type: 'lost'}
				: decideFirstStart(call),
	});
	const scheduler = createScheduler(clock, executors, makeStoreToken(1));
	const entry = createEntry();
	await clock.run(10);
	scheduler.receivePart(entry, makePart(clock, {timeLeftMs: 9000}));
	await runFor(clock, 2000, [[scheduler, entry]]);
	areStopsLost = true;
	executors.restart(executors.fakes[0]!, {downMs: 700, clockMs: 0});
	await runFor(clock, 5000, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 1);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// Guards against a holder that gives its group up because the next process of an executor refuses a stop that was on its way to the
// former one, and whose token is below that of the present session.
test('a holder keeps its group when a late call to a former process is refused for the token of the next one', async () => {
	const clock = new VirtualClock();
	let delay: CallDelay = {requestMs: 0, answerMs: 0};
	const executors = createFakeExecutors(clock, {
		count: 1,
		taskMs: 300,
		getDemand,
		firstBornMs,
		bornIn: 'lists',
		chooseDelay: () => delay,
	});
	const scheduler = createScheduler(clock, executors, makeStoreToken(1));
	const entry = createEntry();
	await clock.run(10);
	scheduler.receivePart(entry, makePart(clock));
	await runFor(clock, 50, [[scheduler, entry]]);
	delay = {requestMs: 20, answerMs: 0};
	scheduler.setExecutors([]);
	delay = {requestMs: 0, answerMs: 0};
	executors.restart(executors.fakes[0]!, {downMs: 5, clockMs: 0});
	await clock.run(10);
	scheduler.setExecutors(listExecutors(executors));
	await runFor(clock, 1000, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
	assert.deepEqual(findOverlaps(executors.runs), []);
});

const restartsBeforeTakeover: ReadonlyArray<{
	how: string;
	restartedAgoMs: number | undefined;
	isWaitedFor: boolean;
}> = [
	{how: 'just now', restartedAgoMs: 500, isWaitedFor: true},
	{how: 'long ago', restartedAgoMs: 25_000, isWaitedFor: false},
	{how: 'never', restartedAgoMs: undefined, isWaitedFor: false},
];

for (const {how, restartedAgoMs, isWaitedFor} of restartsBeforeTakeover) {
	// Guards against a run of the former holder that begins, or whose lease is extended, after all its leases should have passed: its
	// late calls reach a process that has started again and that the new holder can't reach. The wait must not delay other takeovers.
	test(`a moved task waits beyond the former holder's leases for a silent executor only if it restarted just now: ${how}`, async () => {
		const {clock, executors, scheduler, entry} = await openScheduler({
			count: 2,
			taskMs: 100,
			getDemand,
			firstBornMs,
		});
		await clock.run(30_000);
		scheduler.close();
		const fake = executors.fakes[0]!;
		fake.unreachableFrom = 'all';
		const listed = listExecutors(executors).map((executor) =>
			executor.id === 'e1' && restartedAgoMs !== undefined
				? {...executor, restartedAt: clock.now - restartedAgoMs}
				: executor,
		);
		const next = createScheduler(clock, {...executors, executors: listed}, 2);
		next.receivePart(
			entry,
			makePart(clock, {token: 2, isMoved: true, timeLeftMs: 60_000}),
		);
		await runFor(clock, 1050, [[next, entry]]);
		assert.equal(executors.runs.length, 0);
		await runFor(clock, 2000, [[next, entry]]);
		assert.equal(executors.runs.length, isWaitedFor ? 0 : 1);
		fake.unreachableFrom = new Set();
		await runFor(clock, 300, [[next, entry]]);
		assert.deepEqual(listOutcomes(entry), ['done']);
		assert.equal(executors.runs.length, 1);
	});
}

// Guards against a task that waits for ever for an executor that has started again and does not come back.
test('a moved task is placed when no late call of the former holder can arrive any more', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 100,
		getDemand,
		firstBornMs,
	});
	scheduler.close();
	const next = createScheduler(clock, executors, 2);
	executors.fakes[0]!.unreachableFrom = 'all';
	executors.restart(executors.fakes[0]!, {downMs: 10, clockMs: 0});
	next.setExecutors(listExecutors(executors));
	next.receivePart(
		entry,
		makePart(clock, {token: 2, isMoved: true, timeLeftMs: 60_000}),
	);
	await runFor(clock, 19_900, [[next, entry]]);
	assert.equal(executors.runs.length, 0);
	await runFor(clock, 500, [[next, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// Guards against a task that waits for ever for an executor that does not come back.
test('a task whose start had no answer is placed again once the start can not arrive any more', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 100,
		getDemand,
		firstBornMs,
		decideOutcome: delayFirstStart(2500),
	});
	scheduler.receivePart(entry, makePart(clock, {timeLeftMs: 60_000}));
	executors.restart(executors.fakes[0]!, {downMs: 100_000});
	await runFor(clock, 19_000, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 0);
	await runFor(clock, 1500, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// Guards against a task that waits for a silent executor for no reason where ids tell processes apart.
test('without start times a task whose start had no answer is placed again when the lease has passed', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 100,
		getDemand,
		decideOutcome: delayFirstStart(60_000),
	});
	scheduler.receivePart(entry, makePart(clock));
	executors.fakes[0]!.unreachableFrom = 'all';
	await runFor(clock, 1300, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// The earlier holder knew of the new process, the list of the next holder does not yet. Its runs there must not be stopped.
test('a new holder claims runs on a process that started after its list was read', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 500,
		getDemand,
		firstBornMs,
	});
	const staleList = listExecutors(executors);
	executors.restart(executors.fakes[0]!, {downMs: 10, clockMs: 0});
	await runFor(clock, 1200, [[scheduler, entry]]);
	scheduler.receivePart(entry, makePart(clock));
	await clock.run(100);
	scheduler.close();
	const next = createScheduler(clock, {...executors, executors: staleList}, 2);
	next.receivePart(entry, makePart(clock, {token: 2, isMoved: true}));
	await runFor(clock, 600, [[next, entry]]);
	assert.equal(executors.runs.length, 1);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// The executor restarts after the new holder has its report. What runs there was started by the former holder, which
// no longer holds the group, and whose token the new process has not been told.
test('a new holder stops a run that a former holder starts on a process that came later', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 3000,
		getDemand,
		firstBornMs,
	});
	const next = createScheduler(clock, executors, 2);
	await clock.run(10);
	const fake = executors.fakes[0]!;
	executors.restart(fake, {downMs: 5, clockMs: 0});
	await clock.run(6);
	await executors.control.startTask(fake.executor, {
		job: 'job1',
		index: 0,
		attempt: 1,
		spec: '',
		leaseUntilMs: 5000,
		token: 1,
		answerTimeoutMs: 100,
	});
	await runFor(clock, 1300, [[next, entry]]);
	assert.equal(executors.runs[0]?.outcome, 'ended');
	next.receivePart(entry, makePart(clock, {token: 2}));
	await runFor(clock, 3100, [[next, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
	assert.deepEqual(findOverlaps(executors.runs), []);
	scheduler.close();
});

// Guards against two restarts that count as one crash, and against a crash that is forgotten when the next process answers.
test('each restart is one crash of the process that ended', async () => {
	const crashes: unknown[] = [];
	const {clock, executors, scheduler, entry} = await openScheduler(
		{count: 1, taskMs: 4000, getDemand, firstBornMs},
		{
			log(message, {executor}) {
				if (message === 'an executor crashed under a task') {
					crashes.push(executor);
				}
			},
		},
	);
	const fake = executors.fakes[0]!;
	scheduler.receivePart(entry, makePart(clock));
	await clock.run(50);
	executors.restart(fake, {downMs: 40, clockMs: 0});
	const secondBornMs = fake.executor.bornMs;
	await runFor(clock, 700, [[scheduler, entry]]);
	executors.restart(fake, {downMs: 40, clockMs: 0});
	// A crash counts once it is known, after a second, that it is no part of a wave.
	await runFor(clock, 1500, [[scheduler, entry]]);
	assert.deepEqual(crashes, [`e1@${firstBornMs}`, `e1@${secondBornMs}`]);
	assert.deepEqual(
		entry.endMessages.flatMap((message) => message.crashes ?? []).at(-1)
			?.crashed,
		crashes,
	);
});

// Guards against a new process whose fence, clock or ends are overwritten by what its predecessor said.
test('an answer of an earlier process is treated as no answer, whatever it says', async () => {
	const clock = new VirtualClock();
	const executors = createFakeExecutors(clock, {
		count: 1,
		taskMs: 200,
		getDemand,
		firstBornMs,
	});
	let isLate = false;
	const {control} = executors;
	const lateControl: typeof control = {
		...control,
		renewLease: (executor, request) =>
			isLate
				? new ResultAsync(
						(async () => {
							await clock.wait(5);
							return ok({
								bornMs: firstBornMs - 1,
								clockMs: 900_000,
								running: [{job: 'job9', index: 0, attempt: 1}],
								ended: [
									{
										job: 'job1',
										index: 0,
										attempt: 1,
										sequence: 90,
										outcome: 'done' as const,
									},
								],
								hasMoreEnds: false,
							});
						})(),
					)
				: control.renewLease(executor, request),
	};
	const scheduler = createScheduler(
		clock,
		{...executors, control: lateControl},
		1,
	);
	await clock.run(10);
	const entry = createEntry();
	scheduler.receivePart(entry, makePart(clock));
	isLate = true;
	await runFor(clock, 100, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), []);
	isLate = false;
	await runFor(clock, 400, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
	assert.equal(executors.runs.length, 1);
});

// Guards against a job that is given up, as its executors seem to crash under it, when they had restarted before it came.
for (const bornIn of ['all', 'lists'] as const) {
	for (const {how, clockMs} of clocks) {
		test(`a start that reaches the next process of an idle executor, with a clock ${how} the former one, is blamed for no crash when ${bornIn} state born`, async () => {
			const blamed: unknown[] = [];
			const {clock, executors, scheduler, entry} = await openScheduler(
				{count: 4, taskMs: 300, getDemand, firstBornMs, bornIn},
				{
					log(message, fields) {
						if (message === 'an executor crashed under a task') {
							blamed.push(fields);
						}
					},
				},
			);
			await clock.run(900);
			executors.restart(executors.fakes[0]!, {downMs: 20, clockMs});
			await clock.run(30);
			scheduler.receivePart(entry, makePart(clock, {estimateMs: 300}));
			await runFor(clock, 2500, [[scheduler, entry]]);
			assert.deepEqual(listOutcomes(entry), ['done']);
			assert.deepEqual(blamed, []);
		});
	}
}
