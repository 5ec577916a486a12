import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	computeSlot,
	makeProcessToken,
	makeStorelessToken,
	makeStoreToken,
} from './fencing-token.js';

// Guards against a former holder whose calls an executor obeys after those of the next one.
test('tokens for restarted executors rise, and stay below those of all later holders', () => {
	const token = makeStoreToken(101);
	assert.equal(makeProcessToken(token, 0), token);
	assert.ok(makeProcessToken(token, 2) > makeProcessToken(token, 1));
	for (const restartCount of [1, 4095, 4096, 1_000_000]) {
		const raised = makeProcessToken(token, restartCount);
		assert.ok(raised > token);
		assert.ok(raised < makeStorelessToken(token, 0));
		assert.ok(raised < makeStoreToken(102));
	}
});

// Guards against two holders with one token: each of two hosts that can't reach the other may have made its own without the store.
test('a token that was made without the store is the same for all processes of an executor', () => {
	const token = makeStorelessToken(makeStoreToken(101), computeSlot('m1'));
	assert.equal(makeProcessToken(token, 3), token);
});
