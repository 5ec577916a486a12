/**
Names chosen by callers, claimed once in the platform's service: its outages, its lost replies and
a claimant paused for longer than its claim may be used lead to no second start.
*/
import assert from 'node:assert/strict';
import {after, afterEach, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {makeName} from '@gentianshift/client';
import {closeCallers, runJob, submitOnce} from './caller.js';
import {assertComplete, assertPromises, createSubmission} from './fixtures.js';
import {startSystem} from './harness.js';
import {
	assertNoneSaidNone,
	describeOutcome,
	readJobStarts,
	submitEverywhere,
} from './resubmissions.js';

/** A host starts nothing on a claim that took longer than 10 s; milliseconds. */
const pausedMs = 11_500;
/** A refusal of a name is said when the platform is known to be down, not at the deadline. */
const atOnceMs = 5000;

const system = await startSystem({hostsPerDataCentre: 3});
const submission = createSubmission(10, 30, {deadlineMs: 20_000});
after(async () => {
	await system.end();
	await closeCallers();
});
// A test that fails midway leaves the next one a sound system.
afterEach(async () => {
	system.thaw(system.hosts[0]!.name);
	await system.platform.setFault({mode: 'ok'});
});

test('a name sent at once to all nine hosts runs once, and each copy gets the whole answer', async () => {
	const name = makeName();
	const outcomes = await submitEverywhere(system.urls, name, submission);
	assertComplete(outcomes);
	const starts = await readJobStarts(system, name);
	assert.equal(starts.length, 10);
	await assertPromises(system, outcomes);
});

// The platform's service takes the claim and its reply is lost. A host that took this for "not
// claimed" would let another one run the job too: a quote committed twice.
test('claims whose replies are lost are settled without a second run', async () => {
	const name = makeName();
	await system.platform.setFault({mode: 'drop-reply'});
	const first = await submitEverywhere(system.urls, name, submission);
	assertNoneSaidNone(first);
	await system.platform.setFault({mode: 'ok'});
	const back = await submitEverywhere(system.urls, name, submission, {
		attempt: 2,
	});
	assert.ok(back.every(({kind}) => kind !== 'lost'));
	await assertPromises(system, [...first, ...back]);
});

// The platform's service is down for a while. A caller is to hear so at once, with when to come
// back; told "not run" it might order anew though an earlier copy of its name ran.
test('while the platform is down a name is refused at once, and this attempt never starts there', async () => {
	const name = makeName();
	const [url] = system.urls as [string];
	await system.platform.setFault({mode: 'down'});
	const refused = await runJob([url], name, submission);
	assert.equal(describeOutcome(refused), 'platform-down, ran: unknown');
	assert.ok(refused.kind === 'problem' && refused.problem.retryAfterMs);
	assert.ok(refused.tookMs < atOnceMs, `${refused.tookMs} ms`);
	await system.platform.setFault({mode: 'ok'});
	await delay(refused.problem.retryAfterMs);
	const copy = await runJob([url], name, submission);
	assert.equal(describeOutcome(copy), 'platform-down, ran: unknown');
	const none = await readJobStarts(system, name);
	assert.equal(none.length, 0);
	const back = await runJob([url], name, submission, {attempt: 2});
	assertComplete([back]);
	await assertPromises(system, [refused, copy, back]);
});

test('a slow platform slows names and nothing else', async () => {
	const name = makeName();
	await system.platform.setFault({mode: 'slow', ms: 400});
	const outcomes = await submitEverywhere(system.urls, name, submission);
	const own = await runJob(system.urls, await system.makeId(), submission);
	assertComplete([own]);
	assertNoneSaidNone(outcomes);
	await assertPromises(system, [...outcomes, own]);
});

// A host is paused between its claim and its start, for longer than a claim may be used. Thawed,
// it must look at its own clock first: by then its caller has given up on it and gone on.
test('a claimant paused past the use of its claim starts nothing', async () => {
	const [claimant, ...rest] = system.hosts;
	const name = makeName();
	await system.platform.setFault({mode: 'slow', ms: 1000});
	const submitted = submitOnce(claimant!.url, name, submission, {
		waitMs: pausedMs,
	});
	await delay(300);
	system.freeze(claimant!.name);
	await delay(pausedMs);
	await system.platform.setFault({mode: 'ok'});
	const meanwhile = await submitEverywhere(
		rest.map(({url}) => url),
		name,
		submission,
	);
	assertNoneSaidNone(meanwhile);
	system.thaw(claimant!.name);
	const reply = await submitted;
	assert.equal(reply.kind === 'problem' && reply.problem.ran, 'unknown');
	await assertPromises(system, meanwhile);
});
