/**
The lists of executors while registrations are missing, stale or unusable.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {type ExecutorRegistration} from '@gentianshift/scheduling';
import {createStrictBackground} from '@gentianshift/scheduling/fixtures';
import {waitFor} from '../timers.js';
import {createExecutorLists} from './executor-lists.js';
import {makeRegistration} from './registration.fixture.js';

/** The answer of the store to a read. */
function answerList(registrations: ExecutorRegistration[], revision = 0) {
	return okAsync({registrations, revision});
}

type ListsOptions = Parameters<typeof createExecutorLists>[0];

/** Lists of a host that holds its group, at time 0, with the options that the test is about. */
function makeLists(
	options: Pick<ListsOptions, 'source'> & Partial<ListsOptions>,
) {
	return createExecutorLists({
		isHolder: () => true,
		isKnownService: () => true,
		isCapacityEnforcingService: () => true,
		onList() {
			// Read by the test itself.
		},
		now: () => 0,
		wait: waitFor,
		background: createStrictBackground(),
		random: () => 0,
		log() {
			// Not read.
		},
		...options,
	});
}

function createLists(
	readList: () => ExecutorRegistration[],
	now: () => number,
	isDown = () => false,
) {
	const ending = new AbortController();
	const lists = makeLists({
		source: {
			list: () =>
				isDown()
					? errAsync({code: 'unavailable', message: 'down'})
					: answerList(readList()),
		},
		now,
	});
	lists.start(ending.signal);
	return {
		async read() {
			await lists.refresh();
			return lists.list().map(({id}) => id);
		},
		isComplete: () => lists.isComplete(),
		listUnconfirmed: () => lists.listUnconfirmed(),
		end() {
			ending.abort();
		},
	};
}

// While a data centre was cut off from the store, its executors' registrations expired. The first
// list after the cut lacks executors that run tasks. A host that took the group over with that list
// would start their tasks a second time.
test('an executor that is missing from lists is kept for as long as registrations take to come back', async () => {
	let now = 0;
	let listed = [makeRegistration({id: 'e1'}), makeRegistration({id: 'e2'})];
	const {read, end} = createLists(
		() => listed,
		() => now,
	);
	assert.deepEqual(await read(), ['e1', 'e2']);
	listed = [makeRegistration({id: 'e1'})];
	now = 1000;
	assert.deepEqual(await read(), ['e1', 'e2']);
	listed = [makeRegistration({id: 'e1'}), makeRegistration({id: 'e2'})];
	now = 2000;
	assert.deepEqual(await read(), ['e1', 'e2']);
	listed = [makeRegistration({id: 'e1'})];
	now = 4000;
	assert.deepEqual(await read(), ['e1', 'e2']);
	now = 6600;
	assert.deepEqual(await read(), ['e1']);
	end();
});

// A host starts while the store is unavailable, or sees it come back. The first lists lack
// executors whose registrations have expired but that still run tasks.
test('lists count as complete only some time after the last failed read', async () => {
	let now = 0;
	let isDown = false;
	const {read, isComplete, end} = createLists(
		() => [makeRegistration({id: 'e1'})],
		() => now,
		() => isDown,
	);
	await read();
	assert.equal(isComplete(), false);
	now = 2600;
	assert.equal(isComplete(), true);
	isDown = true;
	await read();
	assert.equal(isComplete(), false);
	isDown = false;
	now = 4000;
	await read();
	assert.equal(isComplete(), false);
	now = 6600;
	assert.equal(isComplete(), true);
	end();
});

// Guards against a successor that takes its own list for complete while the former holder still runs tasks on executors that it lacks.
test('executors that the last list lacked, or that were read long ago, are not confirmed', async () => {
	let now = 0;
	let listed = [makeRegistration({id: 'e1'}), makeRegistration({id: 'e2'})];
	const {read, listUnconfirmed, end} = createLists(
		() => listed,
		() => now,
	);
	await read();
	assert.deepEqual(listUnconfirmed(), []);
	now = 1600;
	assert.deepEqual(listUnconfirmed(), ['e1', 'e2']);
	listed = [makeRegistration({id: 'e2'})];
	await read();
	assert.deepEqual(listUnconfirmed(), ['e1']);
	now = 4200;
	await read();
	assert.deepEqual(listUnconfirmed(), []);
	end();
});

// A host takes a group over while a stale read that it began earlier is still pending. The answer
// to that read is seconds old and arrives last; it lacks an executor that has registered since and
// runs tasks.
test('the answer to an older read that arrives after a newer one is discarded', async () => {
	const answers: Array<(list: ExecutorRegistration[]) => void> = [];
	const ending = new AbortController();
	const lists = makeLists({
		source: {
			list: () =>
				ResultAsync.fromSafePromise(
					new Promise<ExecutorRegistration[]>((resolve) => {
						answers.push(resolve);
					}),
				).map((registrations) => ({registrations, revision: 0})),
		},
		isHolder: () => false,
	});
	lists.start(ending.signal);
	const reading = lists.refresh();
	answers[1]!([makeRegistration({id: 'e1'}), makeRegistration({id: 'e2'})]);
	await reading;
	assert.ok(lists.isFresh());
	answers[0]!([makeRegistration({id: 'e1'})]);
	await nextTurn();
	assert.deepEqual(
		lists.list().map(({id}) => id),
		['e1', 'e2'],
	);
	assert.ok(lists.isFresh());
	ending.abort();
});

