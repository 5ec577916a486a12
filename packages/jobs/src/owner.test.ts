import assert from 'node:assert/strict';
import {test} from 'node:test';
import {buildOwner, doneOutcome} from './owner.fixture.js';

test('a job returns its results in task order, whatever the order of the responses', () => {
	const {submit, grant, sent} = buildOwner();
	const record = submit();
	grant(record, {isKept: false});
	grant(record, {isKept: false});
	sent[1]!.end({...doneOutcome, value: 'second'});
	sent[0]!.end({...doneOutcome, value: 'first'});
	const answer = record.readReply()._unsafeUnwrap();
	assert.equal(answer.state, 'complete');
	assert.deepEqual(answer.results, ['first', 'second']);
});

test('a job uses one slot for one task after another while the keeper lets it keep the slot', () => {
	const {submit, grant, sent, released} = buildOwner();
	const record = submit();
	grant(record);
	sent[0]!.end(doneOutcome);
	assert.equal(sent.length, 2);
	sent[1]!.end(doneOutcome);
	assert.deepEqual(released, ['done']);
	assert.equal(record.state, 'complete');
});

test('a resubmission joins the known job and starts no task again', () => {
	// The answer to the caller is lost, and the caller submits the same id again.
	// The caller gets the same answer; without the record every task would run twice.
	const {submit, grant, sent} = buildOwner();
	const record = submit({tasks: ['a']});
	grant(record);
	sent[0]!.end(doneOutcome);
	assert.equal(submit({tasks: ['a']}), record);
	assert.equal(sent.length, 1);
});

test('a submission with another body under a known id is refused', () => {
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

test('a failed task fails the job at once, and no further task starts', () => {
	const {submit, grant, sent} = buildOwner();
	const record = submit({tasks: ['a', 'b', 'c']});
	grant(record);
	grant(record);
	sent[0]!.end({result: 'failed', status: 500, detail: 'burnt', runMs: 1});
	const problem = record.readReply()._unsafeUnwrapErr();
	assert.deepEqual([problem.code, problem.ran], ['task-failed', 'some']);
	assert.deepEqual(problem.tasksUnknown, [1]);
	sent[1]!.end(doneOutcome);
	grant(record);
	assert.equal(sent.length, 2);
	assert.equal(record.readReply()._unsafeUnwrapErr(), problem);
});

test('a task is never sent again if its request may have been written', () => {
	// The connection to an executor breaks after the request was sent. The task may have run, so the
	// caller's answer says `unknown`, and the task is sent to no other executor.
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
	test(`a task that certainly did not run (${outcome.result}) is sent again`, () => {
		const {submit, grant, sent, demands} = buildOwner();
		const record = submit({tasks: ['a']});
		grant(record);
		sent[0]!.end(outcome);
		assert.equal(demands.at(-1)!.queued, 1);
		grant(record);
		sent[1]!.end(doneOutcome);
		assert.equal(record.state, 'complete');
	});
}

test('no task starts on a slot whose lease has expired', () => {
	// This host or the slot's keeper was paused between the grant and the start. Meanwhile the executor
	// may have been asked to leave, so the slot is released and another one is requested.
	const {submit, grant, sent, released, demands} = buildOwner();
	const record = submit();
	grant(record, {isUsable: false});
	assert.equal(sent.length, 0);
	assert.deepEqual(released, ['unused']);
	assert.equal(demands.length, 2);
});

test('no task starts after the deadline, even if the deadline timer has not fired yet', () => {
	const {submit, grant, sent, clock} = buildOwner();
	const record = submit();
	clock.now = 60_001;
	grant(record);
	assert.equal(sent.length, 0);
});

test('a refused attempt stays refused, and the next attempt starts', () => {
	// A load balancer's copy of a refused request arrives late. The caller may rely on the answer that
	// nothing ran, so the copy must not start. A new attempt by the caller must start.
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

test('a job of an expired generation does not start, and its refusal does not claim that nothing ran', () => {
	// A copy of a submission arrives minutes late, when the job's record has been dropped.
	const {owner, clock, submit, grant, sent} = buildOwner();
	grant(submit({tasks: ['a']}));
	sent[0]!.end(doneOutcome);
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

test('a job with more tasks than its service allows is refused', () => {
	const {submit} = buildOwner({maxTasks: 3});
	for (const [tasks, code] of [
		[Array.from({length: 4}, () => 'a'), 'too-many-tasks'],
		[['a'], undefined],
	] as const) {
		const record = submit({id: `id-${tasks.length}`, tasks: [...tasks]});
		assert.equal(record.problem?.code, code);
	}
});

test('a stopping host refuses new jobs and completes accepted ones', () => {
	const {owner, submit, grant, sent} = buildOwner();
	const record = submit({tasks: ['a']});
	owner.startStopping();
	assert.equal(submit({id: 'id-2'}).problem?.code, 'stopping');
	grant(record);
	sent[0]!.end(doneOutcome);
	assert.equal(record.state, 'complete');
	assert.equal(owner.activeJobs, 0);
});

test('a task that runs longer than its job occupies its slot until it ends', () => {
	// The job is answered before its task has ended, and the executor still runs the task. If the slot
	// were released then, it would be lent again, and the executor would refuse the next task because
	// all of its slots are in use.
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
	sent[0]!.end(doneOutcome);
	assert.deepEqual(released, ['done']);
});
