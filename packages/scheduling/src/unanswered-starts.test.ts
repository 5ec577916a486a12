import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createUnansweredStarts} from './unanswered-starts.js';

// An executor that answers again sends several reports before its first stop is answered. If each report began its
// own round, two rounds would stop the first start and remove two from the list; the second start would be carried
// out later.
test('reports that arrive while starts are being cancelled skip none of them', async () => {
	const starts = createUnansweredStarts();
	starts.add({job: 'job1', index: 0, attempt: 1}, 0);
	starts.add({job: 'job2', index: 0, attempt: 1}, 0);
	const stopped: string[] = [];
	const stop = async ({job}: {job: string}) => {
		await Promise.resolve();
		stopped.push(job);
		return true;
	};

	const results = await Promise.all([
		starts.cancelAll(stop),
		starts.cancelAll(stop),
	]);
	assert.deepEqual(results, [true, true]);
	assert.deepEqual(stopped, ['job1', 'job2']);
	assert.ok(starts.isEmpty);
});

test('a start that could not be stopped is kept for the next round', async () => {
	const starts = createUnansweredStarts();
	starts.add({job: 'job1', index: 0, attempt: 1}, 0);
	assert.equal(await starts.cancelAll(async () => false), false);
	assert.equal(starts.isEmpty, false);
	assert.equal(await starts.cancelAll(async () => true), true);
	assert.ok(starts.isEmpty);
});
