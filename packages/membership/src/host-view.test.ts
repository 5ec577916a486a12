import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createHostView,
	forgetAfterMs,
	reconnectGraceMs,
	type KnownHost,
} from './host-view.js';

function buildHost(name: string, rest: Partial<KnownHost> = {}): KnownHost {
	return {
		name,
		dataCentre: 'mieres',
		role: 'entry',
		address: `127.0.0.1:70${name.slice(1)}`,
		state: 'live',
		...rest,
	};
}

const [h1, h2, h3] = [buildHost('h1'), buildHost('h2'), buildHost('h3')];
const [key1, key2] = ['mieres_h1', 'mieres_h2'];
const listNames = (hosts: KnownHost[]) =>
	hosts.map(({name}) => name).toSorted();

test('a listed host that was never reached is dialled but holds no role', () => {
	// The list lags: a host that died a moment ago is still listed as live. A role given to it
	// would have no holder, and tasks would wait for slots that nobody lends.
	const view = createHostView(h1);
	view.applyPlatformList([h1, h2]);
	assert.deepEqual(listNames(view.listPeers(0)), ['h2']);
	assert.deepEqual(view.listEligible('mieres', 0), [key1]);
});

test('a host that answers is live although the list lacks it', () => {
	const view = createHostView(h1);
	view.markConnected(h2);
	view.applyPlatformList([h1]);
	assert.deepEqual(view.listEligible('mieres', 0), [key1, key2]);
	assert.deepEqual(listNames(view.listPeers(0)), ['h2']);
});

test('a host stays live for a moment after its connection closed, but not after silence', () => {
	const view = createHostView(h1);
	view.markConnected(h2);
	view.markClosed(key2, 'closed', 1000);
	assert.ok(view.isLive(key2, 1000 + reconnectGraceMs - 1));
	assert.ok(!view.isLive(key2, 1000 + reconnectGraceMs));
	view.markConnected(h2);
	view.markClosed(key2, 'silent', 2000);
	assert.ok(!view.isLive(key2, 2000));
});

for (const {source, announceLeaving} of [
	{
		source: 'the host itself',
		announceLeaving(view: ReturnType<typeof createHostView>) {
			view.markLeaving(key2, true);
		},
	},
	{
		source: 'the platform',
		announceLeaving(view: ReturnType<typeof createHostView>) {
			view.applyPlatformList([h1, {...h2, state: 'leaving'}]);
		},
	},
]) {
	test(`a host that is leaving, according to ${source}, is live and gets no new role`, () => {
		const view = createHostView(h1);
		view.markConnected(h2);
		announceLeaving(view);
		assert.ok(view.isLive(key2, 0));
		assert.deepEqual(view.listEligible('mieres', 0), [key1]);
		assert.equal(
			view.exportHosts().find(({name}) => name === 'h2')?.state,
			'leaving',
		);
	});
}

test('a host that starts while the platform is down learns of all hosts from one peer', () => {
	// Without the platform's list the new host knows no other. The old hosts still dial its
	// address, and the first of these connections brings the list of all the others.
	const [old, fresh] = [createHostView(h1), createHostView(h2)];
	old.applyPlatformList([h1, h2, h3]);
	fresh.markConnected(h1);
	fresh.applyPeerList(old.exportHosts(), 0);
	assert.deepEqual(listNames(fresh.listPeers(0)), ['h1', 'h3']);
});

test('hosts that only peers have named are not passed on, and are forgotten', () => {
	// Otherwise hosts that repeat each other's lists would keep a dead host listed for ever.
	const view = createHostView(h1);
	view.applyPeerList([h3], 0);
	assert.deepEqual(listNames(view.exportHosts()), ['h1']);
	assert.deepEqual(view.listPeers(forgetAfterMs + 1), []);
});

test('the address of a working connection is preferred to the list’s', () => {
	const view = createHostView(h1);
	view.markConnected({...h2, address: '127.0.0.1:9999'});
	view.applyPlatformList([h1, h2]);
	assert.equal(view.listPeers(0)[0]?.address, '127.0.0.1:9999');
	view.markClosed(key2, 'closed', 0);
	assert.equal(view.listPeers(0)[0]?.address, h2.address);
});

test('a worker that is leaving by the platform’s list is found by its IP', () => {
	const view = createHostView(h1);
	view.applyPlatformList([
		buildHost('w1', {role: 'worker', address: '10.0.0.1', state: 'leaving'}),
	]);
	assert.ok(view.isWorkerLeaving('10.0.0.1:7000'));
	assert.ok(!view.isWorkerLeaving('10.0.0.2:7000'));
});

test('a host has the cores that it announced, and one if it announced none', () => {
	const view = createHostView({...h1, cores: 0.324});
	view.markConnected({...h2, cores: 1.35});
	view.markConnected(h3);
	assert.deepEqual(
		['mieres_h1', 'mieres_h2', 'mieres_h3'].map((key) => view.getCores(key)),
		[0.324, 1.35, 1],
	);
});

// All hosts start together. Guards against a small host that takes a group because the large ones have yet to connect.
test('listed hosts with more cores are known before they connect', () => {
	const view = createHostView({...h1, cores: 0.324});
	const far = {...buildHost('h4', {cores: 1.35}), dataCentre: 'langreo'};
	view.applyPlatformList([
		{...h1, cores: 0.324},
		{...h2, cores: 1.35},
		{...h3, cores: 0.324},
		far,
	]);
	assert.deepEqual(view.listStrongerListed(), [key2]);
	assert.equal(view.getCores(key2), 1.35);
	assert.equal(view.getMostCores(), 1.35);
});
