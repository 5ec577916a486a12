/**
One replay of one trace against one variant of the program: starts the system, warms it up,
replays, reads all counters and ends it.
*/
import os from 'node:os';
import {
	checkPromises,
	countTold,
	makeJobId,
	fetchIssuer,
	runJob,
	startSystem,
	type RunningSystem,
	type Violation,
} from '@gentianshift/trials';
import {Agent, type Dispatcher} from 'undici';
import {readCounters, subtractCounters} from './counters.js';
import {computeMeasures, type Measures} from './measures.js';
import {replayTrace} from './replay.js';
import {
	connectionsEach,
	executorsPerDataCentre,
	slotsEach,
	type Trace,
} from './trace.js';

/** A program to measure. */
export type Variant = {
	label: string;
	/** Arguments to Node that run it; absent: this version. */
	program?: readonly string[];
	env?: Record<string, string>;
};

export type RunResult = {
	measures: Measures;
	violations: Violation[];
	/** Jobs by what their callers were told in the end. */
	told: Record<string, number>;
};

/** The brief: 7 to 9 entry hosts. */
const hostsPerDataCentre = 3;
/** Jobs for warming up, at each host, one after another: code is compiled, connections are open. */
const warmUpRounds = 12;
/** Lone jobs by which the round trips are measured. */
const roundTripProbes = 41;
/** A caller's machine has no fewer connections than jobs under way. */
const callerConnections = 4096;

export async function runTrace(
	trace: Trace,
	variant: Variant,
): Promise<RunResult> {
	const {header} = trace;
	const system = await startSystem({
		dataCentres: header.dataCentres,
		hostsPerDataCentre,
		delayMs: header.delayMs,
		targets: Object.fromEntries(
			Object.entries(header.targets).map(([name, size]) => [
				name,
				{
					executorsPerDataCentre: size === 'full' ? executorsPerDataCentre : 0,
					slots: slotsEach,
					connections: connectionsEach,
				},
			]),
		),
		services: header.services,
		teams: header.teams,
		program: variant.program,
		env: variant.env,
	});
	const dispatcher = new Agent({connections: callerConnections, pipelining: 1});
	try {
		return await measureSystem(trace, system, dispatcher);
	} finally {
		await dispatcher.destroy();
		await system.end();
	}
}

async function measureSystem(
	trace: Trace,
	system: RunningSystem,
	dispatcher: Dispatcher,
): Promise<RunResult> {
	await warmUp(trace, system, dispatcher);
	const roundTripMs = await measureRoundTrip(trace, system, dispatcher);
	const startsBefore = await system.readStarts();
	const refusedBefore = await countRefused(system);
	const before = await readCounters(system);
	const replay = await replayTrace(trace, system, dispatcher);
	const [machineLoad] = os.loadavg() as [number];
	const after = await readCounters(system);
	const starts = await system.readStarts();
	const stats = await system.readStats();
	const measures: Measures = {
		'machine.load': machineLoad,
		...computeMeasures({
			trace,
			replay,
			starts: starts.slice(startsBefore.length),
			refusedAtExecutors: (await countRefused(system)) - refusedBefore,
			stats,
			counters: subtractCounters(after, before),
			roundTripMs,
		}),
	};
	const outcomes = replay.runs.map(({outcome}) => outcome);
	const violations = checkPromises({
		starts,
		outcomes,
		stats,
		connections: connectionsEach,
	});
	return {measures, violations, told: countTold(outcomes)};
}

async function countRefused(system: RunningSystem): Promise<number> {
	const stats = await system.readStats();
	return stats.reduce((sum, {refused}) => sum + refused, 0);
}

async function warmUp(
	trace: Trace,
	system: RunningSystem,
	dispatcher: Dispatcher,
): Promise<void> {
	for (let round = 0; round < warmUpRounds; round++) {
		await Promise.all(
			system.urls.map(async (url) =>
				runLoneJob(trace, {url, dispatcher, tasks: 40, ms: 50}),
			),
		);
	}
}

/** Median of a lone job of one task that takes no time: the network's and the program's share. */
async function measureRoundTrip(
	trace: Trace,
	system: RunningSystem,
	dispatcher: Dispatcher,
): Promise<number> {
	const times: number[] = [];
	for (let i = 0; i < roundTripProbes; i++) {
		const url = system.urls[i % system.urls.length]!;
		const job = {url, dispatcher, tasks: 1, ms: 0};
		times.push(await runLoneJob(trace, job));
	}

	return times.toSorted((a, b) => a - b)[Math.floor(times.length / 2)]!;
}

async function runLoneJob(
	{header}: Trace,
	options: {url: string; dispatcher: Dispatcher; tasks: number; ms: number},
): Promise<number> {
	const {url, dispatcher, ms} = options;
	const id = makeJobId(await fetchIssuer(url));
	const outcome = await runJob(
		[url],
		id,
		{
			service: Object.keys(header.services)[0]!,
			team: Object.keys(header.teams)[0]!,
			tasks: Array.from({length: options.tasks}, () => ({ms})),
		},
		{dispatcher, waitMs: 10_000},
	);
	return outcome.tookMs;
}
