import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeLine} from './compute-line.js';

test('points on a line give it back without error', () => {
	const points = [1, 2, 4, 8].map((x) => ({x, y: 3 + 2 * x}));
	assert.deepEqual(computeLine(points), {
		intercept: 3,
		slope: 2,
		slopeError: 0,
	});
});

test('scatter shows in the error of the slope', () => {
	const points = [5, 1, 5, 1].map((y, x) => ({x, y}));
	const {slope, slopeError} = computeLine(points);
	assert.equal(slope, -0.8);
	assert.ok(slopeError > 1, String(slopeError));
});
