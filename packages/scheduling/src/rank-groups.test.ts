/**
In which order entries offer jobs to groups.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDraw} from '@gentianshift/standins';
import {takeFits} from './free-capacity.js';
import {rankGroups} from './rank-groups.js';
import {type OpenGroup} from './place-job.js';

const cpu = 8000;
const request = {
	home: 'mieres',
	count: 2,
	demand: {cpu, memoryMb: 64, accelerators: 0},
};

function makeGroup(group: string, slots: number): OpenGroup {
	const [dataCentre] = group.split('--', 1);
	return {
		group,
		dataCentre: dataCentre!,
		free: Array.from({length: slots}, () => cpu),
		capacity: slots * cpu,
		backlog: [],
		lateBacklog: [],
		running: [],
	};
}

function listOrder(groups: readonly OpenGroup[], random = () => 0.5): string[] {
	return rankGroups(groups, request, random).map(({group}) => group);
}

test('all groups of the own data centre go before those of others', () => {
	const groups = [
		makeGroup('langreo', 40),
		makeGroup('mieres', 2),
		makeGroup('mieres--2', 2),
	];
	assert.equal(listOrder(groups).at(-1), 'langreo');
});

test('of other data centres the one with more free capacity goes first', () => {
	const groups = [
		makeGroup('tineo', 4),
		makeGroup('langreo--2', 9),
		makeGroup('langreo', 1),
		makeGroup('mieres', 0),
	];
	assert.deepEqual(listOrder(groups), [
		'mieres',
		'langreo--2',
		'langreo',
		'tineo',
	]);
});

// Guards against jobs that are split although one group has room for all of their tasks.
test('a group that can start the whole job goes before one that can not', () => {
	const groups = [makeGroup('mieres', 1), makeGroup('mieres--2', 2)];
	for (const random of [() => 0.01, () => 0.99]) {
		assert.equal(listOrder(groups, random)[0], 'mieres--2');
	}
});

// Guards against a herd: ten entries that have read the same states send all jobs of the next 150 ms to the group that
// was the emptiest, and fill its queue while the other group has room.
test('entries with the same knowledge spread their jobs in proportion to the room', () => {
	const draw = createDraw(5);
	const states = [makeGroup('mieres', 60), makeGroup('mieres--2', 40)];
	const sent = new Map<string, number>();
	for (let entry = 0; entry < 10; entry += 1) {
		let known = states;
		for (let job = 0; job < 4; job += 1) {
			const [first] = rankGroups(known, request, () => draw.drawUniform());
			sent.set(first!.group, (sent.get(first!.group) ?? 0) + request.count);
			known = known.map((group) =>
				group.group === first!.group
					? {...group, free: takeFits(group.free, cpu, request.count)}
					: group,
			);
		}
	}

	for (const {group, free} of states) {
		const tasks = sent.get(group) ?? 0;
		assert.ok(tasks <= free.length, `${group} was sent ${tasks} tasks`);
	}
});
