/**
How hosts that start learn of each other by the store, also when it goes away in their first second.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {retryPausesMs} from '../timers.js';
import {
	openMeeting,
	type Meeting,
	type MeetingHost,
	type StoreCall,
} from './host-meeting.fixture.js';

/** Under the shortest pause between two readings of the list. */
const beforeSecondReadingMs = 600;
const longMs = 4000;

const places = [
	['m1', 'mieres'],
	['m2', 'mieres'],
	['l1', 'langreo'],
	['l2', 'langreo'],
] as const;

function addHosts(meeting: Meeting): MeetingHost[] {
	return places.map(([name, dataCentre]) => meeting.addHost(name, dataCentre));
}

function assertAllMet(hosts: readonly MeetingHost[]): void {
	const names = hosts.map(({name}) => name).toSorted();
	for (const host of hosts) {
		assert.deepEqual(
			host.listLinked(),
			names.filter((name) => name !== host.name),
			`whom ${host.name} has a connection to`,
		);
	}
}

/** Starts all at once, and takes the store away after some time. */
async function playStart(
	meeting: Meeting,
	hosts: readonly MeetingHost[],
	{storeMs}: {storeMs: number},
): Promise<void> {
	meeting.store.freezeStaleReads();
	for (const host of hosts) {
		host.start();
	}

	await meeting.pass(storeMs);
	meeting.store.faults.isRefused = () => true;
	await meeting.pass(longMs);
}

/** True for the first calls of each host that are of these kinds. */
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

// Guards against hosts that turn their callers away until the store is back, as their first lists lacked one another.
test('hosts whose first lists are empty meet when the store goes away right after their entries', async (context) => {
	const meeting = openMeeting(context);
	const hosts = addHosts(meeting);
	await playStart(meeting, hosts, {storeMs: 0});
	assertAllMet(hosts);
});

// Guards against hosts that take an entry for unwritten, and look for nobody, as its answer was lost.
test('hosts meet when the answers to their entries are lost and the store goes away', async (context) => {
	const meeting = openMeeting(context);
	const hosts = addHosts(meeting);
	meeting.store.faults.isUnanswered = ({kind}) => kind === 'write';
	await playStart(meeting, hosts, {storeMs: 0});
	assertAllMet(hosts);
});

// Guards against a host that nobody knows because one answer of the store was lost in its first second.
for (const {what, kinds} of [
	{what: 'list of hosts', kinds: ['list', 'stale list']},
	{what: 'lease', kinds: ['lease']},
	{what: 'write of the entry', kinds: ['write']},
] as const) {
	test(`hosts meet within their first second although the first two answers to a ${what} are lost`, async (context) => {
		const meeting = openMeeting(context);
		const hosts = addHosts(meeting);
		meeting.store.faults.isUnanswered = matchFirst(kinds, 2);
		await playStart(meeting, hosts, {storeMs: beforeSecondReadingMs});
		assertAllMet(hosts);
	});

	test(`hosts meet within their first second although the store refuses the first two calls for a ${what}`, async (context) => {
		const meeting = openMeeting(context);
		const hosts = addHosts(meeting);
		meeting.store.faults.isRefused = matchFirst(kinds, 2);
		await playStart(meeting, hosts, {storeMs: beforeSecondReadingMs});
		assertAllMet(hosts);
	});
}

// Guards against a host that started while another's entry had lapsed, and that the other never hears of.
test('a host whose entry had lapsed finds those that started meanwhile', async (context) => {
	const meeting = openMeeting(context);
	const [old, fresh] = [
		meeting.addHost('m1', 'mieres'),
		meeting.addHost('l1', 'langreo'),
	];
	const {store} = meeting;
	store.freezeStaleReads();
	old.start();
	await meeting.pass(0);
	store.dropEntry('m1');
	store.faults.isRefused = ({host}) => host === 'm1';
	fresh.start();
	await meeting.pass(longMs);
	assert.deepEqual(old.listLinked(), []);
	store.faults.isRefused = ({host, kind}) =>
		host === 'l1' || kind === 'stale list';
	const countEntries = () =>
		store.calls.filter(({host, kind}) => host === 'm1' && kind === 'write')
			.length;
	const before = countEntries();
	while (countEntries() === before) {
		await meeting.pass(10);
	}

	store.faults.isRefused = () => true;
	await meeting.pass(longMs);
	assertAllMet([old, fresh]);
});

// Guards against a peer that is dropped while it is dialled, as an older list is answered after a newer one.
test('a list that was asked for earlier does not replace a later one', async (context) => {
	const meeting = openMeeting(context);
	const [own, dark] = [
		meeting.addHost('m1', 'mieres'),
		meeting.addHost('l1', 'langreo'),
	];
	const {store} = meeting;
	store.freezeStaleReads();
	store.faults.isRefused = ({host, kind}) =>
		host === 'l1' && ['list', 'stale list'].includes(kind);
	store.faults.countTurns = ({kind}) => (kind === 'stale list' ? 60 : 1);
	dark.start();
	dark.setDark(true);
	await meeting.pass(0);
	own.start();
	await meeting.pass(0);
	await meeting.pass(0);
	store.faults.isRefused = () => true;
	dark.setDark(false);
	await meeting.pass(longMs);
	assertAllMet([own, dark]);
});

// Guards against a host that is forgotten while it is dialled, as a peer tells a list that lacks it.
test('a host that the own list names is dialled although a peer’s younger list lacks it', async (context) => {
	const meeting = openMeeting(context);
	const [own, peer, dark] = [
		meeting.addHost('m1', 'mieres'),
		meeting.addHost('m2', 'mieres'),
		meeting.addHost('l1', 'langreo'),
	];
	const {store} = meeting;
	store.faults.isRefused = ({host, kind}) =>
		(host === 'm2' && kind === 'list') ||
		(host === 'l1' && ['list', 'stale list'].includes(kind));
	store.faults.countTurns = ({host, kind}) =>
		host === 'm1' && kind === 'write' ? 100 : 1;
	own.start();
	await meeting.pass(0);
	store.freezeStaleReads();
	dark.start();
	dark.setDark(true);
	await meeting.pass(0);
	await meeting.pass(0);
	peer.start();
	await meeting.pass(0);
	assert.deepEqual(own.listLinked(), ['m2']);
	store.faults.isRefused = () => true;
	dark.setDark(false);
	await meeting.pass(longMs);
	assert.deepEqual(own.listLinked(), ['l1', 'm2']);
});

// Guards against an entry that is written twice at the start, as a list from before it lacks it.
test('a list that was asked for before the entry was written does not have it written again', async (context) => {
	const meeting = openMeeting(context);
	const hosts = addHosts(meeting);
	meeting.store.faults.countTurns = ({kind}) => (kind === 'stale list' ? 9 : 1);
	await playStart(meeting, hosts, {storeMs: 0});
	assert.equal(
		meeting.store.calls.filter(({kind}) => kind === 'write').length,
		hosts.length,
	);
});

// A list and a lease a second, and the retries. Guards against a store that is kept down by those who ask again in their first second.
test('calls in the first seconds without the store are few', async (context) => {
	const meeting = openMeeting(context);
	const host = meeting.addHost('m1', 'mieres');
	meeting.store.faults.isRefused = () => true;
	host.start();
	await meeting.pass(longMs);
	const {calls} = meeting.store;
	const rounds = 2 * (1 + longMs / 1000);
	const limit = rounds + retryPausesMs.length;
	assert.ok(calls.length <= limit, `${calls.length} calls`);
	assert.ok(calls.every(({kind}) => kind !== 'write'));
});
