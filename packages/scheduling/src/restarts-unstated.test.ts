/**
Executors that start again under their id and state which process answers only in their lists of runs, as the scheduler of their
group sees them, on a virtual clock.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {errAsync} from 'neverthrow';
import {
	createFakeExecutors,
	findOverlaps,
	type CallOutcome,
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
import {VirtualClock} from './virtual-clock.fixture.js';

const firstBornMs = 1_000_000;
const getDemand = () => ({cpu: 14_000, memoryMb: 64, accelerators: 0});

function listExecutors({fakes}: FakeExecutors) {
	return fakes.map(({executor}) => executor);
}

const clockReadings = [0, undefined, 500_000];

/** From now on the executor refuses each renewal as unhealthy, and runs on. */
function refuseRenewals({control}: FakeExecutors, id: string): void {
	const {renewLease} = control;
	control.renewLease = (executor, request) =>
		executor.id === id
			? errAsync({code: 'unhealthy', message: 'status 503'})
			: renewLease(executor, request);
}

/** Collects the crashes that were blamed on tasks. */
function collectBlames() {
	const blames: string[] = [];
	return {
		blames,
		log(message: string, fields: Record<string, unknown>) {
			if (message === 'an executor crashed under a task') {
				blames.push(`${String(fields.executor)} ${String(fields.task)}`);
			}
		},
	};
}

// Guards against a task that counts as alone on an executor that crashed under two tasks, as the losses of the two are noted one by one:
// it would be condemned after two crashes instead of three.
test('of two tasks on a crashed executor none counts as alone there', async () => {
	for (const bornIn of ['all', 'lists'] as const) {
		const {clock, executors, scheduler, entry} = await openScheduler({
			count: 1,
			taskMs: 600,
			getDemand,
			firstBornMs,
			bornIn,
		});
		await clock.run(900);
		scheduler.receivePart(
			entry,
			makePart(clock, {job: 'job1', estimateMs: 600}),
		);
		// A list shows the first run before the second start is accepted.
		await runFor(clock, 300, [[scheduler, entry]]);
		scheduler.receivePart(
			entry,
			makePart(clock, {job: 'job2', claim: 2, estimateMs: 600}),
		);
		await clock.run(5);
		executors.restart(executors.fakes[0]!, {downMs: 20, clockMs: 0});
		await runFor(clock, 1500, [[scheduler, entry, [1, 2]]]);
		const alone = entry.endMessages
			.flatMap(({crashes}) => crashes ?? [])
			.flatMap((row) => row.alone ?? []);
		assert.deepEqual(alone, [], bornIn);
	}
});

// Guards against a task that crashes executors and is not blamed for one of them, because the next process has ended, too, before it
// reported.
test('a crash is blamed on a task if the next process ends before its first report', async () => {
	for (const bornIn of ['all', 'lists'] as const) {
		const {blames, log} = collectBlames();
		const {clock, executors, scheduler, entry} = await openScheduler(
			{count: 1, taskMs: 600, getDemand, firstBornMs, bornIn},
			{log},
		);
		await clock.run(900);
		const fake = executors.fakes[0]!;
		scheduler.receivePart(entry, makePart(clock, {estimateMs: 600}));
		await clock.run(5);
		executors.restart(fake, {downMs: 20, clockMs: 0});
		scheduler.setExecutors(listExecutors(executors));
		await clock.run(15);
		// Down again before it is called.
		fake.unreachableFrom = 'all';
		await clock.run(10);
		executors.restart(fake, {downMs: 20, clockMs: 0});
		fake.unreachableFrom = new Set();
		await runFor(clock, 2500, [[scheduler, entry]]);
		assert.ok(
			blames.includes(`e1@${firstBornMs} 0`),
			`${bornIn}: ${blames.join(', ')}`,
		);
	}
});

