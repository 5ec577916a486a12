/**
The lists of executors while the store loses entries for a while.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {type Executor} from '@gentianshift/scheduling';
import {waitFor} from '../timers.js';
import {createExecutorLists} from './executor-lists.js';

function makeExecutor(id: string): Executor {
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
	readList: () => Executor[],
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
	const answers: Array<(list: Executor[]) => void> = [];
	const ending = new AbortController();
	const lists = makeLists({
		source: {
			list: () =>
				ResultAsync.fromSafePromise(
					new Promise<Executor[]>((resolve) => {
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
