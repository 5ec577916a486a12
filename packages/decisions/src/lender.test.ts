import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLender, type Lender} from './lender.js';
import {type Demand, type SlotOutcome} from './lending.js';

const done: SlotOutcome = {result: 'done', runMs: 100};

function makeDemand(fields: Partial<Demand> = {}): Demand {
	return {
		owner: 'mieres_m1.a',
		job: 1,
		service: 'meals',
		team: 'cooks',
		remaining: 1,
		asked: 1,
		taskMs: 100,
		deadlineInMs: 10_000,
		waitedMs: 0,
		...fields,
	};
}

function makeLender({executors = 1, slots = 2} = {}): Lender {
	const lender = createLender();
	lender.setExecutors(
		Array.from({length: executors}, (_, i) => ({
			name: `e${i}`,
			slots,
			isLeaving: false,
		})),
		0,
	);
	return lender;
}

test('the same demand twice is granted once', () => {
	const lender = makeLender();
	lender.updateDemand(makeDemand(), 0);
	lender.updateDemand(makeDemand(), 0);
	assert.equal(lender.decide(0).grants.length, 1);
	lender.updateDemand(makeDemand(), 1);
	assert.equal(lender.decide(1).grants.length, 0);
});

test('a repeated release of a slot that has been lent again is ignored', () => {
	// An owner sends a release twice because its connection broke. If the second release freed the slot,
	// which another job holds by then, the executor would run two tasks on it.
	const lender = makeLender({slots: 1});
	lender.updateDemand(makeDemand(), 0);
	const [first] = lender.decide(0).grants;
	lender.release(first!.slot, done, 100);
	lender.updateDemand(makeDemand({job: 2}), 100);
	const [second] = lender.decide(100).grants;
	assert.notEqual(second!.slot, first!.slot);
	lender.release(first!.slot, done, 101);
	lender.updateDemand(makeDemand({job: 3}), 101);
	assert.equal(lender.decide(101).grants.length, 0);
});

test('slots of a lost owner are not lent until its tasks must have ended', () => {
	// A host dies while its tasks run, and the executors continue them. If its slots were lent again at once,
	// they would get a second task, and callers would see refused or slow tasks.
	const lender = makeLender({slots: 1});
	lender.updateDemand(makeDemand(), 0);
	lender.decide(0);
	lender.dropOwner('mieres_m1.a', 10);
	lender.updateDemand(
		makeDemand({owner: 'mieres_m2.b', deadlineInMs: 60_000}),
		10,
	);
	assert.equal(lender.decide(1000).grants.length, 0);
	const due = lender.findNextDecisionAt(1000);
	assert.ok(due !== undefined && due >= 1000);
	assert.equal(lender.decide(3000).grants.length, 1);
});

test('slots of a lost owner skip the lease if its host runs another process', () => {
	// The owner's host has restarted, so the old process can start no more tasks. If its slots stayed
	// quarantined for the lease too, callers would wait for them without need.
	const lender = makeLender({slots: 1});
	lender.updateDemand(makeDemand(), 0);
	lender.decide(0);
	const {maxQuarantineMs} = lender.dropOwner('mieres_m1.a', 10);
	const runMs = maxQuarantineMs - 1000;
	lender.recordOwnerExit('mieres_m1.a');
	lender.updateDemand(
		makeDemand({owner: 'mieres_m1.b', deadlineInMs: 60_000}),
		10,
	);
	assert.equal(lender.decide(10 + runMs - 1).grants.length, 0);
	assert.equal(lender.decide(10 + runMs + 1).grants.length, 1);
});

test('a new keeper lends nothing until it knows which slots are lent', () => {
	// The keeper died, and another host takes over while tasks run on slots that the new keeper doesn't know.
	const lender = makeLender({slots: 1});
	lender.startRecovery(0);
	lender.updateDemand(makeDemand({owner: 'mieres_m2.b'}), 0);
	assert.equal(lender.decide(0).grants.length, 0);
	lender.restoreSlots('mieres_m1.a', [{executor: 'e0', slot: 77, job: 5}]);
	lender.finishRecovery(1);
	assert.equal(lender.decide(1).grants.length, 0);
	lender.release(77, done, 2);
	assert.equal(lender.decide(2).grants.length, 1);
});

test('a job is refused without a retry time if no executor exists, and with one if the queue is full', () => {
	const lender = createLender({queueTasks: 10});
	lender.updateDemand(makeDemand(), 0);
	const [impossible] = lender.decide(0).refusals;
	assert.equal(impossible!.code, 'impossible');
	assert.equal(impossible!.retryAfterMs, undefined);
	lender.setExecutors([{name: 'e', slots: 1, isLeaving: false}], 0);
	lender.updateDemand(makeDemand({remaining: 11, asked: 11}), 0);
	const [overloaded] = lender.decide(0).refusals;
	assert.equal(overloaded!.code, 'overloaded');
	assert.ok(overloaded!.retryAfterMs! >= 200);
});

