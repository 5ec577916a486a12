/**
What the resources in force and the view of the hosts cost, by their number.
*/
import {
	answerExchange,
	buildDigest,
	createResourceTable,
	type ResourceTable,
} from '@gentianshift/configuration';
import {
	createHostView,
	loadHash,
	pickHolders,
	type Hash64,
	type KnownHost,
} from '@gentianshift/membership';
import {type Resource} from '@gentianshift/resources';
import {
	measureCpu,
	measureMemory,
	measureSeries,
	type Series,
} from './slope-series.js';

const changes = 2000;
const looks = 300;
const resourceSizes = [1000, 2000, 4000, 8000];
const hostSizes = [12, 50, 200, 800];

function makeResource(i: number, revision: number): Resource {
	return {
		kind: 'teams',
		name: `team-${i}`,
		revision,
		changeId: `change-${revision}`,
		spec: {weight: 1, quota: 100},
	};
}

function makeTable(size: number, hash: Hash64): ResourceTable {
	const table = createResourceTable(hash);
	for (let i = 0; i < size; i += 1) {
		table.apply(makeResource(i, i + 1));
	}

	return table;
}

export async function measureTables(): Promise<Series[]> {
	const hash = await loadHash();
	const by = 'resources';
	return [
		await measureSeries(
			{name: 'configuration: processor us a change', by, sizes: resourceSizes},
			(size) => measureChange(size, hash),
		),
		await measureSeries(
			{
				name: 'configuration: processor us an answer to a digest one change behind',
				by,
				sizes: resourceSizes,
			},
			(size) => measureDigest(size, hash),
		),
		await measureSeries(
			{
				name: 'configuration: memory of the table, bytes',
				by,
				sizes: resourceSizes,
			},
			(size) => measureMemory(1, () => makeTable(size, hash)),
		),
		await measureSeries(
			{
				name: 'host view: processor us a look at all peers',
				by: 'hosts',
				sizes: hostSizes,
			},
			(size) => measureView(size),
		),
		await measureSeries(
			{
				name: 'host view: processor us a role settled',
				by: 'hosts of the data centre',
				sizes: hostSizes,
			},
			(size) => measureHolders(size, hash),
		),
		await measureSeries(
			{name: 'host view: memory, bytes', by: 'hosts', sizes: hostSizes},
			(size) => measureMemory(1, () => makeView(size)),
		),
	];
}

function measureChange(size: number, hash: Hash64): number {
	const table = makeTable(size, hash);
	return measureCpu(changes, (i) => {
		table.apply(makeResource(i % size, size + 1 + i));
	});
}

function measureDigest(size: number, hash: Hash64): number {
	const behind = makeTable(size, hash);
	const ahead = makeTable(size, hash);
	ahead.apply(makeResource(0, size + 1));
	const digest = buildDigest(behind);
	return measureCpu(looks, () => {
		answerExchange(ahead, digest);
	});
}

function makeHost(i: number): KnownHost {
	return {
		name: `host-${i}`,
		dataCentre: 'mieres',
		role: 'entry',
		address: `127.0.0.1:${i + 1}`,
		state: 'live',
	};
}

function makeView(size: number) {
	const hosts = Array.from({length: size}, (_, i) => makeHost(i));
	const view = createHostView(hosts[0]!);
	view.applyPlatformList(hosts);
	for (const host of hosts.slice(1)) {
		view.markConnected(host);
	}

	return view;
}

function measureView(size: number): number {
	const view = makeView(size);
	return measureCpu(looks, () => {
		view.listPeers(0);
		view.listEligible('mieres', 0);
	});
}

function measureHolders(size: number, hash: Hash64): number {
	const keys = Array.from({length: size}, (_, i) => `mieres_host-${i}`);
	return measureCpu(looks, (i) => {
		pickHolders(keys, `target-${i}`, 1, hash);
	});
}
