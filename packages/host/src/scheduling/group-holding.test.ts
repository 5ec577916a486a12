/**
When a host takes the group of its data centre over.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {errAsync, okAsync} from 'neverthrow';
import {type GroupState} from '@gentianshift/protocol';
import {
	createGroupDirectory,
	createCrashRecords,
	createRunTimes,
	holderSilenceMs,
	singleGroupLayout,
	createBackground,
	type Background,
	type CoordinationStore,
	type Executor,
	type GroupDirectory,
	type GroupLayout,
	type StoreItem,
} from '@gentianshift/scheduling';
import {createStrictBackground} from '@gentianshift/scheduling/fixtures';
import {GroupHolding} from './group-holding.js';

function createStore(item?: StoreItem): CoordinationStore & {commits: number} {
	const unused = () => errAsync({code: 'rejected' as const, message: 'unused'});
	const store = {
		commits: 0,
		readKey: () => okAsync(item),
		commit() {
			store.commits += 1;
			return okAsync({revision: 100});
		},
		readPrefix: unused,
		watchPrefix: unused,
		createLease: unused,
		renewLease: unused,
		endLease: unused,
		getAnsweredAt: () => 0,
		async close() {
			// Nothing is open.
		},
	};
	return store;
}

function createHolding(
	store: CoordinationStore,
	clock: {now: number},
	{
		groups = createGroupDirectory(),
		isProcessGone = false,
		refreshExecutors = async () => undefined,
		listExecutors = () => [],
		candidates = ['mieres_m1', 'mieres_m2'],
		group = 'mieres',
		changedLayout,
		onChange = () => undefined,
		background = createStrictBackground(),
	}: {
		groups?: GroupDirectory;
		isProcessGone?: boolean;
		refreshExecutors?: () => Promise<void>;
		listExecutors?: () => readonly Executor[];
		candidates?: readonly string[];
		group?: string;
		/** A layout that was written a short time ago. */
		changedLayout?: GroupLayout;
		onChange?: (group: string) => void;
		background?: Background;
	} = {},
): GroupHolding {
	const unused = () =>
		errAsync({code: 'unreachable' as const, message: 'unused'});
	return new GroupHolding({
		group,
		dataCentre: 'mieres',
		layout: {
			get: () => changedLayout ?? singleGroupLayout,
			measureAge: () => Infinity,
			isRecentlyChanged: () => changedLayout !== undefined,
			refresh: async () => true,
		},
		isAssigned: () => true,
		hostKey: 'mieres_m1',
		processId: 'mieres_m1.a1',
		isProcessGone: () => isProcessGone,
		store,
		groups,
		now: () => clock.now,
		background,
		listCandidates: () => candidates,
		hasPeers: () => true,
		getLeaseId: () => 1,
		listExecutors,
		refreshExecutors,
		ports: {
			background: createStrictBackground(),
			// The scheduler's pauses between calls never end here.
			wait: async () =>
				new Promise(() => {
					// Never settled.
				}),
			control: {
				startTask: unused,
				stopTask: unused,
				renewLease: unused,
				forgetExecutor() {
					// Nothing is kept.
				},
			},
			runTimes: createRunTimes(),
			crashes: createCrashRecords(),
			cancelledJobs: {findAge: () => undefined},
			onChange() {
				// Nobody is notified.
			},
			takeCapacityElsewhere: () => 0,
			getStartPermission: () => 'granted',
			isListComplete: () => true,
			isListFresh: () => true,
			listUnconfirmed: () => [],
			listPeers: () => [],
			isLeaving: () => false,
			readBootTime: () => clock.now,
			getSuccessor: () => undefined,
			getStoreAgeMs: () => 0,
		},
		onChange,
		log() {
			// Not read.
		},
	});
}

const executor: Executor = {
	id: 'e1',
	address: '10.0.0.1:8000',
	dataCentre: 'mieres',
	service: 'meals',
	isDraining: false,
	isCapacityEnforced: true,
	capacity: {cpu: 32_000, memoryMb: 1000, accelerators: 0},
	capacityReadAt: 0,
};