test('a leaving executor gets no new tasks and its slots are recalled', () => {
	const lender = makeLender({executors: 2, slots: 1});
	lender.updateDemand(makeDemand({remaining: 10, asked: 10}), 0);
	const {grants} = lender.decide(0);
	const leaving = grants.find(({executor}) => executor === 'e0')!;
	lender.setExecutors(
		[
			{name: 'e0', slots: 1, isLeaving: true},
			{name: 'e1', slots: 1, isLeaving: false},
		],
		1,
	);
	assert.deepEqual(lender.decide(1).recalls, [
		{owner: 'mieres_m1.a', slots: [leaving.slot]},
	]);
	assert.deepEqual(lender.decide(2).recalls, []);
	lender.release(leaving.slot, done, 100);
	assert.equal(lender.decide(100).grants.length, 0);
});

test('no more slots are recalled than better-ranked jobs wait for', () => {
	const lender = makeLender({slots: 8});
	lender.updateDemand(
		makeDemand({remaining: 1000, asked: 1000, deadlineInMs: 60_000}),
		0,
	);
	assert.equal(lender.decide(0).grants.length, 8);
	lender.updateDemand(makeDemand({job: 2, remaining: 3, asked: 3}), 1);
	const slots = lender.decide(1).recalls.flatMap((recall) => recall.slots);
	assert.equal(slots.length, 3);
	assert.equal(lender.decide(2).recalls.length, 0);
	for (const slot of slots) {
		lender.release(slot, done, 50);
	}

	const {grants} = lender.decide(50);
	assert.deepEqual([...new Set(grants.map(({job}) => job))], [2]);
});

test('slots requested from another keeper are not granted here until it answers', () => {
	const lender = makeLender({slots: 1});
	lender.updateDemand(makeDemand({remaining: 3, asked: 3}), 0);
	const {shortages} = lender.decide(0);
	assert.deepEqual(shortages, [{owner: 'mieres_m1.a', job: 1, count: 2}]);
	lender.recordRemoteRequest('mieres_m1.a', 1, 2, 0);
	assert.deepEqual(lender.decide(1).shortages, []);
	lender.applyRemoteAnswer('mieres_m1.a', 1, {asked: 2, granted: 1, now: 0});
	assert.equal(lender.decide(3).shortages[0]!.count, 1);
});

test('another data centre gets only slots that are free while no job waits here', () => {
	const lender = makeLender({slots: 4});
	const foreign = makeDemand({owner: 'tineo_t1.c', remaining: 9, asked: 9});
	assert.equal(lender.grantToForeign(foreign, 3, 0).length, 3);
	lender.updateDemand(makeDemand({remaining: 2, asked: 2}), 1);
	assert.equal(lender.decide(1).grants.length, 1);
	assert.equal(lender.grantToForeign(foreign, 3, 2).length, 0);
});

test('a team never gets more slots than its quota', () => {
	const lender = makeLender({slots: 8});
	lender.setTeams(new Map([['cooks', {weight: 1, quota: 3}]]));
	lender.updateDemand(makeDemand({remaining: 8, asked: 8}), 0);
	const {grants, shortages} = lender.decide(0);
	assert.equal(grants.length, 3);
	assert.equal(shortages.length, 0);
});

test('a cancelled job leaves the queue and gets no more slots', () => {
	const lender = makeLender({slots: 1});
	lender.updateDemand(makeDemand({remaining: 5, asked: 5}), 0);
	const [grant] = lender.decide(0).grants;
	lender.withdraw('mieres_m1.a', 1);
	lender.release(grant!.slot, done, 10);
	assert.equal(lender.decide(10).grants.length, 0);
	assert.equal(lender.readState(10).queuedTasks, 0);
	assert.equal(lender.readState(10).free, 1);
});

test('slots whose grant was lost with the connection are granted again', () => {
	// Another data centre's keeper grants slots to an owner whose connection breaks at that moment. The
	// owner's keeper learns of the grant, but the owner never does: without the time-out its job would wait
	// for these slots until its deadline.
	const lender = makeLender();
	const demand = makeDemand({granted: 0});
	lender.updateDemand(demand, 0);
	lender.recordRemoteRequest(demand.owner, demand.job, 1, 0);
	lender.applyRemoteAnswer(demand.owner, demand.job, {
		asked: 1,
		granted: 1,
		now: 5,
	});
	lender.updateDemand(demand, 500);
	assert.equal(lender.decide(500).grants.length, 0);
	lender.updateDemand(demand, 1100);
	assert.equal(lender.decide(1100).grants.length, 1);
});
