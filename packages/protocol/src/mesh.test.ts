import assert from 'node:assert/strict';
import net, {type AddressInfo} from 'node:net';
import {after, test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {encodeFrame} from './frame.js';
import {Mesh, type MeshHandlers, type MeshOptions} from './mesh.js';

const incarnation = '0123456789abcdef';

async function findFreeAddress(): Promise<string> {
	const server = net.createServer();
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	await new Promise((resolve) => {
		server.close(resolve);
	});
	return `127.0.0.1:${port}`;
}

function doNothing(): void {
	// The test doesn't observe this call.
}

/** Starts a mesh that is stopped after the test. */
async function startMesh(
	context: TestContext,
	host: string,
	handlers: Partial<MeshHandlers>,
	ownAddress?: string,
	options: Partial<MeshOptions> = {},
): Promise<{mesh: Mesh; address: string}> {
	const address = ownAddress ?? (await findFreeAddress());
	const mesh = new Mesh({
		self: {dataCentre: 'mieres', host, incarnation, address},
		random: () => 0.5,
		meter: {
			countFrame: doNothing,
			countBytesIn: doNothing,
			countBytesOut: doNothing,
			countBadFrame: doNothing,
		},
		handlers: {
			onLinkUp: doNothing,
			onLinkDown: doNothing,
			onReply: doNothing,
			onSessionUp: doNothing,
			onSessionDown: doNothing,
			onRequest: doNothing,
			onHeartbeat: doNothing,
			onLeaving: doNothing,
			...handlers,
		},
		...options,
	});
	await mesh.start();
	context.after(async () => mesh.stop());
	return {mesh, address};
}

test('a host that sends a greeting to a bare address becomes known there by name and address', async (context) => {
	// A host starts while the platform is down, so it is on no host list. Without the greeting it
	// and the other hosts would never connect, and its callers would be refused.
	const met = new Promise<string>((resolve) => {
		void startMesh(context, 'm1', {
			onSessionUp({key, hello}) {
				resolve(`${key} at ${hello.address}`);
			},
		}).then(async ({address}) => {
			const newcomer = await startMesh(context, 'm2', {});
			newcomer.mesh.sendGreeting(address);
			expected = `mieres_m2 at ${newcomer.address}`;
		});
	});
	let expected = '';
	assert.equal(await met, expected);
});

test('a restarted peer is dialled at once when it dials this host, without waiting for the backoff', async (context) => {
	// Two hosts lose power and the first restarts sooner. Its dials of the second fail and its backoff
	// grows; if it waited for that, it would learn late which hosts schedule which groups.
	const address = await findFreeAddress();
	const linked = new Promise<void>((resolve) => {
		void startMesh(context, 'm1', {
			onLinkUp() {
				resolve();
			},
		}).then(async (first) => {
			first.mesh.setPeers([{dataCentre: 'mieres', host: 'm2', address}]);
			await delay(1500);
			restartedAt = performance.now();
			const second = await startMesh(context, 'm2', {}, address);
			second.mesh.setPeers([
				{dataCentre: 'mieres', host: 'm1', address: first.address},
			]);
		});
	});
	let restartedAt = 0;
	await linked;
	const tookMs = performance.now() - restartedAt;
	assert.ok(tookMs < 300, `${Math.round(tookMs)} ms`);
});

test('a peer that dials this host right after refusing its dial is dialled at once', async (context) => {
	// A host's process restarts just after this host's last dial of it was refused. If the refused dial
	// were treated as pending, the next one would come only after the growing backoff, and until then
	// callers of this host would be answered that no scheduler is in reach.
	const address = await findFreeAddress();
	const [ip, port] = address.split(':');
	let refusedDials = 0;
	let linked = doNothing;
	const first = await startMesh(context, 'm1', {
		onLinkUp() {
			linked();
		},
	});
	const allRefused = new Promise<void>((resolve) => {
		const refusing = net.createServer((socket) => {
			socket.destroy();
			refusedDials += 1;
			if (refusedDials === 4) {
				refusing.close(() => {
					resolve();
				});
			}
		});
		refusing.listen(Number(port), ip);
	});
	first.mesh.setPeers([{dataCentre: 'mieres', host: 'm2', address}]);
	await allRefused;
	const restartedAt = performance.now();
	const linkedAgain = new Promise<void>((resolve) => {
		linked = resolve;
	});
	const second = await startMesh(context, 'm2', {}, address);
	second.mesh.setPeers([
		{dataCentre: 'mieres', host: 'm1', address: first.address},
	]);
	await linkedAgain;
	const tookMs = performance.now() - restartedAt;
	assert.ok(tookMs < 300, `${Math.round(tookMs)} ms`);
});

test('a connection on which the peer sends nothing is closed and the peer is dialled again', async (context) => {
	// A device between two hosts loses track of their connection: it stays open and no bytes arrive.
	// A caller whose request was forwarded over it would wait for ever.
	const sockets: net.Socket[] = [];
	const silentServer = net.createServer((socket) => {
		sockets.push(socket);
	});
	after(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		silentServer.close();
	});
	await new Promise<void>((resolve) => {
		silentServer.listen(0, '127.0.0.1', resolve);
	});
	const {port} = silentServer.address() as AddressInfo;
	const {mesh} = await startMesh(context, 'm1', {});
	const dialledTwice = new Promise<void>((resolve) => {
		silentServer.on('connection', () => {
			if (sockets.length === 2) {
				resolve();
			}
		});
	});
	mesh.setPeers([
		{dataCentre: 'mieres', host: 'm2', address: `127.0.0.1:${port}`},
	]);
	await dialledTwice;
	assert.equal(mesh.findLink('mieres_m2'), undefined);
});

