import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createBodyBudget} from './body-budget.js';

const limit = 16 * 1024 * 1024;
const largestAtOnce = 8;

function openBodies() {
	const budget = createBodyBudget(largestAtOnce * limit);
	return () => {
		const body = {isRefused: false, lease: undefined as unknown};
		const lease = budget.openLease(() => {
			body.isRefused = true;
		});
		return Object.assign(body, {lease});
	};
}

// Guards against many bodies of the largest size that end a host by its memory, and against ordinary ones that are refused with them.
test('a flood of the largest bodies is refused while usual ones pass', () => {
	const openBody = openBodies();
	const large = Array.from({length: 20}, () => openBody());
	const taken = large.filter(({lease}) => lease.resize(limit));
	assert.equal(taken.length, largestAtOnce);
	assert.equal(openBody().lease.resize(100_000), true);
	assert.equal(openBody().lease.resize(limit), false);
	taken.find(({isRefused}) => !isRefused)!.lease.release();
	assert.equal(openBody().lease.resize(limit), true);
});

// Guards against thousands of bodies that stop short of their end, each of them small.
test('bodies hold no more than the budget together, however small each is', () => {
	const openBody = openBodies();
	const share = 256 * 1024;
	const bodies = Array.from({length: 5000}, () => openBody());
	for (const {lease} of bodies) {
		lease.resize(share);
	}

	const kept = bodies.filter(({isRefused}) => !isRefused);
	assert.equal(kept.length, (largestAtOnce * limit) / share);
	assert.equal(openBody().lease.resize(1000), true);
});

test('a body takes only what it has grown by, and gives all of it back', () => {
	const openBody = openBodies();
	for (let i = 0; i < 100; i++) {
		const {lease} = openBody();
		assert.ok(lease.resize(limit / 2));
		assert.ok(lease.resize(limit));
		lease.release();
		lease.release();
	}
});
