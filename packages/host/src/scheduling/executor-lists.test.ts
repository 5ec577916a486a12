/**
The lists of executors while the store loses entries for a while.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {type ExecutorWord} from '@gentianshift/scheduling';
import {waitFor} from '../timers.js';
import {createExecutorLists} from './executor-lists.js';

function makeExecutor(id: string): ExecutorWord {
	return {
		id,
		address: '10.0.0.1:8000',
		dataCentre: 'mieres',
		service: 'meals',
		isDraining: false,
		capacity: {cpu: 32_000, memoryMb: 1000, accelerators: 0},
	};
}

type ListsOptions = Parameters<typeof createExecutorLists>[0];

/** Lists of a host that holds its group, at the begin of time; what the test is about is given. */
function makeLists(
	options: Pick<ListsOptions, 'source'> & Partial<ListsOptions>,
) {
	return createExecutorLists({
		isHolder: () => true,
		isNamedService: () => true,
		isGuardedService: () => true,
		onList() {
			// Read by the test itself.
		},
		now: () => 0,
		wait: waitFor,
		random: () => 0,
		log() {
			// Not read.
		},
		...options,
	});
}

function createLists(
	readList: () => ExecutorWord[],
	now: () => number,
	isDown = () => false,
) {
	const ending = new AbortController();
	const lists = makeLists({
		source: {
			list: () =>
				isDown()
					? errAsync({code: 'unavailable', message: 'down'})
					: okAsync(readList()),
		},
		now,
	});
	lists.start(ending.signal);
	return {
		async read() {
			await lists.readNow();
			return lists.list().map(({id}) => id);
		},
		isComplete: () => lists.isComplete(),
		end() {
			ending.abort();
		},
	};
}

// A data centre was cut off from the store and its executors' entries lapsed. The first list after
// the cut lacks them though they run tasks; a host that took the group over with that list started
// tasks a second time beside them.
test('an executor that is missing from a list stays in force for as long as entries take to come back', async () => {
	let now = 0;
	let listed = [makeExecutor('e1'), makeExecutor('e2')];
	const {read, end} = createLists(
		() => listed,
		() => now,
	);
	assert.deepEqual(await read(), ['e1', 'e2']);
	listed = [makeExecutor('e1')];
	now = 1000;
	assert.deepEqual(await read(), ['e1', 'e2']);
	listed = [makeExecutor('e1'), makeExecutor('e2')];
	now = 2000;
	assert.deepEqual(await read(), ['e1', 'e2']);
	listed = [makeExecutor('e1')];
	now = 4000;
	assert.deepEqual(await read(), ['e1', 'e2']);
	now = 6600;
	assert.deepEqual(await read(), ['e1']);
	end();
});

