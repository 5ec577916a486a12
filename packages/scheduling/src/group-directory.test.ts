/**
Tests of which groups new tasks are placed in while a holder falls silent.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createGroupDirectory} from './group-directory.js';
import {makeState} from './group-state.fixture.js';
import {placeJob} from './place-job.js';
import {stateIntervalMs, stateStaleMs} from './timing.js';

function choosePlace(
	groups: ReturnType<typeof createGroupDirectory>,
	now: number,
): string[] {
	const spread = placeJob(groups.listOpen(now), {
		count: 2,
		demand: {cpu: 14_000, memoryMb: 64, accelerators: 0},
		priority: 0,
		estimateMs: 60,
		isLate: false,
		home: 'mieres',
		limitMs: 200,
		random: () => 0.5,
	});
	return spread.type === 'placed' ? [...spread.shares.keys()] : [];
}

// A scheduler's machine freezes. For six tenths of a second its last state still shows free capacity, and a job placed there is
// lost although the next data centre, a millisecond away, has some.
test('a group whose states are missing gets no tasks while another group has free capacity', () => {
	const groups = createGroupDirectory();
	groups.update('mieres_m1', makeState('mieres'), 0);
	groups.update('langreo_l1', makeState('langreo'), 0);
	assert.deepEqual(choosePlace(groups, stateIntervalMs), ['mieres']);
	groups.update('langreo_l1', makeState('langreo'), 400);
	assert.deepEqual(choosePlace(groups, 400), ['langreo']);
});

test('a group whose states are missing gets tasks if there is no other group', () => {
	const groups = createGroupDirectory();
	groups.update('mieres_m1', makeState('mieres'), 0);
	assert.deepEqual(choosePlace(groups, 400), ['mieres']);
	assert.deepEqual(choosePlace(groups, stateStaleMs + 1), []);
});

// An old state arrives late, over a connection that has broken since. It does not show that the holder is alive.
test('a state that was overtaken by a newer one is ignored', () => {
	const groups = createGroupDirectory();
	groups.update('mieres_m1', makeState('mieres', {at: 300}), 0);
	const late = makeState('mieres', {at: 150, isReleased: true});
	assert.equal(groups.update('mieres_m1', late, 1000), false);
	const known = groups.findGroup('mieres');
	assert.equal(known?.receivedAt, 0);
	assert.equal(known.state.isReleased, false);
});
