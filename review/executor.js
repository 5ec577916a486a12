/**
Stand-in of an executor, after PROTOCOL.md ("Running tasks", "Service discovery") and demands/LATER.md (`born`).
It runs tasks under a lease, guards its capacity, and may crash and start again under its id. All its answers state `born`.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';

/** `bounds.hold_max_ms`. */
const longestLeaseMs = 1000;
/** At most `bounds.stop_timeout_ms` (50). */
const stopTakesMs = 20;
const heartbeatMs = 1500;
const maxEnds = 500;

export class Executor {
	/** Whether a start is held up on its way, as by a proxy that delays; `deliverLate` hands it to the process that is there then. */
	isHeldUp = () => false;
	deliverLate = () => undefined;
	/** Called when a list of runs was asked for and nothing runs here. */
	onIdleReport = () => undefined;
	isUp = false;
	#process;
	#server;
	#sockets = new Set();

	constructor({id, ip, zone, service, cpu, store, record, runs}) {
		Object.assign(this, {id, ip, zone, service, cpu, store, record, runs});
	}

	/** Starts its process: it holds and knows nothing of before, and its counts start anew. */
	async start() {
		this.#process = {
			born: Date.now(),
			clockFrom: performance.now(),
			token: 0,
			leaseUntil: 0,
			active: new Map(),
			attempts: new Map(),
			ends: [],
			endCount: 0,
			sequence: 0,
			waiting: new Set(),
		};
		const server = createServer((req, res) => {
			this.#serve(req, res).catch(() => {
				res.destroy();
			});
		});
		server.keepAliveTimeout = 60_000;
		server.on('connection', (socket) => {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => this.#sockets.delete(socket));
		});
		server.listen(this.port ?? 0, this.ip);
		await once(server, 'listening');
		this.port = server.address().port;
		this.#server = server;
		this.isUp = true;
		this.record('executor up', {executor: this.id, born: this.#process.born});
		this.#register();
		this.heartbeat = setInterval(() => {
			this.#register();
		}, heartbeatMs);
	}

	/** Its process dies: connections are reset, what runs ends, its entry stays until it lapses. */
	async crash() {
		const {active} = this.#process;
		this.isUp = false;
		clearInterval(this.heartbeat);
		for (const run of active.values()) {
			this.#finish(run, 'crashed');
		}

		this.#process = undefined;
		this.record('executor down', {executor: this.id});
		const closed = once(this.#server, 'close');
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		await closed;
	}

	#register() {
		const own = this.#process;
		own.sequence += 1;
		this.store.put(`servers/${this.id}`, {
			service: this.service,
			address: `${this.ip}:${this.port}`,
			zone: this.zone,
			version: 'v1',
			slots: 8,
			state: 'ready',
			capacity: {cpu: this.cpu, mem_mb: 131_072},
			labels: ['a', 'r1-1'],
			sequence: own.sequence,
			born: own.born,
			clock_ms: this.#readClock(own),
		});
	}

	async #serve(req, res) {
		const chunks = [];
		try {
			for await (const chunk of req) {
				chunks.push(chunk);
			}
		} catch {
			return;
		}

		const own = this.#process;
		if (!own) {
			return;
		}

		const body = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
		if (req.url === '/v1/run-start' && this.isHeldUp(body)) {
			this.#holdUp(body);
			return;
		}

		const expected = req.headers['expected-instance'];
		const reply =
			expected === undefined || expected === this.id
				? await this.#carryOut(own, req.url, body)
				: {status: 421, body: {}};
		if (own !== this.#process) {
			return;
		}

		res.writeHead(reply.status, {'content-type': 'application/json'});
		res.end(JSON.stringify(reply.body));
	}

	/** Its sender gets no answer. */
	#holdUp(order) {
		const {task, attempt} = order;
		this.record('start held up', {task, attempt, executor: this.id});
		this.deliverLate = () => {
			const {status} = this.#startFenced(this.#process, order);
			this.record('start arrives late', {
				task,
				attempt,
				executor: this.id,
				status,
			});
		};
	}

	async #carryOut(own, path, order) {
		const token = order.fencing_token ?? 0;
		if (token < own.token) {
			return this.#refuse(own, 'fence');
		}

		own.token = token;
		switch (path) {
			case '/v1/run-start': {
				return this.#startFenced(own, order);
			}

			case '/v1/run-stop': {
				return this.#stopRun(own, order);
			}

			case '/v1/hold': {
				return this.#hold(own, order);
			}

			default: {
				return {status: 404, body: {}};
			}
		}
	}

	#startFenced(own, order) {
		const token = order.fencing_token ?? 0;
		if (token < own.token) {
			return this.#refuse(own, 'fence');
		}

		own.token = token;
		return this.#startRun(own, order);
	}

	#startRun(own, {task, attempt, spec, deadline_ms: until}) {
		const active = own.active.get(task);
		if (active?.attempt === attempt) {
			this.#extend(own, until);
			return this.#accept(own);
		}

		if (active || attempt <= (own.attempts.get(task) ?? 0)) {
			this.#extend(own, until);
			return this.#refuse(own, 'old');
		}

		if (until <= this.#readClock(own)) {
			return this.#refuse(own, 'late');
		}

		this.#extend(own, until);
		const {ms, cpu} = JSON.parse(spec);
		let used = cpu;
		for (const run of own.active.values()) {
			used += run.cpu;
		}

		if (used > this.cpu) {
			return this.#refuse(own, 'room');
		}

		const run = {
			task,
			attempt,
			cpu,
			own,
			executor: this.id,
			startedAt: performance.now(),
		};
		run.timer = setTimeout(() => {
			this.#finish(run, 'done');
		}, ms);
		own.attempts.set(task, attempt);
		own.active.set(task, run);
		this.runs.push(run);
		this.record('run begins', {
			task,
			attempt,
			executor: this.id,
			born: own.born,
		});
		return this.#accept(own);
	}

	async #stopRun(own, {task, attempt}) {
		own.attempts.set(task, Math.max(own.attempts.get(task) ?? 0, attempt));
		const run = own.active.get(task);
		if (run && run.attempt <= attempt) {
			await sleep(stopTakesMs);
			this.#finish(run, 'stopped');
		}

		return this.#accept(own);
	}

	async #hold(
		own,
		{acked_through: acked = 0, deadline_ms: until, wait_ms: wait},
	) {
		own.ends = own.ends.filter(([number]) => number > acked);
		if (until !== undefined) {
			this.#extend(own, until);
		}

		if (own.active.size === 0) {
			this.onIdleReport();
		}

		if (wait > 0 && own.ends.length === 0) {
			await this.#waitForEnd(own, wait);
		}

		return {
			status: 200,
			body: {
				clock_ms: this.#readClock(own),
				born: own.born,
				active: [...own.active.values()].map(({task, attempt}) => [
					task,
					attempt,
					'',
					50,
				]),
				finished: own.ends.slice(0, maxEnds),
			},
		};
	}

	async #waitForEnd(own, wait) {
		await new Promise((resolve) => {
			const end = () => {
				clearTimeout(timer);
				own.waiting.delete(end);
				resolve();
			};

			const timer = setTimeout(end, wait);
			own.waiting.add(end);
		});
	}

	#finish(run, how) {
		const {own, task, attempt} = run;
		if (own.active.get(task) !== run) {
			return;
		}

		clearTimeout(run.timer);
		own.active.delete(task);
		run.endedAt = performance.now();
		run.how = how;
		this.record('run ends', {task, attempt, executor: this.id, how});
		own.endCount += 1;
		own.ends.push([own.endCount, task, attempt, how, '']);
		for (const end of own.waiting) {
			end();
		}
	}

	#extend(own, until) {
		const clock = this.#readClock(own);
		const capped = Math.min(until, clock + longestLeaseMs);
		if (capped <= own.leaseUntil) {
			return;
		}

		own.leaseUntil = capped;
		clearTimeout(own.leaseTimer);
		own.leaseTimer = setTimeout(() => {
			for (const run of own.active.values()) {
				this.#finish(run, 'lapsed');
			}
		}, capped - clock);
	}

	#readClock(own) {
		return Math.floor(performance.now() - own.clockFrom);
	}

	#accept(own) {
		return {
			status: 200,
			body: {clock_ms: this.#readClock(own), born: own.born},
		};
	}

	#refuse(own, reason) {
		return {
			status: 409,
			body: {clock_ms: this.#readClock(own), born: own.born, reason},
		};
	}
}
