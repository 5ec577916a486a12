import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildOwner, done} from './owner.fixture.js';

test('a job completes with its results in task order, whatever order the answers came in', () => {
	const {submit, grant, sent} = buildOwner();
	const record = submit();
	grant(record, {keeps: false});
	grant(record, {keeps: false});
	sent[1]!.end({...done, value: 'second'});
	sent[0]!.end({...done, value: 'first'});
	const answer = record.readReply()._unsafeUnwrap();
	assert.equal(answer.state, 'complete');
	assert.deepEqual(answer.results, ['first', 'second']);
});

test('one slot serves a job task by task while the keeper leaves it to it', () => {
	const {submit, grant, sent, released} = buildOwner();
	const record = submit();
	grant(record);
	sent[0]!.end(done);
	assert.equal(sent.length, 2);
	sent[1]!.end(done);
	assert.deepEqual(released, ['done']);
	assert.equal(record.state, 'complete');
});

test('a resubmission joins the job and starts nothing again', () => {
	// The answer is lost on its way back, and the caller submits the same id again.
	// It gets the same answer; without the record every task would run twice.
	const {submit, grant, sent} = buildOwner();
	const record = submit({tasks: ['a']});
	grant(record);
	sent[0]!.end(done);
	assert.equal(submit({tasks: ['a']}), record);
	assert.equal(sent.length, 1);
});

test('another body under a known id is refused and not mixed up with the job', () => {
	const {submit, owner} = buildOwner();
	submit();
	const answer = owner.submitJob({
		id: 'id-1',
		attempt: 1,
		generation: 0,
		submission: {
			service: 'meals',
			team: 'cooks',
			deadlineMs: 60_000,
			tasks: ['other'],
		},
	});
	assert.equal('code' in answer && answer.code, 'id-in-use');
});

test('a failed task fails the job at once and nothing more of it starts', () => {
	const {submit, grant, sent} = buildOwner();
	const record = submit({tasks: ['a', 'b', 'c']});
	grant(record);
	grant(record);
	sent[0]!.end({result: 'failed', status: 500, detail: 'burnt', runMs: 1});
	const problem = record.readReply()._unsafeUnwrapErr();
	assert.deepEqual([problem.code, problem.ran], ['task-failed', 'some']);
	assert.deepEqual(problem.tasksUnknown, [1]);
	sent[1]!.end(done);
	grant(record);
	assert.equal(sent.length, 2);
	assert.equal(record.readReply()._unsafeUnwrapErr(), problem);
});

test('a task whose request may have been written is never sent again', () => {
	// The connection to an executor breaks after the request went out. The task may have run:
	// the caller is told "unknown", and no other executor gets it.
	const {submit, grant, sent} = buildOwner();
	const record = submit({tasks: ['a']});
	grant(record);
	sent[0]!.end({result: 'unknown', detail: 'reset', runMs: 1});
	grant(record);
	assert.equal(sent.length, 1);
	assert.equal(record.readReply()._unsafeUnwrapErr().ran, 'unknown');
});

for (const outcome of [
	{result: 'unreachable', detail: 'refused', runMs: 1},
	{result: 'refused', runMs: 1},
	{result: 'withheld', runMs: 1},
] as const) {
	test(`a task that certainly did not run (${outcome.result}) is placed again`, () => {
		const {submit, grant, sent, demands} = buildOwner();
		const record = submit({tasks: ['a']});
		grant(record);
		sent[0]!.end(outcome);
		assert.equal(demands.at(-1)!.queued, 1);
		grant(record);
		sent[1]!.end(done);
		assert.equal(record.state, 'complete');
	});
}

test('a slot whose lease has lapsed starts nothing', () => {
	// The host was paused between the grant and the start, or its keeper was. The executor may
	// have been told to leave meanwhile, so the slot goes back and another one is asked for.
	const {submit, grant, sent, released, demands} = buildOwner();
	const record = submit();
	grant(record, {isUsable: false});
	assert.equal(sent.length, 0);
	assert.deepEqual(released, ['unused']);
	assert.equal(demands.length, 2);
});

test('nothing starts after the deadline, even before the timer has noticed it', () => {
	const {submit, grant, sent, clock} = buildOwner();
	const record = submit();
	clock.now = 60_001;
	grant(record);
	assert.equal(sent.length, 0);
});

test('a refused attempt stays refused, and the next attempt is served', () => {
	// A balancer's copy of the refused request arrives late. Its caller was told that nothing
	// ran and may act on it, so the copy must not start; a caller who comes back must be served.
	const {submit, refuse, grant, sent} = buildOwner();
	const first = submit({tasks: ['a']});
	refuse(first.number, {code: 'overloaded', retryAfterMs: 100});
	assert.equal(first.readReply()._unsafeUnwrapErr().ran, 'none');
	const copy = submit({tasks: ['a']});
	assert.equal(copy, first);
	const second = submit({tasks: ['a'], attempt: 2});
	grant(second);
	assert.equal(sent.length, 1);
	assert.equal(submit({tasks: ['a']}), second);
});

test('an id of an expired generation is not started and not called "not run"', () => {
	// A copy of a submission arrives minutes late, when its record has been dropped.
	const {owner, clock, submit, grant, sent} = buildOwner();
	grant(submit({tasks: ['a']}));
	sent[0]!.end(done);
	clock.now = 2500;
	const answer = owner.submitJob({
		id: 'id-1',
		attempt: 1,
		generation: 0,
		submission: {service: 'meals', team: 'cooks', tasks: ['a']},
	});
	assert.deepEqual('code' in answer && [answer.code, answer.ran], [
		'id-expired',
		'unknown',
	]);
});

test('limits refuse a job before anything of it runs', () => {
	const {submit} = buildOwner({maxTasks: 3});
	for (const [tasks, code] of [
		[Array.from({length: 4}, () => 'a'), 'too-many-tasks'],
		[['a'], undefined],
	] as const) {
		const record = submit({id: `id-${tasks.length}`, tasks: [...tasks]});
		assert.equal(record.problem?.code, code);
	}
});

test('a stopping host refuses new jobs and finishes those it has', () => {
	const {owner, submit, grant, sent} = buildOwner();
	const record = submit({tasks: ['a']});
	owner.startStopping();
	assert.equal(submit({id: 'id-2'}).problem?.code, 'stopping');
	grant(record);
	sent[0]!.end(done);
	assert.equal(record.state, 'complete');
	assert.equal(owner.activeJobs, 0);
});

test('a task that outlives its job keeps its slot until it ends', () => {
	// The job is answered at its deadline, but the executor cooks on. A slot given back at once
	// would be lent again, and the executor asked for more than its slots; it refuses the next one.
	const {submit, grant, sent, released, clock, owner} = buildOwner({
		taskLimitMs: 30_000,
	});
	const record = submit({tasks: ['a']});
	clock.now = 59_000;
	grant(record);
	const {limitMs, deadlineMs} = sent[0]!.request;
	assert.deepEqual([limitMs, deadlineMs], [30_000, 1000]);
	owner.abandonJobs();
	assert.deepEqual(released, []);
	sent[0]!.end(done);
	assert.deepEqual(released, ['done']);
});
