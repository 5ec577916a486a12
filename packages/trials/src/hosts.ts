/**
The entry hosts of a trial as processes, and the signals that a trial sends them.
*/
import {existsSync, readFileSync} from 'node:fs';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {request} from 'undici';
import {formatHostSettings, type HostPlace} from './layout.js';
import {
	endProcess,
	hasEnded,
	type ProcessGroup,
	type TrialProcess,
	waitFor,
	workspaceRoot,
} from './processes.js';

export type HostOptions = {
	processes: ProcessGroup;
	dir: string;
	/** By data centre. */
	platformUrls: Record<string, string>;
	/** Arguments to Node that run the program. */
	program: readonly string[];
	env?: Record<string, string>;
	/** Further sections of the settings, as INI. */
	settings?: string;
};

export type SystemHost = HostPlace & {
	/** Where callers and operators reach it. */
	url: string;
	settingsFile: string;
	process: TrialProcess;
};

/** A host that isn't ready by then has a fault, milliseconds. */
const readyLimitMs = 20_000;

/** The end of a host's output says why it ended, characters. */
const tailLength = 600;

const bundle = path.join(workspaceRoot, 'dist/gentianshift.cjs');

/**
The build that GENTIANSHIFT_TRIAL_PROGRAM names (an older or a broken one, to see a test fail), else
the built bundle where there is one, else the sources.
*/
export function findProgram(): string[] {
	const named = process.env.GENTIANSHIFT_TRIAL_PROGRAM;
	if (named !== undefined) {
		return [path.resolve(named)];
	}

	return existsSync(bundle)
		? [bundle]
		: ['--import', 'tsx', 'packages/cli/src/main.ts'];
}

/** Starts all hosts and waits until they are ready. */
export async function startHosts(
	places: readonly HostPlace[],
	options: HostOptions,
) {
	const {processes, dir, program, env, settings} = options;
	const hosts = await Promise.all(places.map(async (place) => addHost(place)));
	await Promise.all(hosts.map(async (host) => waitUntilReady(host)));

	async function addHost(place: HostPlace): Promise<SystemHost> {
		const settingsFile = path.join(dir, `${place.name}.ini`);
		const platformUrl = options.platformUrls[place.dataCentre]!;
		const text = formatHostSettings(place, platformUrl, settings);
		await writeFile(settingsFile, text);
		const url = `http://${place.ip}:${place.callersPort}`;
		const started = startHostProcess(place.name, settingsFile);
		return {...place, url, settingsFile, process: started};
	}

	function startHostProcess(name: string, settingsFile: string): TrialProcess {
		const args = [...program, 'serve', '--settings', settingsFile];
		return processes.startProcess({name, args, dir, env});
	}

	function getHost(name: string): SystemHost {
		const host = hosts.find((one) => one.name === name);
		if (host === undefined) {
			throw new Error(`no host "${name}"`);
		}

		return host;
	}

	return {
		hosts,
		getHost,
		freeze(name: string): void {
			getHost(name).process.child.kill('SIGSTOP');
		},
		thaw(name: string): void {
			getHost(name).process.child.kill('SIGCONT');
		},
		async kill(name: string): Promise<void> {
			await endProcess(getHost(name).process, 'SIGKILL');
		},
		/** SIGTERM, then waits for the end of the process; gives its exit code. */
		async terminate(name: string): Promise<number | null> {
			const {process: running} = getHost(name);
			await endProcess(running, 'SIGTERM');
			return running.child.exitCode;
		},
		/** Starts a host's process again, with the same settings, and waits until it is ready. */
		async restart(name: string): Promise<void> {
			const host = getHost(name);
			await endProcess(host.process, 'SIGKILL');
			host.process = startHostProcess(name, host.settingsFile);
			await waitUntilReady(host);
		},
	};
}

async function waitUntilReady(host: SystemHost): Promise<void> {
	const {name, url, process: running} = host;
	await waitFor(
		async () => {
			if (hasEnded(running.child)) {
				const output = readFileSync(running.outputFile, 'utf8');
				throw new Error(`host ${name} ended: ${output.slice(-tailLength)}`);
			}

			return probeUrl(`${url}/readyz`);
		},
		`${name} to be ready`,
		readyLimitMs,
	);
}

/** True when the URL answers 200, else undefined. */
export async function probeUrl(url: string): Promise<true | undefined> {
	try {
		const response = await request(url);
		await response.body.dump();
		return response.statusCode === 200 ? true : undefined;
	} catch {
		return undefined;
	}
}
