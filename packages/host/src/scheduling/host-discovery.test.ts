/**
How hosts that start discover each other through the store, also when it fails in their first
second.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {retryPausesMs} from '../timers.js';
import {
	openCluster,
	type Cluster,
	type ClusterHost,
	type StoreCall,
} from './host-cluster.fixture.js';

/** Less than the shortest pause between two reads of the list. */
const beforeSecondReadMs = 600;
const longWaitMs = 4000;

const places = [
	['m1', 'mieres'],
	['m2', 'mieres'],
	['l1', 'langreo'],
	['l2', 'langreo'],
] as const;

function addHosts(cluster: Cluster): ClusterHost[] {
	return places.map(([name, dataCentre]) => cluster.addHost(name, dataCentre));
}

function assertAllConnected(hosts: readonly ClusterHost[]): void {
	const names = hosts.map(({name}) => name).toSorted();
	for (const host of hosts) {
		assert.deepEqual(
			host.listLinked(),
			names.filter((name) => name !== host.name),
			`hosts that ${host.name} is connected to`,
		);
	}
}

/** Starts all hosts at once, and makes the store refuse all calls after some time. */
async function startHostsThenFailStore(
	cluster: Cluster,
	hosts: readonly ClusterHost[],
	{storeMs}: {storeMs: number},
): Promise<void> {
	cluster.store.freezeStaleReads();
	for (const host of hosts) {
		host.start();
	}

	await cluster.passTime(storeMs);
	cluster.store.faults.isRefused = () => true;
	await cluster.passTime(longWaitMs);
}

/** Matches the first `count` calls of each host that are of these kinds. */
function matchFirst(
	kinds: ReadonlyArray<StoreCall['kind']>,
	count = 1,
): (call: StoreCall) => boolean {
	const seen = new Map<string, number>();
	return ({host, kind}) => {
		if (!kinds.includes(kind)) {
			return false;
		}

		const before = seen.get(host) ?? 0;
		seen.set(host, before + 1);
		return before < count;
	};
}

// Hosts that start at once read lists that lack one another. Guards against refusing callers until
// the store is back.
test('hosts whose first lists are empty connect although the store fails right after they register', async (context) => {
	const cluster = openCluster(context);
	const hosts = addHosts(cluster);
	await startHostsThenFailStore(cluster, hosts, {storeMs: 0});
	assertAllConnected(hosts);
});

// Guards against a host that takes its registration for unwritten because the answer was lost, and
// so does not look for other hosts.
test('hosts connect although the answers to their registrations are lost and the store fails', async (context) => {
	const cluster = openCluster(context);
	const hosts = addHosts(cluster);
	cluster.store.faults.isUnanswered = ({kind}) => kind === 'write';
	await startHostsThenFailStore(cluster, hosts, {storeMs: 0});
	assertAllConnected(hosts);
});

// Guards against a host that no other host knows because one answer of the store was lost in its
// first second.
for (const {callName, kinds} of [
	{callName: 'list of hosts', kinds: ['list', 'stale list']},
	{callName: 'lease', kinds: ['lease']},
	{callName: 'write of the registration', kinds: ['write']},
] as const) {
	test(`hosts connect within their first second although the first two answers to a ${callName} are lost`, async (context) => {
		const cluster = openCluster(context);
		const hosts = addHosts(cluster);
		cluster.store.faults.isUnanswered = matchFirst(kinds, 2);
		await startHostsThenFailStore(cluster, hosts, {
			storeMs: beforeSecondReadMs,
		});
		assertAllConnected(hosts);
	});

	test(`hosts connect within their first second although the store refuses the first two calls for a ${callName}`, async (context) => {
		const cluster = openCluster(context);
		const hosts = addHosts(cluster);
		cluster.store.faults.isRefused = matchFirst(kinds, 2);
		await startHostsThenFailStore(cluster, hosts, {
			storeMs: beforeSecondReadMs,
		});
		assertAllConnected(hosts);
	});
}

