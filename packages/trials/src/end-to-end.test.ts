import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {closeCallers, queryOnce, runJob, submitOnce} from './caller.js';
import {createSubmission} from './fixtures.js';
import {startSystem} from './harness.js';
import {checkPromises} from './judge.js';

const system = await startSystem();
after(async () => {
	await system.end();
	await closeCallers();
});

test('a job goes in at one host, is asked for at another, resubmitted at a third, and each task starts once', async () => {
	const [a, b, c] = system.urls as [string, string, string];
	const id = await system.makeId();
	const submission = createSubmission(60, 50);
	const accepted = await submitOnce(a, id, submission, {waitMs: 0});
	assert.equal(accepted.kind === 'answer' && accepted.status, 202);
	const [asked, resubmitted] = await Promise.all([
		queryOnce(b, id, {waitMs: 10_000}),
		runJob([c], id, submission, {waitMs: 10_000}),
	]);
	assert.equal(
		asked.kind === 'answer' && asked.answer.state,
		'complete',
		JSON.stringify(asked),
	);
	assert.equal(
		resubmitted.kind === 'answer' && resubmitted.answer.state,
		'complete',
		JSON.stringify(resubmitted),
	);
	const starts = await system.readStarts();
	assert.equal(starts.length, 60);
	assert.deepEqual(checkPromises({starts, outcomes: [resubmitted]}), []);
});

test('the same id with another body is refused and does not touch the first', async () => {
	const [a, b] = system.urls as [string, string];
	const id = await system.makeId();
	const first = await runJob([a], id, createSubmission(4, 10));
	const other = await submitOnce(b, id, createSubmission(5, 10));
	assert.equal(other.kind, 'problem', JSON.stringify(other));
	assert.equal(other.kind === 'problem' && other.status, 409);
	const starts = await system.readStarts();
	const own = starts.filter(({task}) => task.startsWith(id));
	assert.equal(own.length, 4);
	assert.deepEqual(checkPromises({starts, outcomes: [first]}), []);
});
