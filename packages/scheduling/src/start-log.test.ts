/**
The log lines of starts, from which two runs of one task can be traced to the holder and the entry that caused them.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createGroupJob} from './group-job.js';
import {createEntry, makePart} from './group-scheduler.fixture.js';
import {createStartLog} from './start-log.js';
import {VirtualClock} from './virtual-clock.fixture.js';

test('the starts of a round are logged in one line per job, with group, token, entry and the age of executors’ capacity', () => {
	const lines: Array<Record<string, unknown>> = [];
	const startLog = createStartLog({
		group: 'mieres',
		token: 7,
		log(message, fields) {
			lines.push({message, ...fields});
		},
	});
	const job = createGroupJob(makePart(new VirtualClock()), createEntry(), 0);
	const task = {
		placement: 1,
		nextAttempt: 2,
		state: 'started' as const,
		failures: 0,
		shifts: 0,
		moves: 0,
		avoid: new Set<string>(),
		startedAt: 0,
	};
	startLog.add(
		job,
		{...task, index: 0, executor: 'e1'},
		{attempt: 1, capacityAgeMs: 412.3},
	);
	startLog.add(
		job,
		{...task, index: 1, executor: 'e2'},
		{attempt: 1, capacityAgeMs: 0},
	);
	startLog.write();
	startLog.write();
	assert.deepEqual(lines, [
		{
			message: 'tasks started',
			job: 'job1',
			entry: 'mieres_m1.0',
			group: 'mieres',
			token: 7,
			isMoved: false,
			starts: [
				{task: 0, attempt: 1, executor: 'e1', capacityAgeMs: 412},
				{task: 1, attempt: 1, executor: 'e2', capacityAgeMs: 0},
			],
		},
	]);
});
