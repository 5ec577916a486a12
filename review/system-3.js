/**
A small deployment for the cases of this review: the platform's store and the executors as stand-ins in this process, the hosts as
processes of their own, started by the command of the deploy file, each at its own loopback address.
*/
import {spawn} from 'node:child_process';
import {
	appendFileSync,
	mkdtempSync,
	openSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import http from 'node:http';
import {createServer} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';

const root = path.resolve(import.meta.dirname, '..');
const standIns = path.join(root, 'target/review-3/stand-ins.mjs');
const relays = path.join(root, 'target/review-3/relay.mjs');

export const isTroubled = process.env.TROUBLE !== '0';
export const exitHeld = 0;
export const exitBroken = 1;
export const exitNotRun = 2;

export const service = 'meals';
export const queueHost = 'kitchen.example';
export const queuePrefix = '/menu/';
export const taskCpu = 14_000;
const executorCpu = 32_000;
const readyLimitMs = 20_000;
/** Hosts hang up on a silent peer within this time, and have dialled it anew after another. */
const hangUpMs = 3200;
/** The platform starts a process that has ended again after a short delay. */
const restartDelayMs = 1500;

/** What an error that ends the process says of itself, without its stack. */
const lastWordsPattern = /^\w*Error|^ +(?:code|input):/v;

const commandPattern = /^run = "(?<command>[^"]+)"$/mv;

/** The command of the deploy file's role, as words. */
function readCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return commandPattern.exec(text).groups.command.split(' ');
}

export class Recorder {
	#file;
	#startedAt = performance.now();

	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
		writeFileSync(this.#file, '');
	}

	/** Seconds since the start. */
	get now() {
		return (performance.now() - this.#startedAt) / 1000;
	}

	write(text) {
		appendFileSync(this.#file, `${this.now.toFixed(3)} ${text}\n`);
	}
}

async function findFreePort(ip) {
	const server = createServer();
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, ip, resolve);
	});
	const {port} = server.address();
	await new Promise((resolve) => {
		server.close(resolve);
	});
	return port;
}

export class System {
	hosts = [];
	executors = [];
	store;
	#record;
	#folder = mkdtempSync(path.join(os.tmpdir(), 'gentianshift-review-'));
	#subnet = `127.${30 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}`;
	#nextIp = 10;
	#version = 1;
	#isEnding = false;
	#storeAddress = '';
	/** Whether executors refuse starts that exceed their capacity. */
	#isGuarded = true;
	#slackFactor = 1.6;
	/** Whether hosts reach one another through relays, one for each ordered pair. */
	#hasRelays = false;
	#relays = [];

	constructor(record) {
		this.#record = record;
		process.once('exit', () => {
			this.#killAll();
			rmSync(this.#folder, {recursive: true, force: true});
		});
		for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
			process.once(signal, () => {
				process.exit(exitNotRun);
			});
		}
	}

	takeIp() {
		this.#nextIp += 1;
		return `${this.#subnet}.${this.#nextIp}`;
	}

	/** Counts are by data centre. */
	async start({
		hosts,
		executors,
		settings = [],
		isGuarded = true,
		hasRelays = false,
		slackFactor = 1.6,
	}) {
		const {MetadataStore} = await import(standIns);
		this.#isGuarded = isGuarded;
		this.#slackFactor = slackFactor;
		this.#hasRelays = hasRelays;
		this.store = new MetadataStore();
		if (hasRelays) {
			this.store.presentValue = (key, value, caller) =>
				this.#presentHost(key, value, caller);
		}

		this.#storeAddress = await this.store.start(this.takeIp());
		this.putConfiguration();
		for (const [dataCentre, count] of Object.entries(executors)) {
			for (let i = 1; i <= count; i += 1) {
				await this.addExecutor(`${dataCentre}-e${i}`, dataCentre);
			}
		}

		for (const [dataCentre, count] of Object.entries(hosts)) {
			for (let i = 1; i <= count; i += 1) {
				await this.#addHost(`${dataCentre}-${i}`, dataCentre, settings);
			}
		}

		for (const host of hasRelays ? this.hosts : []) {
			this.#startProcess(host);
		}

		await this.waitUntilReady();
	}

