import assert from 'node:assert/strict';
import {once} from 'node:events';
import net from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {runAfterNextPoll} from './after-next-poll.js';

const pauseMs = 50;

/** Opens a connection of this process to itself and returns both ends. */
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

/** Blocks the event loop as a freeze of the process would: data sent meanwhile stays unread in the sockets. */
function blockLoop(): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
}

/** Has `callBack` pause the event loop, while a message arrives, and returns the order of reading the message and running the work. */
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
		near.write('message');
		blockLoop();
		runAfterNextPoll(() => {
			order.push('run');
		});
	});
	while (order.length < 2) {
		await delay(1);
	}

	return order;
}

// Otherwise work that a delayed timer starts after a pause would act on state from before the pause.
test('a message that arrives during a pause is read before the work that a delayed timer schedules', async (context) => {
	const order = await recordOrder(context, async (pause) => {
		await delay(1);
		pause();
	});
	assert.deepEqual(order, ['read', 'run']);
});

// Otherwise work of a message that the loop turn found before a pause would act on state from before the pause.
test('a message that arrives during a pause is read before the work that an earlier message schedules', async (context) => {
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
