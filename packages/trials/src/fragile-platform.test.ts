/**
Issue 4, item 8, the platform's part, over real processes: calls are few and bounded, also in an
outage and after it, and a connection that goes silent costs no more than its bound.
*/
import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {after, before, describe, test, type TestContext} from 'node:test';
import {ConfigurationRecorder} from './configuration-recorder.js';
import {startSystem, type RunningSystem} from './harness.js';
import {putTeam} from './operator.js';
import {countBetween, readHostCalls} from './platform-calls.js';

const hostsPerDataCentre = 3;
const readersPerDataCentre = 2;

/** Time over which calls are counted, milliseconds. */
const countMs = 10_000;

/**
A reader's calls a second: a look for missed changes and a look at the list of hosts, each about
once, and reopened watches. Hosts that are no readers make none.
*/
const callsPerReaderSecond = 3;

/** Letter 1: in force everywhere within this, milliseconds. */
const inForceMs = 3000;

describe('a fragile platform', () => {
	let system: RunningSystem;
	let recorder: ConfigurationRecorder;

	before(async () => {
		system = await startSystem({hostsPerDataCentre});
		recorder = new ConfigurationRecorder(system.hosts);
		await delay(2000);
	});

	after(async () => {
		await recorder.stop();
		await system.end();
	});

	/** Calls a second of each host over a time, the busiest first. */
	async function measureCalls(ms: number): Promise<number[]> {
		const earlier = await readHostCalls(system.hosts);
		await delay(ms);
		const later = await readHostCalls(system.hosts);
		return [...countBetween(earlier, later).values()]
			.map((count) => (count * 1000) / ms)
			.toSorted((a, b) => b - a);
	}

	function checkBounds(perSecond: readonly number[]): void {
		const readers = system.layout.dataCentres.length * readersPerDataCentre;
		assert.ok(perSecond[0]! <= callsPerReaderSecond, perSecond.join(', '));
		assert.deepEqual(
			perSecond.slice(readers).filter((count) => count > 0),
			[],
		);
	}

	async function countWaitingWatches(): Promise<number> {
		const {waitingWatches} = (await system.platform.readCalls()) as {
			waitingWatches: Record<string, number>;
		};
		return Object.values(waitingWatches).reduce((sum, one) => sum + one, 0);
	}

	async function changeEverywhere(limitMs: number): Promise<number> {
		const change = await putTeam(system.urls[0]!, 'cooks', 1 + Math.random());
		const since = performance.now();
		assert.equal(change.status, 200, JSON.stringify(change));
		const {tookMs, missing} = await recorder.waitForAll(
			'cooks',
			change.revision!,
			{since, limitMs},
		);
		assert.deepEqual(missing, []);
		return Math.max(...tookMs);
	}

	async function checkOutage(
		mode: 'down' | 'silent' | 'slow',
		t: TestContext,
	): Promise<void> {
		t.after(async () => system.platform.setFault({mode: 'ok'}));
		await system.platform.setFault({mode, ms: 1000});
		const during = await measureCalls(countMs);
		await system.platform.setFault({mode: 'ok'});
		const following = await measureCalls(countMs / 2);
		t.diagnostic(`calls a second during: ${during.join(', ')}`);
		t.diagnostic(`calls a second after: ${following.join(', ')}`);
		checkBounds(during);
		checkBounds(following);
		const tookMs = await changeEverywhere(inForceMs);
		t.diagnostic(`a change after it: ${Math.round(tookMs)} ms`);
	}

	test('at rest only readers call, a few times a second, and hold one watch each', async (t) => {
		const perSecond = await measureCalls(countMs);
		t.diagnostic(`calls a second by host: ${perSecond.join(', ')}`);
		checkBounds(perSecond);
		assert.equal(
			await countWaitingWatches(),
			system.layout.dataCentres.length * readersPerDataCentre,
		);
	});

	for (const mode of ['down', 'silent', 'slow'] as const) {
		test(`while it is ${mode} hosts call no more than at rest, nor after it`, async (t) => {
			// A service of about 2,000 reads a second that comes back to hosts which all ask at once, or
			// asked faster the longer it was away, goes down again.
			await checkOutage(mode, t);
		});
	}

	test('with all its open connections silent, a change made elsewhere still comes within seconds', async (t) => {
		// Something between the hosts and the platform has lost track of every open connection. The
		// change is made at the store itself, so only a reader can bring it: no host pushes it.
		t.after(async () => system.platform.setFault({mode: 'ok'}));
		const {revision} = await putTeam(system.urls[0]!, 'elsewhere', 1);
		await recorder.waitForAll('elsewhere', revision!, {
			since: performance.now(),
			limitMs: inForceMs,
		});
		await system.platform.setFault({mode: 'silent-open'});
		const since = performance.now();
		const made = await system.platform.putResource('teams/elsewhere', {
			changeId: 'outside',
			spec: {weight: 2},
		});
		const {tookMs, missing} = await recorder.waitForAll('elsewhere', made, {
			since,
			limitMs: inForceMs,
		});
		assert.deepEqual(missing, []);
		t.diagnostic(`in force after ${Math.round(Math.max(...tookMs))} ms`);
	});
});