	putConfiguration(prefixes = [queuePrefix]) {
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
				slack_factor: this.#slackFactor,
			})),
			services: [{name: service, enforce_limits: this.#isGuarded}],
			limits: {max_body_bytes: 262_144},
		});
	}

	async addExecutor(id, dataCentre) {
		const {LeasedExecutor} = await import(standIns);
		const roomCpu = this.#isGuarded ? executorCpu : Infinity;
		const executor = new LeasedExecutor(id, roomCpu, 'all');
		executor.dataCentre = dataCentre;
		executor.address = await executor.start(this.takeIp());
		this.executors.push(executor);
		this.putExecutor(executor, {sequence: 1});
		return executor;
	}

	/** The executor's own word in the store; `fields` go before its usual ones. */
	putExecutor(executor, fields) {
		this.store.put(`servers/${executor.id}`, {
			...this.describeExecutor(executor.dataCentre),
			address: executor.address,
			born: executor.bornMs,
			...fields,
		});
	}

	/** The fields of an executor's entry in the store, but for those that differ by executor. */
	describeExecutor(dataCentre) {
		return {
			service,
			zone: dataCentre,
			version: 'v1',
			slots: 8,
			state: 'ready',
			capacity: {cpu: executorCpu, mem_mb: 131_072, gpu: 0},
			labels: ['a', 'r1'],
			sequence: 1,
		};
	}

	async #addHost(name, dataCentre, settings) {
		const ip = this.takeIp();
		const ports = [];
		for (let i = 0; i < 3; i += 1) {
			ports.push(await findFreePort(ip));
		}

		const [callers, readiness, inner] = ports;
		const file = path.join(this.#folder, `${name}.conf`);
		const seeds = this.#hasRelays
			? []
			: this.hosts.slice(0, 3).map((host) => host.inner);
		writeFileSync(
			file,
			[
				`node_name=${name}`,
				'role=host',
				'machine_class=frontend',
				`ip=${ip}`,
				`zone=${dataCentre}`,
				`bind_addresses.frontend=${ip}:${callers}`,
				`bind_addresses.ready=${ip}:${readiness}`,
				`bind_addresses.control_plane=${ip}:${inner}`,
				`seed_nodes=${seeds.join(',')}`,
				'limits.cpu_fraction=0.675',
				'limits.cpu_cores=1',
				'limits.memory_mb=350',
				'limits.max_fds=4100',
				`platform.address=${this.#storeAddress}`,
				'bounds.grace_period_s=6',
				...settings,
				'',
			].join('\n'),
		);
		const host = {
			name,
			dataCentre,
			ip,
			port: callers,
			readiness: `${ip}:${readiness}`,
			inner: `${ip}:${inner}`,
			settingsFile: file,
			/** How often its process has ended by itself. */
			ownEnds: 0,
			isStopped: false,
		};
		for (const other of this.#hasRelays ? this.hosts : []) {
			await this.#openRelay(other, host);
			await this.#openRelay(host, other);
		}

		this.hosts.push(host);
		if (!this.#hasRelays) {
			this.#startProcess(host);
		}
	}

	async #openRelay(from, to) {
		const {RelayLink} = await import(relays);
		const [ip, port] = to.inner.split(':');
		const link = new RelayLink({
			name: `${from.name} to ${to.name}`,
			listen: {ip, port: 0},
			target: {ip, port: Number(port)},
			delayMs: 0,
		});
		await link.open();
		this.#relays.push({from, to, link});
	}

	/** A host's entry, as another one has to read it to go through its relay. */
	#presentHost(key, value, caller) {
		const relay = this.#relays.find(
			({from, to}) => from.ip === caller && key.endsWith(`/${to.name}`),
		);
		return relay && key.startsWith('gentianshift/hosts/')
			? JSON.stringify({
					...JSON.parse(value),
					address: `${relay.to.ip}:${relay.link.port}`,
				})
			: value;
	}

	/** Whether each host is connected to each other one through its relay. */
	isRelayed() {
		return this.#relays.every(({link}) => link.connectionCount > 0);
	}

	/**
	Hosts that met before they had read the list are connected past the relays. While one is stopped, the others close what they dialled
	there; dialled anew, it is at its listed address.
	*/
	async connectThroughRelays() {
		for (const {child} of this.hosts) {
			child.kill('SIGSTOP');
			await delay(hangUpMs);
			child.kill('SIGCONT');
			await delay(hangUpMs);
		}

		if (!this.isRelayed()) {
			throw new Error('the hosts are not connected through their relays');
		}
	}

	/** Cuts a host off from all others, without a sign: `silence`; or ends that: `heal`. */
	async cut(host, fault) {
		for (const {from, to, link} of this.#relays) {
			if (from === host || to === host) {
				await link.applyFault(fault);
			}
		}
	}

	/** Started again, as the platform does it, whenever it has ended. */
	#startProcess(host) {
		if (this.#isEnding) {
			return;
		}

		const [command, ...args] = readCommand();
		const output = openSync(path.join(this.#folder, `${host.name}.out`), 'a');
		const child = spawn(command === 'node' ? process.execPath : command, args, {
			cwd: root,
			stdio: ['ignore', output, output],
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				GENTIANSHIFT_SETTINGS: host.settingsFile,
			},
		});
		host.child = child;
		child.once('exit', (code, signal) => {
			if (this.#isEnding || host.isStopped) {
				return;
			}

			host.ownEnds += 1;
			this.#record.write(
				`process of ${host.name} has ended by itself: code ${code}, signal ${signal}; its last words: ${this.readLastWords(host)}`,
			);
			setTimeout(() => {
				if (!this.#isEnding && !host.isStopped) {
					this.#startProcess(host);
				}
			}, restartDelayMs);
		});
	}

	readLastWords(host) {
		const lines = readFileSync(
			path.join(this.#folder, `${host.name}.out`),
			'utf8',
		)
			.split('\n')
			.filter((line) => lastWordsPattern.test(line));
		return lines.slice(-3).join(' ');
	}

	readOutput(host) {
		return readFileSync(path.join(this.#folder, `${host.name}.out`), 'utf8');
	}

	async waitUntilReady() {
		const limit = performance.now() + readyLimitMs;
		for (const host of this.hosts) {
			while (!(await isReady(host))) {
				if (performance.now() > limit) {
					throw new Error(
						`${host.name} is not ready: ${this.readOutput(host).slice(-1500)}`,
					);
				}

				await delay(100);
			}
		}
	}

	/** The host that schedules a data centre's executors, by the store's word. */
	findHolder(dataCentre) {
		const [item] = this.store.list(`gentianshift/groups/${dataCentre}`);
		return this.hosts.find((host) =>
			item?.value.startsWith(`${host.dataCentre}_${host.name}.`),
		);
	}

	/** Kills the host's process, which stays down for that long. */
	async kill(host, downMs) {
		host.isStopped = true;
		host.child.kill('SIGKILL');
		await delay(downMs);
		host.isStopped = false;
		this.#startProcess(host);
	}

	/** All runs that executors have begun, in order. */
	listRuns() {
		return this.executors
			.flatMap(({seen}) => seen)
			.toSorted((a, b) => a.startedAt - b.startedAt);
	}

	#killAll() {
		this.#isEnding = true;
		for (const {child} of this.hosts) {
			child?.kill('SIGKILL');
		}
	}

	async end() {
		this.#killAll();
		await delay(200);
		for (const executor of this.executors) {
			await executor.stop();
		}

		for (const {link} of this.#relays) {
			await link.close();
		}

		await this.store?.stop();
		rmSync(this.#folder, {recursive: true, force: true});
	}
}

async function isReady({readiness}) {
	try {
		const {status} = await fetch(`http://${readiness}/v1/readyz`, {
			signal: AbortSignal.timeout(1000),
		});
		return status === 200;
	} catch {
		return false;
	}
}

/** A job's body. */
export function makeJob({count = 2, ms = 200, cpu = taskCpu, ...step} = {}) {
	return JSON.stringify({
		spec: JSON.stringify({ms, cpu}),
		phases: [{count, cpu, mem_mb: 64, estimated_ms: ms, ...step}],
		best_effort: true,
	});
}

let jobCount = 0;

export function makeId() {
	jobCount += 1;
	const random = Math.floor(Math.random() * 2 ** 32);
	return (
		random.toString(16).padStart(8, '0') +
		jobCount.toString(16).padStart(8, '0')
	);
}

/** Sends a request; resolves with its status, or `undefined` if the connection broke or the time was over. */
export async function send(
	host,
	{method = 'POST', id = '', body, agent, deadlineMs = 1500},
) {
	return new Promise((resolve) => {
		const request = http.request(
			{
				host: host.ip,
				port: host.port,
				method,
				path: `${queuePrefix}${id}`,
				agent,
				headers: {
					host: queueHost,
					'deadline-ms': String(deadlineMs),
					...(body !== undefined && {
						'content-type': 'application/json',
						'content-length': String(body.length),
					}),
				},
			},
			(response) => {
				const chunks = [];
				response.on('data', (chunk) => {
					chunks.push(chunk);
				});
				response.on('error', () => {
					resolve(undefined);
				});
				response.on('end', () => {
					resolve({
						status: response.statusCode,
						text: String(chunks.join('')),
					});
				});
			},
		);
		request.setTimeout(deadlineMs, () => {
			request.destroy();
		});
		request.on('error', () => {
			resolve(undefined);
		});
		request.on('close', () => {
			resolve(undefined);
		});
		request.end(body);
	});
}

/** Pairs of runs of one task that were there at the same time. */
export function findOverlaps(runs) {
	const byTask = new Map();
	for (const run of runs) {
		byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
	}

	return [...byTask.values()].flatMap((ofTask) =>
		ofTask.flatMap((first, i) =>
			ofTask
				.slice(i + 1)
				.filter((second) => second.startedAt < (first.endedAt ?? Infinity))
				.map((second) => ({first, second})),
		),
	);
}

/** Ends the processes of a case that goes on for longer than it may. */
const caseLimitMs = 115_000;

/** Runs a case; its result is the exit code. */
export async function runCase(folder, play) {
	const record = new Recorder(folder);
	const system = new System(record);
	const stop = (reason) => {
		record.write(`the case could not run: ${reason}`);
		process.exit(exitNotRun);
	};

	// By default such an error ends the process with 1, which says that the rule was broken.
	process.on('uncaughtException', (error) => {
		stop(error.message);
	});
	setTimeout(() => {
		stop('its time is over');
	}, caseLimitMs).unref();
	let code = exitNotRun;
	try {
		record.write(isTroubled ? 'with the disruption' : 'without the disruption');
		code = (await play(system, record)) ? exitHeld : exitBroken;
		record.write(code === exitHeld ? 'the rule held' : 'the rule was broken');
		await system.end();
	} catch (error) {
		stop(error.message);
	}

	process.exit(code);
}
