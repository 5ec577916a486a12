import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {RelayLink} from './relay.js';

async function createEcho(t: TestContext, delayMs = 0) {
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.pipe(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const link = new RelayLink({
		name: 'a>b',
		listen: {ip: '127.0.0.1', port: 0},
		target: {ip: '127.0.0.1', port},
		delayMs,
	});
	await link.open();
	t.after(async () => {
		await link.close();
		server.close();
	});
	return link;
}

async function dial(t: TestContext, link: RelayLink): Promise<Socket> {
	const socket = connect(link.port, '127.0.0.1');
	t.after(() => socket.destroy());
	await once(socket, 'connect');
	return socket;
}

async function echo(socket: Socket, text: string): Promise<string> {
	socket.write(text);
	const [data] = (await once(socket, 'data')) as [Uint8Array];
	return Buffer.from(data).toString();
}

test('passes bytes both ways, later by the delay', async (t) => {
	const link = await createEcho(t, 20);
	const socket = await dial(t, link);
	const before = performance.now();
	assert.equal(await echo(socket, 'hello'), 'hello');
	assert.ok(performance.now() - before >= 38);
});

test('a cut resets open connections and refuses new ones until healed', async (t) => {
	const link = await createEcho(t);
	const socket = await dial(t, link);
	await echo(socket, 'a');
	const closed = once(socket, 'error');
	await link.applyFault('cut');
	await closed;
	await assert.rejects(dial(t, link), {code: 'ECONNREFUSED'});
	await link.applyFault('heal');
	assert.equal(await echo(await dial(t, link), 'b'), 'b');
});

test('silenced connections stay open and pass nothing, while new ones work', async (t) => {
	const link = await createEcho(t);
	const old = await dial(t, link);
	await echo(old, 'a');
	await link.applyFault('silence-open');
	let isHeard = false;
	old.on('data', () => {
		isHeard = true;
	});
	old.write('b');
	assert.equal(await echo(await dial(t, link), 'c'), 'c');
	assert.equal(isHeard, false);
	assert.equal(old.destroyed, false);
});