// Guards against a crash of an idle process that is blamed on a task which its successor accepted and runs.
test('the crash of a process that ran nothing is not blamed on a task at its successor', async () => {
	const {blames, log} = collectBlames();
	let areRenewalsLost = false;
	const {clock, executors, scheduler, entry} = await openScheduler(
		{
			count: 1,
			taskMs: 3000,
			getDemand,
			firstBornMs,
			bornIn: 'lists',
			decideOutcome: ({kind}: FakeCall): CallOutcome =>
				kind === 'renewal' && areRenewalsLost
					? {type: 'answer-lost'}
					: {type: 'answered'},
		},
		{log},
	);
	await clock.run(900);
	executors.restart(executors.fakes[0]!, {downMs: 20, clockMs: 0});
	await clock.run(30);
	areRenewalsLost = true;
	scheduler.receivePart(
		entry,
		makePart(clock, {estimateMs: 3000, timeLeftMs: 9000}),
	);
	await runFor(clock, 1600, [[scheduler, entry]]);
	areRenewalsLost = false;
	await runFor(clock, 3000, [[scheduler, entry]]);
	assert.equal(executors.runs[0]?.isCrashed, undefined);
	assert.deepEqual(blames, []);
	assert.deepEqual(findOverlaps(executors.runs), []);
});

// Guards against a caller that waits in vain: its task was accepted by an executor that then went down. A lease is never longer than one
// second, and one renewal without an answer may have extended it once more.
test('a task whose executor went down after it accepted the start ends elsewhere within 2.5 seconds', async () => {
	for (const bornIn of ['all', 'lists'] as const) {
		const {clock, executors, scheduler, entry} = await openScheduler({
			count: 2,
			taskMs: 100,
			getDemand,
			firstBornMs,
			bornIn,
		});
		await clock.run(900);
		scheduler.receivePart(entry, makePart(clock, {timeLeftMs: 60_000}));
		await clock.run(20);
		const fake = executors.fakes.find(
			({executor}) => executor.id === executors.runs[0]?.executor,
		)!;
		executors.restart(fake, {downMs: 100_000});
		const crashedAt = clock.now;
		while (listOutcomes(entry).length === 0 && clock.now < 40_000) {
			await runFor(clock, 50, [[scheduler, entry]]);
		}

		const waitedMs = clock.now - crashedAt;
		assert.ok(waitedMs <= 2500, `${bornIn}: ${waitedMs} ms`);
	}
});

// Guards against a run that outlasts the lease that its holder reckons with: a renewal to the former process, whose clock was far ahead,
// reaches the next one late, when it has been given up, and extends the lease there.
test('a renewal to the former process that is carried out late does not make a task run twice', async () => {
	for (const bornIn of ['all', 'lists'] as const) {
		let lateMs = 0;
		const {clock, executors, scheduler, entry} = await openScheduler({
			count: 6,
			taskMs: ({job}) => (job === 'job1' ? 700 : 5000),
			getDemand,
			firstBornMs,
			bornIn,
			decideOutcome({kind, executor}: FakeCall): CallOutcome {
				if (kind === 'renewal' && executor === 'e1' && lateMs > 0) {
					const ms = lateMs;
					lateMs = 0;
					return {type: 'late', ms};
				}

				return {type: 'answered'};
			},
		});
		const fake = executors.fakes[0]!;
		await clock.run(20_000);
		scheduler.receivePart(
			entry,
			makePart(clock, {estimateMs: 700, timeLeftMs: 20_000}),
		);
		await runFor(clock, 300, [[scheduler, entry]]);
		assert.equal(executors.runs[0]?.executor, 'e1');
		lateMs = 2600;
		await runFor(clock, 1200, [[scheduler, entry]]);
		assert.equal(lateMs, 0);
		assert.deepEqual(listOutcomes(entry), ['done']);
		executors.restart(fake, {downMs: 5, clockMs: 0});
		await clock.run(6);
		scheduler.setExecutors(listExecutors(executors));
		await runFor(clock, 100, [[scheduler, entry]]);
		scheduler.receivePart(
			entry,
			makePart(clock, {
				job: 'job2',
				claim: 2,
				estimateMs: 5000,
				timeLeftMs: 20_000,
				tasks: makeTasks(4),
				remaining: 4,
			}),
		);
		// The late renewal extends the lease to more than this host has asked for.
		const getLeaseLeftMs = () =>
			fake.leaseEndsAt - clock.now - fake.clockOffsetMs;
		while (getLeaseLeftMs() < 940 && clock.now < 30_000) {
			await runFor(clock, 50, [[scheduler, entry, [1, 2]]]);
		}

		assert.ok(getLeaseLeftMs() >= 940);
		const run = executors.runs.find(
			({job, executor}) => job === 'job2' && executor === 'e1',
		);
		assert.ok(run && run.endedAt === undefined);
		refuseRenewals(executors, 'e1');
		await runFor(clock, 2500, [[scheduler, entry, [1, 2]]]);
		assert.deepEqual(findOverlaps(executors.runs), [], bornIn);
	}
});

