/**
Signals that come while a host's program is loaded.
*/
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {waitFor} from '../processes.js';
import {openSystem, stopHost, type SchedulingHostProcess} from './system.js';

const listeningLimitMs = 5000;

async function canConnect({callers}: SchedulingHostProcess): Promise<boolean> {
	const [ip, port] = callers.split(':');
	const socket = connect(Number(port), ip);
	try {
		await once(socket, 'connect');
		return true;
	} catch {
		return false;
	} finally {
		socket.destroy();
	}
}

// Guards against a host that ends because its settings change while it starts.
test('a host that is told to read its settings again while it is loaded goes on', async (context) => {
	const system = await openSystem(context, {
		hosts: {mieres: 1},
		executors: {mieres: 2},
	});
	const [host] = system.hosts as [SchedulingHostProcess];
	for (let i = 0; i < 5; i += 1) {
		await stopHost(host);
		system.startAgain(host);
		await waitFor(
			async () => ((await canConnect(host)) ? true : undefined),
			'the host to listen',
			listeningLimitMs,
		);
		host.process.child.kill('SIGHUP');
		await system.waitUntilReady([host]);
		assert.equal(host.process.child.exitCode, null);
		assert.equal(host.process.child.signalCode, null);
	}
});
