/**
Owners that die or freeze, answers that get lost, data centres that are cut off: the executors'
own log of starts judges that no task of a job starts twice.
*/
import assert from 'node:assert/strict';
import {after, afterEach, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {closeCallers, queryOnce, runJob, submitOnce} from './caller.js';
import {assertComplete, assertPromises, createSubmission} from './fixtures.js';
import {startSystem} from './harness.js';
import {
	assertNoneSaidNone,
	describeOutcome,
	readJobStarts,
	submitEverywhere,
} from './resubmissions.js';

/** Longer than every timeout between hosts: silence 2 s, lease 1 s, redial cap 2 s; milliseconds. */
const frozenMs = 7000;

const system = await startSystem({hostsPerDataCentre: 3});
const owner = system.hosts[0]!;
const others = system.urls.filter((url) => url !== owner.url);
after(async () => {
	await system.end();
	await closeCallers();
});
// A test that fails midway leaves the next one a sound system.
afterEach(async () => {
	system.thaw(owner.name);
	await system.isolate(owner.dataCentre, 'heal');
});

// A caller, its library and a balancer all retry: one submission reaches every host at once. A user
// would notice an order placed as often as there are hosts.
test('the same id sent at once to all nine hosts runs once, and each copy gets the whole answer', async () => {
	const id = await system.makeId(owner.name);
	const outcomes = await submitEverywhere(
		system.urls,
		id,
		createSubmission(40, 40),
	);
	assertComplete(outcomes);
	const starts = await readJobStarts(system, id);
	assert.equal(starts.length, 40);
	await assertPromises(system, outcomes);
});

// The connection to the caller breaks while the job runs, and the caller asks again elsewhere. A
// user would notice a second run, or an answer that is not the whole one.
test('an answer lost on its way is got by resubmitting at another host', async () => {
	const id = await system.makeId(owner.name);
	const submission = createSubmission(20, 150);
	await submitOnce(owner.url, id, submission, {waitMs: 0});
	const cut = new AbortController();
	const lost = fetch(`${owner.url}/v1/jobs/${id}?wait=5000`, {
		method: 'PUT',
		body: JSON.stringify(submission),
		signal: cut.signal,
	});
	setTimeout(() => {
		cut.abort();
	}, 100);
	await assert.rejects(lost);
	const outcomes = await submitEverywhere(others, id, submission);
	assertComplete(outcomes);
	await assertPromises(system, outcomes);
});

// The owner stands still (a paused machine), then goes on as if nothing had happened, while its
// caller has asked every other host. A user would notice tasks that start twice.
test('an owner frozen past every timeout and thawed starts nothing twice', async () => {
	const id = await system.makeId(owner.name);
	const submission = createSubmission(60, 200, {deadlineMs: 25_000});
	await submitOnce(owner.url, id, submission, {waitMs: 0});
	await delay(300);
	system.freeze(owner.name);
	const atFreeze = await readJobStarts(system, id);
	assert.ok(atFreeze.length > 0 && atFreeze.length < 60);
	const [meanwhile] = await Promise.all([
		submitEverywhere(others, id, submission),
		delay(frozenMs),
	]);
	assertNoneSaidNone(meanwhile);
	system.thaw(owner.name);
	const outcome = await runJob([owner.url], id, submission);
	assert.notEqual(outcome.kind, 'lost', describeOutcome(outcome));
	assert.ok(!describeOutcome(outcome).endsWith('ran: none'));
	await assertPromises(system, [...meanwhile, outcome]);
});

// The submission reaches a frozen owner through another host, which gives up on it; the copy is
// still in the owner's socket when it thaws. A user told "not run" would order anew: twice.
test('a forward that waits in a frozen owner is never told as not run', async () => {
	const id = await system.makeId(owner.name);
	const submission = createSubmission(5, 50);
	system.freeze(owner.name);
	const meanwhile = await submitEverywhere(others, id, submission);
	system.thaw(owner.name);
	assertNoneSaidNone(meanwhile);
	const outcome = await runJob([owner.url], id, submission);
	await assertPromises(system, [...meanwhile, outcome]);
});

// Data centres lose each other while a job runs on executors of all three. A user would notice a
// job that another data centre runs anew, or a caller without an answer.
test('a data centre cut off in the midst of its job leads to no second start', async () => {
	const id = await system.makeId(owner.name);
	const submission = createSubmission(80, 150, {deadlineMs: 20_000});
	await submitOnce(owner.url, id, submission, {waitMs: 0});
	await delay(300);
	await system.isolate(owner.dataCentre, 'cut');
	const apart = await submitEverywhere(system.urls, id, submission);
	const far = system.hosts
		.map(({dataCentre}, i) => ({dataCentre, outcome: apart[i]!}))
		.filter(({dataCentre}) => dataCentre !== owner.dataCentre);
	assertNoneSaidNone(far.map(({outcome}) => outcome));
	await system.isolate(owner.dataCentre, 'heal');
	const again = await runJob([owner.url], id, submission);
	assert.notEqual(again.kind, 'lost', describeOutcome(again));
	await assertPromises(system, [...apart, again]);
});

for (const {phase, tasks, ms, waitMs, pauseMs, isPhase} of [
	{
		phase: 'at the submission',
		tasks: 10,
		ms: 50,
		waitMs: 0,
		pauseMs: 0,
		isPhase: (starts: number) => starts <= 10,
	},
	{
		phase: 'while tasks run',
		tasks: 200,
		ms: 300,
		waitMs: 0,
		pauseMs: 1500,
		isPhase: (starts: number) => starts > 0 && starts < 200,
	},
	{
		phase: 'after its last task',
		tasks: 4,
		ms: 10,
		waitMs: 5000,
		pauseMs: 0,
		isPhase: (starts: number) => starts === 4,
	},
]) {
	// A host dies with its memory; its caller resubmits everywhere, also at the host's successor.
	// A user would notice dishes cooked twice, or hear "not run" of dishes that were cooked.
	test(`an owner killed ${phase} is not replaced by a second run`, async () => {
		const id = await system.makeId(owner.name);
		const submission = createSubmission(tasks, ms, {deadlineMs: 60_000});
		await submitOnce(owner.url, id, submission, {waitMs});
		await delay(pauseMs);
		await system.kill(owner.name);
		const atKill = await readJobStarts(system, id);
		assert.ok(isPhase(atKill.length), `${atKill.length} starts`);
		const meanwhile = await submitEverywhere(others, id, submission);
		assertNoneSaidNone(meanwhile);
		await system.restart(owner.name);
		const afterwards = await submitEverywhere(system.urls, id, submission);
		assertNoneSaidNone(afterwards);
		const starts = await readJobStarts(system, id);
		assert.equal(starts.length, atKill.length);
		const asked = await queryOnce(others[0]!, id);
		assert.equal(asked.kind, 'problem');
		await assertPromises(system, [...meanwhile, ...afterwards]);
	});
}
