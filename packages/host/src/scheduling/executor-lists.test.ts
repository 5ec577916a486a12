/**
The lists of executors while the store loses entries for a while.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {okAsync} from 'neverthrow';
import {type Executor} from '@gentianshift/scheduling';
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

function createLists(readList: () => Executor[], now: () => number) {
	const ending = new AbortController();
	const lists = createExecutorLists({
		source: {list: () => okAsync(readList())},
		isHolder: () => true,
		onList() {
			// Read by the test itself.
		},
		now,
		random: () => 0,
		log() {
			// Not read.
		},
	});
	lists.start(ending.signal);
	return {
		async read() {
			await lists.readNow();
			return lists.list().map(({id}) => id);
		},
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
