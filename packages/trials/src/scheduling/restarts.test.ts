/**
Guards against a task that runs twice at a time because a start that the next process of its executor has accepted counts as lost with
the former one.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createDraw,
	type BornIn,
	type Draw,
	type LeasedExecutor,
} from '@gentianshift/standins';
import {submitJob, type JobReply} from './caller.js';
import {assertNoOverlaps, listRuns} from './judge.js';
import {openSystem, type SchedulingSystem} from './system.js';

const cycles = 13;
const taskCount = 4;
const taskMs = 300;
const patienceMs = 1500;
const restartShare = 0.4;
/** Hosts look at an idle executor once a second: most restarts fall between two looks. */
const longestIdleMs = 500;
const longestDownMs = 300;
const longestBeforeJobsMs = 100;
const longestClockMs = 60_000;
/** A run that began this soon may have begun before its holder knew of the process. */
const youngProcessMs = 150;
/** The job was not accepted: nothing of it may have run. */
const refusedStatuses = new Set([429, 503]);

/** Restarts two fifths of the idle executors; when each of the new processes began, on the test's clock. */
async function restartIdle(
	system: SchedulingSystem,
	{drawUniform}: Draw,
): Promise<Map<string, number>> {
	const begun = new Map<string, number>();
	const drawn = system.executors.map((executor) => ({
		executor,
		isDrawn: drawUniform() < restartShare,
		downMs: 1 + drawUniform() * longestDownMs,
		clockMs: drawUniform() * longestClockMs,
	}));
	await Promise.all(
		drawn
			.filter(({executor, isDrawn}) => isDrawn && executor.runCount === 0)
			.map(async ({executor, downMs, clockMs}) => {
				await system.startExecutorAgain(executor, {downMs, clockMs});
				begun.set(executor.id, performance.now());
			}),
	);
	return begun;
}

function countEarlyRuns(
	executors: readonly LeasedExecutor[],
	begun: ReadonlyMap<string, number>,
): number {
	return executors
		.flatMap(({seen}) => seen)
		.filter(({executor, startedAt}) => {
			const ageMs = startedAt - (begun.get(executor) ?? -Infinity);
			return ageMs >= 0 && ageMs < youngProcessMs;
		}).length;
}

/** A whole answer has each task's end behind it, and a refusal no run. A job that can't end in time gets 504. */
function assertClearAnswer(
	{executors}: SchedulingSystem,
	reply: JobReply,
): void {
	const runs = listRuns(executors, reply.id);
	const told = JSON.stringify(reply);
	if (refusedStatuses.has(reply.status)) {
		assert.deepEqual(runs, [], told);
	} else if (reply.status !== 504) {
		assert.equal(reply.status, 200, told);
		assert.equal(reply.state, 'completed', told);
		const done = runs.filter(({how}) => how === 'done');
		assert.equal(new Set(done.map(({task}) => task)).size, taskCount, told);
	}
}

const cases: ReadonlyArray<{bornIn: BornIn; where: string}> = [
	{bornIn: 'all', where: 'all answers state'},
	{bornIn: 'lists', where: 'only lists of runs state'},
];

for (const [i, {bornIn, where}] of cases.entries()) {
	test(`no task runs twice at a time and every caller is answered when idle executors restart and ${where} their process`, async (context) => {
		const seed = 20_261_204 + i;
		const draw = createDraw(seed);
		const system = await openSystem(context, {
			hosts: {mieres: 2},
			executors: {mieres: 9},
			bornIn,
		});
		const replies: JobReply[] = [];
		let earlyRuns = 0;
		for (let cycle = 0; cycle < cycles; cycle += 1) {
			await delay(draw.drawUniform() * longestIdleMs);
			const begun = await restartIdle(system, draw);
			await delay(draw.drawUniform() * longestBeforeJobsMs);
			const answers = system.hosts.map(async (host) =>
				submitJob(host, {
					count: taskCount,
					ms: taskMs,
					timeLeftMs: patienceMs,
				}),
			);
			replies.push(...(await Promise.all(answers)));
			earlyRuns += countEarlyRuns(system.executors, begun);
		}

		const served = replies.filter(({state}) => state === 'completed').length;
		const others = replies.filter(({state}) => state !== 'completed');
		context.diagnostic(
			`seed ${seed}: ${served} of ${replies.length} jobs completed, ${earlyRuns} runs on young processes, other answers: ${JSON.stringify(others)}`,
		);
		assertNoOverlaps(system.executors);
		for (const reply of replies) {
			assertClearAnswer(system, reply);
		}

		assert.ok(
			served > replies.length * 0.7,
			`${served} of ${replies.length} served`,
		);
		assert.ok(earlyRuns > 0, 'no restart was right before a run');
	});
}
