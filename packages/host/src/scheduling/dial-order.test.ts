/**
Load pattern: power is back, and a hundred hosts dial each other while all callers return.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {rankDial} from './dial-order.js';

const mostCores = 1.35;
const weakCores = 0.324;
const weak = {isNear: false, isHolder: false, cores: weakCores};
const candidates = {
	farWeak: weak,
	nearWeak: {...weak, isNear: true},
	farStrong: {...weak, cores: mostCores},
	nearStrong: {...weak, isNear: true, cores: mostCores},
	farHolder: {...weak, isHolder: true},
	nearHolder: {...weak, isNear: true, isHolder: true},
};

function rankAll(own: {isHolder: boolean; cores: number}) {
	return Object.entries(candidates)
		.map(([name, peer]) => ({name, rank: rankDial(peer, {own, mostCores})}))
		.toSorted((a, b) => a.rank - b.rank);
}

// Guards against callers whose jobs wait for the connection to a holder while this host works on a hundred others.
test('holders are dialled first, then hosts that may hold groups, those nearby before others', () => {
	assert.deepEqual(
		rankAll({isHolder: false, cores: weakCores}).map(({name}) => name),
		[
			'nearHolder',
			'farHolder',
			'nearStrong',
			'farStrong',
			'nearWeak',
			'farWeak',
		],
	);
});

// Guards against hosts of a third of a core that connect to far hosts of their kind while their callers wait, and
// against a holder whose states reach far hosts late.
test('far hosts are left for later only where neither of the two may hold a group', () => {
	const findBackground = (own: {isHolder: boolean; cores: number}) =>
		rankAll(own).flatMap(({name, rank}) => (rank === Infinity ? name : []));
	assert.deepEqual(findBackground({isHolder: false, cores: weakCores}), [
		'farWeak',
	]);
	assert.deepEqual(findBackground({isHolder: true, cores: weakCores}), []);
	assert.deepEqual(findBackground({isHolder: false, cores: mostCores}), []);
});
