/**
The clock that counts suspensions.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createBootClock} from './boot-clock.js';

function createClocks() {
	const clocks = {steady: 1000, wall: 1_700_000_000_000};
	const readBootTime = createBootClock({
		readSteadyClock: () => clocks.steady,
		readWallClock: () => clocks.wall,
	});
	const pass = (steadyMs: number, wallMs = steadyMs) => {
		clocks.steady += steadyMs;
		clocks.wall += wallMs;
	};

	return {readBootTime, pass};
}

// Guards against a host that takes what it was granted before a suspension for fresh.
test('the time of a suspension is counted', () => {
	const {readBootTime, pass} = createClocks();
	pass(500);
	const before = readBootTime();
	pass(2, 4002);
	assert.equal(readBootTime() - before, 4002);
});

// Guards against claims that end because the time of day is slewed, a little at a time.
test('a time of day that drifts is not taken for a suspension', () => {
	const {readBootTime, pass} = createClocks();
	const before = readBootTime();
	for (let i = 0; i < 100; i += 1) {
		pass(50, 51);
		readBootTime();
	}

	assert.equal(readBootTime() - before, 5000);
});

// Guards against a clock that goes back, and so makes old words fresh again.
test('a time of day that is set back and forward again never takes time away', () => {
	const {readBootTime, pass} = createClocks();
	const before = readBootTime();
	pass(50, -2000);
	assert.equal(readBootTime() - before, 50);
	pass(50, 2100);
	assert.ok(readBootTime() - before >= 100);
});
