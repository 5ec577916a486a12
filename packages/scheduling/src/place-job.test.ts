/**
How a job's tasks are distributed among data centres, and when the job is refused.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	placeJob,
	type OpenGroup,
	type JobPlacementRequest,
} from './place-job.js';

function makeGroup(group: string, fields: Partial<OpenGroup> = {}): OpenGroup {
	return {
		group,
		dataCentre: group,
		free: [32_000, 32_000],
		capacity: 64_000,
		backlog: [0, 0, 0, 0],
		lateBacklog: [0, 0, 0, 0],
		running: [0, 0, 0, 0],
		...fields,
	};
}

function makeRequest(
	request: Partial<JobPlacementRequest> = {},
): JobPlacementRequest {
	return {
		count: 2,
		demand: {cpu: 14_000, memoryMb: 64, accelerators: 0},
		priority: 1,
		estimateMs: 100,
		isLate: false,
		home: 'mieres',
		limitMs: 400,
		random: () => 0.5,
		...request,
	};
}

test('a job stays in its own data centre while it has free capacity there', () => {
	const placed = placeJob(
		[makeGroup('langreo'), makeGroup('mieres')],
		makeRequest(),
	);
	assert.deepEqual(placed, {type: 'placed', shares: new Map([['mieres', 2]])});
});

// A job has more tasks than a small group can run at once. If all of them stayed there, half would wait while
// executors of the next data centre, a millisecond away, are idle.
test('a job with more tasks than its own data centre can run at once is split', () => {
	const placed = placeJob(
		[makeGroup('mieres'), makeGroup('langreo')],
		makeRequest({count: 6}),
	);
	assert.deepEqual(placed, {
		type: 'placed',
		shares: new Map([
			['mieres', 4],
			['langreo', 2],
		]),
	});
});

// One data centre gets many jobs and the others few. If it refused jobs, callers would be turned away although
// other data centres have free capacity.
test('work is shifted to another data centre before it is refused', () => {
	const full = makeGroup('mieres', {free: [1000], backlog: [0, 1e9, 0, 0]});
	const placed = placeJob([full, makeGroup('langreo')], makeRequest());
	assert.deepEqual(placed, {type: 'placed', shares: new Map([['langreo', 2]])});
});

// All executors are busy for seconds to come. A caller that is refused at once can come back in time; one that
// waits until its deadline for a refusal can not.
test('a job that no group can end in time is refused at once, with the time to retry after', () => {
	const full = {free: [0, 0], backlog: [0, 1e9, 0, 0]};
	const placed = placeJob(
		[makeGroup('mieres', full), makeGroup('langreo', full)],
		makeRequest(),
	);
	assert.equal(placed.type, 'refused');
	assert.ok(placed.type === 'refused' && placed.retryAfterMs > 1000);
});

test('urgent work does not wait behind less urgent work', () => {
	const full = makeGroup('mieres', {free: [0], backlog: [0, 0, 1e9, 0]});
	const urgent = placeJob([full], makeRequest({priority: 0}));
	const patient = placeJob([full], makeRequest({priority: 2}));
	assert.equal(urgent.type, 'placed');
	assert.equal(patient.type, 'refused');
});

// Urgent work uses most of the group and keeps arriving. Less urgent work waits far longer than the queue
// before it suggests; if it were admitted, it would be given up seconds later.
test('capacity that more urgent work uses is not counted as available', () => {
	const group = makeGroup('mieres', {
		free: [0],
		backlog: [0, 2_000_000, 0, 0],
		running: [50_000, 14_000, 0, 0],
	});
	assert.equal(placeJob([group], makeRequest({priority: 0})).type, 'placed');
	assert.equal(placeJob([group], makeRequest({limitMs: 300})).type, 'refused');
});

// All hosts lost power for a second, and the queues are full of jobs that waited through it and will be late. A
// new job is started before them; if it were refused because of them, its caller would be turned away although
// executors are about to be free.
test('a job that can be in time is not refused because of work that will be late', () => {
	const late = {free: [0], lateBacklog: [0, 1e8, 0, 0]};
	const fresh = placeJob([makeGroup('mieres', late)], makeRequest());
	assert.equal(fresh.type, 'placed');
	const another = makeRequest({isLate: true});
	assert.equal(placeJob([makeGroup('mieres', late)], another).type, 'refused');
	const lessUrgent = makeRequest({priority: 2});
	assert.equal(
		placeJob([makeGroup('mieres', late)], lessUrgent).type,
		'refused',
	);
});
