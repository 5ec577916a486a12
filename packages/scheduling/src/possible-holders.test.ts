/**
Load pattern: a host starts with a hundred others while all callers return; most connections between hosts are not up yet.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type GroupState} from '@gentianshift/protocol';
import {type KnownGroup} from './group-directory.js';
import {makeState} from './group-state.fixture.js';
import {listPossibleHolders} from './possible-holders.js';
import {stateStaleMs} from './timing.js';

const now = 10_000;

function makeGroup(
	group: string,
	state: Partial<GroupState>,
	lastHeardAt = now - 100,
): KnownGroup {
	return {
		holder: `${group}_h1`,
		lastHeardAt,
		receivedAt: lastHeardAt,
		free: [],
		state: makeState(group, state),
	};
}

const unlinked = ['mieres_h7', 'langreo_h3'];

// Guards against first requests that ask all hosts for other copies for as long as connections come up.
test('a host is no possible holder while its data centre has a holder that is connected to all hosts there', () => {
	const groups = [
		makeGroup('mieres', {unreachable: []}),
		makeGroup('langreo', {unreachable: []}),
	];
	assert.deepEqual(listPossibleHolders(unlinked, groups, now), []);
});

// Guards against a second copy beside the first one at a holder that its predecessor does not know of.
test('a host that a holder has no connection to may hold the group, also where this host is connected to it', () => {
	const groups = [
		makeGroup('mieres', {unreachable: ['mieres_h2']}),
		makeGroup('langreo', {unreachable: []}),
	];
	assert.deepEqual(listPossibleHolders(unlinked, groups, now), ['mieres_h2']);
	assert.deepEqual(listPossibleHolders([], groups, now), ['mieres_h2']);
});

// Guards against copies in a group that this host has not heard of, or whose holder may be dead, or is of an older version.
test('without the word of a holder that is heard, hosts out of reach of this one are possible holders', () => {
	const silentAt = now - stateStaleMs - 1;
	const groups = [
		makeGroup('mieres', {unreachable: []}, silentAt),
		makeGroup('langreo', {unreachable: undefined}),
	];
	assert.deepEqual(listPossibleHolders(unlinked, groups, now), unlinked);
	assert.deepEqual(listPossibleHolders(unlinked, [], now), unlinked);
});
