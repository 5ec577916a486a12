/**
The choice of an executor for a task, compared with one that weighs every executor.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDraw, type Draw} from '@gentianshift/standins';
import {
	computeSlowness,
	createTrust,
	isDoubted,
	slowFactor,
} from './executor-trust.js';
import {
	chooseExecutor,
	isAvailable,
	type ExecutorCandidate,
	type TaskRequirements,
} from './place-task.js';

const now = 1000;

function makeCandidate(
	id: string,
	candidate: Partial<ExecutorCandidate> = {},
): ExecutorCandidate {
	return {
		id,
		service: 'meals',
		capacity: {cpu: 48_000, memoryMb: 1000, accelerators: 0},
		free: {cpu: 32_000, memoryMb: 1000, accelerators: 0},
		runCount: 0,
		trust: createTrust(),
		...candidate,
	};
}

function makeTask(task: Partial<TaskRequirements> = {}): TaskRequirements {
	return {
		id: 'job1',
		service: 'meals',
		demand: {cpu: 14_000, memoryMb: 64, accelerators: 0},
		estimateMs: 100,
		deadlineAt: now + 250,
		avoid: new Set(),
		...task,
	};
}

function drawCandidate(draw: Draw, id: string): ExecutorCandidate {
	const cpu = draw.drawOne([-1, 0, 10_000, 18_000, 32_000, 48_000]);
	return makeCandidate(id, {
		service: draw.drawOne(['meals', 'meals', 'meals', 'stores']),
		free: {cpu, memoryMb: draw.drawOne([32, 1000, 1000]), accelerators: 0},
		runCount: draw.drawOne([0, 1, 2]),
		isLeaseExtendable: draw.drawOne([true, true, false, undefined]),
		labels: draw.drawOne([[], ['cold']]),
		trust: {
			...createTrust(),
			slowness: draw.drawOne([1, 1, 1.5, 2, 4]),
			slownessUpdatedAt: now - 100,
			overdueRuns: draw.drawOne([0, 0, 1, 2]),
			pausedUntil: draw.drawOne([0, 0, now, now + 1]),
		},
	});
}

/** Weighs every executor that may take the task; of equal ones the first is taken. */
function chooseByWeighingAll(
	candidates: readonly ExecutorCandidate[],
	task: TaskRequirements,
): ExecutorCandidate | undefined {
	const weighed = candidates
		.filter((one) => {
			const slowness = computeSlowness(one.trust, now);
			const label = task.constraints?.requiredLabel;
			return (
				isAvailable(one, task, now) &&
				(slowness < slowFactor ||
					now + task.estimateMs * slowness < task.deadlineAt) &&
				(label === undefined || one.labels?.includes(label))
			);
		})
		.map((one) => ({
			one,
			demerits:
				Number(computeSlowness(one.trust, now) > slowFactor) * 2 +
				Number(isDoubted(one.trust)) * 4 +
				Number(task.avoid.has(one.id)) * 8,
		}));
	return weighed.toSorted(
		(a, b) => a.demerits - b.demerits || b.one.free.cpu - a.one.free.cpu,
	)[0]?.one;
}

// An executor is passed over before it is weighed although it is the best: tasks go to slow or doubted executors, or wait
// while one is free.
for (const seed of [1, 2, 3]) {
	test(`the executor chosen is the best of all (seed ${seed})`, () => {
		const draw = createDraw(seed);
		let chosenCount = 0;
		for (let i = 0; i < 2000; i += 1) {
			const candidates = Array.from({length: 1 + (i % 9)}, (_, j) =>
				drawCandidate(draw, `e${j}`),
			);
			const task = makeTask({
				avoid: new Set(draw.drawOne([[], ['e0'], ['e1', 'e2']])),
				constraints: draw.drawOne([undefined, {requiredLabel: 'cold'}]),
			});
			const chosen = chooseExecutor(candidates, task, now);
			assert.equal(chosen?.id, chooseByWeighingAll(candidates, task)?.id);
			chosenCount += Number(chosen !== undefined);
		}

		assert.ok(chosenCount > 500, `${chosenCount} tasks found an executor`);
	});
}

// The lease depends on every run of an executor. If it were computed for each executor at each start, a start would cost
// its holder more the more executors the group has.
test('the lease is computed only for executors with more free capacity than the best so far', () => {
	let computed = 0;
	const candidates = [32_000, 32_000, 18_000, 10_000, 48_000, 32_000].map(
		(cpu, i): ExecutorCandidate => ({
			...makeCandidate(`e${i}`, {
				free: {cpu, memoryMb: 1000, accelerators: 0},
			}),
			get isLeaseExtendable() {
				computed += 1;
				return true;
			},
		}),
	);
	computed = 0;
	assert.equal(chooseExecutor(candidates, makeTask(), now)?.id, 'e4');
	assert.equal(computed, 2);
});
