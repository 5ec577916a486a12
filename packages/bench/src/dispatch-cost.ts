/**
What one host starts a second in jobs of 100 tasks that take no time, against a bare undici pool
that sends the same requests to the same executor.
*/
import {
	fetchIssuer,
	makeJobId,
	ProcessGroup,
	readFirstJson,
	runJob,
	startSystem,
	type RunningSystem,
} from '@gentianshift/trials';
import {Agent, type Dispatcher} from 'undici';
import {readUsage} from './counters.js';

export type Rate = {
	starts: number;
	seconds: number;
	cpuSeconds: number;
};

export type DispatchCost = {host: Rate; bare: Rate};

const tasksPerJob = 100;
/** As many tasks under way as the bare pool has connections. */
const width = 60;
const jobsUnderWay = 4;
const warmUpSeconds = 2;
const measureSeconds = 5;

/** One host, one executor; first the host, then the bare pool. */
export async function measureDispatchCost(): Promise<DispatchCost> {
	const system = await startSystem({
		dataCentres: ['mieres'],
		hostsPerDataCentre: 1,
		targets: {
			kitchens: {executorsPerDataCentre: 1, slots: width, connections: width},
		},
		services: {meals: {target: 'kitchens', path: '/run', taskMs: 1}},
		teams: {cooks: {}},
	});
	const dispatcher = new Agent({connections: jobsUnderWay});
	try {
		await sendJobs(system, dispatcher, warmUpSeconds);
		const host = await measureHost(system, dispatcher);
		const bare = await runBarePool(system);
		return {host, bare};
	} finally {
		await dispatcher.destroy();
		await system.end();
	}
}

async function measureHost(
	system: RunningSystem,
	dispatcher: Dispatcher,
): Promise<Rate> {
	const {pid} = system.hosts[0]!.process.child;
	const before = readUsage(pid);
	const begin = performance.now();
	const starts = await sendJobs(system, dispatcher, measureSeconds);
	const seconds = (performance.now() - begin) / 1000;
	const cpuSeconds = readUsage(pid).cpuSeconds - before.cpuSeconds;
	return {starts, seconds, cpuSeconds};
}

/** Keeps a few jobs under way; gives the number of tasks done. */
async function sendJobs(
	system: RunningSystem,
	dispatcher: Dispatcher,
	seconds: number,
): Promise<number> {
	const url = system.urls[0]!;
	const issuer = await fetchIssuer(url);
	const end = performance.now() + seconds * 1000;
	const tasks = Array.from({length: tasksPerJob}, () => ({ms: 0}));
	let done = 0;

	async function sendInTurn(): Promise<void> {
		while (performance.now() < end) {
			const id = makeJobId(issuer);
			const submission = {service: 'meals', team: 'cooks', tasks};
			const outcome = await runJob([url], id, submission, {dispatcher});
			done += outcome.kind === 'answer' ? outcome.answer.done : 0;
		}
	}

	await Promise.all(Array.from({length: jobsUnderWay}, sendInTurn));
	return done;
}

async function runBarePool({dir, executors}: RunningSystem): Promise<Rate> {
	const {address} = executors[0]!;
	const processes = new ProcessGroup();
	const program = ['--import', 'tsx', 'packages/bench/src/bare-pool.ts'];
	const started = processes.startProcess({
		name: 'bare-pool',
		args: [...program, address, String(width), String(measureSeconds)],
		dir,
	});
	return (await readFirstJson(started)) as Rate;
}

export function formatDispatchCost({host, bare}: DispatchCost): string {
	const byClock = (rate: Rate) => rate.starts / rate.seconds;
	const byCpu = (rate: Rate) => rate.starts / rate.cpuSeconds;
	const rows = [
		['task starts a second', byClock(host), byClock(bare)],
		['task starts a processor second', byCpu(host), byCpu(bare)],
	] as const;
	return [
		'dispatch-cost: jobs of 100 tasks that take no time (to reach: half of the bare pool)',
		...rows.map(
			([name, own, other]) =>
				`${name.padEnd(34)} host ${own.toFixed(0)}  bare pool ${other.toFixed(0)}  ratio ${(own / other).toFixed(3)}`,
		),
		'',
	].join('\n');
}
