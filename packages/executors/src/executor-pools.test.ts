import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeMaxIdleConnections} from './executor-pools.js';

for (const [hosts, connections, slots, share] of [
	[1, 60, 60, 60],
	[1, 60, 8, 8],
	[9, 60, 8, 6],
	[9, 60, 60, 0],
	[100, 60, 8, 0],
] as const) {
	test(`${hosts} host(s) keep ${share} idle connections each, given ${connections} connections and ${slots} slots`, () => {
		assert.equal(computeMaxIdleConnections({connections, slots}, hosts), share);
	});
}

test('connections stay within the limit when one host uses all slots and the others are idle', () => {
	for (let hosts = 1; hosts < 70; hosts++) {
		const share = computeMaxIdleConnections({connections: 60, slots: 8}, hosts);
		assert.ok((hosts - 1) * share + 8 <= 60, `${hosts} hosts, ${share} each`);
	}
});
