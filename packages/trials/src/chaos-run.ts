/**
One chaos run: a whole system under load and a seeded schedule of faults, judged at its end by
what the executors logged and what the callers were told.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {bringAboutFaults} from './chaos-faults.js';
import {runLoad, runRecoveryJobs} from './chaos-load.js';
import {createSchedule, type ChaosFault} from './chaos-schedule.js';
import {type JobOutcome} from './caller.js';
import {startSystem, type RunningSystem} from './harness.js';
import {checkPromises, type Violation} from './judge.js';

export type ChaosResult = {
	seed: number;
	schedule: ChaosFault[];
	starts: number;
	jobs: number;
	/** Jobs by what their callers were told in the end. */
	told: Record<string, number>;
	notes: string[];
	violations: Violation[];
};

/** The brief: a leaving target gets no new work after a few seconds. */
const drainBoundMs = 5000;
/** After the last fault, before every host has to serve again, milliseconds. */
const settleMs = 6000;
const connections = 60;

export async function runChaos(
	seed: number,
	durationMs: number,
): Promise<ChaosResult> {
	const system = await startSystem({
		hostsPerDataCentre: 3,
		targets: {
			kitchens: {executorsPerDataCentre: 3, slots: 8, connections},
			desks: {executorsPerDataCentre: 3, slots: 8, connections},
		},
	});
	try {
		return await runFaults(system, seed, durationMs);
	} finally {
		await system.end();
	}
}

async function runFaults(
	system: RunningSystem,
	seed: number,
	durationMs: number,
): Promise<ChaosResult> {
	const schedule = createSchedule(seed, durationMs, {
		hosts: system.hosts.map(({name}) => name),
		dataCentres: system.layout.dataCentres,
		executors: system.executors.map(({name}) => name),
	});
	const [outcomes, log] = await Promise.all([
		runLoad(system, seed, durationMs),
		bringAboutFaults(system, schedule, drainBoundMs),
	]);
	await healAll(system);
	await delay(settleMs);
	const recovery = await runRecoveryJobs(system);
	const starts = await system.readStarts();
	const all = [...outcomes, ...recovery];
	return {
		seed,
		schedule,
		starts: starts.length,
		jobs: all.length,
		told: countTold(all),
		notes: log.notes,
		violations: [
			...checkPromises({
				starts,
				outcomes: all,
				drains: log.drains,
				stats: await system.readStats(),
				connections,
			}),
			...listUnanswered(outcomes),
			...listNotRecovered(recovery),
		],
	};
}

/** Faults that overlapped may have ended out of order. */
async function healAll(system: RunningSystem): Promise<void> {
	await system.platform.setFault({mode: 'ok'});
	for (const dataCentre of system.layout.dataCentres) {
		await system.isolate(dataCentre, 'heal');
	}

	for (const {name} of system.executors) {
		await system.setMode(name, 'ok');
	}
}

/** Counts jobs by what their callers were told in the end. */
export function countTold(
	outcomes: readonly JobOutcome[],
): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const outcome of outcomes) {
		const told = describeTold(outcome);
		counts[told] = (counts[told] ?? 0) + 1;
	}

	return counts;
}

function describeTold(outcome: JobOutcome): string {
	switch (outcome.kind) {
		case 'answer': {
			return outcome.answer.state;
		}

		case 'problem': {
			const {code, ran} = outcome.problem;
			return `${code}, ran ${ran}`;
		}

		case 'lost': {
			return 'lost';
		}
	}
}

function* listUnanswered(
	outcomes: readonly JobOutcome[],
): Generator<Violation> {
	for (const outcome of outcomes) {
		if (outcome.kind === 'lost') {
			yield {code: 'no-answer', message: `${outcome.id}: ${outcome.detail}`};
		}
	}
}

function* listNotRecovered(
	outcomes: readonly JobOutcome[],
): Generator<Violation> {
	for (const outcome of outcomes) {
		const told = describeTold(outcome);
		if (told !== 'complete') {
			yield {code: 'not-recovered', message: `${outcome.id}: ${told}`};
		}
	}
}