test('a host that has restarted after a loss of power is dialled anew as soon as it dials this host', async (context) => {
	// No FIN of the former process reaches this host, and the connection to it is pinged rarely. What
	// this host sent there until its silence was noticed would be lost.
	const address = await findFreeAddress();
	const [ip, port] = address.split(':');
	const formerProcess = net.createServer((socket) => {
		context.after(() => {
			socket.destroy();
		});
		const hello = {
			t: 'hello',
			version: 1,
			dataCentre: 'mieres',
			host: 'm2',
			incarnation: 'fedcba9876543210',
			address,
			isLeaving: false,
			silenceLimitMs: 20_200,
		};
		socket.write(encodeFrame([hello]));
	});
	await new Promise<void>((resolve) => {
		formerProcess.listen(Number(port), ip, resolve);
	});
	const links: string[] = [];
	const first = await startMesh(
		context,
		'm1',
		{
			onLinkUp({hello}) {
				links.push(hello.incarnation);
			},
		},
		undefined,
		{longestPingIntervalMs: 10_000, choosePingInterval: () => 10_000},
	);
	first.mesh.setPeers([{dataCentre: 'mieres', host: 'm2', address}]);
	while (links.length === 0) {
		await delay(10);
	}

	formerProcess.close();
	const second = await startMesh(context, 'm2', {}, address);
	second.mesh.setPeers([
		{dataCentre: 'mieres', host: 'm1', address: first.address},
	]);
	await delay(300);
	assert.deepEqual(links, ['fedcba9876543210', incarnation]);
});

test('an idle link stays open after a pause of this process', async (context) => {
	// The last ping was answered long before the pause. If it counted as waiting for its answer from
	// the pause on, a host that was frozen for a second would lose its connections to all others.
	const {address} = await startMesh(context, 'm2', {}, undefined, {
		longestPingIntervalMs: 10_000,
	});
	const closeReasons: string[] = [];
	const {mesh} = await startMesh(
		context,
		'm1',
		{
			onLinkDown(_link, reason) {
				closeReasons.push(reason);
			},
		},
		undefined,
		{longestPingIntervalMs: 10_000, choosePingInterval: () => 10_000},
	);
	mesh.setPeers([{dataCentre: 'mieres', host: 'm2', address}]);
	while (!mesh.findLink('mieres_m2')) {
		await delay(10);
	}

	mesh.setLeaving(false);
	await delay(100);
	const pauseEndsAt = performance.now() + 1300;
	while (performance.now() < pauseEndsAt) {
		// The process does nothing else.
	}

	await delay(1700);
	assert.deepEqual(closeReasons, []);
});

test('an idle link that has gone silent is closed without waiting for a heartbeat once pings are urgent', async (context) => {
	// A data centre is cut off. Its holder's silence is noticed first; the hosts there that hold nothing are pinged
	// rarely, and callers would be kept waiting for what those hosts can tell.
	const address = await findFreeAddress();
	const [ip, port] = address.split(':');
	const silentPeer = net.createServer((socket) => {
		context.after(() => {
			socket.destroy();
		});
		socket.write(
			encodeFrame([
				{
					t: 'hello',
					version: 1,
					dataCentre: 'mieres',
					host: 'm2',
					incarnation,
					address,
					isLeaving: false,
					silenceLimitMs: 20_200,
				},
			]),
		);
	});
	await new Promise<void>((resolve) => {
		silentPeer.listen(Number(port), ip, resolve);
	});
	context.after(() => {
		silentPeer.close();
	});
	let isUrgent = false;
	let closedAt = Infinity;
	const {mesh} = await startMesh(
		context,
		'm1',
		{
			onLinkDown() {
				closedAt = Math.min(closedAt, performance.now());
			},
		},
		undefined,
		{
			pingIntervalMs: 900,
			longestPingIntervalMs: 10_000,
			choosePingInterval: () => (isUrgent ? 900 : 10_000),
			isPingUrgent: () => isUrgent,
		},
	);
	mesh.setPeers([{dataCentre: 'mieres', host: 'm2', address}]);
	while (!mesh.findLink('mieres_m2')) {
		await delay(10);
	}

	// Just after a heartbeat, when the next one is farthest away.
	await delay(1000);
	isUrgent = true;
	const urgentAt = performance.now();
	await delay(1700);
	const tookMs = Math.round(closedAt - urgentAt);
	assert.ok(tookMs <= 1500, `${tookMs} ms`);
});

