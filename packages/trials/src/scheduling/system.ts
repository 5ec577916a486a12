/**
A whole system on the users' platform's protocol, for trials: the metadata store and executors as
stand-ins in the test's process, hosts as processes of their own, each at its own loopback IP.
*/
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	LeasedExecutor,
	MetadataStore,
	RelayLink,
	type BornIn,
	type RestartOptions,
} from '@gentianshift/standins';
import {request} from 'undici';
import {findFreePorts} from '../ports.js';
import {
	endProcess,
	ProcessGroup,
	waitFor,
	workspaceRoot,
	type TrialProcess,
} from '../processes.js';
import {hasPassed} from '../test-result.js';

export const service = 'meals';
export const queueHost = 'kitchen.example';
export const queuePrefix = '/menu/';

const bundle = path.join(workspaceRoot, 'dist/gentianshift.cjs');
const executorCpu = 32_000;
/** A task takes a good third of an executor: two fit. */
export const taskCpu = 14_000;
const readyLimitMs = 15_000;
/** Hosts hang up on a silent peer within this time, and have dialled it anew after another. */
const hangUpMs = 3200;
const relayLimitMs = 5000;
/** Characters of a host's output that tell why it is not ready. */
const tailLength = 2000;

export type SchedulingHostProcess = {
	name: string;
	dataCentre: string;
	ip: string;
	/** `ip:port` for callers. */
	callers: string;
	readiness: string;
	settingsFile: string;
	process: TrialProcess;
	/** Where hosts of other data centres reach it. */
	relay?: RelayLink;
};

export type SchedulingSystemOptions = {
	/** Hosts of each data centre. */
	hosts?: Record<string, number>;
	/** Executors of each data centre. */
	executors?: Record<string, number>;
	/** Which answers of executors state when their process started; undefined: none. */
	bornIn?: BornIn;
	/** Processor cores of hosts by name; the others' settings name none. */
	cores?: Record<string, number>;
	/** Further lines of all hosts' settings. */
	settings?: readonly string[];
	/** Hosts reach those of other data centres through relays, which can be cut. */
	hasRelays?: boolean;
	/** Calls that the store refuses from the first on. */
	isRefused?: MetadataStore['isRefused'];
};

/** Each test process, and each system in it, has IPs of its own: metrics stand at a fixed port. */
const processSubnet = 40 + (process.pid % 200);
let nextSubnet = 0;

function takeSubnet(): string {
	nextSubnet += 1;
	return `127.${processSubnet}.${nextSubnet}`;
}

export class SchedulingSystem {
	readonly store = new MetadataStore();
	readonly executors: LeasedExecutor[] = [];
	readonly hosts: SchedulingHostProcess[] = [];
	readonly #registered = new Map<
		LeasedExecutor,
		{address: string; dataCentre: string}
	>();

	readonly #removed = new Set<LeasedExecutor>();
	readonly #group = new ProcessGroup();
	readonly #dir = mkdtempSync(path.join(os.tmpdir(), 'gentianshift-'));
	readonly #subnet = takeSubnet();
	#bornIn: BornIn | undefined;
	#storeAddress = '';
	#nextIp = 10;
	#version = 1;

