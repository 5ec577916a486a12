/**
Executors whose lease can't be extended because a run there has outlived its claim.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createEntry,
	makePart,
	openScheduler,
} from './group-scheduler.fixture.js';
import {orphanLimitMs} from './timing.js';

const long = {estimateMs: 5000, timeLeftMs: 20_000};

// While the lease can't be extended, no start can be sent. A holder that retried the start with each message it reads
// would raise the attempt number without limit, and spend the processor time that its other work needs.
test('a start is not retried with each message while the lease of the executor can not be extended', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
	});
	scheduler.receivePart(entry, makePart(clock, long));
	await clock.run(20);
	// The holder's host is busy until the first claim has ended, then reads the messages received meanwhile.
	clock.now += orphanLimitMs;
	const other = createEntry('mieres_m2.0');
	scheduler.receivePart(
		other,
		makePart(clock, {...long, job: 'job2', claim: 2}),
	);
	for (let i = 0; i < 100; i += 1) {
		scheduler.dropJob(other, {
			job: `unknown job ${i}`,
			takenAtMs: Infinity,
		});
		scheduler.receivePart(
			other,
			makePart(clock, {...long, job: 'job2', claim: 2}),
		);
	}

	for (let passed = 0; passed < 1500; passed += 50) {
		const {token, at} = scheduler.describeState();
		scheduler.receive(other, {t: 'keep', token, stateAt: at, claims: [2]});
		scheduler.update();
		await clock.run(50);
	}

	const run = executors.runs.find(({job}) => job === 'job2');
	assert.equal(run?.attempt, 1);
});
