/**
Messages between hosts that are held up, and hosts whose clock stood still.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createClockOffset} from './clock-offset.js';

// A data centre was cut off for a second and a half. What was sent into the connection meanwhile
// arrives at its end, and would start work that its sender no longer waits for.
test('a message that was held up is seen to be late', () => {
	const offset = createClockOffset();
	offset.toOwnClock(1000, 5001);
	offset.toOwnClock(1200, 5202);
	assert.equal(6800 - offset.toOwnClock(1300, 6800), 1499);
});

// A host's machine was suspended for a second; its steady clock did not count it. Taken for late
// for ever, all its callers' jobs would be turned away.
test('a sender whose clock stood still is believed again after a few seconds', () => {
	const offset = createClockOffset();
	let sentAt = 1000;
	let now = 5000;
	for (let i = 0; i < 20; i += 1) {
		offset.toOwnClock((sentAt += 200), (now += 200));
	}

	now += 1000;
	for (let i = 0; i < 40; i += 1) {
		offset.toOwnClock((sentAt += 200), (now += 200));
	}

	assert.equal(now - offset.toOwnClock(sentAt, now), 0);
});
