/**
One soak: hosts as processes under load and a seeded schedule of faults, judged by what callers and executors saw.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {makeJobId, submitJob} from './caller.js';
import {bringAboutFaults, type FaultLog} from './soak-faults.js';
import {
	checkPromises,
	countTold,
	type Evidence,
	type Violation,
} from './soak-judge.js';
import {runLoad} from './soak-load.js';
import {createSoakSchedule, type SoakFault} from './soak-schedule.js';
import {startSchedulingSystem, type SchedulingSystem} from './system.js';

export type SoakResult = {
	seed: number;
	schedule: SoakFault[];
	jobs: number;
	starts: number;
	told: Record<string, number>;
	violations: Violation[];
};

export type SoakOptions = {
	durationMs: number;
	/** Hosts, and executors, of each data centre. */
	hosts?: number;
	executors?: number;
};

/** After the last fault, before every host has to serve again, milliseconds. */
const settleMs = 6000;
const dataCentres = ['mieres', 'langreo'];

export async function runSoak(
	seed: number,
	{durationMs, hosts = 3, executors = 6}: SoakOptions,
): Promise<SoakResult> {
	const makeCounts = (count: number) =>
		Object.fromEntries(dataCentres.map((one) => [one, count]));
	const system = await startSchedulingSystem({
		hosts: makeCounts(hosts),
		executors: makeCounts(executors),
		hasRelays: true,
	});
	try {
		await system.sendThroughRelays();
		return await runFaults(system, seed, durationMs);
	} finally {
		await system.end();
	}
}

async function runFaults(
	system: SchedulingSystem,
	seed: number,
	durationMs: number,
): Promise<SoakResult> {
	const schedule = createSoakSchedule(seed, durationMs, {
		hosts: system.hosts.map(({name}) => name),
		dataCentres,
	});
	const log: FaultLog = {
		begin: performance.now(),
		drains: [],
		changes: [],
		stops: [],
	};
	const [jobs] = await Promise.all([
		runLoad(system.hosts, {seed, durationMs, schedule}),
		bringAboutFaults(system, schedule, log),
	]);
	await system.waitUntilReady(system.hosts);
	await delay(settleMs);
	const running = system.listPresent().filter(({runCount}) => runCount > 0);
	const recovery = await checkRecovery(system, log);
	const runs = system.executors.flatMap(({seen}) => seen);
	const evidence: Evidence = {jobs, runs, log, schedule};
	return {
		seed,
		schedule,
		jobs: jobs.length,
		starts: runs.length,
		told: countTold(jobs),
		violations: [
			...checkPromises(evidence),
			...running.map(({id, runCount}) => ({
				code: 'left-running' as const,
				message: `${runCount} runs on ${id}`,
			})),
			...recovery,
		],
	};
}

/** With all faults over, every host serves, by the newest configuration. */
async function checkRecovery(
	system: SchedulingSystem,
	{changes}: FaultLog,
): Promise<Violation[]> {
	const violations: Violation[] = [];
	const prefix = changes.at(-1)?.prefix;
	for (const host of system.hosts) {
		const reply = await submitJob(host, {id: makeJobId()});
		if (reply.state !== 'completed') {
			const told = reply.failure ?? reply.status;
			violations.push({
				code: 'not-recovered',
				message: `${host.name}: ${told}`,
			});
		}

		const renewed = await submitJob(host, {prefix});
		if (renewed.status === 404) {
			violations.push({
				code: 'old-configuration',
				message: `${host.name}: ${prefix}`,
			});
		}
	}

	return violations;
}
