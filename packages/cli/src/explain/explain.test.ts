/**
What an operator reads out of hosts' logs.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runRecorded} from '../fixtures.js';

const begin = Date.parse('2026-01-19T17:45:13.000Z');

function formatLine(
	atMs: number,
	message: string,
	fields: Record<string, unknown>,
): string {
	const time = new Date(begin + atMs).toISOString();
	return JSON.stringify({
		name: 'gentianshift',
		host: 'm1',
		time,
		msg: message,
		...fields,
	});
}

function formatAnswer(atMs: number, fields: Record<string, unknown>): string {
	return formatLine(atMs, 'job answered', {
		queue: 'menu',
		tasks: 2,
		tookMs: 100,
		objectiveMs: 200,
		firstStartMs: 5,
		type: 'completed',
		...fields,
	});
}

const log = [
	formatAnswer(0, {job: 'a1'}),
	formatLine(900, 'run is overdue', {job: 'a2', task: 1, executor: 'e1'}),
	formatAnswer(1200, {job: 'a2', tookMs: 400}),
	formatAnswer(1300, {job: 'a3', tookMs: 400, firstStartMs: 300}),
	formatAnswer(1400, {job: 'a4', tookMs: 400}),
	// As a collector stamps them.
	`  1.5000 m2 ${formatAnswer(1500, {job: 'a5', type: 'refused', reason: 'no room in time', firstStartMs: undefined})}`,
	'a line of something else',
].join('\n');

test('jobs are counted by what they suffered from, and by second', async () => {
	const {code, out, error} = await runRecorded(['explain', 'm1.log'], {
		'm1.log': log,
	});
	assert.equal(code, 0);
	assert.match(error, /^1 lines are not/v);
	for (const cause of [
		'in time',
		'late: a run was overdue',
		'late: its first start waited',
		'late: its last tasks waited or ran long',
		'refused: no room in time',
	]) {
		assert.match(out, new RegExp(`^${cause} +1 `, 'mv'));
	}

	assert.match(out, /^0 +1 +1$/mv);
	assert.match(out, /^1 +4 +0 +1 late/mv);
});

test('a job is told line by line', async () => {
	const {code, out} = await runRecorded(['explain', 'm1.log', '--job', 'a2'], {
		'm1.log': log,
	});
	assert.equal(code, 0);
	const [first, second] = out.split('\n');
	assert.equal(first, '+0 ms  m1  run is overdue  task=1 executor="e1"');
	assert.match(second!, /^\+300 ms {2}m1 {2}job answered {2}.*tookMs=400/v);
});

test('logs that can not be read, or hold no such job, are told as such', async () => {
	const missing = await runRecorded(['explain', 'no/such/file']);
	assert.equal(missing.code, 2);
	assert.match(missing.error, /can not be read/v);
	const unknown = await runRecorded(['explain', 'm1.log', '--job', 'zz'], {
		'm1.log': log,
	});
	assert.equal(unknown.code, 2);
	assert.match(unknown.error, /names the job zz/v);
});
