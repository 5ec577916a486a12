/**
Which hosts hold the groups of a data centre, and who takes them over.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {listGroupNames} from './group-layout.js';
import {rankGroupHosts, type GroupHost} from './rank-group-hosts.js';

const strong = (key: string): GroupHost => ({key, cores: 1.35});
const weak = (key: string): GroupHost => ({key, cores: 0.324});

function rankAll(count: number, hosts: readonly GroupHost[]): string[][] {
	return [...rankGroupHosts(listGroupNames('mieres', count), hosts).values()];
}

// Guards against a host that schedules the whole data centre beside an idle one of the same strength.
test('groups are spread over the strong hosts', () => {
	const hosts = [strong('a'), strong('b'), weak('c'), weak('d')];
	const [first, second] = rankAll(2, hosts);
	assert.deepEqual(first, ['a', 'b', 'c', 'd']);
	assert.deepEqual(second, ['b', 'a', 'c', 'd']);
});

// Guards against a weak host that holds a group while a strong one could hold both.
test('a strong host holds several groups rather than leave one to a weak host', () => {
	assert.deepEqual(
		rankAll(2, [strong('a'), weak('c')]).map(([first]) => first),
		['a', 'a'],
	);
});

// Guards against one successor for all groups after a loss of power, when none has a holder.
test('the groups of a lost host go to different hosts', () => {
	const equal = ['a', 'b', 'c', 'd'].map((key) => ({key, cores: 1}));
	const orders = rankAll(3, equal);
	assert.equal(new Set(orders.map(([first]) => first)).size, 3);
	assert.equal(orders.at(-1)![1], 'd', 'the host without a group is next');
});

test('without hosts no group has an order', () => {
	assert.deepEqual(rankAll(2, []), [[], []]);
});

test('one group is taken over in the order of the hosts', () => {
	assert.deepEqual(rankAll(1, [strong('a'), weak('c'), weak('d')]), [
		['a', 'c', 'd'],
	]);
});
