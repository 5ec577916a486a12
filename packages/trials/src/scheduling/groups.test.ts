/**
A data centre whose executors are divided into two groups while callers are served, with real processes.
*/
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {waitFor} from '../processes.js';
import {submitUntilAnswered, type JobReply} from './caller.js';
import {assertNoOverlaps, listRuns} from './judge.js';
import {
	openSystem,
	stopHost,
	type SchedulingHostProcess,
	type SchedulingSystem,
} from './system.js';

/** Cores with which a host can schedule about half of the executors. */
const cores = 0.25;
const loadIntervalMs = 40;

async function openDividedSystem(
	context: TestContext,
): Promise<SchedulingSystem> {
	return openSystem(context, {
		hosts: {mieres: 3, langreo: 1},
		executors: {mieres: 16, langreo: 2},
		cores: {
			'mieres-1': cores,
			'mieres-2': cores,
			'mieres-3': cores,
			'langreo-1': cores,
		},
	});
}

/** Sends jobs of two tasks at a steady pace, to the hosts in turn, until it is stopped or the test ends. */
function startLoad(
	context: TestContext,
	hosts: readonly SchedulingHostProcess[],
) {
	const replies: Array<Promise<JobReply>> = [];
	let count = 0;
	const timer = setInterval(() => {
		const first = count % hosts.length;
		const order = [...hosts.slice(first), ...hosts.slice(0, first)];
		replies.push(submitUntilAnswered(order, {ms: 300, count: 2}));
		count += 1;
	}, loadIntervalMs);
	context.after(() => {
		clearInterval(timer);
	});
	return {
		replies,
		async stop() {
			clearInterval(timer);
			return Promise.all(replies);
		},
	};
}

/** Resolves when the second group has a holder of its own, other than `former`. */
async function waitForSecondHolder(
	system: SchedulingSystem,
	former?: SchedulingHostProcess,
): Promise<SchedulingHostProcess> {
	return waitFor(
		() => {
			const holder = system.findHolder('mieres--2');
			const isOwn = holder !== system.findHolder('mieres');
			return isOwn && holder !== former ? holder : undefined;
		},
		'a holder of the second group alone',
		20_000,
	);
}

// Guards against jobs that are lost, refused or run twice when executors that run their tasks move to another holder.
test('a division under load costs no job, and both groups start tasks', async (context) => {
	const system = await openDividedSystem(context);
	const load = startLoad(context, system.hosts);
	const second = await waitForSecondHolder(system);
	const {length: startedBefore} = load.replies;
	await delay(1500);
	const replies = await load.stop();
	assertNoOverlaps(system.executors);
	assert.ok(replies.length > startedBefore);
	assert.deepEqual(
		replies.filter(({state}) => state !== 'completed'),
		[],
	);
	for (const {id} of replies) {
		// A start that an executor answers late is stopped, and its task is started again.
		const tasks = listRuns(system.executors, id).map(({task}) => task);
		assert.equal(new Set(tasks).size, 2);
	}

	assert.match(
		readFileSync(system.getOutputFile(second), 'utf8'),
		/"group":"mieres--2"[^\n]*"msg":"tasks started"/v,
	);
});

// Guards against tasks that run twice when the holder to which executors have just moved dies.
test('a new group whose holder is killed under load costs no job at other hosts', async (context) => {
	const system = await openDividedSystem(context);
	const second = await waitForSecondHolder(system);
	const others = system.hosts.filter((host) => host !== second);
	const load = startLoad(context, others);
	await delay(600);
	await stopHost(second);
	await waitFor(
		() => (system.findHolder('mieres--2') === second ? undefined : true),
		'another holder of the second group',
		8000,
	);
	await delay(1500);
	const replies = await load.stop();
	assertNoOverlaps(system.executors);
	assert.deepEqual(
		replies.filter(({status}) => status === 0),
		[],
	);
});
