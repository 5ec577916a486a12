import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createBodyBudget} from './body-budget.js';

const limit = 16 * 1024 * 1024;

test('a flood of the largest bodies is refused while usual ones pass', () => {
	// Many callers send 16 MB each at the same moment. Without a common bound the host dies, and
	// its callers never learn what became of their jobs.
	const budget = createBodyBudget(limit);
	const large = Array.from({length: 20}, () => budget.openLease());
	const taken = large.filter((lease) => lease.extend(limit));
	assert.equal(taken.length, 8);
	assert.equal(budget.openLease().extend(100_000), true);
	assert.equal(budget.openLease().extend(limit), false);
	taken[0]!.release();
	assert.equal(budget.openLease().extend(limit), true);
});

test('a body takes only what it has grown by, and gives all of it back', () => {
	const budget = createBodyBudget(limit);
	for (let i = 0; i < 100; i++) {
		const lease = budget.openLease();
		assert.ok(lease.extend(limit / 2));
		assert.ok(lease.extend(limit));
		lease.release();
		lease.release();
	}
});
