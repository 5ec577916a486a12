/**
Which data centres a host takes to be evacuated, while messages are late and the store can't be read.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createStrictBackground,
	VirtualClock,
} from '@gentianshift/scheduling/fixtures';
import {createEvacuations} from './evacuations.js';

function createRecorded() {
	const clock = new VirtualClock();
	const lines: string[] = [];
	const changes = {count: 0};
	const evacuations = createEvacuations({
		onChange() {
			changes.count += 1;
		},
		wait: clock.wait,
		background: createStrictBackground(),
		log(message) {
			lines.push(message);
		},
	});
	return {clock, evacuations, lines, changes};
}

test('a data centre is evacuated until operators take it back', () => {
	const {evacuations, lines} = createRecorded();
	evacuations.applyRead({evacuated: [], revision: 5});
	assert.equal(evacuations.getPermission('mieres'), 'granted');
	evacuations.applyChange({
		evacuationChanges: [
			{dataCentre: 'mieres', isEvacuated: true, revision: 7},
			{dataCentre: 'tineo', isEvacuated: true, revision: 8},
		],
		revision: 9,
	});
	assert.equal(evacuations.getPermission('mieres'), 'evacuated');
	assert.equal(evacuations.getPermission('langreo'), 'granted');
	evacuations.applyChange({
		evacuationChanges: [
			{dataCentre: 'mieres', isEvacuated: false, revision: 11},
		],
		revision: 11,
	});
	assert.equal(evacuations.getPermission('mieres'), 'granted');
	assert.deepEqual(evacuations.list(), ['tineo']);
	assert.deepEqual(lines, [
		'data centre is evacuated',
		'data centre is evacuated',
		'data centre is taken back',
	]);
});

// Guards against a late message that undoes a newer evacuation, or a newer end of one.
test('a list of an earlier revision changes nothing', () => {
	const {evacuations, changes} = createRecorded();
	evacuations.receive({revision: 20, dataCentres: ['mieres']});
	evacuations.receive({revision: 12, dataCentres: []});
	evacuations.applyRead({evacuated: [], revision: 19});
	assert.deepEqual(evacuations.list(), ['mieres']);
	evacuations.receive({revision: 30, dataCentres: []});
	evacuations.receive({revision: 20, dataCentres: ['mieres']});
	assert.deepEqual(evacuations.list(), []);
	assert.equal(changes.count, 2);
});

// Guards against a watch that brings a change again which a peer's newer list has undone.
test('a change that a peer’s list already holds is not applied again', () => {
	const {evacuations} = createRecorded();
	evacuations.applyRead({evacuated: [], revision: 5});
	evacuations.receive({revision: 9, dataCentres: ['tineo']});
	evacuations.applyChange({
		evacuationChanges: [
			{dataCentre: 'mieres', isEvacuated: true, revision: 7},
			{dataCentre: 'mieres', isEvacuated: false, revision: 8},
			{dataCentre: 'langreo', isEvacuated: true, revision: 10},
		],
		revision: 10,
	});
	assert.deepEqual(evacuations.list(), ['tineo', 'langreo']);
});

// Guards against a data centre that stays evacuated because its end fell into history that the store has discarded.
test('a read after lost history ends evacuations that are no longer listed', () => {
	const {evacuations} = createRecorded();
	evacuations.applyRead({evacuated: ['mieres'], revision: 5});
	evacuations.applyRead({evacuated: ['tineo'], revision: 40});
	assert.deepEqual(evacuations.list(), ['tineo']);
});

// Guards against a host that has just started and places work where operators want none, and against one that
// never starts anything as neither the store nor a peer answers.
test('nothing is started before the first list, or before the time for it is over', async () => {
	const {clock, evacuations, lines, changes} = createRecorded();
	const ending = new AbortController();
	evacuations.start(ending.signal);
	assert.equal(evacuations.getPermission('mieres'), 'unknown');
	await clock.run(1900);
	assert.equal(evacuations.getPermission('mieres'), 'unknown');
	await clock.run(200);
	assert.equal(evacuations.getPermission('mieres'), 'granted');
	assert.deepEqual(lines, ['evacuations are not known: none is assumed']);
	assert.equal(changes.count, 1);
	evacuations.receive({revision: 3, dataCentres: ['mieres']});
	assert.equal(evacuations.getPermission('mieres'), 'evacuated');
});

test('the first list is told also when it is empty, and later ones only when they differ', () => {
	const {evacuations, changes} = createRecorded();
	assert.equal(evacuations.getList(), undefined);
	evacuations.applyRead({evacuated: [], revision: 5});
	evacuations.applyChange({evacuationChanges: [], revision: 6});
	assert.equal(changes.count, 1);
	assert.deepEqual(evacuations.getList(), {revision: 6, dataCentres: []});
});
