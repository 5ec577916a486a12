import assert from 'node:assert/strict';
import {test} from 'node:test';
import {openExchange} from './exchange.fixture.js';
import {leaseRenewIntervalMs} from './ports.js';

// A lease request is sent along with the demands of all waiting jobs. If each job that arrives before the
// first answer sent a request, the host would stall when many jobs arrive.
test('jobs that arrive before a lease request is answered send no further request', async (context) => {
	const {sent, clock, submit, fireTimers} = openExchange(context, 'mieres_m2');
	const countSent = () => {
		const types = sent.splice(0).map(({t}) => t);
		return ['lease', 'demand'].map(
			(type) => types.filter((t) => t === type).length,
		);
	};

	for (let job = 1; job <= 10; job++) {
		submit(job);
	}

	assert.deepEqual(countSent(), [1, 10]);
	clock.now += leaseRenewIntervalMs;
	submit(11);
	assert.deepEqual(
		countSent(),
		[1, 11],
		'after a request that was not answered',
	);
	fireTimers();
	assert.deepEqual(countSent(), [1, 11], 'after a renewal');
});
