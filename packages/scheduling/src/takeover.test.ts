/**
Runs of tasks while a group changes hands or calls are lost, on a virtual clock. Whichever answer is missing,
late or partial, no two runs of a task may overlap.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createFakeExecutors,
	findOverlaps,
	type CallOutcome,
	type FakeCall,
} from './fake-executors.fixture.js';
import {
	createEntry,
	createScheduler,
	listOutcomes,
	makePart,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';
import {entryAnswerLimitMs} from './timing.js';
import {VirtualClock} from './virtual-clock.fixture.js';

/**
Time after which a job's caller may have sent it again to another host, once its entry has died: no run of the
first copy may go on then.
*/
const resendMs = 1300;

// The new holder's first request to an executor is lost, and the executor counts as silent. Its next answer
// ends the silence and lists a run. If tasks were placed as soon as it answers, before the run is recorded, the
// task of that run would be started a second time, and the caller's chair reserved twice.
test('a report is recorded whole before a task from an earlier holder is placed', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 3000,
	});
	const part = makePart(clock, {estimateMs: 3000, timeLeftMs: 10_000});
	scheduler.receivePart(entry, part);
	await runFor(clock, 100, [[scheduler, entry]]);
	const fake = executors.fakes.find(
		({executor}) => executor.id === executors.runs[0]!.executor,
	)!;
	fake.unreachableFrom = new Set([2]);
	const second = createScheduler(clock, executors, 2);
	second.receivePart(entry, {...part, stateAt: clock.now, isMoved: true});
	await runFor(clock, 160, [[second, entry]]);
	fake.unreachableFrom = new Set();
	await runFor(clock, 3500, [[second, entry]]);
	assert.deepEqual(findOverlaps(executors.runs), []);
	assert.deepEqual(listOutcomes(entry), ['done']);
	assert.equal(executors.runs.length, 1);
});

// A new holder has two executors; one has reported the run of a part's task, the other is silent. No task of
// the job may be started before both have answered, but the run belongs to the part: if it were stopped as
// unclaimed, the task would begin again.
test('a run is claimed although other executors have yet to report', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 700,
	});
	const part = makePart(clock, {estimateMs: 700, timeLeftMs: 10_000});
	scheduler.receivePart(entry, part);
	await runFor(clock, 100, [[scheduler, entry]]);
	const other = executors.fakes.find(
		({executor}) => executor.id !== executors.runs[0]!.executor,
	)!;
	other.unreachableFrom = 'all';
	const second = createScheduler(clock, executors, 2);
	const moved = {...part, stateAt: clock.now, isMoved: true};
	second.receivePart(entry, moved);
	await runFor(clock, 900, [[second, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
	assert.equal(executors.runs.length, 1);
});

// Guards against a job that waits until its caller's time is over although its task is done: an entry that has sent a task again under
// another claim numbers its attempts beyond that of the run that an earlier holder started.
test('the end of a claimed run counts also when the entry numbers later attempts higher', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 1500,
	});
	const part = makePart(clock, {estimateMs: 1500, timeLeftMs: 10_000});
	scheduler.receivePart(entry, part);
	await runFor(clock, 200, [[scheduler, entry]]);
	scheduler.close();
	const second = createScheduler(clock, executors, 2);
	await clock.run(5);
	second.receivePart(entry, {
		...part,
		token: 2,
		stateAt: clock.now,
		isMoved: true,
		tasks: [[0, 17, 2]],
		claim: 2,
	});
	await runFor(clock, 2000, [[second, entry, [2]]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// A host dies that was a job's entry and scheduled its tasks. The host that takes the group over finds the
// runs, which no entry will ever claim. The caller sends the job again to another host, which knows nothing of
// them.
test('runs that no entry claims are over before their caller sends the job again', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
	});
	scheduler.receivePart(entry, makePart(clock, {timeLeftMs: 9000}));
	await runFor(clock, 300, [[scheduler, entry]]);
	const diedAt = clock.now - 50;
	for (let i = 0; i < 16; i += 1) {
		scheduler.update();
		await clock.run(50);
	}

	scheduler.close();
	const second = createScheduler(clock, executors, 2);
	for (let i = 0; i < 20; i += 1) {
		second.update();
		await clock.run(50);
	}

	const [run] = executors.runs;
	const ranMs = run!.endedAt! - diedAt;
	assert.ok(ranMs < resendMs, `it ran for ${ranMs} ms more`);
});

