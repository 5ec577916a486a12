/**
The answers that callers get after a burst of long tasks, from three data centres of the size of the larger deployments, on a virtual clock.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDraw} from '@gentianshift/standins';
import {
	createLoadSystem,
	planJobs,
	runJobs,
	usualKinds,
} from './load-system.fixture.js';

const [menu, stock, lunch] = usualKinds;
const kinds = [
	{...menu!, perSecond: 144},
	{...stock!, priority: 2, perSecond: 26.3},
	{...lunch!, priority: 1, perSecond: 420},
];
const burst = {from: 300, until: 5300, factor: 2.3};
const recoveryMs = 1000;
const jobs = planJobs({
	draw: createDraw(1),
	kinds,
	spanMs: burst.until + recoveryMs + 800,
	getLoad: (at, {queue}) =>
		queue === stock!.queue && at >= burst.from && at < burst.until
			? burst.factor
			: 1,
});
// Runs before the tests start: within a test, the test runner tracks each promise, which takes three times as long.
const outcomes = await runJobs(createLoadSystem({executorsEach: 82}), jobs);

// Guards against a queue of long tasks that keeps later jobs late although the burst is over.
test('a group serves its whole rate in time 1 s after a burst of long tasks', () => {
	assert.equal(outcomes.length, jobs.length, 'every caller gets one answer');
	const after = outcomes.filter(({at}) => at >= burst.until + recoveryMs);
	for (const {queue} of kinds) {
		const ofQueue = after.filter((outcome) => outcome.queue === queue);
		const inTime = ofQueue.filter(
			({answer, tookMs, objectiveMs}) =>
				answer === 'completed' && tookMs <= objectiveMs,
		);
		const share = inTime.length / ofQueue.length;
		assert.ok(share >= 0.98, `${queue}: ${share.toFixed(4)}`);
	}
});