// A host starts while another host's registration has expired. Guards against the other host never
// learning of it.
test('a host whose registration had expired finds hosts that started meanwhile', async (context) => {
	const cluster = openCluster(context);
	const [old, fresh] = [
		cluster.addHost('m1', 'mieres'),
		cluster.addHost('l1', 'langreo'),
	];
	const {store} = cluster;
	store.freezeStaleReads();
	old.start();
	await cluster.passTime(0);
	store.dropRegistration('m1');
	store.faults.isRefused = ({host}) => host === 'm1';
	fresh.start();
	await cluster.passTime(longWaitMs);
	assert.deepEqual(old.listLinked(), []);
	store.faults.isRefused = ({host, kind}) =>
		host === 'l1' || kind === 'stale list';
	const countWrites = () =>
		store.calls.filter(({host, kind}) => host === 'm1' && kind === 'write')
			.length;
	const before = countWrites();
	while (countWrites() === before) {
		await cluster.passTime(10);
	}

	store.faults.isRefused = () => true;
	await cluster.passTime(longWaitMs);
	assertAllConnected([old, fresh]);
});

// Guards against dropping a peer that is being dialled when the answer to an older read of the list
// arrives after that to a newer one.
test('a list that was requested earlier does not replace a later one', async (context) => {
	const cluster = openCluster(context);
	const [own, unreachable] = [
		cluster.addHost('m1', 'mieres'),
		cluster.addHost('l1', 'langreo'),
	];
	const {store} = cluster;
	store.freezeStaleReads();
	store.faults.isRefused = ({host, kind}) =>
		host === 'l1' && ['list', 'stale list'].includes(kind);
	store.faults.countTurns = ({kind}) => (kind === 'stale list' ? 60 : 1);
	unreachable.start();
	unreachable.setUnreachable(true);
	await cluster.passTime(0);
	own.start();
	await cluster.passTime(0);
	await cluster.passTime(0);
	store.faults.isRefused = () => true;
	unreachable.setUnreachable(false);
	await cluster.passTime(longWaitMs);
	assertAllConnected([own, unreachable]);
});

// Guards against forgetting a host that is being dialled when a peer sends a list that lacks it.
test('a host in this host’s own list is dialled although a newer list of a peer lacks it', async (context) => {
	const cluster = openCluster(context);
	const [own, peer, unreachable] = [
		cluster.addHost('m1', 'mieres'),
		cluster.addHost('m2', 'mieres'),
		cluster.addHost('l1', 'langreo'),
	];
	const {store} = cluster;
	store.faults.isRefused = ({host, kind}) =>
		(host === 'm2' && kind === 'list') ||
		(host === 'l1' && ['list', 'stale list'].includes(kind));
	store.faults.countTurns = ({host, kind}) =>
		host === 'm1' && kind === 'write' ? 100 : 1;
	own.start();
	await cluster.passTime(0);
	store.freezeStaleReads();
	unreachable.start();
	unreachable.setUnreachable(true);
	await cluster.passTime(0);
	await cluster.passTime(0);
	peer.start();
	await cluster.passTime(0);
	assert.deepEqual(own.listLinked(), ['m2']);
	store.faults.isRefused = () => true;
	unreachable.setUnreachable(false);
	await cluster.passTime(longWaitMs);
	assert.deepEqual(own.listLinked(), ['l1', 'm2']);
});

// Guards against writing the registration twice at the start because a list from before it lacks
// it.
test('a list requested before the registration was written does not cause a second write', async (context) => {
	const cluster = openCluster(context);
	const hosts = addHosts(cluster);
	cluster.store.faults.countTurns = ({kind}) => (kind === 'stale list' ? 9 : 1);
	await startHostsThenFailStore(cluster, hosts, {storeMs: 0});
	assert.equal(
		cluster.store.calls.filter(({kind}) => kind === 'write').length,
		hosts.length,
	);
});

// One list and one lease a second, and the retries. Guards against hosts whose repeated calls in
// their first second keep an overloaded store down.
test('a host makes few calls in its first seconds without the store', async (context) => {
	const cluster = openCluster(context);
	const host = cluster.addHost('m1', 'mieres');
	cluster.store.faults.isRefused = () => true;
	host.start();
	await cluster.passTime(longWaitMs);
	const {calls} = cluster.store;
	const rounds = 2 * (1 + longWaitMs / 1000);
	const limit = rounds + retryPausesMs.length;
	assert.ok(calls.length <= limit, `${calls.length} calls`);
	assert.ok(calls.every(({kind}) => kind !== 'write'));
});
