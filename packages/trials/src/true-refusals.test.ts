/**
Each place that can say "nothing ran", driven against executors that log what they got; the
refusal stays true for copies that come later, and a caller who comes back as told is served.
*/
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {type Problem, type Submission} from '@gentianshift/resources';
import {
	cancelOnce,
	closeCallers,
	runJob,
	submitOnce,
	type JobOutcome,
} from './caller.js';
import {assertComplete, assertPromises, createSubmission} from './fixtures.js';
import {startSystem} from './harness.js';
import {
	describeOutcome,
	readJobStarts,
	submitEverywhere,
} from './resubmissions.js';

/** A refusal is said as soon as it is known; the deadlines here are 20 s; milliseconds. */
const atOnceMs = 1000;
/** An accepted change is in force everywhere within this; milliseconds. */
const inForceMs = 3000;
const deadlineMs = 20_000;
/** A request sent before its job ended is logged within this; milliseconds. */
const underWayMs = 500;
/** Slots of one target: three executors of eight. */
const slotCount = 24;

const system = await startSystem({
	services: {
		meals: {target: 'kitchens', path: '/run'},
		quotes: {target: 'desks', path: '/run'},
		ledgers: {target: 'desks', path: '/run'},
		pair: {target: 'kitchens', path: '/run', maxTasks: 2},
		narrow: {target: 'kitchens', path: '/run', queueTasks: 2},
		closed: {target: 'closed', path: '/run'},
	},
	targets: {
		kitchens: {executorsPerDataCentre: 1, slots: 8, connections: 60},
		desks: {executorsPerDataCentre: 1, slots: 8, connections: 60},
		closed: {executorsPerDataCentre: 0, slots: 8, connections: 60},
	},
});
const [owner] = system.hosts as [(typeof system.hosts)[0]];
const others = system.urls.filter((url) => url !== owner.url);
after(async () => {
	await system.end();
	await closeCallers();
});

async function change(
	kind: 'services' | 'teams' | 'targets',
	name: string,
	spec: unknown,
): Promise<void> {
	assert.ok(await system.declare(owner.url, kind, name, spec));
	await delay(inForceMs);
}

function assertRefused(outcome: JobOutcome, code: string): void {
	assert.equal(describeOutcome(outcome), `${code}, ran: none`);
	assert.ok(outcome.tookMs < atOnceMs, `${outcome.tookMs} ms`);
}

type RefusalCase = {
	name: string;
	code: string;
	submission: Submission;
	/** Takes the cause away, so that only the record of the refusal holds copies back. */
	mend?: () => Promise<void>;
	/** What the caller comes back with; the same where absent. */
	back?: Submission;
};

const cases: RefusalCase[] = [
	{
		name: 'an unknown service',
		code: 'unknown-service',
		submission: createSubmission(3, 10, {service: 'soups', deadlineMs}),
		mend: async () =>
			change('services', 'soups', {target: 'kitchens', path: '/run'}),
	},
	{
		name: 'an unknown team',
		code: 'unknown-team',
		submission: createSubmission(3, 10, {team: 'guests', deadlineMs}),
		mend: async () => change('teams', 'guests', {}),
	},
	{
		name: 'more tasks than the service takes',
		code: 'too-many-tasks',
		submission: createSubmission(3, 10, {service: 'pair', deadlineMs}),
		mend: async () =>
			change('services', 'pair', {target: 'kitchens', path: '/run'}),
	},
	{
		name: 'a full queue',
		code: 'overloaded',
		submission: createSubmission(3, 10, {service: 'narrow', deadlineMs}),
		mend: async () =>
			change('services', 'narrow', {target: 'kitchens', path: '/run'}),
	},
	{
		name: 'a target without executors',
		code: 'impossible',
		submission: createSubmission(3, 10, {service: 'closed', deadlineMs}),
		mend: async () =>
			change('services', 'closed', {target: 'kitchens', path: '/run'}),
	},
	{
		name: 'a deadline that cannot be met',
		code: 'deadline',
		submission: createSubmission(1700, 10, {deadlineMs: 300}),
		back: createSubmission(3, 10, {deadlineMs}),
	},
];

for (const {name, code, submission, mend, back = submission} of cases) {
	// A host refuses a job as "not run" while a copy of it is still on its way (a balancer's retry).
	// If the copy started, the caller, who was told that nothing ran and ordered elsewhere, would
	// get the order twice.
	test(`refused for ${name}: nothing ran, copies stay refused, a caller who comes back is served`, async () => {
		const id = await system.makeId(owner.name);
		const first = await runJob([others[0]!], id, submission);
		assertRefused(first, code);
		await mend?.();
		const copies = await submitEverywhere(system.urls, id, submission);
		for (const copy of copies) {
			assertRefused(copy, code);
		}

		const none = await readJobStarts(system, id);
		assert.equal(none.length, 0);
		const served = await runJob(system.urls, id, back, {attempt: 2});
		assertComplete([served]);
		await assertPromises(system, [served]);
	});
}

