/**
Brings about the faults of a soak from outside the programs, and ends each: signals, relays, and the stand-ins of the
store and of the executors.

Faults overlap, also two of a kind: what a part does is worked out from all that act on it, whenever one begins or ends.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {type LeasedExecutor, type RelayFault} from '@gentianshift/standins';
import {waitForEnd} from '../processes.js';
import {type SoakFault} from './soak-schedule.js';
import {
	queuePrefix,
	type SchedulingHostProcess,
	type SchedulingSystem,
} from './system.js';

/** An answer of the store that is late: a good part of the hosts' time limit of a call. */
const slowStoreMs = 120;
const slowExecutorFactor = 6;
const lateStartMs = 900;
/** An executor that drains serves on for this long after its word, as the platform's do. */
export const drainMs = 2000;

export type Drain = {executor: string; toldAt: number; leftAt: number};

export type ConfigurationChange = {prefix: string; at: number};

/** What was done; times on the test's clock, milliseconds. */
export type FaultLog = {
	begin: number;
	drains: Drain[];
	changes: ConfigurationChange[];
	/** Planned stops: host, from SIGTERM to the process's end. */
	stops: Array<{host: string; from: number; until: number}>;
};

type Context = {
	system: SchedulingSystem;
	log: FaultLog;
	active: Set<SoakFault>;
	prefixes: string[];
	relayFaults: Map<string, RelayFault>;
	nextExecutor: number;
};

/** Runs the whole schedule; resolves when each fault has ended. */
export async function bringAboutFaults(
	system: SchedulingSystem,
	schedule: readonly SoakFault[],
	log: FaultLog,
): Promise<void> {
	const context: Context = {
		system,
		log,
		active: new Set(),
		prefixes: [queuePrefix],
		relayFaults: new Map(),
		nextExecutor: 1,
	};
	await Promise.all(
		schedule.map(async (fault) => {
			await delay(Math.max(0, log.begin + fault.at - performance.now()));
			await bringAbout(context, fault);
		}),
	);
}

async function bringAbout(context: Context, fault: SoakFault): Promise<void> {
	switch (fault.kind) {
		case 'host': {
			await applyToHost(context, fault);
			return;
		}

		case 'configuration': {
			changeConfiguration(context);
			return;
		}

		case 'executor': {
			await applyToExecutor(context, fault);
			return;
		}

		default: {
			await keepActive(context, fault);
		}
	}
}

async function keepActive(context: Context, fault: SoakFault): Promise<void> {
	context.active.add(fault);
	await applyActive(context, fault);
	await delay(fault.forMs);
	context.active.delete(fault);
	await applyActive(context);
}

async function applyActive(context: Context, begun?: SoakFault): Promise<void> {
	const {system} = context;
	if (begun?.kind === 'store' && begun.fault === 'forgets-history') {
		system.store.dropHistory();
	}

	if (begun?.kind === 'store' && begun.fault === 'takes-leases') {
		system.store.takeLeases();
	}

	applyToStore(context);
	await Promise.all(
		system.hosts.map(async (host) => applyToRelay(context, host, begun)),
	);
}

function applyToStore({system, active}: Context): void {
	const kinds = new Set<string>();
	const refused = new Set<string>();
	for (const fault of active) {
		if (fault.kind === 'store') {
			kinds.add(fault.fault);
		}

		const isPartial =
			fault.kind === 'isolate' ||
			(fault.kind === 'store' && fault.fault === 'refuses-hosts');
		if (isPartial) {
			for (const {ip} of listHosts(system, fault.dataCentre)) {
				refused.add(ip);
			}
		}
	}

	const {faults} = system.store;
	faults.busy = kinds.has('busy') || refused;
	faults.isSilent = kinds.has('silent');
	faults.delayMs = kinds.has('slow') ? slowStoreMs : 0;
	faults.losesAnswers = kinds.has('loses-answers');
	faults.areWatchesDeaf = kinds.has('deaf-watches');
}

