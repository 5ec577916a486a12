import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSchedule} from './chaos-schedule.js';

const durationMs = 60_000;

function createFaults(seed: number) {
	return createSchedule(seed, durationMs, {
		hosts: ['m1', 'm2', 'l1', 'l2', 't1', 't2'],
		dataCentres: ['mieres', 'langreo', 'tineo'],
		executors: ['e1', 'e2'],
	});
}

test('a seed gives the same faults each time, another seed others', () => {
	assert.deepEqual(createFaults(1), createFaults(1));
	assert.notDeepEqual(createFaults(1), createFaults(2));
});

test('all kinds of faults come, all end in time, and half of the hosts are spared', () => {
	const faults = createFaults(3);
	assert.equal(new Set(faults.map(({kind}) => kind)).size, 8);
	for (const {at, forMs} of faults) {
		assert.ok(at + forMs <= durationMs);
	}

	for (const {at} of faults) {
		const hit = faults.filter(
			(fault) =>
				'host' in fault && fault.at <= at && fault.at + fault.forMs > at,
		);
		assert.ok(hit.length <= 3);
	}
});
