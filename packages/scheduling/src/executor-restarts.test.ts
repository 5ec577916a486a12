/**
Many executors restart again and again, each time for a reason that has nothing to do with their tasks. Some jobs
lose their executor two or three times. Callers must not be told that such a job has failed, or that executors crash
under it.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDraw} from '@gentianshift/standins';
import {maxExcusedCrashes, sharedCrashLimit} from './crash-records.js';
import {type FakeRun} from './fake-executors.fixture.js';
import {createLoadSystem, planJobs, runJobs} from './load-system.fixture.js';

const executorsEach = 20;
/** `runJobs` starts to submit jobs after this time, milliseconds. */
const startUpMs = 500;

/** Times in milliseconds; executors of each data centre are numbered from 0. */
type Restart = {at: number; downMs: number; from: number; to: number};

/** A fifth is down once, another fifth goes down and up for 5 s, a tenth is restarted, and a fifth is down again. */
const restarts: readonly Restart[] = [
	{at: 1000, downMs: 800, from: 0, to: 4},
	...[0, 1, 2, 3, 4].map((i) => ({
		at: 2600 + 1100 * i,
		downMs: 550,
		from: 4,
		to: 8,
	})),
	{at: 5000, downMs: 300, from: 10, to: 12},
	{at: 8000, downMs: 500, from: 6, to: 10},
];

/** Every `crashingJobInterval`-th job crashes each executor that runs its first task. */
async function runDay(seed: number, crashingJobInterval = Infinity) {
	const down = {ms: 0};
	const crashing = new Set<string>();
	const system = createLoadSystem({
		executorsEach,
		getRestartMs: () => down.ms,
		findCrashMs: ({job, index}) =>
			index === 0 && crashing.has(job) ? 20 : undefined,
	});
	const jobs = planJobs({
		draw: createDraw(seed),
		spanMs: 9000,
		getLoad: () => executorsEach / 12,
	});
	for (const [i, {id}] of jobs.entries()) {
		if ((i + 1) % crashingJobInterval === 0) {
			crashing.add(id);
		}
	}

	for (const restart of restarts) {
		system.clock.schedule(startUpMs + restart.at, () => {
			down.ms = restart.downMs;
			for (const {executors} of system.groups) {
				for (const fake of executors.fakes.slice(restart.from, restart.to)) {
					executors.crash(fake);
				}
			}
		});
	}

	const outcomes = await runJobs(system, jobs);
	const runs = system.groups.flatMap(({executors}) => executors.runs);
	return {outcomes, runs, crashing};
}

/** Number of executors that each task has lost. */
function countLosses(runs: readonly FakeRun[]): Map<string, number> {
	const losses = new Map<string, number>();
	for (const {job, index, isCrashed} of runs) {
		if (isCrashed) {
			const task = `${job}/${index}`;
			losses.set(task, (losses.get(task) ?? 0) + 1);
		}
	}

	return losses;
}

test('no job is blamed for executors that restart under other work as well', async () => {
	const {outcomes, runs} = await runDay(2);
	const counts = [...countLosses(runs).values()];
	assert.ok(counts.length >= 100);
	assert.ok(counts.filter((count) => count > 1).length >= 3);
	const blamed = outcomes.filter(
		({answer, reason}) =>
			answer === 'failed' || reason === 'executors crashed under its task',
	);
	assert.deepEqual(blamed, []);
});

// Guards against a job that crashes one executor after another because each crash is taken for one of the others.
test('a job that crashes executors takes down few while others restart', async () => {
	const {runs, crashing} = await runDay(1, 300);
	assert.ok(crashing.size >= 3);
	const losses = countLosses(runs.filter(({job}) => crashing.has(job)));
	const limit = sharedCrashLimit + maxExcusedCrashes;
	assert.deepEqual(
		[...losses].filter(([, count]) => count > limit),
		[],
	);
});
