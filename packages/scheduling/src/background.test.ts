/**
Work in the background that throws.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createBackground} from './background.js';
import {VirtualClock} from './virtual-clock.fixture.js';

function createRecorded() {
	const clock = new VirtualClock();
	const lines: Array<Record<string, unknown>> = [];
	const counts = new Map<string, number>();
	const background = createBackground({
		now: () => clock.now,
		wait: clock.wait,
		log(_message, fields) {
			lines.push(fields);
		},
		onException({work}) {
			counts.set(work, (counts.get(work) ?? 0) + 1);
		},
	});
	return {clock, background, lines, counts, ending: new AbortController()};
}

// Guards against an exception in a loop that nobody awaits: it ended the process, or the loop.
test('a loop goes on after an exception, with pauses that grow until a step succeeds', async () => {
	const {clock, background, lines, counts, ending} = createRecorded();
	const steps: number[] = [];
	const throwingSteps = new Set([1, 2, 3, 5]);
	background.repeat(
		{work: 'list', executor: 'e1'},
		async () => {
			steps.push(clock.now);
			if (throwingSteps.has(steps.length)) {
				throw new Error(`step ${steps.length}`);
			}

			await clock.wait(1000);
		},
		{signal: ending.signal},
	);
	await clock.run(2500);
	ending.abort();
	assert.deepEqual(steps, [0, 50, 150, 350, 1350, 1400, 2400]);
	assert.equal(counts.get('list'), 4);
	assert.deepEqual(
		lines.map(({executor, reason, unlogged}) => [executor, reason, unlogged]),
		[
			['e1', 'step 1', 0],
			['e1', 'step 5', 2],
		],
	);
	assert.match(String(lines[0]?.stack), /background\.test\.ts/v);
});

// Guards against a pause that becomes so long that the work is never done again.
test('the pause between failing steps is bounded', async () => {
	const {clock, background, counts, ending} = createRecorded();
	background.repeat(
		{work: 'list'},
		async () => {
			throw new Error('always');
		},
		{signal: ending.signal},
	);
	await clock.run(60_000);
	ending.abort();
	await clock.run(10_000);
	const count = counts.get('list') ?? 0;
	assert.ok(count > 15 && count < 25, `${count} steps`);
});

test('a loop ends with its signal, or when it is over', async () => {
	const {clock, background, ending} = createRecorded();
	let steps = 0;
	const step = async () => {
		steps += 1;
		await clock.wait(10);
	};

	background.repeat({work: 'a'}, step, {
		signal: ending.signal,
		isOver: () => steps === 3,
	});
	await clock.run(100);
	assert.equal(steps, 3);
	ending.abort();
	background.repeat({work: 'b'}, step, {signal: ending.signal});
	await clock.run(100);
	assert.equal(steps, 3);
});

// Guards against an exception of one task, or of the handling of it, that reaches those which have nothing to do with it.
test('an exception in a task is reported, before and after its first pause', async () => {
	const {clock, background, lines} = createRecorded();
	let handled = 0;
	background.run({work: 'now'}, () => {
		throw new Error('at once');
	});
	background.run(
		{work: 'later'},
		async () => {
			await clock.wait(10);
			throw new TypeError('later');
		},
		{
			onException() {
				handled += 1;
				throw new Error('while handling');
			},
		},
	);
	background.run({work: 'odd'}, async () => {
		// A library may throw anything.
		// eslint-disable-next-line @typescript-eslint/only-throw-error
		throw 'text';
	});
	await clock.run(20);
	assert.deepEqual(
		lines.map(({work, reason}) => [work, reason]),
		[
			['now', 'at once'],
			['odd', 'text'],
			['later', 'later'],
		],
	);
	assert.equal(handled, 1);
});
