/**
How a scheduler tracks the lease that covers the runs on an executor.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createExecutorLease} from './executor-lease.js';
import {clockSlackMs, leaseMs, longestLeaseMs} from './timing.js';

test('the end of a lease is given on the executor’s clock', () => {
	const lease = createExecutorLease();
	lease.setClock(5000, 100);
	assert.equal(lease.extend(Infinity, 150), 5000 + 50 + leaseMs);
});

test('a lease is not extended beyond its cap, and not at all once the cap has passed', () => {
	const lease = createExecutorLease();
	lease.setClock(5000, 100);
	assert.equal(lease.extend(130, 100), 5030);
	assert.equal(lease.extend(99, 100), undefined);
});

test('a lease is not extended before the executor’s clock is known', () => {
	assert.equal(createExecutorLease().extend(Infinity, 100), undefined);
});

// The executor's clock runs slower than the scheduler's. If the scheduler took the lease for expired too early, it
// would start the task elsewhere while the first run still goes on.
test('a lease has passed only when it has on the slowest clock allowed, and an earlier end does not shorten it', () => {
	const lease = createExecutorLease();
	lease.setClock(5000, 100);
	lease.extend(Infinity, 100);
	lease.extend(110, 100);
	assert.equal(lease.hasPassed(100 + leaseMs + clockSlackMs), false);
	assert.ok(lease.hasPassed(100 + leaseMs + clockSlackMs + 1));
});

// A new holder finds a run on an executor that then stops answering. An earlier holder may have renewed the lease
// just before.
test('a lease that an earlier holder may have renewed has not passed', () => {
	const lease = createExecutorLease();
	lease.assumeRenewed(100);
	assert.equal(lease.hasPassed(100 + longestLeaseMs + clockSlackMs), false);
	assert.ok(lease.hasPassed(100 + longestLeaseMs + clockSlackMs + 1));
});

// A call to the former process of an executor, with an end of the lease on that process's clock, was carried out by the present
// one, whose clock is far behind. If its runs counted as over when the own calls say so, they would run twice.
test('a lease that was extended on another clock has not passed before that end', () => {
	const lease = createExecutorLease();
	lease.setClock(5000, 100);
	lease.assumeExtended(8000, 100);
	lease.extend(Infinity, 100);
	assert.equal(lease.hasPassed(3100), false);
	assert.ok(lease.hasPassed(3100 + clockSlackMs + 1));
});

// Guards against tasks that wait for hours for an executor that does not come back.
test('a lease that was extended by hours counts as passed 20 s after the last call that extended it', () => {
	const lease = createExecutorLease();
	lease.setClock(5000, 100);
	lease.assumeExtended(9_000_000, 100);
	lease.extend(Infinity, 1000);
	assert.equal(lease.hasPassed(21_000), false);
	assert.ok(lease.hasPassed(21_001));
});