function listHosts(
	{hosts}: SchedulingSystem,
	dataCentre: string,
): SchedulingHostProcess[] {
	return hosts.filter((host) => host.dataCentre === dataCentre);
}

/** A relay leads to its host from the other data centres. */
async function applyToRelay(
	{active, relayFaults}: Context,
	{name, dataCentre, relay}: SchedulingHostProcess,
	begun?: SoakFault,
): Promise<void> {
	let fault: RelayFault = 'heal';
	for (const one of active) {
		if (one.kind === 'isolate') {
			fault = 'silence';
		} else if (
			one.kind === 'link' &&
			one.dataCentre === dataCentre &&
			(one.fault !== 'silence-open' || one === begun) &&
			fault !== 'silence'
		) {
			fault = one.fault;
		}
	}

	if (relayFaults.get(name) !== fault) {
		relayFaults.set(name, fault);
		await relay?.applyFault(fault);
	}
}

async function applyToHost(
	{system, log}: Context,
	{host: name, fault, forMs}: Extract<SoakFault, {kind: 'host'}>,
): Promise<void> {
	const host = system.hosts.find((one) => one.name === name)!;
	const {child} = host.process;
	if (fault === 'freeze') {
		child.kill('SIGSTOP');
		await delay(forMs);
		child.kill('SIGCONT');
		return;
	}

	const from = performance.now();
	child.kill(fault === 'kill' ? 'SIGKILL' : 'SIGTERM');
	await waitForEnd(child);
	if (fault === 'restart') {
		log.stops.push({host: name, from, until: performance.now()});
	} else {
		await delay(forMs);
	}

	system.startAgain(host);
}

function changeConfiguration({system, log, prefixes}: Context): void {
	const prefix = `/added-${prefixes.length}/`;
	prefixes.push(prefix);
	system.putConfiguration(prefixes);
	log.changes.push({prefix, at: performance.now()});
}

async function applyToExecutor(
	context: Context,
	{executor: index, fault, forMs}: Extract<SoakFault, {kind: 'executor'}>,
): Promise<void> {
	const {system, log} = context;
	const present = system.listPresent();
	const executor = present[index % present.length]!;
	if (fault === 'resets') {
		executor.resetConnections();
		return;
	}

	if (fault === 'crash') {
		await renewExecutor(context, executor, forMs);
		return;
	}

	if (fault === 'drain') {
		system.putExecutor(executor, 'draining');
		const toldAt = performance.now();
		await delay(drainMs + forMs);
		log.drains.push({
			executor: executor.id,
			toldAt,
			leftAt: performance.now(),
		});
		await renewExecutor(context, executor, 0);
		return;
	}

	setExecutorFault(executor, fault, true);
	await delay(forMs);
	setExecutorFault(executor, fault, false);
}

/** Two faults of one kind on one executor end with the first: seldom, and no promise rests on it. */
function setExecutorFault(
	{faults}: LeasedExecutor,
	fault: 'silent' | 'slow' | 'fails' | 'late-starts',
	isOn: boolean,
): void {
	switch (fault) {
		case 'silent': {
			faults.isSilent = isOn;
			break;
		}

		case 'slow': {
			faults.slowness = isOn ? slowExecutorFactor : 1;
			break;
		}

		case 'fails': {
			faults.failsAll = isOn;
			break;
		}

		case 'late-starts': {
			faults.lateStartMs = isOn ? lateStartMs : 0;
			break;
		}
	}
}

async function renewExecutor(
	context: Context,
	executor: LeasedExecutor,
	awayMs: number,
): Promise<void> {
	if (!(await context.system.removeExecutor(executor))) {
		return;
	}

	await delay(awayMs);
	const dataCentre = context.system.getDataCentre(executor);
	const id = `${dataCentre}-n${context.nextExecutor}`;
	context.nextExecutor += 1;
	await context.system.addExecutor(id, dataCentre);
}