// A host starts during an outage of the store, or sees its end. The first lists lack executors whose
// entries have lapsed and that run tasks all the same.
test('lists count as complete only some time after the last read that failed', async () => {
	let now = 0;
	let isDown = false;
	const {read, isComplete, end} = createLists(
		() => [makeExecutor('e1')],
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

// A host takes a group over while the cheap read that it began before is still under way. That one's answer is seconds old and comes last; it
// lacks an executor that has come since and runs tasks.
test('an older read that is answered later changes nothing', async () => {
	const answers: Array<(list: ExecutorWord[]) => void> = [];
	const ending = new AbortController();
	const lists = makeLists({
		source: {
			list: () =>
				ResultAsync.fromSafePromise(
					new Promise<ExecutorWord[]>((resolve) => {
						answers.push(resolve);
					}),
				),
		},
		isHolder: () => false,
	});
	lists.start(ending.signal);
	const reading = lists.readNow();
	answers[1]!([makeExecutor('e1'), makeExecutor('e2')]);
	await reading;
	assert.ok(lists.isFresh());
	answers[0]!([makeExecutor('e1')]);
	await nextTurn();
	assert.deepEqual(
		lists.list().map(({id}) => id),
		['e1', 'e2'],
	);
	assert.ok(lists.isFresh());
	ending.abort();
});

// A host that does not hold a group reads cheaply, and what it gets may be seconds old. Taking the group over without the store it knows of no
// executor that has come since, and must not take their silence for a word.
test('a list that may be old does not count as fresh', async () => {
	const ending = new AbortController();
	const seen: Array<boolean | undefined> = [];
	const lists = makeLists({
		source: {
			list(options) {
				seen.push(options?.mayBeStale);
				return okAsync([makeExecutor('e1')]);
			},
		},
		isHolder: () => false,
	});
	lists.start(ending.signal);
	await nextTurn();
	assert.deepEqual(seen, [true]);
	assert.equal(lists.isFresh(), false);
	await lists.readNow();
	assert.deepEqual(seen, [true, false]);
	assert.ok(lists.isFresh());
	ending.abort();
});

// Another writer leaves an entry that looks like an executor's, of a service that the configuration does not name. Followed all the same, it would
// be asked in vain, and each group that changes hands would wait for its answer.
test('an executor of a service that nobody named is not listed, and logged once', async () => {
	const logged: string[] = [];
	const lists = makeLists({
		source: {
			list: () =>
				okAsync([
					makeExecutor('e1'),
					{...makeExecutor('e2'), service: 'nobodys'},
				]),
		},
		isNamedService: (service) => service === 'meals',
		log(message) {
			logged.push(message);
		},
	});
	await lists.readNow();
	await lists.readNow();
	assert.deepEqual(
		lists.list().map(({id}) => id),
		['e1'],
	);
	assert.deepEqual(logged, ['executor of a service that nobody named']);
});

// Guards against starts for the room of before: a cheap read after a fresh one brings an older word of the executor.
test('an older word of an executor does not bring back its former capacity', async () => {
	let now = 0;
	const word = (sequence: number, cpu: number): ExecutorWord => ({
		...makeExecutor('e1'),
		capacity: {cpu, memoryMb: 1000, accelerators: 0},
		sequence,
		revision: sequence + 10,
	});
	let listed = word(7, 8000);
	const lists = makeLists({
		source: {list: () => okAsync([listed])},
		now: () => now,
	});
	const read = async () => {
		now += 1000;
		await lists.readNow();
		return lists.list().map(({capacity, saidAt}) => [capacity.cpu, saidAt]);
	};

	assert.deepEqual(await read(), [[8000, 1000]]);
	listed = word(6, 32_000);
	assert.deepEqual(await read(), [[8000, 1000]]);
	assert.deepEqual(await read(), [[8000, 1000]]);
	assert.deepEqual(await read(), [[8000, 1000]]);
	assert.deepEqual(await read(), [[8000, 1000]]);
	listed = word(7, 8000);
	assert.deepEqual(await read(), [[8000, 1000]]);
	listed = word(8, 16_000);
	assert.deepEqual(await read(), [[16_000, 7000]]);
});

// Guards against a write that was held up and undoes the newer one, and against words that are never taken again after it.
test('a word with a lower number that the store took later counts once it stays', async () => {
	let now = 0;
	let listed: ExecutorWord = {
		...makeExecutor('e1'),
		sequence: 900,
		revision: 10,
	};
	const lists = makeLists({
		source: {list: () => okAsync([listed])},
		now: () => now,
	});
	const read = async () => {
		await lists.readNow();
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

// Guards against an executor that is lost, or takes part with room that nobody knows, for one bad word on its capacity.
test('where a capacity can not be used the last good one holds, and without one nothing is listed', async () => {
	let listed: ExecutorWord[] = [
		{...makeExecutor('e1'), sequence: 1},
		{...makeExecutor('e2'), capacity: undefined, sequence: 1},
	];
	const lists = makeLists({source: {list: () => okAsync(listed)}});
	const read = async () => {
		await lists.readNow();
		return lists
			.list()
			.map(({id, capacity, isDraining}) => [id, capacity.cpu, isDraining]);
	};

	assert.deepEqual(await read(), [['e1', 32_000, false]]);
	listed = listed.map((word) => ({
		...word,
		capacity: undefined,
		isDraining: true,
		sequence: 2,
	}));
	assert.deepEqual(await read(), [['e1', 32_000, true]]);
	listed = [makeExecutor('e1'), {...makeExecutor('e2'), sequence: 3}];
	assert.deepEqual(await read(), [
		['e1', 32_000, false],
		['e2', 32_000, false],
	]);
});

// Guards against starts beside runs of unknown size on executors that would not refuse them.
test('executors of a service are listed as its configuration says that they guard their capacity', async () => {
	let isGuarded = false;
	const lists = makeLists({
		source: {list: () => okAsync([{...makeExecutor('e1'), sequence: 1}])},
		isGuardedService: () => isGuarded,
	});
	await lists.readNow();
	assert.deepEqual(
		lists.list().map((executor) => executor.isGuarded),
		[false],
	);
	isGuarded = true;
	await lists.readNow();
	assert.deepEqual(
		lists.list().map((executor) => executor.isGuarded),
		[true],
	);
});
