/**
Planned stops of real hosts under load: nothing in flight is cut off.
*/
import assert from 'node:assert/strict';
import {after, type TestContext, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {
	closeCallers,
	fetchIssuer,
	type JobOutcome,
	makeJobId,
	runJob,
	submitOnce,
} from './caller.js';
import {startSystem, type SystemOptions} from './harness.js';
import {checkPromises} from './judge.js';
import {startLoad} from './steady-load.js';

after(closeCallers);

/** A stopping host goes on taking jobs for this long, until balancers see that it isn't ready. */
const readinessMs = 300;

const job = {service: 'meals', team: 'cooks'};

async function openSystem(context: TestContext, options: SystemOptions = {}) {
	const system = await startSystem(options);
	context.after(async () => system.end());
	return system;
}

// An operator replaces a host while cooks wait for their menus. Cut off, a caller would not know
// whether its order was placed, though nothing was wrong with it.
test('jobs in flight at a stopping host are answered, at the host itself and through others', async (context) => {
	const system = await openSystem(context);
	const [owner, other] = system.hosts as [
		(typeof system.hosts)[0],
		(typeof system.hosts)[0],
	];
	const tasks = Array.from({length: 12}, (_, i) => ({ms: 800, value: i}));
	const ids = [await system.makeId(), await system.makeId()] as const;
	const waiting = [
		runJob([owner.url], ids[0], {...job, tasks}, {waitMs: 10_000}),
		runJob([other.url], ids[1], {...job, tasks}, {waitMs: 10_000}),
	];
	await delay(300);
	assert.equal(await system.terminate(owner.name), 0);
	const outcomes = await Promise.all(waiting);
	assert.deepEqual(
		outcomes.map(({kind}) => kind),
		['answer', 'answer'],
		JSON.stringify(outcomes),
	);
	const starts = await system.readStarts();
	assert.deepEqual(checkPromises({starts, outcomes}), []);
});

// While it stops, a host is still asked for new work by callers that do not know yet. What it
// refuses then must be true, or a job placed again elsewhere runs twice.
test('a stopping host is not ready, refuses new jobs truthfully and tells watchers to reconnect', async (context) => {
	const system = await openSystem(context);
	const {name, url} = system.hosts[0]!;
	const dispatcher = new Agent();
	context.after(async () => dispatcher.destroy());
	const issuer = await fetchIssuer(url);
	const watch = await request(`${url}/v1/services?watch`, {dispatcher});
	const watched = watch.body.text();
	const tasks = [{ms: 1500, value: 'menu'}];
	const first = runJob([url], makeJobId(issuer), {...job, tasks});
	await delay(300);
	const stopped = system.terminate(name);
	await delay(readinessMs + 200);
	const ready = await request(`${url}/readyz`, {dispatcher});
	await ready.body.dump();
	assert.equal(ready.statusCode, 503);
	const id = makeJobId(issuer);
	const refused = await submitOnce(url, id, {...job, tasks});
	assert.equal(refused.kind, 'problem', JSON.stringify(refused));
	assert.equal(refused.kind === 'problem' && refused.problem.ran, 'none');
	assert.equal(await stopped, 0);
	assert.match(await watched, /"type":"reconnect"/v);
	const outcome = await first;
	assert.equal(outcome.kind, 'answer');
	const starts = await system.readStarts();
	assert.deepEqual(checkPromises({starts, outcomes: [outcome]}), []);
	assert.ok(starts.every(({task}) => !task.startsWith(id)));
});

// A balancer sends a stopping host one more job before it sees that the host isn't ready. Taken in
// and then left without slots, the job would fail at the end of the stop for no reason.
test('a job taken in at the beginning of a stop is answered whole', async (context) => {
	const system = await openSystem(context);
	const {name, url} = system.hosts[0]!;
	const ids = [await system.makeId(), await system.makeId()] as const;
	const tasks = [{ms: 300, value: 'menu'}];
	const first = runJob([url], ids[0], {...job, tasks: [{ms: 1000}]});
	await delay(100);
	const stopped = system.terminate(name);
	await delay(100);
	const second = await runJob([url], ids[1], {...job, tasks});
	assert.equal(second.kind, 'answer', JSON.stringify(second));
	assert.ok(second.tookMs < 2000, `took ${second.tookMs} ms`);
	assert.equal(await stopped, 0);
	const outcomes = [await first, second];
	const starts = await system.readStarts();
	assert.deepEqual(checkPromises({starts, outcomes}), []);
});

// A new version goes out: all nine hosts are replaced one after another at the busiest time.
// Callers reach a ready host through the balancer, and must notice nothing.
test('a rolling restart of nine hosts under load cuts off no request', async (context) => {
	const system = await openSystem(context, {hostsPerDataCentre: 3});
	const load = startLoad(system.hosts, {
		submission: {...job, tasks: [{ms: 60}, {ms: 60}, {ms: 60}]},
		callers: 12,
		pauseMs: 20,
	});
	await delay(500);
	for (const {name} of system.hosts) {
		assert.equal(await system.terminate(name), 0);
		await system.restart(name);
	}

	await delay(500);
	const {outcomes, cutOff} = await load.stop();
	assert.deepEqual(cutOff, []);
	const bad = outcomes.filter((outcome) => !isTruthful(outcome));
	assert.deepEqual(bad, []);
	const done = outcomes.filter(({kind}) => kind === 'answer');
	assert.ok(done.length > 100, `${done.length} jobs done`);
	const starts = await system.readStarts();
	assert.deepEqual(checkPromises({starts, outcomes}), []);
});

/** Complete, or refused by a stopping host with nothing run. */
function isTruthful(outcome: JobOutcome): boolean {
	return outcome.kind === 'problem'
		? outcome.problem.ran === 'none' && outcome.problem.code === 'stopping'
		: outcome.kind === 'answer' && outcome.answer.state === 'complete';
}