	async start({
		hosts = {mieres: 2, langreo: 2},
		executors = {mieres: 4, langreo: 4},
		bornIn,
		cores = {},
		settings = [],
		hasRelays = false,
		isRefused,
	}: SchedulingSystemOptions = {}): Promise<void> {
		this.#bornIn = bornIn;
		if (isRefused) {
			this.store.isRefused = isRefused;
		}

		if (hasRelays) {
			this.store.presentValue = (key, value, caller) =>
				this.#presentHost(key, value, caller);
		}

		this.#storeAddress = await this.store.start(this.#takeIp());
		this.putConfiguration();
		for (const [dataCentre, count] of Object.entries(executors)) {
			for (let i = 0; i < count; i += 1) {
				await this.addExecutor(`${dataCentre}-e${i + 1}`, dataCentre);
			}
		}

		for (const [dataCentre, count] of Object.entries(hosts)) {
			for (let i = 0; i < count; i += 1) {
				this.hosts.push(
					await this.#makeHost(`${dataCentre}-${i + 1}`, dataCentre, {
						hasRelay: hasRelays,
						cores: cores[`${dataCentre}-${i + 1}`],
						settings,
					}),
				);
			}
		}

		await this.waitUntilReady(this.hosts);
	}

	/** Writes the next version of the configuration; `prefixes` are its queues. */
	putConfiguration(prefixes: readonly string[] = [queuePrefix]): number {
		this.#version += 3;
		this.store.put('op/config', {
			version: this.#version,
			routes: prefixes.map((prefix) => ({
				name: `queue${prefix}`,
				host: queueHost,
				prefix,
				kind: 'mutating',
				timeout_ms: 1500,
				target_duration_ms: 60,
				priority: 1,
				service,
				max_attempts: 3,
				slack_factor: 1.6,
			})),
			services: [{name: service, enforce_limits: true}],
			limits: {max_body_bytes: 262_144},
		});
		return this.#version;
	}

	async addExecutor(id: string, dataCentre: string): Promise<LeasedExecutor> {
		const executor = new LeasedExecutor(id, executorCpu, this.#bornIn);
		const address = await executor.start(this.#takeIp());
		this.executors.push(executor);
		this.#registered.set(executor, {address, dataCentre});
		this.putExecutor(executor, 'ready');
		return executor;
	}

	/** The executor's own word in the store. */
	putExecutor(executor: LeasedExecutor, state: 'ready' | 'draining'): void {
		const {address, dataCentre} = this.#registered.get(executor)!;
		this.store.put(`servers/${executor.id}`, {
			service,
			address,
			zone: dataCentre,
			version: 'v1',
			slots: 8,
			state,
			capacity: {cpu: executorCpu, mem_mb: 131_072, gpu: 0},
			labels: ['a', 'r1'],
			sequence: 1,
			born: executor.bornMs,
		});
	}

	/** It crashes, and its next process registers itself under its id as it starts. */
	async startExecutorAgain(
		executor: LeasedExecutor,
		options: RestartOptions,
	): Promise<void> {
		await executor.startAgain(options);
		this.putExecutor(executor, 'ready');
	}

	/** Executors that have not been removed. */
	listPresent(): LeasedExecutor[] {
		return this.executors.filter((executor) => !this.#removed.has(executor));
	}

	getDataCentre(executor: LeasedExecutor): string {
		return this.#registered.get(executor)!.dataCentre;
	}

	/** It leaves, or crashes: what runs there ends, and its entry goes. False: it had gone before. */
	async removeExecutor(executor: LeasedExecutor): Promise<boolean> {
		if (this.#removed.has(executor)) {
			return false;
		}

		this.#removed.add(executor);
		await executor.stop();
		this.store.remove(`servers/${executor.id}`);
		return true;
	}

	/** Starts a host's process again at its address. */
	startAgain(host: SchedulingHostProcess): void {
		host.process = this.#startProcess(host.name, host.settingsFile);
	}

	async waitUntilReady(hosts: readonly SchedulingHostProcess[]): Promise<void> {
		for (const host of hosts) {
			await waitFor(
				async () => ((await isReady(host)) ? true : undefined),
				() =>
					`${host.name} to be ready; it wrote last: ${readLastOutput(host)}`,
				readyLimitMs,
			);
		}
	}

	/** The host that schedules a data centre's executors, by the store's word. */
	findHolder(dataCentre: string): SchedulingHostProcess | undefined {
		const [item] = this.store.list(`gentianshift/groups/${dataCentre}`);
		return this.hosts.find(
			(host) =>
				item?.value.startsWith(`${host.dataCentre}_${host.name}.`) ?? false,
		);
	}

	/**
	Hosts that met before they had read the list are connected past the relays. While the hosts of a data centre are
	paused, all others close what they dialled there; dialled anew, it is at the listed addresses.
	*/
	async sendThroughRelays(): Promise<void> {
		const dataCentres = new Set(this.hosts.map(({dataCentre}) => dataCentre));
		for (const dataCentre of dataCentres) {
			await this.#stopBriefly(dataCentre);
		}

		for (const host of this.hosts) {
			const outside = this.hosts.filter(
				({dataCentre}) => dataCentre !== host.dataCentre,
			);
			await waitFor(
				() => host.relay!.connectionCount >= outside.length || undefined,
				`${outside.length} hosts to reach ${host.name} through its relay`,
				relayLimitMs,
			);
		}
	}

	/** Cuts a data centre off from the others and from the store: nothing answers, nothing is closed. */
	async applyCut(dataCentre: string): Promise<void> {
		const inside = this.hosts.filter((host) => host.dataCentre === dataCentre);
		this.store.faults.busy = new Set(inside.map(({ip}) => ip));
		await Promise.all(
			this.hosts.map(async ({relay}) => relay?.applyFault('silence')),
		);
	}

	async endCut(): Promise<void> {
		this.store.faults.busy = false;
		await Promise.all(
			this.hosts.map(async ({relay}) => relay?.applyFault('heal')),
		);
	}

	/** `keepsOutput`: what the hosts wrote stays, to trace a failure. */
	async end({keepsOutput = false} = {}): Promise<void> {
		await this.#group.endAll();
		await Promise.all(this.hosts.map(async ({relay}) => relay?.close()));
		await Promise.all(this.listPresent().map(async (one) => one.stop()));
		await this.store.stop();
		if (!keepsOutput) {
			rmSync(this.#dir, {recursive: true});
		}
	}

	/** Where the hosts' output is. */
	get outputDir(): string {
		return this.#dir;
	}

	/** What a host has written. */
	getOutputFile(host: SchedulingHostProcess): string {
		return host.process.outputFile;
	}

	async #stopBriefly(dataCentre: string): Promise<void> {
		const inside = this.hosts.filter((host) => host.dataCentre === dataCentre);
		for (const {process} of inside) {
			process.child.kill('SIGSTOP');
		}

		await delay(hangUpMs);
		for (const {process} of inside) {
			process.child.kill('SIGCONT');
		}

		await delay(hangUpMs);
	}

	async #makeHost(
		name: string,
		dataCentre: string,
		{
			hasRelay,
			cores,
			settings,
		}: {hasRelay: boolean; cores?: number; settings: readonly string[]},
	): Promise<SchedulingHostProcess> {
		const ip = this.#takeIp();
		const ports = await findFreePorts(ip, 3);
		const [callers = '', readiness = '', inner = ''] = ports.map(
			(port) => `${ip}:${port}`,
		);
		const settingsFile = path.join(this.#dir, `${name}.conf`);
		writeFileSync(
			settingsFile,
			[
				`node_name=${name}`,
				`zone=${dataCentre}`,
				`ip=${ip}`,
				`bind_addresses.frontend=${callers}`,
				`bind_addresses.ready=${readiness}`,
				`bind_addresses.control_plane=${inner}`,
				'seed_nodes=',
				`platform.address=${this.#storeAddress}`,
				'bounds.grace_period_s=6',
				...(cores === undefined ? [] : [`limits.cpu_fraction=${cores}`]),
				...settings,
				'',
			].join('\n'),
		);
		const started = this.#startProcess(name, settingsFile);
		return {
			name,
			dataCentre,
			ip,
			callers,
			readiness,
			settingsFile,
			process: started,
			relay: hasRelay ? await openRelay(name, inner) : undefined,
		};
	}

	#startProcess(name: string, settingsFile: string): TrialProcess {
		return this.#group.startProcess({
			name,
			args: [bundle, 'serve'],
			dir: this.#dir,
			env: {GENTIANSHIFT_SETTINGS: settingsFile},
		});
	}

	/** A host's entry, as a host at that IP has to read it to go through relays. */
	#presentHost(key: string, value: string, caller: string): string {
		const host = this.hosts.find(({name}) => key.endsWith(`/${name}`));
		const reader = this.hosts.find(({ip}) => ip === caller);
		if (!host?.relay || reader?.dataCentre === host.dataCentre) {
			return value;
		}

		const {listen} = host.relay.settings;
		const entry = JSON.parse(value) as Record<string, unknown>;
		return JSON.stringify({
			...entry,
			address: `${listen.ip}:${host.relay.port}`,
		});
	}

	#takeIp(): string {
		this.#nextIp += 1;
		return `${this.#subnet}.${this.#nextIp}`;
	}
}

