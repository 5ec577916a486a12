import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type CancelJob} from '@gentianshift/protocol';
import {
	createCancellations,
	type CancellationOutcome,
} from './cancellations.js';
import {createCancelledJobs} from './cancelled-jobs.js';
import {createGroupDirectory} from './group-directory.js';
import {VirtualClock} from './virtual-clock.fixture.js';
import {makeState} from './group-state.fixture.js';

const updateIntervalMs = 50;
const timeLeftMs = 1500;

/** Cancellations at a host `mieres_m1` that holds no group; groups are held by other hosts. */
function openCancellations({maxJobs}: {maxJobs?: number} = {}) {
	const clock = new VirtualClock();
	const now = () => clock.now;
	const groups = createGroupDirectory();
	const linked = new Set<string>();
	const sent: Array<{host: string; message: CancelJob}> = [];
	const cancelledJobs = createCancelledJobs({now, maxJobs});
	const store = {answers: true};
	const cancellations = createCancellations({
		self: 'mieres_m1',
		cancelledJobs,
		groups,
		peers: {
			listHosts: () => ['mieres_m2', 'langreo_l1'],
			send(host, message) {
				if (linked.has(host)) {
					sent.push({host, message});
				}
			},
		},
		now,
		isHolder: () => false,
		getStoreAgeMs: () => (store.answers ? 0 : clock.now),
		endJob: () => false,
		log: () => undefined,
	});
	return {
		clock,
		groups,
		linked,
		sent,
		store,
		cancelledJobs,
		cancellations,
		hearFrom(holder: string, group: string, token = 1) {
			groups.update(holder, makeState(group, {token}), clock.now);
		},
		cancel(job: string) {
			const outcomes: CancellationOutcome[] = [];
			cancellations.cancel(job, timeLeftMs, (outcome) => {
				outcomes.push(outcome);
			});
			return outcomes;
		},
		async pass(ms: number) {
			for (let passed = 0; passed < ms; passed += updateIntervalMs) {
				await clock.run(updateIntervalMs);
				cancellations.update();
			}
		},
	};
}

// Guards against an answer that promises what no holder was told.
test('a cancellation is confirmed once the holders of all groups have answered', () => {
	const host = openCancellations();
	host.linked.add('mieres_m2').add('langreo_l1');
	host.hearFrom('mieres_m2', 'mieres');
	host.hearFrom('langreo_l1', 'langreo');
	const outcomes = host.cancel('a');
	host.cancellations.receiveConfirmation('mieres_m2', {
		t: 'job-cancelled',
		job: 'a',
	});
	assert.deepEqual(outcomes, []);
	host.cancellations.receiveConfirmation('langreo_l1', {
		t: 'job-cancelled',
		job: 'a',
	});
	assert.deepEqual(outcomes, [{isHere: false, isConfirmed: true}]);
});

// Guards against a cancellation that is lost because no connection was there yet.
test('a new connection is sent the cancellations that came before it', () => {
	const host = openCancellations();
	host.cancel('a');
	assert.deepEqual(host.sent, []);
	host.linked.add('mieres_m2');
	host.cancellations.sendAll('mieres_m2');
	assert.deepEqual(host.sent, [
		{host: 'mieres_m2', message: {t: 'cancel-job', job: 'a', ageMs: 0}},
	]);
});

// Guards against a promise by a host that reaches nobody, and against a caller that waits without an answer.
test('a host that reaches no holder answers in the time of its caller that nothing is confirmed', async () => {
	const host = openCancellations();
	const outcomes = host.cancel('a');
	await host.pass(timeLeftMs);
	assert.deepEqual(outcomes, [{isHere: false, isConfirmed: false}]);
});

// Guards against a confirmation that a former holder gave and its successor knows nothing of.
test("a group's next holder has to confirm too", () => {
	const host = openCancellations();
	host.linked.add('mieres_m2').add('langreo_l1');
	host.hearFrom('mieres_m2', 'mieres', 1);
	const outcomes = host.cancel('a');
	host.hearFrom('langreo_l1', 'mieres', 2);
	host.cancellations.sendPending('langreo_l1');
	host.cancellations.receiveConfirmation('mieres_m2', {
		t: 'job-cancelled',
		job: 'a',
	});
	assert.deepEqual(outcomes, []);
	assert.equal(host.sent.at(-1)?.host, 'langreo_l1');
	host.cancellations.receiveConfirmation('langreo_l1', {
		t: 'job-cancelled',
		job: 'a',
	});
	assert.deepEqual(outcomes, [{isHere: false, isConfirmed: true}]);
});

// Guards against cancellations that can't be confirmed any more once a data centre is lost for good.
test('a holder that has been silent for long is not waited for, unless this host is cut off', async () => {
	const host = openCancellations();
	host.hearFrom('langreo_l1', 'langreo');
	await host.pass(4000);
	host.linked.add('mieres_m2');
	host.hearFrom('mieres_m2', 'mieres');
	const outcomes = host.cancel('a');
	host.cancellations.receiveConfirmation('mieres_m2', {
		t: 'job-cancelled',
		job: 'a',
	});
	assert.deepEqual(outcomes, [{isHere: false, isConfirmed: true}]);
	host.store.answers = false;
	const others = host.cancel('b');
	host.cancellations.receiveConfirmation('mieres_m2', {
		t: 'job-cancelled',
		job: 'b',
	});
	assert.deepEqual(others, []);
	await host.pass(timeLeftMs);
	assert.deepEqual(others, [{isHere: false, isConfirmed: false}]);
});

// Guards against memory that cancellations of made-up jobs fill, and against a confirmed one that they push out.
test('cancellations beyond the limit are not confirmed, and no earlier one is forgotten for them', async () => {
	const host = openCancellations({maxJobs: 2});
	for (const job of ['a', 'b']) {
		host.cancel(job);
	}

	assert.deepEqual(host.cancel('c'), [{isHere: false, isConfirmed: false}]);
	assert.equal(host.cancelledJobs.findAge('a'), 0);
	await host.pass(31_000);
	assert.equal(host.cancelledJobs.size, 0);
	assert.deepEqual(host.cancel('c'), []);
});