function makeState(state: Partial<GroupState>): GroupState {
	return {
		t: 'group-state',
		group: 'mieres',
		token: 1,
		at: 0,
		isLeaving: false,
		isReleased: false,
		storeAgeMs: 0,
		free: [32_000],
		capacity: 32_000,
		backlog: [0],
		lateBacklog: [0],
		running: [0],
		...state,
	};
}

/** Lets time pass in steps of the host's own updates. */
async function runFor(
	holding: GroupHolding,
	clock: {now: number},
	ms: number,
): Promise<void> {
	for (let passed = 0; passed < ms; passed += 50) {
		clock.now += 50;
		holding.update();
		await nextTurn();
	}
}

// Guards against jobs in all data centres that wait a second for a group that a division has just added: its holder would not
// confirm that it runs no copy of them, as a former holder, which there never was, might.
test('only a group that a new layout has added is known to have had no holder before', async () => {
	const layout: GroupLayout = {revision: 90, count: 2, changedAtMs: 0};
	for (const {group, formerCount, mayRunOutside} of [
		{group: 'mieres--2', formerCount: 1, mayRunOutside: undefined},
		{group: 'mieres', formerCount: 1, mayRunOutside: true},
		{group: 'mieres--2', formerCount: 2, mayRunOutside: true},
		{group: 'mieres--2', formerCount: undefined, mayRunOutside: true},
	]) {
		const clock = {now: 1000};
		const holding = createHolding(createStore(), clock, {
			group,
			changedLayout: {...layout, formerCount},
		});
		await runFor(holding, clock, 100);
		const {hasRunsOutside} = holding.scheduler!.describeState();
		assert.equal(hasRunsOutside, mayRunOutside, `${group} ${formerCount}`);
	}
});

// Guards against a successor that relies on its executors' reports while its predecessor's runs go on on one that it does not list,
// and against one that waits a second although it lists all that its predecessor has used.
test('a successor looks for executors of its predecessor that it does not list', async () => {
	for (const {ids, mayRunOutside} of [
		{ids: ['e1'], mayRunOutside: undefined},
		{ids: ['e1', 'e2'], mayRunOutside: true},
	]) {
		const clock = {now: 1000};
		const groups = createGroupDirectory();
		const state = makeState({isReleased: true, unconfirmed: ids});
		groups.update('mieres_m2', state, clock.now);
		const holding = createHolding(createStore(), clock, {
			groups,
			listExecutors: () => [executor],
		});
		await runFor(holding, clock, 100);
		const {hasRunsOutside} = holding.scheduler!.describeState();
		assert.equal(hasRunsOutside, mayRunOutside, ids.join(' '));
	}
});

// Guards against a group that nobody takes any more, as an exception in the first takeover left the host waiting for its end.
test('a takeover that throws is tried again', async () => {
	const clock = {now: 1000};
	let reads = 0;
	let exceptions = 0;
	const holding = createHolding(createStore(), clock, {
		async refreshExecutors() {
			reads += 1;
			if (reads === 1) {
				throw new Error('the list can not be read');
			}
		},
		background: createBackground({
			now: () => clock.now,
			wait: async () => undefined,
			log: () => undefined,
			onException() {
				exceptions += 1;
			},
		}),
	});
	await runFor(holding, clock, 100);
	assert.equal(holding.scheduler, undefined);
	assert.equal(exceptions, 1);
	await runFor(holding, clock, 500);
	assert.ok(holding.scheduler);
});

test('a group without a holder is taken at once by the first candidate', async () => {
	const clock = {now: 1000};
	const holding = createHolding(createStore(), clock);
	await runFor(holding, clock, 100);
	assert.ok(holding.scheduler);
});

const storedHolder = {key: 'g', value: 'mieres_m2.b2', revision: 50};

// The hosts of a data centre start together, and the second has taken the group before the first is
// connected to it. If the first took it over at once, the group would change hands as the first
// callers arrive, and some of them would be refused.
test('the group is not taken from a holder that the store names before its state had time to arrive', async () => {
	const clock = {now: 1000};
	const store = createStore(storedHolder);
	const holding = createHolding(store, clock);
	await runFor(holding, clock, holderSilenceMs - 100);
	assert.equal(store.commits, 0);
	await runFor(holding, clock, 400);
	assert.ok(holding.scheduler);
});

