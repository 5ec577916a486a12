import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findFreePorts} from './ports.js';

// Guards against a host whose settings name one port for two listeners: it ends at its start, and the trial fails.
test('ports of one host differ also when the same one is drawn twice', async () => {
	const draws = [0.5, 0.5, 0.5, 0.25, 0.5, 0.75].values();
	const ports = await findFreePorts('127.0.0.1', 3, () => draws.next().value!);
	assert.equal(new Set(ports).size, 3);
});
