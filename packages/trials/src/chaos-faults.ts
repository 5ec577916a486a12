/**
Brings about the faults of a chaos schedule, and ends each.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {type ChaosFault} from './chaos-schedule.js';
import {type RunningSystem} from './harness.js';
import {type Drain} from './judge.js';

/** A reply of the platform that is late, milliseconds. */
const slowMs = 800;
/** How often a lost reply to the operator is asked for again. */
const declareTries = 20;
const declarePauseMs = 250;

export type FaultLog = {
	drains: Drain[];
	/** What went wrong besides what was planned. */
	notes: string[];
};

/** Runs the whole schedule; resolves when each fault has ended. */
export async function bringAboutFaults(
	system: RunningSystem,
	schedule: readonly ChaosFault[],
	boundMs: number,
): Promise<FaultLog> {
	const log: FaultLog = {drains: [], notes: []};
	const begin = Date.now();
	const context = {system, schedule, boundMs, begin, log};
	await Promise.all(
		schedule.map(async (fault) => {
			await delay(Math.max(0, begin + fault.at - Date.now()));
			try {
				await bringAbout(context, fault);
			} catch (error) {
				log.notes.push(`${JSON.stringify(fault)}: ${String(error)}`);
			}
		}),
	);
	return log;
}

type FaultContext = {
	system: RunningSystem;
	schedule: readonly ChaosFault[];
	boundMs: number;
	begin: number;
	log: FaultLog;
};

async function bringAbout(
	context: FaultContext,
	fault: ChaosFault,
): Promise<void> {
	const {system} = context;
	const {forMs} = fault;
	switch (fault.kind) {
		case 'kill': {
			await system.kill(fault.host);
			await delay(forMs);
			await system.restart(fault.host);
			return;
		}

		case 'freeze': {
			system.freeze(fault.host);
			await delay(forMs);
			system.thaw(fault.host);
			return;
		}

		case 'restart': {
			await system.terminate(fault.host);
			await system.restart(fault.host);
			return;
		}

		case 'link': {
			await system.applyBetween(...fault.between, fault.fault);
			await delay(forMs);
			await system.applyBetween(...fault.between, 'heal');
			return;
		}

		case 'isolate': {
			await system.isolate(fault.dataCentre, fault.fault);
			await delay(forMs);
			await system.isolate(fault.dataCentre, 'heal');
			return;
		}

		case 'platform': {
			const {dataCentre, mode} = fault;
			await system.platform.setFault({dataCentre, mode, ms: slowMs});
			await delay(forMs);
			await system.platform.setFault({dataCentre, mode: 'ok'});
			return;
		}

		case 'executor': {
			await system.setMode(fault.executor, fault.mode, 5);
			await delay(forMs);
			await system.setMode(fault.executor, 'ok');
			return;
		}

		case 'drain': {
			await drainExecutor(context, fault.executor, forMs);
		}
	}
}

/** Declares an executor leaving, then active again; what it got in between is judged. */
async function drainExecutor(
	{system, schedule, boundMs, begin, log}: FaultContext,
	executor: string,
	forMs: number,
): Promise<void> {
	const {target} = system.executors.find(({name}) => name === executor)!;
	await declareSomewhere(system, target, [executor]);
	const declaredAt = Date.now();
	const at = begin + skipFaults(schedule, declaredAt - begin, boundMs);
	await delay(forMs + boundMs);
	log.drains.push({executor, at, until: Date.now(), boundMs});
	await declareSomewhere(system, target, []);
}

/**
Where hosts are cut off from the platform and one another, or frozen, they can't know of a change:
the bound counts from the end of the faults that begin before it has passed.
*/
function skipFaults(
	schedule: readonly ChaosFault[],
	at: number,
	boundMs: number,
): number {
	let from = at;
	for (const fault of schedule) {
		const hinders =
			fault.kind !== 'drain' &&
			fault.kind !== 'executor' &&
			fault.at < from + boundMs &&
			fault.at + fault.forMs > from;
		if (hinders) {
			from = fault.at + fault.forMs;
		}
	}

	return from;
}

/** Any host takes the change; it is accepted once one says so. */
async function declareSomewhere(
	system: RunningSystem,
	target: string,
	leaving: readonly string[],
): Promise<void> {
	const spec = system.createTargetSpec(target, leaving);
	for (let i = 0; i < declareTries; i++) {
		const url = system.urls[i % system.urls.length]!;
		if (await system.declare(url, 'targets', target, spec)) {
			return;
		}

		await delay(declarePauseMs);
	}

	throw new Error(`no host took the change of ${target}`);
}