// Guards against an end that the next process of the executor forgets, as a renewal that was meant for the former one acknowledges as many
// ends: the task would run again although it is done.
test('a task that is done at the next process does not run again, though answers to renewals are lost', async () => {
	let lostAnswers = 0;
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 30,
		getDemand,
		firstBornMs,
		bornIn: 'lists',
		decideOutcome({kind}: FakeCall): CallOutcome {
			if (kind === 'renewal' && lostAnswers > 0) {
				lostAnswers -= 1;
				return {type: 'answer-lost'};
			}

			return {type: 'answered'};
		},
	});
	for (let i = 0; i < 3; i += 1) {
		scheduler.receivePart(entry, makePart(clock, {job: `early${i}`}));
		await runFor(clock, 150, [[scheduler, entry]]);
	}

	await runFor(clock, 1500, [[scheduler, entry]]);
	executors.restart(executors.fakes[0]!, {downMs: 20, clockMs: 0});
	await clock.run(30);
	lostAnswers = 2;
	scheduler.receivePart(entry, makePart(clock, {estimateMs: 30}));
	await runFor(clock, 1500, [[scheduler, entry]]);
	assert.equal(
		executors.runs.filter(({job}) => job === 'job1').length,
		1,
		JSON.stringify(executors.runs),
	);
});

// Guards against a second start while it is not known which of three processes has accepted the first.
for (const clockMs of clockReadings) {
	test(`a start that the second process after the known one accepts is not sent again, with its clock set to ${clockMs}`, async () => {
		for (const taskMs of [600, 60, 30]) {
			for (const registered of [undefined, 0, 1, 2]) {
				const {clock, executors, scheduler, entry} = await openScheduler({
					count: 2,
					taskMs,
					getDemand,
					firstBornMs,
					bornIn: 'lists',
					stopMs: 20,
				});
				await clock.run(850);
				const restartAll = async () => {
					for (const fake of executors.fakes) {
						executors.restart(fake, {downMs: 20, clockMs});
					}

					const list = listExecutors(executors);
					await clock.run(25);
					return list;
				};

				const lists = [
					listExecutors(executors),
					await restartAll(),
					await restartAll(),
				];
				scheduler.receivePart(entry, makePart(clock, {estimateMs: taskMs}));
				// In steps, as each settles only so many continuations: the start is answered after two refusals by then.
				for (let step = 0; step < 3; step += 1) {
					await clock.run(1);
				}

				if (registered !== undefined) {
					scheduler.setExecutors(lists[registered]!);
				}

				await runFor(clock, 2000, [[scheduler, entry]]);
				const name = `${taskMs} ${registered}`;
				assert.deepEqual(findOverlaps(executors.runs), [], name);
				assert.deepEqual(listOutcomes(entry), ['done'], name);
				assert.equal(executors.runs.length, 1, name);
			}
		}
	});
}

