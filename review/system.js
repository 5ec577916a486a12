/**
A small deployment on loopback addresses and the real clock: the project's stand-in of the platform's store, stand-ins of
executors and clients, and hosts as processes, started by the command of `deploy/system.toml`.
*/
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream,
	mkdtempSync,
	openSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import {Agent, request} from 'node:http';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Executor} from './executor.js';

const root = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..');
const storeFile = path.join(root, 'target/review/metadata-store.mjs');

export const service = 'kitchen';
export const queueHost = 'meals.example';
export const prefix = '/menu/';
/** A task takes 14 cores: two fit on an executor of 32. */
export const taskCpu = 14_000;
const executorCpu = 32_000;

function readRunCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>.*)"$/mv.exec(text).groups.command.split(' ');
}

async function findFreePort(ip) {
	const server = createServer();
	server.listen(0, ip);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
}

export class System {
	hosts = [];
	executors = [];
	/** All runs that executors have begun. */
	runs = [];
	#startedAt = performance.now();
	#dir = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	#subnet = `127.${60 + (process.pid % 150)}.${1 + (Math.trunc(process.pid / 150) % 250)}`;
	#lastIp = 1;
	#version = 4;
	#record;
	#isEnded = false;

	constructor(recordFile) {
		this.#record = createWriteStream(recordFile);
	}

	record = (what, fields = {}) => {
		if (this.#isEnded) {
			return;
		}