// The entry of a job dies, and the stops of its runs are lost again and again while the executor answers
// renewals. The executor also runs tasks of another job, whose lease is renewed. If that renewal covered all
// its runs, the dead entry's run would go on beside the job's second copy.
test('a run whose stop is lost ends before its caller sends the job again', async () => {
	let isLossy = false;
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
		decideOutcome: ({kind}: FakeCall): CallOutcome => ({
			type: isLossy && kind === 'stop' ? 'lost' : 'answered',
		}),
	});
	const dying = {...createEntry(), key: 'mieres_m2.0'};
	const other = makePart(clock, {job: 'other', timeLeftMs: 9000});
	scheduler.receivePart(dying, makePart(clock, {timeLeftMs: 9000}));
	scheduler.receivePart(entry, other);
	await runFor(clock, 300, [
		[scheduler, entry],
		[scheduler, dying],
	]);
	const diedAt = clock.now - 50;
	isLossy = true;
	await runFor(clock, 3000, [[scheduler, entry]]);
	const run = executors.runs.find(({job}) => job === 'job1')!;
	const ranMs = (run.endedAt ?? Infinity) - diedAt;
	assert.ok(ranMs < resendMs, `it ran for ${ranMs} ms more`);
});

// An entry gives a job up, and the message to drop it lies unread at the holder for 800 ms. The stops of its run are lost while the
// executor answers renewals. If the lease followed the stops' limit alone, which counts from the reading of the message, the run would
// go on beside the copy that the caller sends 1,300 ms after its answer.
test('a run whose drop is read late and whose stop is lost ends before its caller sends the job again', async () => {
	let isLossy = false;
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
		decideOutcome: ({kind}: FakeCall): CallOutcome => ({
			type: isLossy && kind === 'stop' ? 'lost' : 'answered',
		}),
	});
	const other = {...createEntry(), key: 'mieres_m2.0'};
	const part = makePart(clock, {timeLeftMs: 9000});
	scheduler.receivePart(entry, part);
	scheduler.receivePart(
		other,
		makePart(clock, {job: 'other', timeLeftMs: 9000}),
	);
	await runFor(clock, 300, [
		[scheduler, entry],
		[scheduler, other],
	]);
	const answeredAt = clock.now;
	isLossy = true;
	await runFor(clock, 800, [[scheduler, other]]);
	scheduler.dropJob(entry, {job: 'job1', takenAtMs: part.takenAtMs});
	await runFor(clock, 2500, [[scheduler, other]]);
	const run = executors.runs.find(({job}) => job === 'job1')!;
	const ranMs = (run.endedAt ?? Infinity) - answeredAt;
	assert.ok(ranMs < resendMs, `it ran for ${ranMs} ms more`);
});

// A start gets no answer, the executor falls silent and its lease expires, so the task is placed elsewhere. The
// executor's registration in the store expires and comes back. If it were followed as a new executor, it would
// carry out the old start under a fresh lease.
test('an unanswered start is still settled when its executor was unlisted meanwhile', async () => {
	let lateMs = 0;
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 6000,
		decideOutcome: ({kind}: FakeCall): CallOutcome =>
			lateMs > 0 && kind === 'start'
				? {type: 'late', ms: lateMs}
				: {type: 'answered'},
	});
	lateMs = 4000;
	const part = makePart(clock, {estimateMs: 6000, timeLeftMs: 20_000});
	scheduler.receivePart(entry, part);
	await clock.run(10);
	lateMs = 0;
	const [silent, other] = executors.fakes;
	silent!.unreachableFrom = 'all';
	scheduler.setExecutors([other!.executor]);
	await runFor(clock, 2500, [[scheduler, entry]]);
	silent!.unreachableFrom = new Set();
	scheduler.setExecutors(executors.executors);
	const filler = makePart(clock, {
		job: 'filler',
		timeLeftMs: 20_000,
		tasks: [
			[0, 1, 1],
			[1, 1, 1],
		],
	});
	await runFor(clock, 200, [[scheduler, entry]]);
	scheduler.receivePart(entry, filler);
	await runFor(clock, 6000, [[scheduler, entry]]);
	assert.deepEqual(findOverlaps(executors.runs), []);
});

