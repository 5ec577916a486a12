import assert from 'node:assert/strict';
import {test} from 'node:test';
import {openExchange} from './exchange.fixture.js';
import {leaseRenewMs} from './ports.js';

// Guards against a host that stalls when many jobs come before its lease is answered: each told the demand of all that wait once more.
test('jobs that come before a lease is answered ask for it once', async (context) => {
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
	clock.now += leaseRenewMs;
	submit(11);
	assert.deepEqual(countSent(), [1, 11], 'a request without an answer');
	fireTimers();
	assert.deepEqual(countSent(), [1, 11], 'a renewal');
});
