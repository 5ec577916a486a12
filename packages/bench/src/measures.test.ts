import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeIdealMs, computeMeasures, isKept} from './measures.js';
import {createTrace} from './scenarios.js';

function createEvidence() {
	const trace = createTrace('load-80');
	trace.jobs = [
		{at: 0, service: 'meals', team: 'cooks', tasks: [100, 200]},
		{at: 0, service: 'meals', team: 'stores', tasks: [100]},
	];
	const [first, second] = trace.jobs as [
		(typeof trace.jobs)[0],
		(typeof trace.jobs)[0],
	];
	const submission = {service: 'meals', team: 'cooks', tasks: []};
	const base = {submission, tookMs: 0, submittedAt: 0};
	const answer = {id: 'a', state: 'complete' as const, tasks: 2, done: 2};
	const problem = {
		type: '',
		title: '',
		status: 503,
		detail: '',
		code: 'overloaded',
		ran: 'none' as const,
	};
	const runs = [
		{
			job: first,
			tookMs: 303,
			outcome: {...base, id: 'a', kind: 'answer' as const, answer},
		},
		{
			job: second,
			tookMs: 4,
			outcome: {...base, id: 'b', kind: 'problem' as const, problem},
		},
	];
	const starts = ['a/0', 'a/1'].map((task) => ({
		task,
		executor: 'e',
		at: 1000,
		from: '127.0.1.1',
	}));
	return {
		trace,
		replay: {runs, beganAt: 1000},
		starts,
		refusedAtExecutors: 1,
		stats: [],
		counters: {cpuSeconds: 0.002, largestBytes: 0, samples: new Map()},
		roundTripMs: 2,
	};
}

test('a job alone takes its longest task, or its work over all slots', () => {
	assert.equal(computeIdealMs([100, 200], 240), 200);
	assert.equal(
		computeIdealMs(
			Array.from({length: 480}, () => 100),
			240,
		),
		200,
	);
});

test('ratios, refusals, waste and costs come out of what callers and executors saw', () => {
	const measures = computeMeasures(createEvidence());
	assert.equal(measures['ratio.p50'], 1.5);
	assert.equal(measures['complete.share'], 0.5);
	// The histogram keeps three digits.
	assert.ok(Math.abs(measures['refusal.p99.ms']! - 4) < 0.01);
	assert.equal(measures['wasted.executors'], 0.5);
	assert.equal(measures['cpu.us'], 1000);
	assert.equal(measures['team.cooks.served'], 1);
	assert.equal(measures['team.stores.served'], 0);
	assert.equal(
		measures['goodput.share'],
		300 / 240 / createEvidence().trace.header.durationMs,
	);
});

test('a bound without its measure is neither kept nor broken', () => {
	assert.equal(isKept({a: 1}, {measure: 'a', atMost: 1}), true);
	assert.equal(isKept({a: 1}, {measure: 'a', atLeast: 2}), false);
	assert.equal(isKept({}, {measure: 'a', atMost: 1}), undefined);
});
