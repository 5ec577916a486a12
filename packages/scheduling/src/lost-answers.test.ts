/**
Tests how many jobs end in time while executors leave some of the scheduler's calls unanswered, on a virtual clock.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDraw} from '@gentianshift/standins';
import {findOverlaps, type CallOutcome} from './fake-executors.fixture.js';
import {type Entry} from './group-job.js';
import {
	makePart,
	makeTasks,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';

const runMs = 60;
const jobCount = 60;
/** Latency objective of each job: 1.6 times its run time plus 60 ms. */
const objectiveMs = 1.6 * runMs + 60;

// One call in twenty gets no answer. That includes lease renewals, whose answers report the ends of runs. The two starts of a
// job are hit about one time in ten; all other jobs have to be in time although the report of an end may be lost.
test('few short jobs are late when one call in twenty is lost', async () => {
	const draw = createDraw(3);
	let isLossy = false;
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 8,
		taskMs: runMs,
		decideOutcome: (): CallOutcome => ({
			type: isLossy && draw.drawUniform() < 0.05 ? 'lost' : 'answered',
		}),
	});
	const doneAt = new Map<string, number>();
	const submittedAt = new Map<string, number>();
	const recordingEntry = {
		...entry,
		send(message: Parameters<Entry['send']>[0]) {
			const isDone =
				message.t === 'ends' &&
				message.ends.some(({outcome}) => outcome === 'done');
			if (isDone) {
				doneAt.set(message.job, clock.now);
			}
		},
	};
	isLossy = true;
	for (let i = 0; i < jobCount; i += 1) {
		const job = `job${i}`;
		submittedAt.set(job, clock.now);
		const part = makePart(clock, {
			job,
			tasks: makeTasks(2),
			remaining: 2,
			estimateMs: runMs,
		});
		scheduler.receivePart(recordingEntry, part);
		await runFor(clock, 100, [[scheduler, recordingEntry]]);
	}

	await runFor(clock, 1000, [[scheduler, recordingEntry]]);
	const inTime = [...submittedAt].filter(
		([job, at]) => (doneAt.get(job) ?? Infinity) - at <= objectiveMs,
	);
	assert.equal(doneAt.size, jobCount);
	assert.ok(inTime.length >= 0.85 * jobCount, `${inTime.length} in time`);
	assert.deepEqual(findOverlaps(executors.runs), []);
});
