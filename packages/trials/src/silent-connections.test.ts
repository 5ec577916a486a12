import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {closeCallers, runJob} from './caller.js';
import {
	assertComplete,
	assertPromises,
	createSubmission,
	runOwnJob,
} from './fixtures.js';
import {startSystem} from './harness.js';

const taskLimitMs = 1500;
/** A silent peer is hung up on after 2 s and dialled anew; twice that is a fault, milliseconds. */
const peerBoundMs = 4000;

const system = await startSystem({
	targets: {
		kitchens: {executorsPerDataCentre: 1, slots: 8, connections: 60},
	},
	services: {
		meals: {target: 'kitchens', path: '/run', taskMs: 50, taskLimitMs},
	},
	teams: {cooks: {}},
});
after(async () => {
	await system.end();
	await closeCallers();
});

// Something between a host and an executor forgets a connection while a task runs on it. A user would
// notice a job without an end, or a dish that is cooked twice.
test('a connection to an executor that goes silent under a task costs no second start', async () => {
	const [mieres] = system.hosts;
	const running = runOwnJob(mieres!.url, createSubmission(4, 600));
	await delay(200);
	await system.setLink('mieres', 'mieres', 'silent-open');
	const outcome = await running;
	assert.equal(outcome.kind, 'problem', JSON.stringify(outcome));
	assert.ok(outcome.kind === 'problem' && outcome.problem.ran !== 'none');
	assert.ok(outcome.tookMs < 2 * taskLimitMs, `${outcome.tookMs} ms`);
	await assertPromises(system, [outcome]);
});

// Connections are forgotten while they are idle. A user would notice that the first order after a
// quiet while is lost.
test('connections to executors that went silent while idle are not used again', async () => {
	const {url} = system.hosts[0]!;
	assertComplete([await runOwnJob(url, createSubmission(8, 20))]);
	await system.setLink('mieres', 'mieres', 'silent-open');
	await delay(2000);
	const outcomes = [await runOwnJob(url, createSubmission(8, 20))];
	assertComplete(outcomes);
	await assertPromises(system, outcomes);
});

// The connection between two hosts is forgotten. A user would notice jobs that hang at the host which
// forwards them, while both hosts are well.
test('a silent connection between hosts is replaced and forwarded jobs get their answer', async () => {
	const [mieres, langreo] = system.hosts as [
		(typeof system.hosts)[0],
		(typeof system.hosts)[0],
	];
	await system.applyBetween('mieres', 'langreo', 'silence-open');
	const id = await system.makeId(langreo.name);
	const submission = createSubmission(4, 20);
	const outcome = await runJob([mieres.url], id, submission, {waitMs: 1000});
	assert.ok(outcome.tookMs < peerBoundMs, `${outcome.tookMs} ms`);
	const again = await runJob([langreo.url], id, submission);
	assertComplete([again]);
	await delay(peerBoundMs);
	const later = await runJob(
		[mieres.url],
		await system.makeId(langreo.name),
		submission,
	);
	assertComplete([later]);
	await assertPromises(system, [again, later]);
});
