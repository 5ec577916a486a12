import assert from 'node:assert/strict';
import {after, afterEach, test} from 'node:test';
import {closeCallers, type JobOutcome} from './caller.js';
import {
	assertComplete,
	assertPromises,
	createSubmission,
	isComplete,
	runOwnJob,
} from './fixtures.js';
import {startSystem} from './harness.js';

const bad = 'kitchens-mieres-1';
/** A task's limit: short, so that a silent executor is noticed within the test, milliseconds. */
const taskLimitMs = 1500;

const system = await startSystem({
	targets: {
		kitchens: {executorsPerDataCentre: 2, slots: 4, connections: 60},
		nowhere: {executorsPerDataCentre: 0, slots: 4, connections: 60},
	},
	services: {
		meals: {target: 'kitchens', path: '/run', taskMs: 50, taskLimitMs},
		never: {target: 'nowhere', path: '/run'},
	},
	teams: {cooks: {}},
});
afterEach(async () => system.setMode(bad, 'ok'));
after(async () => {
	await system.end();
	await closeCallers();
});

/** Jobs one after another at the host beside the bad executor. */
async function runJobs(count: number): Promise<JobOutcome[]> {
	const outcomes: JobOutcome[] = [];
	for (let i = 0; i < count; i++) {
		outcomes.push(await runOwnJob(system.urls[0]!, createSubmission(6, 20)));
	}

	return outcomes;
}

function listRan(outcomes: readonly JobOutcome[]): string[] {
	return outcomes
		.filter((outcome) => outcome.kind === 'problem')
		.map(({problem}) => problem.ran);
}

// An executor fails whatever it is given, at once, so that its slots are always free first. A user
// would notice that nearly every job fails, though only one executor of six is broken.
test('an executor that fails everything does not attract the work', async () => {
	await system.setMode(bad, 'fail');
	const outcomes = await runJobs(40);
	const failed = outcomes.filter((outcome) => !isComplete(outcome));
	assert.ok(failed.length <= 8, `${failed.length} of 40 jobs failed`);
	assert.ok(listRan(failed).every((ran) => ran !== 'none'));
	await assertPromises(system, outcomes);
});

// An executor accepts requests and never answers. A user would notice that a job hangs, and that
// its order comes twice where the silent request is sent again.
test('an executor that never answers fails its jobs at the task limit, and nothing is sent again', async () => {
	await system.setMode(bad, 'silent');
	const outcomes = await runJobs(6);
	for (const {tookMs} of outcomes) {
		assert.ok(tookMs < 2 * taskLimitMs, `${tookMs} ms`);
	}

	assert.ok(listRan(outcomes).every((ran) => ran !== 'none'));
	await assertPromises(system, outcomes);
});

for (const mode of ['truncate', 'wrong-length', 'reset'] as const) {
	// The executor has run the task, but its answer is cut off, announced too short, or lost with
	// the connection. A user would notice half an answer, or a second delivery by a retry.
	test(`a job whose answer is hurt by "${mode}" fails and is not run again`, async () => {
		await system.setMode(bad, mode);
		const outcomes = await runJobs(6);
		assert.ok(listRan(outcomes).every((ran) => ran !== 'none'));
		await assertPromises(system, outcomes);
	});
}

// An executor refuses everything as not run, as one that is being stopped does. A user would notice
// failed jobs although five other executors have room.
test('tasks that an executor refuses as not run are placed elsewhere', async () => {
	await system.setMode(bad, 'refuse');
	const outcomes = await runJobs(10);
	assertComplete(outcomes);
	await assertPromises(system, outcomes);
});

// A service's target has no executors. A user would notice a job that waits for its deadline though
// it can never run.
test('a job that can never run is refused at once, without a time to come back', async () => {
	const submission = createSubmission(3, 10, {service: 'never'});
	const outcome = await runOwnJob(system.urls[1]!, submission);
	assert.equal(outcome.kind, 'problem', JSON.stringify(outcome));
	assert.ok(outcome.kind === 'problem');
	assert.equal(outcome.problem.ran, 'none');
	assert.equal(outcome.problem.retryAfterMs, undefined);
	assert.ok(outcome.tookMs < 1000, `${outcome.tookMs} ms`);
});
