/**
Messages between hosts a task, for jobs of several sizes. Control traffic flows also when nothing
is asked for; it is measured first and taken off.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {
	fetchIssuer,
	makeJobId,
	runJob,
	startSystem,
	type RunningSystem,
} from '@gentianshift/trials';
import {
	listByLabel,
	readCounters,
	subtractCounters,
	sumSamples,
} from './counters.js';
import {connectionsEach, executorsPerDataCentre, slotsEach} from './trace.js';

export type JobSizeCost = {
	tasks: number;
	/** Messages, and bytes, sent between hosts a task, without the idle traffic. */
	messages: number;
	bytes: number;
	/** Of the messages, idle ones included: the five most frequent kinds, a task. */
	kinds: Array<[string, number]>;
};

export type JobSizes = {
	/** Sent by all hosts together when nothing is asked for. */
	idle: {messagesPerSecond: number; bytesPerSecond: number};
	sizes: JobSizeCost[];
};

const sizes = [1, 10, 100, 1700];
/** Tasks of each size altogether: enough that the idle traffic doesn't drown them. */
const tasksPerSize = 3400;
const idleSeconds = 4;
/** A system of which a third is in use: queueing is measured elsewhere. */
const jobsUnderWay = 3;
const taskMs = 20;
const mostKinds = 5;

export async function measureJobSizes(): Promise<JobSizes> {
	const target = {
		executorsPerDataCentre,
		slots: slotsEach,
		connections: connectionsEach,
	};
	const system = await startSystem({
		hostsPerDataCentre: 3,
		targets: {kitchens: target},
		services: {meals: {target: 'kitchens', path: '/run', taskMs}},
		teams: {cooks: {}},
	});
	try {
		await sendJobs(system, 10, 1000);
		const idle = await measureIdle(system);
		const costs: JobSizeCost[] = [];
		for (const tasks of sizes) {
			costs.push(await measureSize(system, tasks, idle));
		}

		return {idle, sizes: costs};
	} finally {
		await system.end();
	}
}

async function measureIdle(system: RunningSystem) {
	const before = await readCounters(system);
	await delay(idleSeconds * 1000);
	const spent = subtractCounters(await readCounters(system), before);
	return {
		messagesPerSecond: countMessages(spent) / idleSeconds,
		bytesPerSecond: countBytes(spent) / idleSeconds,
	};
}

async function measureSize(
	system: RunningSystem,
	tasks: number,
	idle: JobSizes['idle'],
): Promise<JobSizeCost> {
	const before = await readCounters(system);
	const begin = performance.now();
	await sendJobs(system, tasks, tasksPerSize);
	const seconds = (performance.now() - begin) / 1000;
	const spent = subtractCounters(await readCounters(system), before);
	const kinds = listByLabel(
		spent,
		'gentianshift_messages_total',
		'kind',
		'direction="out"',
	);
	return {
		tasks,
		messages:
			(countMessages(spent) - idle.messagesPerSecond * seconds) / tasksPerSize,
		bytes: (countBytes(spent) - idle.bytesPerSecond * seconds) / tasksPerSize,
		kinds: kinds
			.slice(0, mostKinds)
			.map(([kind, count]) => [kind, count / tasksPerSize]),
	};
}

type Spent = Awaited<ReturnType<typeof readCounters>>;

function countMessages(spent: Spent): number {
	return sumSamples(spent, 'gentianshift_messages_total', 'direction="out"');
}

function countBytes(spent: Spent): number {
	return sumSamples(spent, 'gentianshift_bytes_total', 'direction="out"');
}

/** Jobs of one size, a few under way at a time, each submitted to a host that isn't its owner. */
async function sendJobs(
	system: RunningSystem,
	tasks: number,
	tasksInAll: number,
): Promise<void> {
	const {urls} = system;
	let left = Math.ceil(tasksInAll / tasks);
	const payloads = Array.from({length: tasks}, () => ({ms: taskMs}));

	async function sendInTurn(): Promise<void> {
		while (left > 0) {
			const turn = left--;
			const owner = urls[turn % urls.length]!;
			const receiver = urls[(turn + 1) % urls.length]!;
			const id = makeJobId(await fetchIssuer(owner));
			await runJob([receiver], id, {
				service: 'meals',
				team: 'cooks',
				tasks: payloads,
			});
		}
	}

	await Promise.all(Array.from({length: jobsUnderWay}, sendInTurn));
}

export function formatJobSizes({idle, sizes: costs}: JobSizes): string {
	return [
		'job-sizes: between hosts (to reach: below 0.5 messages a task at 100 tasks)',
		`idle: ${idle.messagesPerSecond.toFixed(1)} messages/s, ${idle.bytesPerSecond.toFixed(0)} bytes/s, nine hosts together`,
		...costs.map(
			({tasks, messages, bytes, kinds}) =>
				`${String(tasks).padStart(5)} tasks a job: ${messages.toFixed(3)} messages, ${bytes.toFixed(0)} bytes a task (${kinds.map(([kind, count]) => `${kind} ${count.toFixed(2)}`).join(', ')})`,
		),
		'',
	].join('\n');
}