// All slots are busy for longer than anyone foresaw, and the job's deadline passes, or its caller
// cancels it, while it waits. The caller orders elsewhere; a copy comes when the slots are free.
test('given up on or cancelled while it waited: nothing ran, and copies start nothing', async () => {
	const short = createSubmission(2, 10, {service: 'quotes', deadlineMs: 1500});
	const blocking = runJob(
		[owner.url],
		await system.makeId(owner.name),
		createSubmission(24, 3500, {service: 'ledgers', deadlineMs}),
	);
	await delay(500);
	const id = await system.makeId(owner.name);
	const cancelledId = await system.makeId(owner.name);
	await submitOnce(owner.url, cancelledId, short, {waitMs: 0});
	const [givenUp, cancelled] = await Promise.all([
		runJob([owner.url], id, short),
		cancelOnce(others[0]!, cancelledId),
	]);
	assert.equal(describeOutcome(givenUp), 'deadline, ran: none');
	assert.equal(cancelled.kind === 'problem' && cancelled.problem.ran, 'none');
	assertComplete([await blocking]);
	const fresh = await system.makeId(owner.name);
	assertComplete([await runJob([owner.url], fresh, short)]);
	const copies = await submitEverywhere(system.urls, id, short);
	const late = await submitEverywhere(system.urls, cancelledId, short);
	for (const copy of copies) {
		assertRefused(copy, 'deadline');
	}

	for (const copy of late) {
		assertRefused(copy, 'cancelled');
	}

	await assertPromises(system, [givenUp, ...copies, ...late]);
});

async function sendRaw(
	path: string,
	method: 'POST' | 'PUT',
	body: string | Uint8Array,
): Promise<Problem> {
	const response = await request(`${owner.url}${path}`, {method, body});
	return (await response.body.json()) as Problem;
}

// A balancer or a program sends what is no submission. A caller whose job ran before must not hear
// "not run" because its resubmission was cut or garbled on the way.
test('malformed submissions say "none" only where no job is named', async () => {
	const before = await system.readStarts();
	const id = await system.makeId(owner.name);
	const sound = JSON.stringify(createSubmission(1, 10));
	const outcome = await runJob([owner.url], id, createSubmission(1, 10));
	assertComplete([outcome]);
	for (const body of [
		sound.slice(0, -5),
		new Uint8Array([0xff, 0xfe]),
		JSON.stringify(createSubmission(1701, 1)),
	]) {
		const named = await sendRaw(`/v1/jobs/${id}`, 'PUT', body);
		assert.equal(named.ran, 'unknown', named.code);
		const unnamed = await sendRaw('/v1/jobs', 'POST', body);
		assert.equal(unnamed.ran, 'none', unnamed.code);
	}

	const noId = await sendRaw('/v1/jobs/no-id', 'PUT', sound);
	assert.equal(noId.ran, 'none', noId.code);
	const withoutId = await sendRaw('/v1/jobs', 'POST', sound);
	assert.equal(withoutId.code, 'id-required');
	assert.equal(withoutId.ran, 'none');
	const starts = await system.readStarts();
	assert.equal(starts.length, before.length + 1);
});

// One task fails while others run on for seconds. A caller held until they end, or until the
// deadline, loses the time in which it could order elsewhere.
test('a job with a failed task is answered at once, starts nothing more, and late answers mix into none', async () => {
	const id = await system.makeId(owner.name);
	const tasks = Array.from({length: 100}, (_, i) =>
		i === 0 ? {fail: true} : {ms: 2500, value: `slow ${i}`},
	);
	const submission = createSubmission(0, 0, {tasks, deadlineMs});
	const failed = await runJob([owner.url], id, submission);
	assert.match(describeOutcome(failed), /^task-failed, ran: some/v);
	assert.ok(failed.tookMs < atOnceMs, `${failed.tookMs} ms`);
	// Requests already under way when the failure became known may still arrive; the 76 tasks that
	// found no slot, and that slots would take when the slow ones end, must not.
	await delay(underWayMs);
	const atAnswer = await readJobStarts(system, id);
	assert.ok(atAnswer.length <= slotCount, `${atAnswer.length} starts`);
	const next = await Promise.all(
		system.urls.map(async (url) =>
			runJob([url], await system.makeId(), createSubmission(8, 100)),
		),
	);
	assertComplete(next);
	await delay(2500);
	const starts = await readJobStarts(system, id);
	assert.equal(starts.length, atAnswer.length);
	const metrics = await request(`${owner.url}/metrics`);
	assert.match(
		await metrics.body.text(),
		/gentianshift_late_answers_total [1-9]/v,
	);
	await assertPromises(system, [failed, ...next]);
});

// A host is stopped by plan while it finishes a job; new work it refuses, and its caller goes on
// to another host. A user would notice a job that was refused and yet ran.
test('refused by a stopping host: nothing ran, and another host serves', async () => {
	const longId = await system.makeId(owner.name);
	const long = runJob([owner.url], longId, createSubmission(2, 2500));
	const id = await system.makeId(owner.name);
	await delay(300);
	const ended = system.terminate(owner.name);
	await delay(1200);
	const submission = createSubmission(4, 10);
	const refused = await runJob([others[0]!], id, submission);
	const served = await runJob(
		others,
		await system.makeId(system.hosts[1]!.name),
		submission,
	);
	assert.equal(await ended, 0);
	assertComplete([await long, served]);
	assert.match(describeOutcome(refused), /^(?:stopping|owner-)/v);
	await assertPromises(system, [refused, served]);
});
