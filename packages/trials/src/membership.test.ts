import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {closeCallers} from './caller.js';
import {
	assertComplete,
	assertPromises,
	createSubmission,
	startLoad,
} from './fixtures.js';
import {startSystem} from './harness.js';

const system = await startSystem({
	hostsPerDataCentre: 3,
	targets: {
		kitchens: {executorsPerDataCentre: 2, slots: 4, connections: 60},
	},
	services: {meals: {target: 'kitchens', path: '/run', taskMs: 100}},
	teams: {cooks: {}},
});
after(async () => {
	await system.end();
	await closeCallers();
});

/** Hosts that nothing happens to: their jobs all have to be complete. */
function listSpared(names: readonly string[]): string[] {
	return system.hosts
		.filter(({name}) => !names.includes(name))
		.map(({url}) => url);
}

// Every host of a data centre dies in turn and is replaced, the one that lends slots among them. A
// user of the other hosts would notice failed jobs, and the kitchen more orders than it can cook.
test('hosts die and come back in turn; the others serve on and no executor gets more than its slots', async () => {
	const names = ['m1', 'm2', 'm3'];
	const load = startLoad(listSpared(names), createSubmission(5, 60));
	for (const name of names) {
		await delay(700);
		await system.kill(name);
		await delay(2500);
		await system.restart(name);
	}

	await delay(2000);
	const outcomes = await load.stop();
	assertComplete(outcomes);
	await assertPromises(system, outcomes);
	const replaced = startLoad(system.urls, createSubmission(2, 20));
	await delay(500);
	assertComplete(await replaced.stop());
});

// A host freezes for longer than its leases last and wakes up with old ones. The executors would see
// more requests than slots, and a user two deliveries.
test('a host that wakes up with lapsed leases starts nothing on them', async () => {
	const load = startLoad(listSpared(['l1']), createSubmission(5, 60));
	const ownLoad = startLoad(
		[system.getHost('l1').url],
		createSubmission(20, 60),
		200,
	);
	await delay(1000);
	system.freeze('l1');
	await delay(4000);
	system.thaw('l1');
	await delay(2000);
	const outcomes = await load.stop();
	const ownOutcomes = await ownLoad.stop();
	assertComplete(outcomes);
	await assertPromises(system, [...outcomes, ...ownOutcomes]);
});

// The platform can't be reached for a while, in which a host dies; it is replaced right after. A user
// would notice that orders fail, or that the new host knows nothing and refuses all.
test('an outage of the platform stops no host, and one replaced after it serves', async () => {
	await system.kill('t2');
	await system.platform.setFault({mode: 'down'});
	const others = startLoad(listSpared(['t2']), createSubmission(3, 40));
	await delay(3000);
	assertComplete(await others.stop());
	await system.platform.setFault({mode: 'ok'});
	await system.restart('t2');
	const load = startLoad([system.getHost('t2').url], createSubmission(3, 40));
	await delay(500);
	const outcomes = await load.stop();
	assertComplete(outcomes);
	await assertPromises(system, outcomes);
	assert.ok(outcomes.length > 5);
});
