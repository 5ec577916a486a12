/**
How a scheduler reckons the lease of what runs on an executor.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createExecutorLease} from './executor-lease.js';
import {clockSlackMs, leaseMs} from './timing.js';

test('a lease is told on the executor’s clock', () => {
	const lease = createExecutorLease();
	lease.setClock(5000, 100);
	assert.equal(lease.extend(Infinity, 150), 5000 + 50 + leaseMs);
});

test('a lease goes no further than its cap, and not at all once that has passed', () => {
	const lease = createExecutorLease();
	lease.setClock(5000, 100);
	assert.equal(lease.extend(130, 100), 5030);
	assert.equal(lease.extend(99, 100), undefined);
});

test('nothing is extended before the executor’s clock is known', () => {
	assert.equal(createExecutorLease().extend(Infinity, 100), undefined);
});

// A scheduler takes a lease for passed too soon, as the executor's clock goes slower than its own, and starts the
// task elsewhere: it runs twice.
test('a lease has passed only when the slowest clock says so, and a shorter one takes nothing back', () => {
	const lease = createExecutorLease();
	lease.setClock(5000, 100);
	lease.extend(Infinity, 100);
	lease.extend(110, 100);
	assert.equal(lease.hasPassed(100 + leaseMs + clockSlackMs), false);
	assert.ok(lease.hasPassed(100 + leaseMs + clockSlackMs + 1));
});

// A new holder finds a run on an executor that answers nothing after that. An earlier holder may have renewed the lease just before.
test('a lease that an earlier holder may have renewed has not passed', () => {
	const lease = createExecutorLease();
	lease.assumeRenewed(100);
	assert.equal(lease.hasPassed(100 + leaseMs), false);
	assert.ok(lease.hasPassed(100 + leaseMs + clockSlackMs + 1));
});