// As above, with a registration of the next process before the answer to the start, which comes when the session is replaced.
test('an answer to a start that comes after the next process is registered changes nothing', async () => {
	for (const isRestartedBefore of [true, false]) {
		const {clock, executors, scheduler, entry} = await openScheduler({
			count: 2,
			taskMs: 600,
			getDemand,
			firstBornMs,
			bornIn: 'lists',
			stopMs: 20,
		});
		await clock.run(900);
		if (isRestartedBefore) {
			for (const fake of executors.fakes) {
				executors.restart(fake, {downMs: 20, clockMs: 0});
			}
		}

		await clock.run(30);
		scheduler.receivePart(entry, makePart(clock, {estimateMs: 600}));
		// Nothing has been answered yet.
		if (!isRestartedBefore) {
			for (const fake of executors.fakes) {
				executors.restart(fake, {downMs: 20, clockMs: 0});
			}
		}

		scheduler.setExecutors(listExecutors(executors));
		await runFor(clock, 2500, [[scheduler, entry]]);
		assert.deepEqual(findOverlaps(executors.runs), []);
		assert.deepEqual(listOutcomes(entry), ['done']);
	}
});

// Guards against a stop that the former process has answered and that counts for the next one, or a run that nobody stops.
test('a stop of an accepted run right before or after a restart ends the run wherever it is', async () => {
	for (const stopAfterMs of [0, 1, 5, 40]) {
		for (const order of ['stop first', 'restart first']) {
			const {clock, executors, scheduler, entry} = await openScheduler({
				count: 2,
				taskMs: 3000,
				getDemand,
				firstBornMs,
				bornIn: 'lists',
				stopMs: 20,
			});
			await clock.run(900);
			const part = makePart(clock, {estimateMs: 3000});
			const restart = () => {
				for (const fake of executors.fakes) {
					executors.restart(fake, {downMs: 20, clockMs: 0});
				}
			};

			if (order === 'restart first') {
				restart();
				await clock.run(30);
			}

			scheduler.receivePart(entry, part);
			await clock.run(stopAfterMs);
			scheduler.dropJob(entry, {job: 'job1', takenAtMs: part.takenAtMs});
			if (order === 'stop first') {
				await clock.run(1);
				restart();
			}

			await runFor(clock, 600, [[scheduler, entry]]);
			scheduler.receivePart(
				entry,
				makePart(clock, {estimateMs: 3000, claim: 2}),
			);
			await runFor(clock, 4500, [[scheduler, entry, [1, 2]]]);
			const name = `${order} ${stopAfterMs}`;
			assert.deepEqual(findOverlaps(executors.runs), [], name);
			assert.deepEqual(listOutcomes(entry), ['done'], name);
		}
	}
});

// Guards against a run that the next holder does not find, or that both holders give up.
test('a run that the next process accepted is claimed by a new holder', async () => {
	for (const isListStale of [true, false]) {
		for (const taskMs of [400, 40]) {
			const {clock, executors, scheduler, entry} = await openScheduler({
				count: 2,
				taskMs,
				getDemand,
				firstBornMs,
				bornIn: 'lists',
				stopMs: 20,
			});
			await clock.run(900);
			const stale = listExecutors(executors);
			for (const fake of executors.fakes) {
				executors.restart(fake, {downMs: 20, clockMs: 0});
			}

			await clock.run(30);
			scheduler.receivePart(entry, makePart(clock, {estimateMs: taskMs}));
			await clock.run(5);
			scheduler.close();
			const next = createScheduler(
				clock,
				{
					...executors,
					executors: isListStale ? stale : listExecutors(executors),
				},
				2,
			);
			next.receivePart(
				entry,
				makePart(clock, {token: 2, isMoved: true, estimateMs: taskMs}),
			);
			await runFor(clock, 2500, [[next, entry]]);
			assert.deepEqual(findOverlaps(executors.runs), []);
			assert.deepEqual(listOutcomes(entry), ['done']);
			assert.equal(executors.runs.length, 1, `${isListStale} ${taskMs}`);
		}
	}
});