// A host that does not hold a group accepts lists that are seconds old. If it takes the group over
// without the store, it does not know executors that have registered since, and must not treat
// their missing answers as a sign that they run nothing.
test('a list that may be stale does not count as fresh', async () => {
	const ending = new AbortController();
	const seen: Array<boolean | undefined> = [];
	const lists = makeLists({
		source: {
			list(options) {
				seen.push(options?.mayBeStale);
				return answerList([makeRegistration({id: 'e1'})]);
			},
		},
		isHolder: () => false,
	});
	lists.start(ending.signal);
	await nextTurn();
	assert.deepEqual(seen, [true]);
	assert.equal(lists.isFresh(), false);
	await lists.refresh();
	assert.deepEqual(seen, [true, false]);
	assert.ok(lists.isFresh());
	ending.abort();
});

// Another program leaves a registration that looks like an executor's, of a service that the
// configuration does not name. If it were used, calls to it would stay without an answer, and each
// new holder of the group would wait for that answer.
test('an executor of a service that the configuration does not name is not listed, and is logged once', async () => {
	const logged: string[] = [];
	const lists = makeLists({
		source: {
			list: () =>
				answerList([
					makeRegistration({id: 'e1'}),
					makeRegistration({id: 'e2', service: 'unknown'}),
				]),
		},
		isKnownService: (service) => service === 'meals',
		log(message) {
			logged.push(message);
		},
	});
	await lists.refresh();
	await lists.refresh();
	assert.deepEqual(
		lists.list().map(({id}) => id),
		['e1'],
	);
	assert.deepEqual(logged, [
		'executor ignored: the configuration does not name its service',
	]);
});

// A stale read after a fresh one brings an older registration of the executor. Guards against
// starts that exceed its present capacity.
test('an older registration of an executor does not bring back its former capacity', async () => {
	let now = 0;
	const makeVersion = (
		sequence: number,
		cpu: number,
	): ExecutorRegistration => ({
		...makeRegistration({id: 'e1'}),
		capacity: {cpu, memoryMb: 1000, accelerators: 0},
		sequence,
		revision: sequence + 10,
	});
	let listed = makeVersion(7, 8000);
	const lists = makeLists({
		source: {list: () => answerList([listed])},
		now: () => now,
	});
	const read = async () => {
		now += 1000;
		await lists.refresh();
		return lists
			.list()
			.map(({capacity, capacityReadAt}) => [capacity.cpu, capacityReadAt]);
	};

	assert.deepEqual(await read(), [[8000, 1000]]);
	listed = makeVersion(6, 32_000);
	assert.deepEqual(await read(), [[8000, 1000]]);
	assert.deepEqual(await read(), [[8000, 1000]]);
	assert.deepEqual(await read(), [[8000, 1000]]);
	assert.deepEqual(await read(), [[8000, 1000]]);
	listed = makeVersion(7, 8000);
	assert.deepEqual(await read(), [[8000, 1000]]);
	listed = makeVersion(8, 16_000);
	assert.deepEqual(await read(), [[16_000, 7000]]);
});

// A delayed write replaces a newer one in the store; an executor that starts its numbering again
// looks the same. Guards against taking the delayed write for the newest, and against never
// accepting a registration again.
test('a newer write with a lower sequence number counts once such numbers persist', async () => {
	let now = 0;
	let listed: ExecutorRegistration = {
		...makeRegistration({id: 'e1'}),
		sequence: 900,
		revision: 10,
	};
	const lists = makeLists({
		source: {list: () => answerList([listed])},
		now: () => now,
	});
	const read = async () => {
		await lists.refresh();
		return lists.list().map(({capacity}) => capacity.cpu);
	};

	assert.deepEqual(await read(), [32_000]);
	const capacity = {cpu: 8000, memoryMb: 1000, accelerators: 0};
	listed = {...listed, capacity, sequence: 5, revision: 11};
	assert.deepEqual(await read(), [32_000]);
	now = 2000;
	assert.deepEqual(await read(), [32_000]);
	now = 2600;
	listed = {...listed, sequence: 7, revision: 13};
	assert.deepEqual(await read(), [8000]);
});

// Guards against losing an executor because of one unusable capacity, and against scheduling on an
// executor whose capacity is not known.
test('an unusable capacity leaves the last usable one in force, and without one the executor is not listed', async () => {
	let listed: ExecutorRegistration[] = [
		makeRegistration({id: 'e1', sequence: 1}),
		makeRegistration({id: 'e2', capacity: undefined, sequence: 1}),
	];
	const lists = makeLists({source: {list: () => answerList(listed)}});
	const read = async () => {
		await lists.refresh();
		return lists
			.list()
			.map(({id, capacity, isDraining}) => [id, capacity.cpu, isDraining]);
	};

	assert.deepEqual(await read(), [['e1', 32_000, false]]);
	listed = listed.map((registration) => ({
		...registration,
		capacity: undefined,
		isDraining: true,
		sequence: 2,
	}));
	assert.deepEqual(await read(), [['e1', 32_000, true]]);
	listed = [
		makeRegistration({id: 'e1'}),
		makeRegistration({id: 'e2', sequence: 3}),
	];
	assert.deepEqual(await read(), [
		['e1', 32_000, false],
		['e2', 32_000, false],
	]);
});

// Guards against starts next to tasks of unknown size on executors that would not refuse them.
test('executors are listed as enforcing their capacity if the configuration says that their service enforces limits', async () => {
	let isCapacityEnforced = false;
	const lists = makeLists({
		source: {
			list: () => answerList([makeRegistration({id: 'e1', sequence: 1})]),
		},
		isCapacityEnforcingService: () => isCapacityEnforced,
	});
	await lists.refresh();
	assert.deepEqual(
		lists.list().map((executor) => executor.isCapacityEnforced),
		[false],
	);
	isCapacityEnforced = true;
	await lists.refresh();
	assert.deepEqual(
		lists.list().map((executor) => executor.isCapacityEnforced),
		[true],
	);
});
