/**
Tests of jobs whose tasks may run only on executors with a label, or only so many on one executor.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createEntry,
	createScheduler,
	listOutcomes,
	makePart,
	makeTasks,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';

const demand = {cpu: 1000, memoryMb: 64, accelerators: 0};

/** Three executors, of which only the last has the label `ssd`. */
async function openLabelledGroup() {
	const group = await openScheduler({
		count: 3,
		taskMs: 100,
		getDemand: () => demand,
	});
	const executors = group.executors.fakes.map(({executor}, i) => ({
		...executor,
		labels: i === 2 ? ['ssd', 'r1'] : ['r2'],
	}));
	group.scheduler.setExecutors(executors);
	return group;
}

test('a task that requires a label runs only on executors that have it', async () => {
	const {clock, executors, scheduler, entry} = await openLabelledGroup();
	const constraints = {requiredLabel: 'ssd'};
	scheduler.receive(
		entry,
		makePart(clock, {demand, constraints, tasks: makeTasks(40)}),
	);
	await runFor(clock, 600, [[scheduler, entry]]);
	assert.equal(executors.runs.length, 40);
	assert.ok(executors.runs.every(({executor}) => executor === 'e3'));
});

// Guards against a job that waits for its deadline in a group that can never run it.
test('a part whose label no executor of the group has is returned at once', async () => {
	const {clock, executors, scheduler, entry} = await openLabelledGroup();
	const constraints = {requiredLabel: 'gpu'};
	scheduler.receive(entry, makePart(clock, {demand, constraints}));
	assert.deepEqual(listOutcomes(entry), ['returned']);
	assert.equal(executors.runs.length, 0);
	assert.deepEqual(scheduler.describeState().labels, ['r2', 'ssd', 'r1']);
});

test('no more tasks of a job than it allows run on one executor', async () => {
	const {clock, executors, scheduler, entry} = await openLabelledGroup();
	const constraints = {maxPerExecutor: 2};
	scheduler.receive(
		entry,
		makePart(clock, {demand, constraints, tasks: makeTasks(10)}),
	);
	await clock.run(20);
	const counts = executors.fakes.map(({active}) => active.length);
	assert.deepEqual(counts, [2, 2, 2]);
	await runFor(clock, 400, [[scheduler, entry]]);
	assert.equal(listOutcomes(entry).length, 10);
});

// Guards against a new holder that does not count the runs of the former one.
test('runs of an earlier holder count towards the limit for one executor', async () => {
	const {clock, executors, scheduler, entry} = await openLabelledGroup();
	const constraints = {maxPerExecutor: 1};
	const part = makePart(clock, {demand, constraints, tasks: makeTasks(6)});
	scheduler.receive(entry, part);
	await clock.run(20);
	scheduler.close();
	const next = createScheduler(clock, executors, 2);
	const nextEntry = createEntry();
	next.receive(nextEntry, {...part, token: 2, isMoved: true});
	for (let i = 0; i < 20; i += 1) {
		await runFor(clock, 50, [[next, nextEntry]]);
		const counts = executors.fakes.map(({active}) => active.length);
		assert.ok(
			counts.every((count) => count <= 1),
			counts.join(' '),
		);
	}

	assert.equal(new Set(executors.runs.map(({index}) => index)).size, 6);
});
