import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type CrashVerdict} from './crash-records.js';
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
		verdict = 'suspect',
		holding = [],
		restarted = [],
		timeLeftMs = 5000,
	}: {
		suspects?: number;
		verdict?: CrashVerdict;
		holding?: string[];
		/** Executors that have just restarted. */
		restarted?: string[];
		timeLeftMs?: number;
	} = {},
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
		judge: ({index}) => (index < suspects ? verdict : 'sound'),
		hasSuspectRun: ({id}) => holding.includes(id),
		getUpSince: ({id}) => (restarted.includes(id) ? 0 : -Infinity),
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

// Guards against a suspect that is started on an executor which restarts again and again, and is blamed for it.
test('a suspect runs on an executor that has been up for a while, if there is one', () => {
	const executors = [makeExecutor('e1', 0), makeExecutor('e2', 1)];
	const {started, left} = place(executors, {restarted: ['e1']});
	assert.deepEqual(started, []);
	assert.deepEqual(left, ['e1']);
	const all = place(executors, {restarted: ['e1', 'e2']});
	assert.deepEqual(all.started, ['0 on e1']);
});

// Guards against a suspect that waits for an executor which cannot run it.
test('executors of another service do not count for a suspect', () => {
	const other = {...makeExecutor('e1', 0), service: 'drinks'};
	const executors = [other, makeExecutor('e2', 0)];
	const {started} = place(executors, {restarted: ['e2']});
	assert.deepEqual(started, ['0 on e2']);
});

// Guards against tasks that wait for an idle executor because they lost theirs with many others.
test('a task whose losses were excused runs beside others, on an executor that has been up for a while', () => {
	const executors = [makeExecutor('e1', 0), makeExecutor('e2', 1)];
	const {started, left} = place(executors, {
		verdict: 'excused',
		restarted: ['e1'],
	});
	assert.deepEqual(started, ['0 on e2']);
	assert.deepEqual(left, ['e1', 'e2']);
});
