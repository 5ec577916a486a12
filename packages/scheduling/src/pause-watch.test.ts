/**
Tests of a process's word on its own pauses.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {acceptLimitMs, createPauseWatch, longPauseMs} from './pause-watch.js';

function openProcess() {
	const clock = {now: 1000};
	const reads: Array<() => void> = [];
	const logged: string[] = [];
	let caughtUpCount = 0;
	const watch = createPauseWatch({
		readBootTime: () => clock.now,
		waitForReads(onRead) {
			reads.push(onRead);
		},
		onCaughtUp() {
			caughtUpCount += 1;
		},
		log(message) {
			logged.push(message);
		},
	});
	return {
		clock,
		watch,
		logged,
		endRead(index: number) {
			reads[index]!();
		},
		countCaughtUp: () => caughtUpCount,
	};
}

test('a process whose timers are late by less than a long pause has nothing to catch up with', () => {
	const {clock, watch, logged} = openProcess();
	for (let i = 0; i < 5; i += 1) {
		clock.now += longPauseMs;
		watch.markRunning();
		assert.ok(!watch.isCatchingUp());
		assert.equal(watch.measureUnreadMs(0), 0);
	}

	assert.deepEqual(logged, []);
});

// Guards against a request that is read before any timer has run after a pause, and counts as new.
test('a pause is noticed without a timer, and lasts until all that arrived has been read', () => {
	const {clock, watch, endRead, countCaughtUp} = openProcess();
	clock.now += 4000;
	assert.ok(watch.isCatchingUp());
	clock.now += 20;
	assert.equal(watch.measureUnreadMs(1), 4020);
	watch.markRunning();
	assert.ok(watch.isCatchingUp());
	endRead(0);
	assert.ok(!watch.isCatchingUp());
	assert.equal(watch.measureUnreadMs(1), 0);
	assert.equal(countCaughtUp(), 1);
});

// Guards against what arrives during a second pause counting as read when the reads after the first one end.
test('a process that is paused again while it catches up reads on', () => {
	const {clock, watch, endRead, countCaughtUp} = openProcess();
	clock.now += 2000;
	watch.markRunning();
	clock.now += 3000;
	watch.markRunning();
	endRead(0);
	assert.equal(watch.measureUnreadMs(1), 5000);
	endRead(1);
	assert.ok(!watch.isCatchingUp());
	assert.equal(countCaughtUp(), 1);
});

// Guards against a request whose connection is accepted late after a pause, and which counts as newer than a copy that has been sent since.
test('the first request of a connection may have lain unread until all connections are accepted', () => {
	const {clock, watch, endRead} = openProcess();
	clock.now += 4000;
	watch.markRunning();
	endRead(0);
	for (let passedMs = 0; passedMs < acceptLimitMs; passedMs += 50) {
		assert.equal(watch.measureUnreadMs(0), 4000 + passedMs);
		assert.equal(watch.measureUnreadMs(1), 0);
		clock.now += 50;
		watch.markRunning();
	}

	assert.equal(watch.measureUnreadMs(0), 0);
});

// Guards against requests that waited while the program was loaded, and count as newer than their callers' later copies.
test('connections that waited for the program to load may hold old requests, and delay no job', () => {
	const {watch} = openProcess();
	watch.markUnaccepted(900);
	assert.equal(watch.measureUnreadMs(0), 900);
	assert.ok(!watch.isCatchingUp());
});
