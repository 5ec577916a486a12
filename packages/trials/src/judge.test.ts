import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type JobOutcome} from './caller.js';
import {checkPromises} from './judge.js';

function createStart(task: string, at = 0, executor = 'e1') {
	return {task, executor, at, from: '127.0.1.1'};
}

function createOutcome(results: unknown[]): JobOutcome {
	const tasks = [{value: 'a'}, {value: 'b'}];
	return {
		id: 'j',
		submission: {service: 's', team: 't', tasks},
		tookMs: 1,
		submittedAt: 0,
		kind: 'answer',
		answer: {id: 'j', state: 'complete', tasks: 2, done: 2, results},
	};
}

function createRefusal(): JobOutcome {
	return {
		...createOutcome([]),
		kind: 'problem',
		problem: {
			type: 'about:blank',
			title: '',
			status: 503,
			detail: '',
			code: 'overloaded',
			ran: 'none',
		},
	};
}

function listCodes(evidence: Parameters<typeof checkPromises>[0]) {
	return checkPromises(evidence).map(({code}) => code);
}

test('finds nothing where all promises were kept', () => {
	const outcome = createOutcome([
		{value: 'a', task: 'j/0'},
		{value: 'b', task: 'j/1'},
	]);
	const starts = [createStart('j/0'), createStart('j/1')];
	assert.deepEqual(listCodes({starts, outcomes: [outcome]}), []);
});

test('finds each broken promise', () => {
	const starts = [createStart('j/0'), createStart('j/0', 9, 'e2')];
	assert.deepEqual(listCodes({starts, outcomes: []}), ['started-twice']);
	const both = [createStart('j/0'), createStart('j/1')];
	assert.deepEqual(listCodes({starts: both, outcomes: [createOutcome([])]}), [
		'not-whole',
	]);
	const swapped = createOutcome([
		{value: 'b', task: 'j/1'},
		{value: 'a', task: 'j/0'},
	]);
	assert.deepEqual(listCodes({starts: both, outcomes: [swapped]}), ['not-own']);
	assert.deepEqual(listCodes({starts: [], outcomes: [swapped]}), [
		'no-start',
		'not-own',
	]);
	const ran = {starts: [createStart('j/0')], outcomes: [createRefusal()]};
	assert.deepEqual(listCodes(ran), ['ran-after-refusal']);
	const drains = [{executor: 'e1', at: 0, boundMs: 100}];
	const late = {starts: [createStart('j/0', 101)], outcomes: [], drains};
	assert.deepEqual(listCodes(late), ['late-start']);
});
