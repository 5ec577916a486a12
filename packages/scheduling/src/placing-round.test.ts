/**
One round over a long queue on full executors.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createTrust} from './executor-trust.js';
import {type ExecutorCandidate} from './place-task.js';
import {createPlacingRound} from './placing-round.js';

function makeDemand(cpu: number) {
	return {cpu, memoryMb: 64, accelerators: 0};
}

function makeCandidate(cpu: number, onSearch: () => void): ExecutorCandidate {
	return {
		id: 'e1',
		service: 'meals',
		capacity: {cpu: 32_000, memoryMb: 1000, accelerators: 0},
		get free() {
			onSearch();
			return {cpu, memoryMb: 1000, accelerators: 0};
		},
		runCount: 0,
		trust: createTrust(),
	};
}

// A hundred jobs wait and no executor has free capacity. If all executors were searched for each job at each end of a
// task, a search would take longer than the time between two ends, and all answers would be late.
test('executors without free capacity are searched once for jobs of one size', () => {
	let searches = 0;
	const candidate = makeCandidate(10_000, () => {
		searches += 1;
	});
	const round = createPlacingRound([candidate], 0, () => 0);
	for (let i = 0; i < 100; i += 1) {
		assert.equal(round.hasCapacityFor('meals', makeDemand(14_000)), false);
	}

	assert.equal(searches, 1);
	assert.equal(round.hasCapacityFor('meals', makeDemand(8000)), true);
	assert.equal(round.hasCapacityFor('meals', makeDemand(20_000)), false);
	assert.equal(searches, 2);
});

test('other groups are asked once for jobs of one size, and again for smaller ones', () => {
	const asked: number[] = [];
	const round = createPlacingRound([], 0, (cpu) => {
		asked.push(cpu);
		return cpu < 10_000 ? 1 : 0;
	});
	assert.equal(round.takeCapacityElsewhere(14_000, 2), 0);
	assert.equal(round.takeCapacityElsewhere(14_000, 2), 0);
	assert.equal(round.takeCapacityElsewhere(8000, 2), 1);
	assert.deepEqual(asked, [14_000, 8000]);
});