// Two hosts find the group vacant at the same moment. The second reads the holder from the store,
// and the first one's state arrives before the store's answer. If the second took the group all the
// same, the group would change hands twice within 200 ms, and callers would wait until the second
// holder has found out what runs.
test('a holder whose state arrives during the read of the store keeps the group', async () => {
	const clock = {now: 1000};
	const groups = createGroupDirectory();
	const store = createStore(storedHolder);
	store.readKey = () => {
		groups.update('mieres_m2', makeState({token: 50}), clock.now);
		return okAsync(storedHolder);
	};

	const holding = createHolding(store, clock, {groups});
	await runFor(holding, clock, 100);
	assert.equal(store.commits, 0);
	assert.equal(holding.scheduler, undefined);
});

// A host is stopped as planned, and its group must change hands before its process ends.
test('the group of a holder that is being stopped is taken at once', async () => {
	const clock = {now: 1000};
	const groups = createGroupDirectory();
	groups.update(
		'mieres_m2',
		makeState({token: 50, isLeaving: true}),
		clock.now,
	);
	const holding = createHolding(createStore(storedHolder), clock, {groups});
	await runFor(holding, clock, 100);
	assert.ok(holding.scheduler);
});

// A small host holds the group of a busy data centre, and all jobs there wait for its processor. It
// asks a large host to take over. If others took the group too, they would take it from one
// another.
test('only the host that the holder asks takes the group over', async () => {
	for (const [successor, isTaken] of [
		['mieres_m1', true],
		['mieres_m3', false],
	] as const) {
		const clock = {now: 1000};
		const groups = createGroupDirectory();
		const state = makeState({token: 50, successor});
		groups.update('mieres_m2', state, clock.now);
		const holding = createHolding(createStore(storedHolder), clock, {groups});
		await runFor(holding, clock, 400);
		assert.equal(holding.scheduler !== undefined, isTaken, successor);
	}
});

// All hosts lost power and have started again; for some seconds the store still names the former
// holder.
test('the group is taken at once from a holder whose host now runs as another process', async () => {
	const clock = {now: 1000};
	const holding = createHolding(createStore(storedHolder), clock, {
		isProcessGone: true,
	});
	await runFor(holding, clock, 100);
	assert.ok(holding.scheduler);
});

// Guards against a wait for a holder that has lost power: its connection seems sound for two seconds, and
// the next host left it the first turn to take its own group over.
test('the first host after a silent holder takes the group over at once', async () => {
	const clock = {now: 1000};
	const groups = createGroupDirectory();
	groups.update('mieres_m2', makeState({token: 50}), clock.now);
	const holding = createHolding(createStore(storedHolder), clock, {
		groups,
		candidates: ['mieres_m2', 'mieres_m1', 'mieres_m3'],
	});
	await runFor(holding, clock, holderSilenceMs);
	assert.equal(holding.scheduler, undefined);
	await runFor(holding, clock, 100);
	assert.ok(holding.scheduler);
});

// An executor begins to drain, and three seconds later another host takes its group over. With its
// list from before, that host would start a task that is cut off when the executor ends.
test('a host that takes a group over reads the executors before it schedules', async () => {
	const clock = {now: 1000};
	let known = executor;
	const seen: boolean[] = [];
	const holding = createHolding(createStore(), clock, {
		async refreshExecutors() {
			known = {...executor, isDraining: true};
		},
		listExecutors() {
			seen.push(known.isDraining);
			return [known];
		},
	});
	await runFor(holding, clock, 200);
	assert.ok(holding.scheduler);
	assert.deepEqual(seen, [true]);
});

// Guards against tasks of a host's other groups that are sent again, and whose jobs then count as possibly run, whenever
// the host takes one group more.
test('a host that takes or gives up one of its groups reports just that one', async () => {
	const clock = {now: 0};
	const changed: string[] = [];
	const options = {onChange: (group: string) => changed.push(group)};
	const first = createHolding(createStore(), clock, options);
	const second = createHolding(createStore(), clock, {
		...options,
		group: 'mieres--2',
	});
	await runFor(first, clock, 100);
	assert.deepEqual(changed, ['mieres']);
	await runFor(second, clock, 100);
	second.stop();
	assert.deepEqual(changed, ['mieres', 'mieres--2', 'mieres--2']);
});
