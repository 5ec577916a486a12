/**
What callers get while executors leave a part of the orders unanswered, on a virtual clock.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDraw} from '@gentianshift/standins';
import {findOverlaps, type CallFate} from './fake-executors.fixture.js';
import {type Entry} from './group-job.js';
import {
	makePart,
	makeTasks,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';

const runMs = 60;
const jobCount = 60;
/** The objective of such a job: 1.6 times its run, and 60 ms. */
const objectiveMs = 1.6 * runMs + 60;

// One order in twenty goes unanswered, renewals among them, which bring the ends. A job of two short tasks is hit at its starts one time in ten;
// all others are to be in time, although each end is told by a renewal that may be lost.
test('one order in twenty lost makes few short jobs late', async () => {
	const draw = createDraw(3);
	let isLossy = false;
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 8,
		taskMs: runMs,
		decideFate: (): CallFate => ({
			type: isLossy && draw.drawUniform() < 0.05 ? 'lost' : 'answered',
		}),
	});
	const doneAt = new Map<string, number>();
	const begunAt = new Map<string, number>();
	const noting = {
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
		begunAt.set(job, clock.now);
		const part = makePart(clock, {
			job,
			tasks: makeTasks(2),
			remaining: 2,
			estimateMs: runMs,
		});
		scheduler.receivePart(noting, part);
		await runFor(clock, 100, [[scheduler, noting]]);
	}

	await runFor(clock, 1000, [[scheduler, noting]]);
	const inTime = [...begunAt].filter(
		([job, at]) => (doneAt.get(job) ?? Infinity) - at <= objectiveMs,
	);
	assert.equal(doneAt.size, jobCount);
	assert.ok(inTime.length >= 0.85 * jobCount, `${inTime.length} in time`);
	assert.deepEqual(findOverlaps(executors.runs), []);
});