// Guards against blame for a planned shutdown, and a task that is placed again while it runs at the next process.
test('a draining executor that restarts is no crash of its runs', async () => {
	const {blames, log} = collectBlames();
	const {clock, executors, scheduler, entry} = await openScheduler(
		{
			count: 2,
			taskMs: 300,
			getDemand,
			firstBornMs,
			bornIn: 'lists',
		},
		{log},
	);
	await clock.run(900);
	scheduler.receivePart(entry, makePart(clock, {estimateMs: 300}));
	await clock.run(5);
	scheduler.setExecutors(
		listExecutors(executors).map((one) => ({...one, isDraining: true})),
	);
	await clock.run(5);
	for (const fake of executors.fakes) {
		executors.restart(fake, {downMs: 20, clockMs: 0});
	}

	await clock.run(30);
	scheduler.setExecutors(listExecutors(executors));
	await runFor(clock, 2500, [[scheduler, entry]]);
	assert.deepEqual(blames, []);
	assert.deepEqual(findOverlaps(executors.runs), []);
	assert.deepEqual(listOutcomes(entry), ['done']);
});

// Guards against a task that takes down one executor after another, because none of its starts is confirmed before the crash.
test('a task that crashes each executor right after its acceptance is given up after two crashes', async () => {
	const {blames, log} = collectBlames();
	let crashCount = 0;
	const {clock, executors, scheduler, entry} = await openScheduler(
		{
			count: 4,
			taskMs: 300,
			getDemand,
			firstBornMs,
			bornIn: 'lists',
		},
		{log},
	);
	await clock.run(900);
	scheduler.receivePart(
		entry,
		makePart(clock, {estimateMs: 300, timeLeftMs: 30_000, maxAttempts: 9}),
	);
	for (let i = 0; i < 400; i += 1) {
		await clock.run(2);
		for (const fake of executors.fakes) {
			if (fake.active.length > 0) {
				crashCount += 1;
				executors.restart(fake, {downMs: 100, clockMs: 0});
			}
		}

		await runFor(clock, 50, [[scheduler, entry]]);
	}

	assert.equal(crashCount, 2);
	assert.equal(new Set(blames).size, 2, blames.join(', '));
});

// Guards against a start that is remembered with the executor, but not cancelled at a process that registers after the former one's
// registration has lapsed.
test('a start that the former process has cancelled is cancelled again at a process that registers after an absence', async () => {
	let hasDelayed = false;
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 8000,
		getDemand,
		firstBornMs,
		decideOutcome({kind}: FakeCall): CallOutcome {
			if (kind !== 'start' || hasDelayed) {
				return {type: 'answered'};
			}

			hasDelayed = true;
			return {type: 'late', ms: 4000};
		},
	});
	// The next process's clock is far behind, so that the lease of the late start is good there.
	await clock.run(20_000);
	scheduler.receivePart(entry, makePart(clock, {timeLeftMs: 20_000}));
	await runFor(clock, 500, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 1);
	const [first, second] = executors.fakes;
	const restarted = executors.runs[0]?.executor === 'e1' ? second! : first!;
	executors.restart(restarted, {downMs: 1500, clockMs: 0});
	await runFor(clock, 1000, [[scheduler, entry]]);
	scheduler.setExecutors(
		listExecutors(executors).filter(({id}) => id !== restarted.executor.id),
	);
	await runFor(clock, 1000, [[scheduler, entry]]);
	assert.equal(scheduler.countExecutors().all, 1);
	scheduler.setExecutors(listExecutors(executors));
	await runFor(clock, 4000, [[scheduler, entry]]);
	assert.deepEqual(findOverlaps(executors.runs), []);
	assert.equal(executors.runs.length, 1);
});

