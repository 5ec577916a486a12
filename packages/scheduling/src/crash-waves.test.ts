import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isInWave, type ExecutorLoss} from './crash-waves.js';

function makeLoss(
	executor: string,
	jobs: string[],
	{at = 0, isSteady = true}: Partial<ExecutorLoss> = {},
): ExecutorLoss {
	return {executor, at, jobs: new Set(jobs), isSteady};
}

const loss = makeLoss('e1', ['a']);

// Guards against blaming sound tasks for executors that are restarted under them.
test('losses of executors that ran different jobs are a wave', () => {
	const losses = [
		loss,
		makeLoss('e2', ['b']),
		makeLoss('e3', ['c', 'd'], {at: 900}),
		makeLoss('e4', ['e'], {at: 2500}),
	];
	assert.ok(isInWave(loss, losses));
	assert.ok(!isInWave(loss, losses.slice(0, -1)));
});

test('losses of executors that ran nothing are a wave', () => {
	const losses = ['e2', 'e3', 'e4'].map((id) => makeLoss(id, []));
	assert.ok(isInWave(loss, [loss, ...losses]));
});

// Guards against a job with many crashing tasks, each of which would clear the others.
test('losses of executors that ran the same job are no wave', () => {
	const others = ['e2', 'e3', 'e4', 'e5'];
	const ownJob = others.map((id, i) => makeLoss(id, ['a', `b${i}`]));
	assert.ok(!isInWave(loss, [loss, ...ownJob]));
	const otherJob = others.map((id, i) => makeLoss(id, ['x', `b${i}`]));
	assert.ok(!isInWave(loss, [loss, ...otherJob]));
});

// Guards against a few jobs that crash executors at the same time and clear each other.
test('losses under three jobs in all are no wave, however many they are', () => {
	const losses = Array.from({length: 12}, (_, i) =>
		makeLoss(`x${i}`, [['a', 'b', 'c'][i % 3]!]),
	);
	for (const one of losses) {
		assert.ok(!isInWave(one, losses));
	}
});

// Guards against crashes that count for nothing because others crashed some time ago.
test('losses several seconds apart are no wave', () => {
	const losses = ['e2', 'e3', 'e4', 'e5'].map((id, i) =>
		makeLoss(id, [], {at: 3500 * (i + 1)}),
	);
	assert.ok(!isInWave(loss, [loss, ...losses]));
});

test('the same executor counts once', () => {
	const losses = ['b', 'c', 'd'].map((job) => makeLoss('e1', [job]));
	assert.ok(!isInWave(loss, [loss, ...losses]));
});

// Guards against a task that crashes sound executors while a few others restart again and again.
test('executors that restart again and again do not make a wave with those that have been up for a while', () => {
	const losses = ['e2', 'e3', 'e4', 'e5'].map((id) =>
		makeLoss(id, [], {isSteady: false}),
	);
	assert.ok(!isInWave(loss, [loss, ...losses]));
	const unsteady = makeLoss('e1', ['a'], {isSteady: false});
	assert.ok(isInWave(unsteady, [unsteady, ...losses]));
});
