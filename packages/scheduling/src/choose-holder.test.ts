/**
When a group counts as vacant, and how long each host waits before it takes the group over.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	computeTakeoverDelay,
	holderSilenceMs,
	isVacant,
	storeSilenceMs,
	type HolderView,
} from './choose-holder.js';

function makeView(
	holder: Partial<NonNullable<HolderView['holder']>> = {},
): HolderView {
	return {
		holder: {
			isSelf: false,
			isReleased: false,
			isLeaving: false,
			silentMs: 0,
			storeAgeMs: 0,
			...holder,
		},
		ownStoreAgeMs: 0,
		isOwnListComplete: true,
	};
}

test('a holder whose state arrives keeps its group', () => {
	assert.equal(isVacant(makeView()), false);
	assert.equal(isVacant(makeView({silentMs: holderSilenceMs})), false);
});

test('a group is vacant if its holder is unknown, silent, leaving or has released it', () => {
	assert.ok(isVacant(makeView({silentMs: holderSilenceMs + 1})));
	assert.ok(isVacant(makeView({isLeaving: true})));
	assert.ok(isVacant(makeView({isReleased: true})));
	assert.ok(isVacant({ownStoreAgeMs: 0, isOwnListComplete: false}));
});

// A holder that is cut off only from the store does not see executors drain. While the store is down for all hosts,
// another holder would be no better off.
test('a holder that can not reach the store loses its group only to a host that can', () => {
	const storelessView = makeView({storeAgeMs: storeSilenceMs + 1});
	assert.ok(isVacant(storelessView));
	assert.equal(
		isVacant({...storelessView, ownStoreAgeMs: storeSilenceMs + 1}),
		false,
	);
});

// After a store outage one host reaches the store a moment before the holder does. Executors' registrations have lapsed
// meanwhile. A host that took the group over with its first list would find no executor there, and would refuse
// the data centre's callers until executors have registered again.
test('a holder that can not reach the store yet keeps its group while the other host’s list is incomplete', () => {
	const storelessView = makeView({storeAgeMs: storeSilenceMs + 1});
	assert.equal(isVacant({...storelessView, isOwnListComplete: false}), false);
});

test('hosts try one after the other, and later while the store is unreachable', () => {
	const first = computeTakeoverDelay(0, {isStoreReached: true});
	const second = computeTakeoverDelay(1, {isStoreReached: true});
	const storeless = computeTakeoverDelay(0, {isStoreReached: false});
	assert.equal(first, 0);
	assert.ok(second > first);
	assert.ok(storeless > second);
});