/** A relay on the host's own IP; it leads to the host's address for others. */
async function openRelay(name: string, address: string): Promise<RelayLink> {
	const [ip = '', port = ''] = address.split(':');
	const relay = new RelayLink({
		name,
		listen: {ip, port: 0},
		target: {ip, port: Number(port)},
		delayMs: 0,
	});
	await relay.open();
	return relay;
}

/** Starts a system; the caller ends it. One that fails to start is ended here: else its hosts outlive the test. */
export async function startSchedulingSystem(
	options?: SchedulingSystemOptions,
): Promise<SchedulingSystem> {
	const system = new SchedulingSystem();
	try {
		await system.start(options);
	} catch (error) {
		await system.end();
		throw error;
	}

	return system;
}

export async function stopHost(
	host: SchedulingHostProcess,
	signal: NodeJS.Signals = 'SIGKILL',
): Promise<void> {
	await endProcess(host.process, signal);
}

function readLastOutput({
	process: {outputFile},
}: SchedulingHostProcess): string {
	return readFileSync(outputFile, 'utf8').slice(-tailLength);
}

async function isReady({readiness}: SchedulingHostProcess): Promise<boolean> {
	try {
		const reply = await request(`http://${readiness}/v1/readyz`, {
			reset: true,
		});
		await reply.body.dump();
		return reply.statusCode === 200;
	} catch {
		return false;
	}
}

/** Starts a system that ends with its test. */
export async function openSystem(
	context: TestContext,
	options?: SchedulingSystemOptions,
): Promise<SchedulingSystem> {
	const system = await startSchedulingSystem(options);
	context.after(async () => {
		const keepsOutput = !hasPassed(context);
		if (keepsOutput) {
			context.diagnostic(`the hosts' output is in ${system.outputDir}`);
		}

		await system.end({keepsOutput});
	});
	return system;
}