// An executor's registration has been missing from the store for so long that the executor counts as gone,
// although it still answers its holder. The next holder will not know of it, and would start once more what
// runs there.
test('nothing is started or left running on an executor that is no longer listed', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 2000,
	});
	const part = makePart(clock, {estimateMs: 2000, timeLeftMs: 10_000});
	scheduler.receivePart(entry, part);
	await runFor(clock, 100, [[scheduler, entry]]);
	const [run] = executors.runs;
	scheduler.setExecutors(
		executors.executors.filter(({id}) => id !== run!.executor),
	);
	await runFor(clock, 200, [[scheduler, entry]]);
	assert.equal(run!.outcome, 'ended');
	const more = makePart(clock, {
		job: 'job2',
		tasks: [
			[0, 1, 1],
			[1, 1, 1],
			[2, 1, 1],
		],
	});
	scheduler.receivePart(entry, more);
	await runFor(clock, 100, [[scheduler, entry]]);
	const later = executors.runs.filter((one) => one !== run);
	assert.ok(later.every(({executor}) => executor !== run!.executor));
	assert.deepEqual(findOverlaps(executors.runs), []);
});

// A new holder finds a run, and then its executor falls silent. The run goes on under the lease that the
// earlier holder renewed a moment before. If it counted as over at once, its task would be started elsewhere
// beside it.
test('a found run counts as running until its lease expires when its executor falls silent', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 3000,
	});
	const part = makePart(clock, {estimateMs: 3000, timeLeftMs: 10_000});
	scheduler.receivePart(entry, part);
	await runFor(clock, 200, [[scheduler, entry]]);
	const fake = executors.fakes.find(
		({executor}) => executor.id === executors.runs[0]!.executor,
	)!;
	const second = createScheduler(clock, executors, 2);
	second.receivePart(entry, {...part, stateAt: clock.now, isMoved: true});
	await clock.run(0);
	fake.unreachableFrom = 'all';
	await runFor(clock, 4500, [[second, entry]]);
	assert.deepEqual(findOverlaps(executors.runs), []);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// A later copy has replaced a job's copy, but only the former holder was told. The entry of the earlier copy,
// which does not know yet that its caller's connection is broken, hands it to the new holder, which must not
// start it.
test('a task from an earlier holder waits until other hosts have reported which copies they replace', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 1000,
	});
	scheduler.close();
	const second = createScheduler(clock, executors, 2, {
		peers: ['mieres_m1', 'langreo_l1'],
	});
	const later = createEntry('langreo_l1.0');
	const part = makePart(clock, {isMoved: true, timeLeftMs: 10_000});
	second.receivePart(entry, part);
	await runFor(clock, 50, [[second, entry]]);
	assert.equal(executors.runs.length, 0);
	const replace = {
		t: 'replace',
		job: part.job,
		takenAtMs: 1000,
		timeLeftMs: 3000,
	} as const;
	second.receive(later, replace);
	await runFor(clock, 200, [
		[second, entry],
		[second, later],
	]);
	assert.equal(executors.runs.length, 0);
	assert.equal(later.replacedMessages[0]?.isRefused, false);
});

// Guards against a caller that loses its running job to an earlier copy of it, which lay unread at a host that was paused.
test('a request that lay unread does not replace the copy that was accepted after it', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 400,
	});
	const part = makePart(clock, {takenAtMs: 2000, timeLeftMs: 10_000});
	scheduler.receivePart(entry, part);
	const paused = createEntry('langreo_l1.0');
	const replace = {
		t: 'replace',
		job: part.job,
		timeLeftMs: 3000,
		isDelayed: true,
	} as const;
	scheduler.receive(paused, {...replace, takenAtMs: 1999});
	await runFor(clock, 100, [[scheduler, entry]]);
	assert.equal(paused.replacedMessages[0]?.isRefused, true);
	assert.equal(executors.runs[0]?.endedAt, undefined);
	scheduler.receive(paused, {...replace, takenAtMs: 2001});
	await runFor(clock, 100, [[scheduler, entry]]);
	assert.equal(executors.runs[0]?.outcome, 'ended');
	assert.equal(paused.replacedMessages[1]?.isRefused, false);
});

// Guards against a host that is down delaying a group that has changed hands.
test('a task from an earlier holder waits at most `entryAnswerLimitMs` for hosts that do not answer', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({count: 1});
	scheduler.close();
	const second = createScheduler(clock, executors, 2, {
		peers: ['mieres_m1', 'langreo_l1'],
	});
	const part = makePart(clock, {isMoved: true, timeLeftMs: 10_000});
	second.receivePart(entry, part);
	await runFor(clock, entryAnswerLimitMs + 100, [[second, entry]]);
	assert.equal(executors.runs.length, 1);
});
