import assert from 'node:assert/strict';
import {after, test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {closeCallers} from './caller.js';
import {
	assertComplete,
	assertPromises,
	createSubmission,
	startLoad,
} from './fixtures.js';
import {startSystem} from './harness.js';
import {type Drain} from './judge.js';

const executor = 'kitchens-mieres-1';
/** Change in force everywhere (3 s at most) and one lease term after it, milliseconds. */
const boundMs = 4000;

const system = await startSystem({
	hostsPerDataCentre: 2,
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

async function declareLeaving(names: readonly string[], url: string) {
	const spec = system.createTargetSpec('kitchens', names);
	assert.ok(await system.declare(url, 'targets', 'kitchens', spec));
	return Date.now();
}

async function listStarts(since: number): Promise<number[]> {
	const starts = await system.readStarts();
	return starts
		.filter((one) => one.executor === executor && one.at > since)
		.map((one) => one.at - since);
}

/** The measured bound: how long after it was told to leave it still got a task. */
async function reportLast(t: TestContext, at: number): Promise<void> {
	const last = Math.max(0, ...(await listStarts(at)));
	t.diagnostic(`last start ${last} ms after it was leaving`);
}

// An operator takes an executor out while it is in use. A user would notice orders that are cut off
// when it stops, or that go to a kitchen which has closed.
test('an executor declared leaving gets nothing new after the bound, and nothing is cut off', async (t) => {
	const load = startLoad(system.urls, createSubmission(5, 80));
	await delay(1000);
	const at = await declareLeaving([executor], system.urls[2]!);
	await delay(boundMs + 1500);
	const outcomes = await load.stop();
	await reportLast(t, at);
	const drain: Drain = {executor, at, until: Date.now(), boundMs};
	assertComplete(outcomes);
	await assertPromises(system, outcomes, [drain]);
	await declareLeaving([], system.urls[2]!);
});

for (const index of [0, 1]) {
	// The host that lends the executor's slots stops answering just as the executor is declared
	// leaving, and wakes up later. A user would notice orders at a kitchen that has closed.
	test(`a leaving executor gets nothing new although host ${index + 1} of its data centre is frozen`, async (t) => {
		const frozen = system.hosts[index]!;
		const others = system.urls.filter((url) => url !== frozen.url);
		const load = startLoad(others, createSubmission(5, 80));
		const ownLoad = startLoad([frozen.url], createSubmission(5, 80), 100);
		await delay(1000);
		system.freeze(frozen.name);
		const at = await declareLeaving([executor], others[1]!);
		await delay(boundMs);
		system.thaw(frozen.name);
		await delay(2000);
		const outcomes = await load.stop();
		const ownOutcomes = await ownLoad.stop();
		await reportLast(t, at);
		const drain: Drain = {executor, at, until: Date.now(), boundMs};
		await assertPromises(system, [...outcomes, ...ownOutcomes], [drain]);
		await declareLeaving([], others[1]!);
		await delay(1000);
	});
}

// The platform is about to stop a worker and says so in its list. A user would notice orders that are
// cut off with the machine.
test('executors on a worker that the platform lists as leaving get nothing new after the bound', async (t) => {
	const {ip} = system.executors.find(({name}) => name === executor)!;
	const load = startLoad(system.urls, createSubmission(5, 80));
	await delay(1000);
	await system.listWorker(ip, 'leaving');
	const at = Date.now();
	await delay(boundMs + 1500);
	const outcomes = await load.stop();
	await reportLast(t, at);
	const drain: Drain = {executor, at, until: Date.now(), boundMs};
	assertComplete(outcomes);
	await assertPromises(system, outcomes, [drain]);
	await system.listWorker(ip, 'live');
	assert.deepEqual(await listStarts(at + boundMs), []);
});