		const at = ((performance.now() - this.#startedAt) / 1000).toFixed(4);
		this.#record.write(`${at} ${what} ${JSON.stringify(fields)}\n`);
	};

	/** `hosts` and `executors`: how many in each zone. */
	async start({hosts, executors, enforceLimits = true}) {
		const {MetadataStore} = await import(storeFile);
		this.store = new MetadataStore();
		this.storeAddress = await this.store.start(this.takeIp());
		this.putConfiguration({enforceLimits});
		for (const [zone, count] of Object.entries(executors)) {
			for (let i = 1; i <= count; i += 1) {
				const executor = new Executor({
					id: `i-${zone}-${i}`,
					ip: this.takeIp(),
					zone,
					service,
					cpu: executorCpu,
					store: this.store,
					record: this.record,
					runs: this.runs,
				});
				this.executors.push(executor);
				await executor.start();
			}
		}

		for (const [zone, count] of Object.entries(hosts)) {
			for (let i = 1; i <= count; i += 1) {
				this.hosts.push(await this.#makeHost(`frontend-${zone}-${i}`, zone));
			}
		}

		for (const host of this.hosts) {
			this.startHost(host);
		}

		await this.waitUntilReady(this.hosts);
	}

	putConfiguration({enforceLimits = true, prefixes = [prefix]} = {}) {
		this.#version += 3;
		this.store.put('op/config', {
			version: this.#version,
			routes: prefixes.map((one) => ({
				name: `r${one.replaceAll('/', '-')}`,
				host: queueHost,
				prefix: one,
				kind: 'mutating',
				timeout_ms: 1500,
				target_duration_ms: 60,
				priority: 1,
				service,
				max_attempts: 3,
				slack_factor: 1.6,
			})),
			services: [{name: service, enforce_limits: enforceLimits}],
			limits: {max_body_bytes: 262_144},
		});
	}

	takeIp() {
		this.#lastIp += 1;
		return `${this.#subnet}.${this.#lastIp}`;
	}

	async #makeHost(name, zone) {
		const ip = this.takeIp();
		const ports = [];
		while (ports.length < 3) {
			ports.push(await findFreePort(ip));
		}

		const [frontend, ready, inner] = ports.map((port) => `${ip}:${port}`);
		const settings = path.join(this.#dir, `${name}.conf`);
		writeFileSync(
			settings,
			[
				`node_name=${name}`,
				'role=host',
				'machine_class=frontend',
				'serves=frontend,control_plane',
				`ip=${ip}`,
				`zone=${zone}`,
				'region=asturias',
				`bind_addresses.frontend=${frontend}`,
				`bind_addresses.ready=${ready}`,
				`bind_addresses.control_plane=${inner}`,
				'seed_nodes=',
				'bootstrap=true',
				'limits.cpu_fraction=0.675',
				'limits.cpu_cores=1',
				'limits.memory_mb=350',
				'discovery=platform',
				'heartbeat_ms=1500',
				'bounds.grace_period_s=6',
				'bounds.retransmit_ms=1300',
				'control_mode=invocation',
				`platform.address=${this.storeAddress}`,
				'platform.form=kv',
				'',
			].join('\n'),
		);
		return {name, zone, ip, frontend, ready, settings};
	}

	startHost(host) {
		const [command, ...args] = readRunCommand();
		const log = openSync(path.join(this.#dir, `${host.name}.log`), 'a');
		const child = spawn(command, args, {
			cwd: root,
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				GENTIANSHIFT_SETTINGS: host.settings,
			},
			stdio: ['ignore', log, log],
		});
		host.child = child;
		host.exited = once(child, 'exit').then(([code, signal]) => {
			this.record('host ended', {host: host.name, code, signal});
		});
		this.record('host started', {host: host.name});
	}

	/** Sends a signal to a host's process. */
	signal(host, name) {
		this.record(name, {host: host.name});
		host.child.kill(name);
	}

	readLog(host) {
		return readFileSync(path.join(this.#dir, `${host.name}.log`), 'utf8');
	}

	async isReady(host) {
		try {
			const {status} = await call({address: host.ready, path: '/v1/readyz'});
			return status === 200;
		} catch {
			return false;
		}
	}

	async waitUntilReady(hosts, limitMs = 20_000) {
		const until = performance.now() + limitMs;
		for (const host of hosts) {
			while (!(await this.isReady(host))) {
				if (performance.now() > until) {
					throw new Error(`${host.name} is not ready`);
				}

				await sleep(50);
			}
		}
	}

	/** The host that holds a zone's group, by the store's word. */
	findHolder(zone) {
		const [item] = this.store.list(`gentianshift/groups/${zone}`);
		return this.hosts.find((host) =>
			item?.value.startsWith(`${host.zone}_${host.name}.`),
		);
	}

	killHosts() {
		for (const {child} of this.hosts) {
			if (child && child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
			}
		}
	}

	async end() {
		this.killHosts();
		await Promise.all(this.hosts.map(async ({exited}) => exited));
		this.#isEnded = true;
		if (process.env.KEEP) {
			process.stdout.write(`logs: ${this.#dir}\n`);
		} else {
			rmSync(this.#dir, {recursive: true});
		}

		this.#record.end();
		await once(this.#record, 'finish');
	}

	/** Pairs of runs of one task that went on at the same time, on executors that were up. */
	findDoubleRuns() {
		const now = performance.now();
		const byTask = new Map();
		for (const run of this.runs) {
			byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
		}

		const pairs = [];
		for (const runs of byTask.values()) {
			for (const [i, first] of runs.entries()) {
				for (const second of runs.slice(i + 1)) {
					const from = Math.max(first.startedAt, second.startedAt);
					const to = Math.min(first.endedAt ?? now, second.endedAt ?? now);
					if (to > from) {
						pairs.push({
							task: first.task,
							runs: [first, second].map(
								({executor, attempt}) => `${executor} attempt ${attempt}`,
							),
							overlapMs: Number((to - from).toFixed(1)),
						});
					}
				}
			}
		}

		return pairs;
	}
}

const exitHeld = 0;
/** Not 1, with which Node ends by itself; `run.sh` makes it 1. */
const exitBroken = 10;
const exitNotRun = 2;

/**
Runs a case in the folder and ends the process: with 10 if `play` gives true, as the rule was broken, 0 if it held, and 2 if the case
could not run.
*/
export async function runCase(folder, play) {
	const system = new System(path.join(folder, 'record.txt'));
	const abandon = (reason) => {
		process.stdout.write(`the case could not run: ${reason}\n`);
		system.killHosts();
		process.exit(exitNotRun);
	};

	process.on('uncaughtException', (error) => {
		abandon(error.stack);
	});
	for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
		process.on(name, () => {
			abandon(name);
		});
	}

	try {
		const isBroken = await play(system);
		await system.end();
		process.exit(isBroken ? exitBroken : exitHeld);
	} catch (error) {
		abandon(error.stack);
	}
}

/** Records the tasks that ran twice at once; tells how many there are. */
export function countDoubleRuns(system) {
	const pairs = system.findDoubleRuns();
	for (const pair of pairs) {
		system.record('TWICE', pair);
	}

	return pairs.length;
}

export function makeJobId() {
	return Array.from({length: 16}, () =>
		Math.trunc(Math.random() * 16).toString(16),
	).join('');
}

/** The body of a job that needn't be kept, of one step. */
export function makeJob({count, ms}) {
	return {
		spec: JSON.stringify({ms, cpu: taskCpu}),
		phases: [{count, cpu: taskCpu, mem_mb: 64, estimated_ms: ms}],
		best_effort: true,
	};
}

/** One HTTP request; rejects if the connection ends without a whole answer. */
export async function call({
	address,
	method = 'GET',
	path,
	body,
	deadlineMs,
	agent = new Agent({keepAlive: false}),
}) {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		const req = request({
			host,
			port,
			method,
			path,
			agent,
			headers: {
				host: queueHost,
				...(body && {'content-type': 'application/json'}),
				...(deadlineMs && {'deadline-ms': String(deadlineMs)}),
			},
		});
		req.on('error', reject);
		req.on('response', (res) => {
			const chunks = [];
			res.on('data', (chunk) => chunks.push(chunk));
			res.on('error', reject);
			res.on('end', () => {
				resolve({
					status: res.statusCode,
					headers: res.headers,
					text: Buffer.concat(chunks).toString('utf8'),
				});
			});
		});
		req.end(body && JSON.stringify(body));
	});
}
