/**
A whole system of real processes for a trial: platform stand-in, relays between data centres,
executor stand-ins and entry hosts, with the faults that a trial brings about.

@example
const system = await startSystem({hostsPerDataCentre: 3});
t.after(async () => system.end());
const id = await system.makeId();
const outcome = await runJob(system.urls, id, {service: 'meals', team: 'cooks', tasks: [{ms: 50}]});
assert.deepEqual(checkPromises({starts: await system.readStarts(), outcomes: [outcome]}), []);
*/
import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {afterEach} from 'node:test';
import {fetchIssuer, makeJobId} from './caller.js';
import {createTargetSpec, declare, declareAll} from './declarations.js';
import {findProgram, startHosts} from './hosts.js';
import {defaultLayout, placeHosts, type SystemLayout} from './layout.js';
import {ProcessGroup} from './processes.js';
import {hasPassed} from './test-result.js';
import {
	startExecutorProcesses,
	startPlatformProcess,
	startRelays,
} from './system.js';

export type SystemOptions = Partial<SystemLayout> & {
	/** Arguments to Node that run the program; the built bundle where there is one. */
	program?: readonly string[];
	/** Environment of the hosts. */
	env?: Record<string, string>;
	/** Further sections of the hosts' settings, as INI. */
	settings?: string;
};

/** A fault of the network; `silence-open` silences only the connections that are open now. */
export type NetworkFault = 'cut' | 'silence' | 'silence-open' | 'heal';

export type RunningSystem = Awaited<ReturnType<typeof startSystem>>;

type OpenOptions = {
	layout: SystemLayout;
	options: SystemOptions;
	processes: ProcessGroup;
	dir: string;
};

const linkModes = {
	cut: 'cut',
	silence: 'silent',
	'silence-open': 'silent-open',
	heal: 'ok',
} as const;

const platformModes = {
	cut: 'down',
	silence: 'silent',
	'silence-open': 'ok',
	heal: 'ok',
} as const;

/** A test of this process has failed. */
let hasFailed = false;
const isTestRun = process.env.NODE_TEST_CONTEXT !== undefined;
if (isTestRun) {
	afterEach((context) => {
		hasFailed ||= !hasPassed(context);
	});
}

/** Starts everything and declares the resources; ends everything again when that fails. */
export async function startSystem(options: SystemOptions = {}) {
	const layout: SystemLayout = {...defaultLayout, ...options};
	const processes = new ProcessGroup();
	const dir = await mkdtemp(path.join(os.tmpdir(), 'gentianshift-trial-'));
	try {
		return await openSystem({layout, options, processes, dir});
	} catch (error) {
		await processes.endAll();
		throw new Error(`the system did not start; its output is in ${dir}`, {
			cause: error,
		});
	}
}

async function openSystem({layout, options, processes, dir}: OpenOptions) {
	const places = await placeHosts(layout);
	const start = {processes, layout, dir};
	const [platform, relays, executors] = await Promise.all([
		startPlatformProcess(start),
		startRelays(start, places),
		startExecutorProcesses(start),
	]);
	const leaving = new Set<string>();
	const leavingWorkers = new Set<string>();
	await platform.setViews(relays.views);
	await publishHosts();
	const hosts = await startHosts(places, {
		processes,
		dir,
		platformUrls: platform.urls,
		program: options.program ?? findProgram(),
		env: options.env,
		settings: options.settings,
	});
	await declareAll(hosts.hosts, layout, executors.places);

	async function publishHosts(): Promise<void> {
		const hostEntries = places.map(({name, dataCentre, ip, innerPort}) => ({
			name,
			dataCentre,
			role: 'entry',
			address: `${ip}:${innerPort}`,
			state: leaving.has(name) ? 'leaving' : 'live',
		}));
		const workers = new Map(executors.places.map((one) => [one.ip, one]));
		const workerEntries = [...workers.values()].map(({ip, dataCentre}) => ({
			name: `worker-${ip.replaceAll('.', '-')}`,
			dataCentre,
			role: 'worker',
			address: ip,
			state: leavingWorkers.has(ip) ? 'leaving' : 'live',
		}));
		await platform.setHosts([...hostEntries, ...workerEntries]);
	}

	async function applyBetween(
		a: string,
		b: string,
		fault: NetworkFault,
	): Promise<void> {
		await Promise.all([
			relays.applyFault(a, b, fault),
			executors.setLink(a, b, linkModes[fault]),
			executors.setLink(b, a, linkModes[fault]),
		]);
	}

	return {
		...hosts,
		layout,
		dir,
		/** Callers' URLs of all hosts. */
		urls: hosts.hosts.map(({url}) => url),
		platform,
		executors: executors.places,
		declare,
		readStarts: executors.readStarts,
		readStats: executors.readStats,
		setMode: executors.setMode,
		setLink: executors.setLink,
		/** A target's spec, with some of its executors leaving, to be declared anew. */
		createTargetSpec: (target: string, leavingOnes: readonly string[] = []) =>
			createTargetSpec(executors.places, target, leavingOnes),
		/** Makes a job's id under the issuer of a host (the first where none is named). */
		async makeId(host = places[0]!.name): Promise<string> {
			return makeJobId(await fetchIssuer(hosts.getHost(host).url));
		},
		/** What the platform's list says of a host. */
		async listHost(name: string, state: 'live' | 'leaving'): Promise<void> {
			if (state === 'leaving') {
				leaving.add(name);
			} else {
				leaving.delete(name);
			}

			await publishHosts();
		},
		/** What the platform's list says of a worker, by its IP. */
		async listWorker(ip: string, state: 'live' | 'leaving'): Promise<void> {
			if (state === 'leaving') {
				leavingWorkers.add(ip);
			} else {
				leavingWorkers.delete(ip);
			}

			await publishHosts();
		},
		/** A fault between two data centres: hosts with each other and with executors. */
		applyBetween,
		/** A fault between one data centre on one side, all others and the platform on the other. */
		async isolate(dataCentre: string, fault: NetworkFault): Promise<void> {
			const others = layout.dataCentres.filter((one) => one !== dataCentre);
			await Promise.all([
				...others.map(async (other) => applyBetween(dataCentre, other, fault)),
				platform.setFault({dataCentre, mode: platformModes[fault]}),
			]);
		},
		/** Ends all processes and removes their files, unless a test of the process has failed: its cause is to be found in them. */
		async end(): Promise<void> {
			await processes.endAll();
			if (hasFailed) {
				process.stdout.write(`the output of the hosts is in ${dir}\n`);
				return;
			}

			await rm(dir, {recursive: true, force: true});
		},
	};
}
