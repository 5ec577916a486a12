/**
When a holder asks a stronger host to take over its group.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSuccession, successorMinUpMs} from './succession.js';

const small = 0.3;
const large = {key: 'mieres_m9', cores: 1.35};

test('hosts of one size keep their groups', () => {
	const succession = createSuccession();
	const equal = {...large, cores: small};
	for (const now of [0, successorMinUpMs, 10 * successorMinUpMs]) {
		assert.equal(succession.choose(equal, {ownCores: small, now}), undefined);
	}
});

test('a far stronger host is asked once it has been up for a while', () => {
	const succession = createSuccession();
	const choose = (now: number) =>
		succession.choose(large, {ownCores: small, now});
	assert.equal(choose(0), undefined);
	assert.equal(choose(successorMinUpMs - 1), undefined);
	assert.equal(choose(successorMinUpMs), large.key);
});

// A large host goes down and up again and again. If it were asked at each return, the group would change hands
// every few seconds, and callers would wait at each change.
test('the delay starts again for a stronger host that was away in between', () => {
	const succession = createSuccession();
	const choose = (contender: typeof large | undefined, now: number) =>
		succession.choose(contender, {ownCores: small, now});
	choose(large, 0);
	choose({key: 'mieres_m1', cores: small}, successorMinUpMs - 100);
	assert.equal(choose(large, successorMinUpMs), undefined);
	assert.equal(choose(large, 2 * successorMinUpMs), large.key);
});
