import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {startExecutors} from './executor-control.js';
import {type ExecutorStats, type Mode, type Start} from './executor-schemas.js';

async function createFleet(t: TestContext, slots = 2) {
	const fleet = await startExecutors({
		controlPort: 0,
		executors: [{name: 'e1', ip: '127.0.0.1', port: 0, slots}],
		delays: [],
	});
	t.after(async () => fleet.close());
	const control = `http://${fleet.listening.control}`;
	return {
		async run(task: string, payload: unknown) {
			return fetch(`http://${fleet.listening.executors[0]!.address}/run`, {
				method: 'POST',
				headers: {'gentianshift-task': task},
				body: JSON.stringify(payload),
			});
		},
		async setMode(mode: Mode) {
			await fetch(`${control}/modes`, {
				method: 'PUT',
				body: JSON.stringify({executor: 'e1', mode}),
			});
		},
		async cutLink(mode: string) {
			await fetch(`${control}/links`, {
				method: 'PUT',
				body: JSON.stringify({from: '127.', mode}),
			});
		},
		async readStats() {
			const response = await fetch(`${control}/stats`);
			const [stats] = (await response.json()) as ExecutorStats[];
			return stats!;
		},
		async readStarts() {
			const response = await fetch(`${control}/starts`);
			const text = await response.text();
			return text
				.split('\n')
				.filter((line) => line !== '')
				.map((line) => JSON.parse(line) as Start);
		},
	};
}

test('runs a task, answers with its value and logs the start', async (t) => {
	const fleet = await createFleet(t);
	const response = await fleet.run('job/0', {ms: 5, value: [1]});
	assert.deepEqual(await response.json(), {
		value: [1],
		executor: 'e1',
		task: 'job/0',
	});
	const [start] = await fleet.readStarts();
	assert.equal(start?.task, 'job/0');
});

test('refuses above its slots as not run, and counts duplicates', async (t) => {
	const fleet = await createFleet(t, 1);
	const first = fleet.run('job/0', {ms: 100});
	await fleet.run('job/1', {ms: 0}).then(async (response) => {
		assert.equal(response.status, 503);
		assert.equal(response.headers.get('gentianshift-not-run'), 'true');
	});
	await first;
	await fleet.run('job/0', {ms: 0});
	const stats = await fleet.readStats();
	assert.deepEqual(
		[stats.starts, stats.refused, stats.duplicates, stats.runningHighWater],
		[2, 1, 1, 1],
	);
});

test('each mode shows the fault that it is named for', async (t) => {
	const fleet = await createFleet(t);
	await fleet.setMode('fail');
	const failed = await fleet.run('a/0', {});
	assert.equal(failed.status, 500);
	for (const mode of ['reset', 'truncate', 'wrong-length'] as const) {
		await fleet.setMode(mode);
		await assert.rejects(async () => {
			const response = await fleet.run(`${mode}/0`, {});
			await response.json();
		}, mode);
	}

	await fleet.setMode('refuse');
	const refused = await fleet.run('b/0', {});
	assert.equal(refused.status, 503);
	const stats = await fleet.readStats();
	assert.equal(stats.starts, 4);
});

test('a cut link refuses clients of that prefix and starts nothing', async (t) => {
	const fleet = await createFleet(t);
	await fleet.cutLink('cut');
	await assert.rejects(fleet.run('a/0', {}));
	await fleet.cutLink('ok');
	await fleet.run('a/1', {});
	const starts = await fleet.readStarts();
	assert.deepEqual(
		starts.map(({task}) => task),
		['a/1'],
	);
});
