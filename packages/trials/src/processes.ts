/**
Processes of a trial: started, signalled by their id, and all ended at its end.
*/
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {openSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

export type ProcessSettings = {
	name: string;
	/** Arguments to Node. */
	args: readonly string[];
	/** Output goes to `NAME.out` in here. */
	dir: string;
	env?: Record<string, string>;
};

export type TrialProcess = {
	name: string;
	outputFile: string;
	child: ChildProcess;
};

/** The workspace's root. */
export const workspaceRoot = path.resolve(import.meta.dirname, '../../..');

/** A process that has not said it listens by then will not, milliseconds. */
const startLimitMs = 20_000;
const pollMs = 20;

/** The processes of one trial. */
export class ProcessGroup {
	readonly #processes = new Set<TrialProcess>();

	constructor() {
		// A run that ends before it has ended its processes would leave them behind, busy, for the runs after it.
		process.once('exit', () => {
			for (const {child} of this.#processes) {
				child.kill('SIGKILL');
			}
		});
	}

	startProcess({name, args, dir, env}: ProcessSettings): TrialProcess {
		const outputFile = path.join(dir, `${name}.out`);
		const output = openSync(outputFile, 'a');
		const child = spawn(process.execPath, args, {
			cwd: workspaceRoot,
			stdio: ['ignore', output, output],
			env: {...process.env, ...env},
		});
		const started = {name, outputFile, child};
		this.#processes.add(started);
		child.once('exit', () => {
			this.#processes.delete(started);
		});
		return started;
	}

	/** Kills what still runs, frozen ones too, and waits for its end. */
	async endAll(): Promise<void> {
		const running = [...this.#processes];
		await Promise.all(running.map(async (one) => endProcess(one, 'SIGKILL')));
	}
}

/** Sends the signal and waits for the process's end; false when it had ended already. */
export async function endProcess(
	{child}: TrialProcess,
	signal: NodeJS.Signals,
): Promise<boolean> {
	if (hasEnded(child)) {
		return false;
	}

	child.kill(signal);
	await waitForEnd(child);
	return true;
}

export async function waitForEnd(child: ChildProcess): Promise<void> {
	if (!hasEnded(child)) {
		await once(child, 'exit');
	}
}

export function hasEnded(child: ChildProcess): boolean {
	return child.exitCode !== null || child.signalCode !== null;
}

/** Waits for the first line of JSON, which says where the process listens. */
export async function readFirstJson(started: TrialProcess): Promise<unknown> {
	const line = await waitFor(
		() => {
			const text = readFileSync(started.outputFile, 'utf8');
			const whole = text.slice(0, text.lastIndexOf('\n') + 1);
			return whole.split('\n').find((one) => one.startsWith('{"'));
		},
		`${started.name} to listen`,
		startLimitMs,
	);
	return JSON.parse(line);
}

/** Asks again and again until there is a value; throws when the limit is over. */
export async function waitFor<T>(
	probe: () => Promise<T | undefined> | T | undefined,
	what: string | (() => string),
	limitMs: number,
): Promise<T> {
	const end = performance.now() + limitMs;
	while (performance.now() < end) {
		const value = await probe();
		if (value !== undefined) {
			return value;
		}

		await delay(pollMs);
	}

	const text = typeof what === 'string' ? what : what();
	throw new Error(`waited ${limitMs} ms for ${text}`);
}