test('of many new peers a few are dialled at a time, those of the lowest rank first', async (context) => {
	// All hosts start together. A host that worked on a hundred connections at once would have those that its
	// callers wait for last.
	const reached: string[] = [];
	const peers = await Promise.all(
		Array.from({length: 20}, async (_, i) => {
			const host = `m${i + 10}`;
			const server = net.createServer((socket) => {
				reached.push(host);
				context.after(() => {
					socket.destroy();
				});
			});
			await new Promise<void>((resolve) => {
				server.listen(0, '127.0.0.1', resolve);
			});
			context.after(() => {
				server.close();
			});
			const {port} = server.address() as AddressInfo;
			return {dataCentre: 'mieres', host, address: `127.0.0.1:${port}`};
		}),
	);
	const {mesh} = await startMesh(context, 'm1', {}, undefined, {
		rankDial: ({host}) => -Number(host.slice(1)),
	});
	mesh.setPeers(peers);
	await delay(100);
	const expected = peers.slice(-8).map(({host}) => host);
	assert.deepEqual(reached.toSorted(), expected);
	await delay(1000);
	assert.equal(new Set(reached).size, peers.length);
});

test('a host that has dialled this one counts as unlinked until it has been dialled back', async (context) => {
	// A holder's state reaches such a host on the connection that it dialled. Otherwise its callers would wait
	// until the holder has dialled all other hosts that started with it.
	const listening = await startMesh(context, 'm1', {});
	const dialling = await startMesh(context, 'm2', {});
	dialling.mesh.setPeers([
		{dataCentre: 'mieres', host: 'm1', address: listening.address},
	]);
	while (!dialling.mesh.findLink('mieres_m1')) {
		await delay(10);
	}

	const listUnlinked = () =>
		listening.mesh.listUnlinkedSessions().map(({key}) => key);
	assert.deepEqual(listUnlinked(), ['mieres_m2']);
	listening.mesh.setPeers([
		{dataCentre: 'mieres', host: 'm2', address: dialling.address},
	]);
	while (!listening.mesh.findLink('mieres_m2')) {
		await delay(10);
	}

	assert.deepEqual(listUnlinked(), []);
});

test('a host that has yet to dial a peer tells it on the connection that the peer dialled that it has started', async (context) => {
	// All hosts start together. A small host takes a group because the large ones still count as starting there.
	const told: boolean[] = [];
	const starting = await startMesh(context, 'm1', {});
	starting.mesh.setLeaving(true);
	const {mesh} = await startMesh(context, 'm2', {
		onLeaving(_key, isLeaving) {
			told.push(isLeaving);
		},
	});
	mesh.setPeers([
		{dataCentre: 'mieres', host: 'm1', address: starting.address},
	]);
	while (told.length === 0) {
		await delay(10);
	}

	starting.mesh.setLeaving(false);
	await delay(100);
	assert.deepEqual(told, [true, false]);
});

/** Starts a TCP proxy to an address; `reset` resets all its connections together. */
async function startRelay(context: TestContext, target: string) {
	const [ip, port] = target.split(':');
	const sockets = new Set<net.Socket>();
	const server = net.createServer((socket) => {
		const onward = net.connect(Number(port), ip);
		for (const [from, to] of [
			[socket, onward],
			[onward, socket],
		] as const) {
			sockets.add(from);
			from.pipe(to);
			from.on('error', doNothing);
			from.on('close', () => {
				to.destroy();
			});
		}
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const reset = () => {
		for (const socket of sockets) {
			socket.resetAndDestroy();
		}

		sockets.clear();
	};

	context.after(() => {
		reset();
		server.close();
	});
	const {port: ownPort} = server.address() as AddressInfo;
	return {address: `127.0.0.1:${ownPort}`, reset};
}

test('a peer is dialled again at once after its connection was reset', async (context) => {
	// Only the connection was reset and the peer's host still runs. With a backoff, callers would wait
	// that long for the answer of a group that the peer schedules.
	const {address} = await startMesh(context, 'm2', {});
	const relay = await startRelay(context, address);
	let onLinkUp: () => void = doNothing;
	const waitForLink = async () =>
		new Promise<void>((resolve) => {
			onLinkUp = resolve;
		});
	const first = await startMesh(context, 'm1', {
		onLinkUp() {
			onLinkUp();
		},
	});
	const linked = waitForLink();
	first.mesh.setPeers([
		{dataCentre: 'mieres', host: 'm2', address: relay.address},
	]);
	await linked;
	await delay(150);
	const linkedAgain = waitForLink();
	const resetAt = performance.now();
	relay.reset();
	await linkedAgain;
	const tookMs = performance.now() - resetAt;
	assert.ok(tookMs < 60, `${Math.round(tookMs)} ms`);
});

// Guards against a host that ends as it dials an address that a peer, or the platform's list, has passed on unchecked.
test('a peer whose address is no IP address and port is not dialled', async (context) => {
	const {mesh} = await startMesh(context, 'm1', {});
	for (const address of ['127.0.0.1', '127.0.0.1:99999', '127.0.0.010:1']) {
		mesh.setPeers([{dataCentre: 'mieres', host: 'm2', address}]);
		assert.equal(mesh.findAddress('mieres_m2'), undefined, address);
	}
});
