/**
What a holder tells its successor about executors that the successor's list may lack. A successor that relies on the reports of the
executors it knows would start the tasks that run on the others a second time.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {makePart, openScheduler} from './group-scheduler.fixture.js';

const long = {estimateMs: 5000, timeLeftMs: 20_000};

// Guards against a successor whose list already lacks an executor that this holder still keeps and uses.
test('a holder tells that it uses an executor whose registration is not confirmed, until that executor is silent and without runs', async () => {
	const {clock, executors, scheduler} = await openScheduler(
		{count: 2},
		{listUnconfirmed: () => ['e1']},
	);
	assert.deepEqual(scheduler.describeState().unconfirmed, ['e1']);
	executors.fakes[0]!.unreachableFrom = 'all';
	await clock.run(2000);
	assert.equal(scheduler.describeState().unconfirmed, undefined);
});

// Guards against a successor that takes over while the stops on an executor that is no longer listed have no answer yet.
test('a holder tells that runs go on on an executor that is not listed any more, until they have ended', async () => {
	const {clock, executors, scheduler, entry} = await openScheduler({
		count: 1,
		taskMs: 5000,
		stopMs: 100,
	});
	scheduler.receivePart(entry, makePart(clock, long));
	await clock.run(20);
	assert.equal(scheduler.describeState().unconfirmed, undefined);
	scheduler.setExecutors([]);
	await clock.run(20);
	assert.deepEqual(scheduler.describeState().unconfirmed, ['e1']);
	await clock.run(200);
	assert.equal(executors.runs[0]!.outcome, 'ended');
	assert.equal(scheduler.describeState().unconfirmed, undefined);
});
