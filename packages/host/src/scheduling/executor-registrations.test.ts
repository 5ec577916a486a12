/**
Which registration of an executor counts when its processes follow each other under one id.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ExecutorRegistration} from '@gentianshift/scheduling';
import {createExecutorRegistrations} from './executor-registrations.js';
import {makeRegistration, wholeCapacity} from './registration.fixture.js';

const half = {cpu: 16_000, memoryMb: 500, accelerators: 0};

/** Applies lists of one registration, 600 ms apart; returns the executor after the last. */
function applyInTurn(...list: Array<Partial<ExecutorRegistration>>) {
	const registrations = createExecutorRegistrations(() => true);
	const results = list.map((fields, i) =>
		registrations.applyList(
			[makeRegistration({labels: ['a'], ...fields})],
			i * 600,
		),
	);
	return results.at(-1)![0]!;
}

// Guards against a restarted executor that counts as draining, or by the former capacity, for seconds because its
// numbering starts anew.
test('the registration of a later process counts whatever its number', () => {
	const executor = applyInTurn(
		{bornMs: 1000, sequence: 400, revision: 90, isDraining: true},
		{bornMs: 2000, sequence: 1, revision: 91, capacity: half, labels: ['b']},
	);
	assert.equal(executor.bornMs, 2000);
	assert.equal(executor.isDraining, false);
	assert.deepEqual(executor.capacity, half);
	assert.deepEqual(executor.labels, ['b']);
	assert.equal(executor.capacityReadAt, 600);
});

// Guards against a new holder that takes an executor that has just started again for one that has run all along.
test('it is kept when a later process was first read, whatever is registered after it', () => {
	const first = {bornMs: 1000, sequence: 400};
	const second = {bornMs: 2000, sequence: 1};
	assert.equal(applyInTurn(first, first).restartedAt, undefined);
	assert.equal(applyInTurn(first, second).restartedAt, 600);
	assert.equal(applyInTurn(first, second, first, second).restartedAt, 600);
	assert.equal(
		applyInTurn(first, second, {...second, sequence: 2}).restartedAt,
		600,
	);
	assert.equal(applyInTurn(first, second, {bornMs: 3000}).restartedAt, 1200);
});

// Guards against a late write of the former process that brings back what the present one has replaced.
test('a registration of an earlier process changes nothing, also with a higher number and for longer than a renumbering takes', () => {
	const executor = applyInTurn(
		{bornMs: 1000, sequence: 400},
		{bornMs: 2000, sequence: 1, capacity: half},
		...Array.from({length: 8}, (_, i) => ({
			bornMs: 1000,
			sequence: 401 + i,
			revision: 200 + i,
			isDraining: true,
		})),
	);
	assert.equal(executor.bornMs, 2000);
	assert.equal(executor.isDraining, false);
	assert.deepEqual(executor.capacity, half);
});

test('the number counts among registrations of one process', () => {
	const executor = applyInTurn(
		{bornMs: 2000, sequence: 2, capacity: half},
		{bornMs: 2000, sequence: 1},
	);
	assert.deepEqual(executor.capacity, half);
});

// Guards against an executor that is lost because its new process has not stated a usable capacity yet.
test('the capacity of the machine outlasts the process', () => {
	const executor = applyInTurn(
		{bornMs: 1000, sequence: 400, capacity: half},
		{bornMs: 2000, sequence: 1, capacity: undefined},
	);
	assert.equal(executor.bornMs, 2000);
	assert.deepEqual(executor.capacity, half);
});

// Guards against an earlier process that counts again after one registration with an unusable start time.
test('a registration without a start time counts by its number and keeps the known start time', () => {
	const executor = applyInTurn(
		{bornMs: 2000, sequence: 1},
		{sequence: 2, capacity: half},
		{bornMs: 1000, sequence: 500},
	);
	assert.equal(executor.bornMs, 2000);
	assert.deepEqual(executor.capacity, half);
});

test('two restarts between two lists leave the last process', () => {
	const executor = applyInTurn(
		{bornMs: 1000, sequence: 9},
		{bornMs: 3000, sequence: 1, capacity: half},
		{bornMs: 2000, sequence: 1},
	);
	assert.equal(executor.bornMs, 3000);
	assert.deepEqual(executor.capacity, half);
});

// Guards against a change for executors that state no start time.
test('without start times a lower number counts only after a renumbering', () => {
	assert.deepEqual(
		applyInTurn({sequence: 400}, {sequence: 1, capacity: half}).capacity,
		wholeCapacity,
	);
	const renumbered = applyInTurn(
		{sequence: 400},
		...Array.from({length: 6}, (_, i) => ({sequence: 1 + i, capacity: half})),
	);
	assert.deepEqual(renumbered.capacity, half);
	assert.equal('bornMs' in renumbered, false);
});

// Guards against work for each executor at each list, of which few change from one list to the next.
test('an entry that is handed out again gives the same executor, unless its service guards its capacity now', () => {
	let isEnforced = false;
	const registrations = createExecutorRegistrations(() => isEnforced);
	const registration = makeRegistration({sequence: 4, revision: 90});
	const [first] = registrations.applyList([registration], 0);
	const [second] = registrations.applyList([registration], 600);
	assert.equal(second, first);
	isEnforced = true;
	const [third] = registrations.applyList([registration], 1200);
	assert.deepEqual(third, {...first, isCapacityEnforced: true});
});

// Guards against an older registration that counts after a renumbering, as the newest one that came between was not noticed.
test('an entry that is handed out again between older ones ends their time', () => {
	const registrations = createExecutorRegistrations(() => true);
	const newest = makeRegistration({sequence: 9, capacity: half});
	const older = makeRegistration({sequence: 1});
	const lists = [
		{at: 0, registration: newest},
		{at: 600, registration: older},
		{at: 1200, registration: newest},
		{at: 3200, registration: older},
	];
	for (const {at, registration} of lists) {
		const [executor] = registrations.applyList([registration], at);
		assert.deepEqual(executor?.capacity, half);
	}
});
