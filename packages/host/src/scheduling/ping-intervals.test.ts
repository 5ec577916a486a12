/**
How often peers are pinged, by what this host waits for.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type KnownGroup} from '@gentianshift/scheduling';
import {
	choosePingInterval,
	createSilenceWatch,
	pingIntervals,
	type PingContext,
} from './ping-intervals.js';

const now = 100_000;

function makeGroup(group: string, lastHeardAt = now - 100): KnownGroup {
	return {
		holder: `${group}_h1`,
		lastHeardAt,
		receivedAt: lastHeardAt,
		free: [],
		state: {
			t: 'group-state',
			group,
			token: 1,
			at: lastHeardAt,
			isLeaving: false,
			isReleased: false,
			storeAgeMs: 0,
			free: [],
			capacity: 1000,
			backlog: [],
			lateBacklog: [],
			running: [],
		},
	};
}

function makeContext(changes: Partial<PingContext> = {}): PingContext {
	return {
		dataCentre: 'mieres',
		isHolder: false,
		groups: [makeGroup('mieres'), makeGroup('langreo')],
		hasTasksIn: () => false,
		now,
		...changes,
	};
}

// Guards against callers whose tasks are at a holder behind a connection that has gone silent.
test('a holder that has tasks of this host is pinged often', () => {
	const context = makeContext({hasTasksIn: (group) => group === 'langreo'});
	const {awaitedMs, holderMs} = pingIntervals;
	assert.equal(choosePingInterval('langreo_h1', context), awaitedMs);
	assert.equal(choosePingInterval('langreo_h1', makeContext()), holderMs);
	assert.equal(choosePingInterval('mieres_h1', makeContext()), awaitedMs);
});

// Guards against a holder that goes on scheduling while its states reach nobody near it.
test('a holder pings the hosts of its data centre often', () => {
	const context = makeContext({isHolder: true});
	assert.equal(
		choosePingInterval('mieres_h2', context),
		pingIntervals.awaitedMs,
	);
	assert.equal(
		choosePingInterval('langreo_h2', context),
		pingIntervals.holderMs,
	);
});

// A data centre is cut off. Guards against hosts that take others for reachable long after the
// holder's states have stopped, and against pings that stay frequent once it is gone for good.
test('all peers are pinged often for some seconds after a holder has fallen silent', () => {
	const atAge = (ageMs: number) =>
		choosePingInterval(
			'tineo_h9',
			makeContext({groups: [makeGroup('langreo', now - ageMs)]}),
		);
	assert.equal(atAge(100), pingIntervals.idleMs);
	assert.equal(atAge(700), pingIntervals.awaitedMs);
	assert.equal(atAge(9900), pingIntervals.awaitedMs);
	assert.equal(atAge(10_100), pingIntervals.idleMs);
});

// Guards against a cut that is noticed by a heartbeat later than the holder's silence, once for each host behind it.
test('a holder that falls silent is told once, and again when it was heard meanwhile', () => {
	const watchSilence = createSilenceWatch();
	const tellAtAges = (...agesMs: number[]) =>
		watchSilence(
			agesMs.map((ageMs, i) => makeGroup(`centre${i}`, now - ageMs)),
			now,
		);
	assert.equal(tellAtAges(100, 100), false);
	assert.equal(tellAtAges(700, 100), true);
	assert.equal(tellAtAges(880, 100), false);
	assert.equal(tellAtAges(1060, 700), true);
	assert.equal(tellAtAges(100, 880), false);
	assert.equal(tellAtAges(700, 1060), true);
	assert.equal(tellAtAges(10_100, 10_100), false);
});
