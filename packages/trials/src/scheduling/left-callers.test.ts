/**
Callers that leave a frozen host and send their jobs again to another data centre, before that host wakes to their requests and to the
closes of their connections.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {Agent} from 'undici';
import {resendMs, submitJob, answerSlackMs, makeJobId} from './caller.js';
import {assertNoOverlaps, listRuns} from './judge.js';
import {
	openSystem,
	type SchedulingHostProcess,
	type SchedulingSystem,
} from './system.js';

const callerCount = 6;
const freezeMs = 4000;
const patienceMs = 1000;
/** Jobs that are sent again are still running when the frozen host wakes. */
const taskMs = 1400;

/** A caller with a used connection to `near`; resolves with the job's id and its last answer. */
async function sendThroughFreeze(
	{near, far}: Record<'near' | 'far', SchedulingHostProcess>,
	{isUsed, frozen}: {isUsed: boolean; frozen: Promise<void>},
) {
	const agent = new Agent({connections: 1, pipelining: 1});
	if (isUsed) {
		await submitJob(near, {agent, count: 1, ms: 20});
	}

	await frozen;
	const id = makeJobId();
	const job = {id, count: 1, ms: taskMs};
	const first = await submitJob(near, {...job, agent, timeLeftMs: patienceMs});
	assert.equal(first.status, 0);
	await agent.destroy();
	await delay(resendMs);
	return submitJob(far, {...job, timeLeftMs: 5000});
}

async function playFreeze(
	system: SchedulingSystem,
	{isUsed}: {isUsed: boolean},
) {
	const [near, far] = system.hosts as [
		SchedulingHostProcess,
		SchedulingHostProcess,
	];
	let setFrozen: () => void = () => undefined;
	const frozen = new Promise<void>((resolve) => {
		setFrozen = resolve;
	});
	const replies = Array.from({length: callerCount}, async () =>
		sendThroughFreeze({near, far}, {isUsed, frozen}),
	);
	await delay(500);
	near.process.child.kill('SIGSTOP');
	// The callers' second copies are sent 2.8 s later, and run until 4.2 s.
	await delay(freezeMs - patienceMs - answerSlackMs - resendMs - 300);
	setFrozen();
	await delay(patienceMs + answerSlackMs + resendMs + 300);
	near.process.child.kill('SIGCONT');
	return Promise.all(replies);
}

// Guards against a host that wakes and starts the jobs of callers that left, beside the copies that they have sent since.
test('a host that wakes to requests of callers that have left starts none of their jobs', async (context) => {
	const system = await openSystem(context, {
		hosts: {mieres: 1, langreo: 1},
		executors: {mieres: 4, langreo: 4},
	});
	const replies = await playFreeze(system, {isUsed: true});
	await delay(500);
	assertNoOverlaps(system.executors);
	for (const {id, state} of replies) {
		assert.equal(state, 'completed');
		assert.equal(listRuns(system.executors, id).length, 1);
	}
});

// Guards against a request that lay unread on a new connection, counts as the latest copy, and has the live one stopped.
test('requests that lay unread on new connections cost no caller the answer to its later copy', async (context) => {
	const system = await openSystem(context, {
		hosts: {mieres: 1, langreo: 1},
		executors: {mieres: 4, langreo: 4},
	});
	const replies = await playFreeze(system, {isUsed: false});
	assertNoOverlaps(system.executors);
	for (const {state} of replies) {
		assert.equal(state, 'completed');
	}
});
