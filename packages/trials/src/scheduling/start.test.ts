/**
Hosts that start while something is missing: the store, or the configuration that the others have.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {submitJob, submitUntilAnswered} from './caller.js';
import {assertNoOverlaps} from './judge.js';
import {openSystem, stopHost} from './system.js';

/** A new version is in force everywhere within this time. */
const inForceMs = 2000;

// All hosts lose power while the store is down, and are back before it. Nobody knows queues or
// executors; callers have to be told so at once, and be served as soon as the store is back.
test('hosts that start without the store refuse at once and serve when it is back', async (context) => {
	const system = await openSystem(context);
	system.store.faults.busy = true;
	await Promise.all(system.hosts.map(async (host) => stopHost(host)));
	for (const host of system.hosts) {
		system.startAgain(host);
	}

	await delay(2500);
	for (const host of system.hosts) {
		const reply = await submitJob(host);
		assert.equal(reply.status, 503, host.name);
		assert.ok(reply.tookMs < 500, `${host.name}: ${reply.tookMs} ms`);
	}

	system.store.faults.busy = false;
	await system.waitUntilReady(system.hosts);
	const replies = await Promise.all(
		system.hosts.map(async (host) => submitJob(host)),
	);
	for (const {state} of replies) {
		assert.equal(state, 'completed');
	}

	assertNoOverlaps(system.executors);
});

// Guards against hosts that stay apart, and turn their callers away, as their lists are from before one another's entries.
test('hosts that can read only lists that are not stale serve', async (context) => {
	const system = await openSystem(context, {
		isRefused: ({query}) =>
			query.get('prefix') === 'gentianshift/hosts/' && query.has('allow_stale'),
	});
	for (let i = 0; i < 12; i += 1) {
		const host = system.hosts[i % system.hosts.length]!;
		const reply = await submitJob(host);
		assert.equal(reply.state, 'completed', host.name);
		await delay(150);
	}

	assertNoOverlaps(system.executors);
});

// All hosts lose power with callers at the door. These come again within a second or two, when hosts
// are back but groups are not yet taken: they are served, and none is sent away.
test('callers that come while all hosts start are served', async (context) => {
	const system = await openSystem(context);
	await Promise.all(system.hosts.map(async (host) => stopHost(host)));
	for (const host of system.hosts) {
		system.startAgain(host);
	}

	const replies = await Promise.all(
		system.hosts.map(async (host) =>
			submitUntilAnswered([host, host, host], {ms: 600, timeLeftMs: 4000}),
		),
	);
	for (const {state} of replies) {
		assert.equal(state, 'completed');
	}

	assertNoOverlaps(system.executors);
});

// An operator takes a queue away while one host stands still. Thawed, that host knows the older
// configuration and tells it to the others; no host that has dropped the queue may serve it again.
test('a configuration in force never goes back to an older one', async (context) => {
	const system = await openSystem(context);
	const [frozen, ...others] = system.hosts;
	system.putConfiguration(['/menu/', '/extra/']);
	await delay(inForceMs);
	const known = await submitJob(frozen!, {prefix: '/extra/'});
	assert.equal(known.state, 'completed');
	frozen!.process.child.kill('SIGSTOP');
	system.putConfiguration(['/menu/']);
	await delay(inForceMs);
	// The thawed host hears of the change from its peers alone.
	system.store.faults.busy = new Set([frozen!.ip]);
	frozen!.process.child.kill('SIGCONT');
	for (let i = 0; i < 20; i += 1) {
		const host = others[i % others.length]!;
		const reply = await submitJob(host, {prefix: '/extra/'});
		assert.equal(reply.status, 404, host.name);
		await delay(100);
	}

	const reply = await submitJob(frozen!, {prefix: '/extra/'});
	assert.equal(reply.status, 404, 'the host that stood still');
});
