import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTrust} from './executor-trust.js';
import {createEntry, makePart} from './group-scheduler.fixture.js';
import {addTasks, createGroupJob, listWaiting} from './group-job.js';
import {placeSuspects} from './place-suspects.js';
import {type ExecutorCandidate} from './place-task.js';
import {VirtualClock} from './virtual-clock.fixture.js';

function makeExecutor(id: string, runCount: number): ExecutorCandidate {
	return {
		id,
		service: 'meals',
		capacity: {cpu: 32_000, memoryMb: 1000, accelerators: 0},
		free: {cpu: 32_000 - runCount * 10_000, memoryMb: 1000, accelerators: 0},
		runCount,
		trust: createTrust(),
	};
}

/** Places a job of three tasks, of which the first `suspects` are suspects. */
function place(
	executors: ExecutorCandidate[],
	{
		suspects = 1,
		holding = [],
		timeLeftMs = 5000,
	}: {suspects?: number; holding?: string[]; timeLeftMs?: number} = {},
) {
	const part = makePart(new VirtualClock(), {
		tasks: [
			[0, 1, 1],
			[1, 1, 1],
			[2, 1, 1],
		],
		timeLeftMs,
	});
	const job = createGroupJob(part, createEntry(), 0);
	addTasks(job, part);
	const started: string[] = [];
	const left = placeSuspects([job], executors, {
		now: 0,
		judge: ({index}) => (index < suspects ? 'suspect' : 'sound'),
		hasSuspectRun: ({id}) => holding.includes(id),
		listStartable: listWaiting,
		start(_job, {index}, {id}) {
			started.push(`${index} on ${id}`);
		},
	});
	return {started, left: left.map(({id}) => id)};
}

test('a suspect runs alone, and nothing else is placed there', () => {
	const {started, left} = place([makeExecutor('e1', 1), makeExecutor('e2', 0)]);
	assert.deepEqual(started, ['0 on e2']);
	assert.deepEqual(left, ['e1']);
});

// Guards against a suspect that never starts because no executor is ever idle.
test('the least busy executor gets nothing new while a suspect waits for it', () => {
	const {started, left} = place([makeExecutor('e1', 2), makeExecutor('e2', 1)]);
	assert.deepEqual(started, []);
	assert.deepEqual(left, ['e1']);
});

test('a suspect that has no time left runs on the least busy executor', () => {
	const executors = [makeExecutor('e1', 2), makeExecutor('e2', 1)];
	const {started} = place(executors, {timeLeftMs: 140});
	assert.deepEqual(started, ['0 on e2']);
});

// Guards against a job of many crashing tasks that takes all executors away from other tasks.
test('suspects run on a quarter of the executors at most', () => {
	const executors = Array.from({length: 8}, (_, i) => makeExecutor(`e${i}`, 0));
	assert.equal(place(executors, {suspects: 3}).started.length, 2);
	assert.equal(
		place(executors, {suspects: 3, holding: ['e0']}).started.length,
		1,
	);
	assert.equal(
		place(executors, {suspects: 3, holding: ['e0', 'e1']}).started.length,
		0,
	);
});
