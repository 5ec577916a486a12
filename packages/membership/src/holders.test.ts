import assert from 'node:assert/strict';
import {test} from 'node:test';
import {loadHash, rankByCores, pickHolders} from './holders.js';

const hash = await loadHash();
const hosts = Array.from({length: 9}, (_, i) => `mieres_m${i}`);
const roles = Array.from({length: 900}, (_, i) => `keeper/meals/${i}`);
const pickOne = (keys: string[], role: string) =>
	pickHolders(keys, role, 1, hash)[0]!;

test('the holders of a role do not depend on the order of the hosts', () => {
	assert.deepEqual(
		pickHolders(hosts, 'reader', 2, hash),
		pickHolders(hosts.toReversed(), 'reader', 2, hash),
	);
});

test('only the roles of a host that leaves move', () => {
	// Moving a role costs its new keeper's waiting time, for nothing if the old holder stays.
	const rest = hosts.slice(1);
	for (const role of roles) {
		const before = pickOne(hosts, role);
		assert.ok(before === hosts[0] || before === pickOne(rest, role));
	}
});

test('roles spread over the hosts', () => {
	for (const host of hosts) {
		const held = roles.filter((role) => pickOne(hosts, role) === host);
		assert.ok(held.length > 70 && held.length < 130, `${held.length}`);
	}
});

test('hosts with more cores come first, equal ones in their order by hash', () => {
	const order = pickHolders(hosts, 'scheduler', Infinity, hash);
	const isLarge = (key: string) => key === order[4] || key === order[7];
	assert.deepEqual(
		rankByCores(order, (key) => (isLarge(key) ? 1.35 : 0.324)),
		[
			...order.filter((key) => isLarge(key)),
			...order.filter((key) => !isLarge(key)),
		],
	);
	assert.deepEqual(
		rankByCores(order, () => 0.675),
		order,
	);
});
