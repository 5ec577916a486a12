/**
Order of waiting jobs in bursts of long and short work.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDraw} from '@gentianshift/standins';
import {compareJobs, rankJobs, type RankedJob} from './rank-jobs.js';

function makeJob(job: Partial<RankedJob> = {}): RankedJob {
	return {
		priority: 1,
		remainingWork: 100,
		dueAt: 1000,
		estimateMs: 100,
		...job,
	};
}

test('the queue with the lower number goes first, whatever the work', () => {
	const urgent = makeJob({priority: 0, remainingWork: 1e9});
	assert.ok(compareJobs(urgent, makeJob(), 0) < 0);
});

test('within a priority the job with the least work left goes first', () => {
	assert.ok(
		compareJobs(makeJob({remainingWork: 10}), makeJob({remainingWork: 20}), 0) <
			0,
	);
});

// Many small jobs arrive after a larger one. If the least work always went first, the larger job would wait
// until it is late, although there was time for all.
test('a job that has waited goes before smaller ones that came later', () => {
	const waiting = makeJob({remainingWork: 960_000, dueAt: 200});
	const fresh = makeJob({remainingWork: 320_000, dueAt: 300});
	assert.ok(compareJobs(waiting, fresh, 0) < 0);
});

// At saturation some jobs are late already. If they went first, jobs that can still be in time would be late
// too.
test('a job that can still end in time goes before one that cannot', () => {
	const late = makeJob({remainingWork: 1, dueAt: 50});
	assert.ok(compareJobs(makeJob(), late, 0) < 0);
});

// Placing rounds rank jobs by keys that are computed once, suspects and admission by comparing two jobs. If the two
// differed, jobs would be admitted by another order than the one in which they are started.
test('ranking by keys gives the order of comparing jobs, and keeps that of equal ones', () => {
	const draw = createDraw(9);
	for (let i = 0; i < 200; i += 1) {
		const jobs = Array.from({length: 30}, (_, id) => ({
			id,
			priority: draw.drawOne([0, 1, 2]),
			remainingWork: draw.drawOne([0, 320_000, 6_400_000]),
			dueAt: draw.drawOne([90, 100, 300, 500]),
			estimateMs: draw.drawOne([10, 50, 200]),
		}));
		assert.deepEqual(
			rankJobs(jobs, 60),
			jobs.toSorted((a, b) => compareJobs(a, b, 60)),
		);
	}
});
