/**
A small deployment for the scripts of this review: the project's stand-ins of the store and of executors in this process, and hosts
as processes of their own, started with the command of `deploy/system.toml`.
*/
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {mkdtempSync, openSync, rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {
	LeasedExecutor,
	MetadataStore,
} from '../packages/standins/src/leased/index.ts';

export const service = 'rancho';
export const queueHost = 'kitchen.example';
export const queuePrefix = '/menu/';
export const executorCpu = 32_000;
export const taskCpu = 14_000;

/** The bounds that `DEPLOY.md` and the site file `rancho-minero` name. */
export const bounds = {cancelMs: 3000, retransmitMs: 1300};

const readyLimitMs = 20_000;
const subnet = `127.${100 + (process.pid % 100)}.${1 + (Math.floor(process.pid / 100) % 250)}`;

export class System {
	store = new MetadataStore();
	executors = [];
	hosts = [];
	startedAt = performance.now();
	lines = [];
	#dir = mkdtempSync(path.join(os.tmpdir(), 'review-'));
	#lastIp = 10;
	#root;
	#storeAddress = '';
	#registrations = new Map();

	constructor(root) {
		this.#root = root;
		process.once('exit', () => {
			this.#killAll();
			if (process.env.KEEP_LOGS === undefined) {
				rmSync(this.#dir, {recursive: true, force: true});
			}
		});
		for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
			process.once(signal, () => {
				process.exit(2);
			});
		}

		process.once('uncaughtException', (error) => {
			console.error(error);
			process.exit(2);
		});
	}

	/** Milliseconds since the script began. */
	now() {
		return performance.now() - this.startedAt;
	}

	/** One line of the record. */
	note(text) {
		const line = `${(this.now() / 1000).toFixed(3)} ${text}`;
		this.lines.push(line);
	}

	async start({queue = {}, hosts, executors}) {
		this.#storeAddress = await this.store.start(this.#takeIp());
		this.putConfiguration(queue);
		for (const [zone, labelsOfEach] of Object.entries(executors)) {
			for (const [i, labels] of labelsOfEach.entries()) {
				await this.addExecutor(`${zone}-e${i + 1}`, zone, labels);
			}
		}

		for (const [zone, count] of Object.entries(hosts)) {
			for (let i = 0; i < count; i += 1) {
				await this.#addHost(`${zone}-${i + 1}`, zone);
			}
		}

		await this.waitUntilReady();
	}

	putConfiguration(queue = {}) {
		this.store.put('op/config', {
			version: 7,
			routes: [
				{
					name: 'menu-fix',
					host: queueHost,
					prefix: queuePrefix,
					kind: 'mutating',
					timeout_ms: 1500,
					target_duration_ms: 60,
					priority: 1,
					service,
					max_attempts: 4,
					slack_factor: 1.6,
					...queue,
				},
			],
			services: [{name: service, enforce_limits: true}],
			limits: {max_body_bytes: 262_144},
		});
	}

	async addExecutor(id, zone, labels) {
		const executor = new LeasedExecutor(id, executorCpu, 'all');
		const address = await executor.start(this.#takeIp());
		this.executors.push(executor);
		this.#registrations.set(executor, {address, zone, labels, sequence: 0});
		this.register(executor);
		return executor;
	}

	/** The executor's own entry in the store. */
	register(executor, changes = {}) {
		const known = Object.assign(this.#registrations.get(executor), changes);
		known.sequence += 1;
		this.store.put(`servers/${executor.id}`, {
			service,
			address: known.address,
			zone: known.zone,
			version: 'v1',
			slots: 8,
			state: 'ready',
			capacity: {cpu: executorCpu, mem_mb: 131_072, gpu: 0},
			labels: known.labels,
			sequence: known.sequence,
			born: executor.bornMs,
		});
	}

	/** The host that schedules the zone's executors, by the store. */
	findHolder(zone) {
		const [item] = this.store.list(`gentianshift/groups/${zone}`);
		return this.hosts.find((host) =>
			item?.value.startsWith(`${host.zone}_${host.name}.`),
		);
	}

	startProcess(host) {
		const output = openSync(host.logFile, 'a');
		host.child = spawn(process.execPath, ['target/gentianshift.mjs', 'serve'], {
			cwd: this.#root,
			env: {
				PATH: process.env.PATH,
				HOME: process.env.HOME,
				GENTIANSHIFT_SETTINGS: host.settingsFile,
			},
			stdio: ['ignore', output, output],
		});
	}

	/** SIGKILL; resolves when the process is gone. */
	async kill(host) {
		const ended = new Promise((resolve) => {
			host.child.once('exit', resolve);
		});
		host.child.kill('SIGKILL');
		await ended;
	}

	async waitUntilReady() {
		const limitAt = performance.now() + readyLimitMs;
		for (const host of this.hosts) {
			while (!(await isReady(host))) {
				if (performance.now() > limitAt) {
					throw new Error(`${host.name} is not ready`);
				}

				await delay(50);
			}
		}
	}

	async end() {
		this.#killAll();
		for (const executor of this.executors) {
			await executor.stop();
		}

		await this.store.stop();
	}

	get dir() {
		return this.#dir;
	}

	async #addHost(name, zone) {
		const ip = this.#takeIp();
		const [frontend, ready, control] = await findFreePorts(ip, 3);
		const settingsFile = path.join(this.#dir, `${name}.conf`);
		writeFileSync(
			settingsFile,
			[
				`node_name=${name}`,
				`zone=${zone}`,
				`ip=${ip}`,
				`bind_addresses.frontend=${ip}:${frontend}`,
				`bind_addresses.ready=${ip}:${ready}`,
				`bind_addresses.control_plane=${ip}:${control}`,
				'seed_nodes=',
				`platform.address=${this.#storeAddress}`,
				'bounds.grace_period_s=6',
				'limits.cpu_fraction=0.675',
				'limits.cpu_cores=1',
				'',
			].join('\n'),
		);
		const host = {
			name,
			zone,
			ip,
			frontend,
			ready,
			control,
			settingsFile,
			logFile: path.join(this.#dir, `${name}.log`),
		};
		this.hosts.push(host);
		this.startProcess(host);
	}

	#killAll() {
		for (const {child} of this.hosts) {
			child.kill('SIGKILL');
		}
	}

	#takeIp() {
		this.#lastIp += 1;
		return `${subnet}.${this.#lastIp}`;
	}
}

/** A call of a client. Resolves with status 0 if the connection fails or breaks. */
export async function callHost(
	{ip, frontend},
	{method, path: target, body, deadlineMs, agent},
) {
	const text = body === undefined ? undefined : JSON.stringify(body);
	return new Promise((resolve) => {
		const request = http.request(
			{
				host: ip,
				port: frontend,
				method,
				path: target,
				agent,
				headers: {
					host: queueHost,
					...(deadlineMs !== undefined && {'deadline-ms': String(deadlineMs)}),
					...(text !== undefined && {
						'content-type': 'application/json',
						'content-length': Buffer.byteLength(text),
					}),
				},
			},
			(response) => {
				let answer = '';
				response.setEncoding('utf8');
				response.on('data', (chunk) => {
					answer += chunk;
				});
				response.on('end', () => {
					resolve({status: response.statusCode, answer});
				});
				response.on('error', () => {
					resolve({status: 0, answer: 'broken off'});
				});
			},
		);
		request.on('error', ({code}) => {
			resolve({status: 0, answer: String(code)});
		});
		request.end(text);
	});
}

async function isReady({ip, ready}) {
	return new Promise((resolve) => {
		const request = http.get(
			{host: ip, port: ready, path: '/v1/readyz', agent: false},
			(response) => {
				response.resume();
				resolve(response.statusCode === 200);
			},
		);
		request.on('error', () => {
			resolve(false);
		});
	});
}

async function findFreePorts(ip, count) {
	const servers = [];
	for (let i = 0; i < count; i += 1) {
		const server = net.createServer();
		await new Promise((resolve) => {
			server.listen(0, ip, resolve);
		});
		servers.push(server);
	}

	const ports = servers.map((server) => server.address().port);
	await Promise.all(
		servers.map(
			async (server) =>
				new Promise((resolve) => {
					server.close(resolve);
				}),
		),
	);
	return ports;
}
