/**
How many groups a data centre has, and which executors belong to each.
*/
import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {test} from 'node:test';
import {
	chooseExecutorGroup,
	chooseGroupCount,
	listGroupNames,
	type GroupCountInput,
} from './group-layout.js';

function hash(text: string): bigint {
	return createHash('sha256').update(text).digest().readBigUInt64BE(0);
}

function makeInput(input: Partial<GroupCountInput>): GroupCountInput {
	return {
		executors: 82,
		cores: [1.35, 1.35, ...Array.from({length: 8}, () => 0.324)],
		current: 1,
		maxGroups: 16,
		...input,
	};
}

function assignAll(count: number, groups: number): string[] {
	const names = listGroupNames('mieres', groups);
	return Array.from({length: count}, (_, i) =>
		chooseExecutorGroup(`i-${i}`, names, hash),
	);
}

// Guards against small deployments that pay for schedulers they do not need.
test('a data centre that one host can schedule has one group', () => {
	const cores = [0.675, 0.675, 0.675];
	assert.equal(chooseGroupCount(makeInput({executors: 11, cores})), 1);
	assert.equal(chooseGroupCount(makeInput({executors: 0, cores: []})), 1);
});

// Guards against a burst in which all starts of a data centre wait for one host's processor while its equal is idle.
test('more executors than one host can schedule are divided among the strong hosts', () => {
	assert.equal(chooseGroupCount(makeInput({})), 2);
	assert.equal(
		chooseGroupCount(makeInput({executors: 160})),
		2,
		'no group for a host with a quarter of the cores',
	);
});

// Guards against groups in which no job of eight tasks fits.
test('weak hosts get groups of some size', () => {
	const cores = Array.from({length: 9}, () => 0.12);
	assert.equal(chooseGroupCount(makeInput({executors: 17, cores})), 2);
});

test('operators limit the number of groups', () => {
	assert.equal(chooseGroupCount(makeInput({maxGroups: 1})), 1);
});

// Guards against executors that change hands whenever hosts are restarted.
test('the number of groups does not fall while hosts are away', () => {
	const cores = [1.35, 0.324];
	assert.equal(chooseGroupCount(makeInput({cores, current: 2})), 2);
});

// Guards against a group that is twice as large as another one, whose holder would be the first to fall behind.
test('groups are of similar size', () => {
	for (const groups of [2, 3, 5]) {
		const assigned = assignAll(600, groups);
		for (const name of new Set(assigned)) {
			const size = assigned.filter((one) => one === name).length;
			const share = (size * groups) / assigned.length;
			assert.ok(share > 0.75 && share < 1.25, `${name}: ${share}`);
		}
	}
});

// Guards against a division that interrupts executors whose group does not change.
test('one group more takes executors from the others and moves none between them', () => {
	const before = assignAll(600, 2);
	const after = assignAll(600, 3);
	for (const [i, group] of after.entries()) {
		assert.ok(group === before[i] || group === 'mieres--3');
	}
});