// Guards against a job that is lost for its caller, who sends it again after 1,300 ms to another host: that entry waits until no run of
// the first copy is left.
test('a copy of a job can be replaced 2.5 seconds after its executor went down', async () => {
	for (const bornIn of ['all', 'lists'] as const) {
		const {clock, executors, scheduler, entry} = await openScheduler({
			count: 2,
			taskMs: 100,
			getDemand,
			firstBornMs,
			bornIn,
		});
		await clock.run(900);
		scheduler.receivePart(entry, makePart(clock));
		await clock.run(20);
		const fake = executors.fakes.find(
			({executor}) => executor.id === executors.runs[0]?.executor,
		)!;
		executors.restart(fake, {downMs: 100_000});
		await runFor(clock, 500, [[scheduler, entry]]);
		const second = createEntry('langreo_l1.0');
		scheduler.replaceCopies(second, {
			t: 'replace',
			job: 'job1',
			takenAtMs: clock.now,
			timeLeftMs: 5000,
		});
		await runFor(clock, 2000, [[scheduler, second, []]]);
		assert.equal(second.replacedMessages.length, 1, bornIn);
	}
});

// Guards against a run that outlasts the lease that a new holder reckons with: the former holder has extended it by the clock of a
// process that had ended.
test('a run that a new holder finds on a later process is not placed again before its lease has passed', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 2,
		taskMs: 3000,
		getDemand,
		firstBornMs,
		bornIn: 'lists',
	});
	await clock.run(20_900);
	for (const fake of executors.fakes) {
		executors.restart(fake, {downMs: 20, clockMs: 0});
	}

	await clock.run(30);
	scheduler.receivePart(entry, makePart(clock, {estimateMs: 3000}));
	await clock.run(2);
	scheduler.close();
	const next = createScheduler(
		clock,
		{...executors, executors: listExecutors(executors)},
		2,
	);
	next.receivePart(
		entry,
		makePart(clock, {
			token: 2,
			isMoved: true,
			estimateMs: 3000,
			timeLeftMs: 20_000,
		}),
	);
	await clock.run(10);
	const fake = executors.fakes.find(
		({executor}) => executor.id === executors.runs[0]?.executor,
	)!;
	refuseRenewals(executors, fake.executor.id);
	await runFor(clock, 2500, [[next, entry]]);
	assert.deepEqual(findOverlaps(executors.runs), []);
});

// Guards against a run that counts as lost because its end does not fit into the first report of the next process.
test('a run whose end the next process lists in a later page is not lost', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 30,
		getDemand,
		firstBornMs,
		bornIn: 'lists',
	});
	await clock.run(900);
	executors.restart(executors.fakes[0]!, {downMs: 20, clockMs: 0});
	await clock.run(30);
	let pages = 3;
	const {renewLease} = executors.control;
	executors.control.renewLease = (executor, request) =>
		renewLease(executor, request).map((reply) => {
			pages -= 1;
			return pages < 0 ? reply : {...reply, ended: [], hasMoreEnds: true};
		});
	scheduler.receivePart(entry, makePart(clock, {estimateMs: 30}));
	await runFor(clock, 2000, [[scheduler, entry]]);
	assert.ok(pages < 0);
	assert.deepEqual(listOutcomes(entry), ['done']);
	assert.equal(executors.runs.length, 1);
});

