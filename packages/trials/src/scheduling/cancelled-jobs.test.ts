/**
Callers that cancel their jobs at other hosts than those that have them.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {waitFor} from '../processes.js';
import {cancelJob, makeJobId, submitJob} from './caller.js';
import {listRuns} from './judge.js';
import {
	openSystem,
	stopHost,
	type SchedulingHostProcess,
	type SchedulingSystem,
} from './system.js';

const startLimitMs = 5000;
const patienceMs = 15_000;
const freezeMs = 4000;
/** Long enough to still run when a host has been started again. */
const taskMs = 9000;

/** Two hosts that do not hold the group, so that the one that starts the tasks has no fault. */
function findOthers(
	system: SchedulingSystem,
): [SchedulingHostProcess, SchedulingHostProcess] {
	const holder = system.findHolder('mieres');
	const [first, second] = system.hosts.filter((host) => host !== holder);
	return [first!, second!];
}

async function waitForStarts(system: SchedulingSystem, id: string) {
	await waitFor(
		() => listRuns(system.executors, id).length > 0 || undefined,
		'the first task to be started',
		startLimitMs,
	);
}

// Guards against a cancel that is answered by a host without connections, and is told to nobody.
test('a job that is cancelled at a host that has just started is stopped where it runs', async (context) => {
	const system = await openSystem(context, {
		hosts: {mieres: 3},
		executors: {mieres: 2},
	});
	const [entry, starting] = findOthers(system);
	await stopHost(starting);
	const id = makeJobId();
	const reply = submitJob(entry, {
		id,
		count: 4,
		ms: taskMs,
		timeLeftMs: patienceMs,
	});
	await waitForStarts(system, id);
	system.startAgain(starting);
	const cancelled = await cancelJob(starting, id);
	assert.equal(cancelled.status, 410);
	const {status, state} = await reply;
	assert.deepEqual({status, state}, {status: 410, state: 'cancelled'});
	await delay(500);
	for (const run of listRuns(system.executors, id)) {
		assert.equal(run.how, 'stopped');
	}
});

// Guards against a request that lies unread while its job is cancelled, and whose tasks are started when it is read.
test('a job that is cancelled while its request lies unread at a frozen host is not started', async (context) => {
	const system = await openSystem(context, {
		hosts: {mieres: 3},
		executors: {mieres: 2},
	});
	const [frozen, other] = findOthers(system);
	frozen.process.child.kill('SIGSTOP');
	const id = makeJobId();
	const reply = submitJob(frozen, {
		id,
		count: 4,
		ms: 900,
		timeLeftMs: patienceMs,
	});
	await delay(300);
	const cancelled = await cancelJob(other, id);
	assert.equal(cancelled.status, 410);
	await delay(freezeMs);
	frozen.process.child.kill('SIGCONT');
	const {status, state} = await reply;
	assert.deepEqual({status, state}, {status: 410, state: 'cancelled'});
	assert.deepEqual(listRuns(system.executors, id), []);
});
