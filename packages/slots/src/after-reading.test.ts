import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {runAfterReading} from './after-reading.js';

const pauseMs = 50;

/** Both ends of a connection of this process to itself. */
async function openPair(context: TestContext) {
	const server = net.createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as net.AddressInfo;
	const near = net.connect({host: '127.0.0.1', port});
	const [far] = (await once(server, 'connection')) as [net.Socket];
	context.after(() => {
		near.destroy();
		far.destroy();
		server.close();
	});
	return {near, far};
}

/** Keeps the loop from going on, as a frozen process does; what is sent meanwhile waits in its sockets. */
function blockLoop(): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
}

/** Pauses the loop while it calls back, with a message sent to it meanwhile; gives the order of what follows. */
async function recordOrder(
	context: TestContext,
	callBack: (pause: () => void) => Promise<void>,
): Promise<string[]> {
	const {near, far} = await openPair(context);
	const order: string[] = [];
	far.on('data', () => {
		order.push('read');
	});
	await callBack(() => {
		near.write('news');
		blockLoop();
		runAfterReading(() => {
			order.push('run');
		});
	});
	while (order.length < 2) {
		await delay(1);
	}

	return order;
}

// Guards against work of a timer that is late after a pause and that runs by news of before the pause.
test('what came during a pause is read before the work that a late timer asks for', async (context) => {
	const order = await recordOrder(context, async (pause) => {
		await delay(1);
		pause();
	});
	assert.deepEqual(order, ['read', 'run']);
});

// Guards against work of a message found before a pause in the same loop turn and that runs by news of before the pause.
test('what came during a pause is read before the work that a message of before it asks for', async (context) => {
	const {near, far} = await openPair(context);
	const order = await recordOrder(context, async (pause) => {
		near.write('work');
		await new Promise<void>((resolve) => {
			far.once('data', () => {
				pause();
				resolve();
			});
		});
	});
	assert.deepEqual(order, ['read', 'run']);
});