// Guards against a session that never learns the start time of the process that it calls.
test('a registration without a start time changes nothing: lists state it', async () => {
	for (const taskMs of [600, 30]) {
		const clock = new VirtualClock();
		const executors = createFakeExecutors(clock, {
			count: 2,
			taskMs,
			getDemand,
			firstBornMs,
			bornIn: 'lists',
		});
		const registered = listExecutors(executors).map(
			({bornMs: _, ...rest}) => rest,
		);
		const scheduler = createScheduler(
			clock,
			{...executors, executors: registered},
			1,
		);
		const entry = createEntry();
		await clock.run(900);
		for (const fake of executors.fakes) {
			executors.restart(fake, {downMs: 20, clockMs: 0});
		}

		await clock.run(30);
		scheduler.receivePart(entry, makePart(clock, {estimateMs: taskMs}));
		await clock.run(3);
		scheduler.setExecutors(registered);
		await runFor(clock, 2000, [[scheduler, entry]]);
		assert.deepEqual(listOutcomes(entry), ['done']);
		assert.deepEqual(findOverlaps(executors.runs), []);
		assert.equal(executors.runs.length, 1);
	}
});

// Guards against a task that takes down executors without blame, as its run was to be stopped when the process ended.
test('a crash is blamed on a task whose stop had no answer before the process ended', async () => {
	for (const bornIn of ['all', 'lists'] as const) {
		const {blames, log} = collectBlames();
		const {clock, executors, scheduler, entry} = await openScheduler(
			{
				count: 1,
				taskMs: 600,
				getDemand,
				firstBornMs,
				bornIn,
				decideOutcome: ({kind}: FakeCall): CallOutcome => ({
					type: kind === 'stop' ? 'lost' : 'answered',
				}),
			},
			{log},
		);
		await clock.run(900);
		const part = makePart(clock, {estimateMs: 600});
		scheduler.receivePart(entry, part);
		await clock.run(5);
		scheduler.dropJob(entry, {job: 'job1', takenAtMs: part.takenAtMs});
		await clock.run(5);
		executors.restart(executors.fakes[0]!, {downMs: 20, clockMs: 0});
		await runFor(clock, 2500, [[scheduler, entry]]);
		assert.deepEqual(blames, [`e1@${firstBornMs} 0`], bornIn);
	}
});

// Guards against blame for a wave: idle executors that restart together with that of the task show that the task is not the cause.
test('a task is not blamed for the crash of its executor when idle ones restart with it', async () => {
	for (const bornIn of ['all', 'lists'] as const) {
		const {blames, log} = collectBlames();
		const {clock, executors, scheduler, entry} = await openScheduler(
			{count: 6, taskMs: 600, getDemand, firstBornMs, bornIn},
			{log},
		);
		await clock.run(2900);
		scheduler.receivePart(entry, makePart(clock, {estimateMs: 600}));
		await runFor(clock, 300, [[scheduler, entry]]);
		for (const fake of executors.fakes) {
			executors.restart(fake, {downMs: 20, clockMs: 0});
		}

		await clock.run(30);
		scheduler.setExecutors(listExecutors(executors));
		await runFor(clock, 2500, [[scheduler, entry]]);
		assert.deepEqual(blames, [], bornIn);
		assert.deepEqual(listOutcomes(entry), ['done']);
	}
});

// Guards against a task that is placed on one restarted executor after the other while a list that tells of all is applied: it would be
// blamed for the crash of each and given up.
test('a task is not started on an executor that the same list shows to have restarted', async () => {
	for (const bornIn of ['all', 'lists'] as const) {
		const {blames, log} = collectBlames();
		const {clock, executors, scheduler, entry} = await openScheduler(
			{count: 6, taskMs: 600, getDemand, firstBornMs, bornIn},
			{log},
		);
		await clock.run(2900);
		scheduler.receivePart(entry, makePart(clock, {estimateMs: 600}));
		await runFor(clock, 300, [[scheduler, entry]]);
		for (const fake of executors.fakes) {
			executors.restart(fake, {downMs: 20, clockMs: 0});
		}

		await clock.run(30);
		scheduler.setExecutors(listExecutors(executors));
		await runFor(clock, 2500, [[scheduler, entry]]);
		assert.ok(blames.length <= 1, `${bornIn}: ${blames.join(', ')}`);
		assert.deepEqual(listOutcomes(entry), ['done'], bornIn);
	}
});
