/**
Stand-in of an executor that runs tasks under a lease: starts, stops, the waiting renewal that
lists runs and ends, the fence, and the faults that executors are known for.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	startJsonServer,
	type JsonReply,
	type JsonRequest,
	type JsonServer,
} from './json-server.js';

const startSchema = z.object({
	task: z.string(),
	attempt: z.number().int().min(1),
	spec: z.string(),
	deadline_ms: z.number(),
	fencing_token: z.number().default(0),
});
const stopSchema = z.object({
	task: z.string(),
	attempt: z.number().int(),
	fencing_token: z.number().default(0),
});
const holdSchema = z.object({
	fencing_token: z.number().default(0),
	acked_through: z.number().default(0),
	deadline_ms: z.number().optional(),
	wait_ms: z.number().max(2000).default(0),
});

/** What a spec of the stand-in says: a task's run time, processor and how often it fails. */
const specSchema = z.object({
	ms: z.number(),
	cpu: z.number().default(0),
	failures: z.number().default(0),
});

/** One run as the executor saw it; times on the test's clock, milliseconds. */
export type SeenRun = {
	executor: string;
	task: string;
	attempt: number;
	startedAt: number;
	endedAt?: number;
	how?: string;
};

type ActiveRun = SeenRun & {cpu: number; timer: NodeJS.Timeout};

/** A lease is never longer than this. */
const leaseLimitMs = 1000;
const pollMs = 4;

export type ExecutorFaults = {
	/** Gives no answer, and does nothing. */
	isSilent: boolean;
	/** Tasks take this many times as long. */
	slowness: number;
	/** Tasks fail. */
	failsAll: boolean;
	/** Starts get no answer and are carried out this much later; 0: at once. */
	lateStartMs: number;
};

/** Which answers state when the process started, beside the registration: all of them, or only lists of runs. */
export type BornIn = 'all' | 'lists';

export type RestartOptions = {
	downMs: number;
	/** What the new process's clock says when it starts. */
	clockMs?: number;
};

export class LeasedExecutor {
	readonly id: string;
	readonly capacityCpu: number;
	/** Undefined: nothing states when the process started. */
	readonly bornIn: BornIn | undefined;
	readonly faults: ExecutorFaults = {
		isSilent: false,
		slowness: 1,
		failsAll: false,
		lateStartMs: 0,
	};

	readonly seen: SeenRun[] = [];
	/** Ends up to this one have been acknowledged. */
	acknowledged = 0;
	#bornMs = Date.now();
	/** When the process's clock was at 0, on the test's clock. */
	#clockStartedAt = 0;
	#token = 0;
	#leaseEndsAt = 0;
	#sequence = 0;
	#server: JsonServer | undefined;
	readonly #active = new Map<string, ActiveRun>();
	#finished: Array<[number, string, number, string, string]> = [];
	/** Highest attempt that ran or was stopped, by task. */
	readonly #attempts = new Map<string, number>();
	#leaseTimer: NodeJS.Timeout | undefined;

	constructor(id: string, capacityCpu: number, bornIn?: BornIn) {
		this.id = id;
		this.capacityCpu = capacityCpu;
		this.bornIn = bornIn;
	}

	async start(ip: string, port = 0): Promise<string> {
		this.#server = await startJsonServer(
			ip,
			async (request) => this.#answer(request),
			port,
		);
		return this.#server.address;
	}

	async stop(): Promise<void> {
		this.#endAll('lapsed');
		await this.#server?.close();
	}

	/**
	Its process crashes, and after `downMs` a new one is at its address, under its id: it has no runs, tokens or ends, and
	its clock is at `clockMs`.
	*/
	async startAgain({downMs, clockMs = 0}: RestartOptions): Promise<void> {
		const {address} = this.#server!;
		this.resetConnections();
		const closed = this.#server!.close();
		this.#server = undefined;
		this.#endAll('crashed');
		await closed;
		await delay(downMs);
		this.acknowledged = 0;
		this.#token = 0;
		this.#leaseEndsAt = 0;
		this.#sequence = 0;
		this.#finished = [];
		this.#attempts.clear();
		clearTimeout(this.#leaseTimer);
		this.#bornMs = Date.now();
		this.#clockStartedAt = performance.now() - clockMs;
		const [ip = '', port] = address.split(':');
		await this.start(ip, Number(port));
	}

	resetConnections(): void {
		this.#server?.resetConnections();
	}

	/** Start time of its process, Unix milliseconds; undefined if it states none. */
	get bornMs(): number | undefined {
		return this.bornIn && this.#bornMs;
	}

	get runCount(): number {
		return this.#active.size;
	}

	async #answer({path, body, headers}: JsonRequest): Promise<JsonReply> {
		if (this.faults.isSilent) {
			return undefined;
		}

		const instance = headers['expected-instance'];
		if (instance !== undefined && instance !== this.id) {
			return {status: 421};
		}

		switch (path) {
			case '/v1/run-start': {
				return this.#receiveStart(startSchema.parse(body));
			}

			case '/v1/run-stop': {
				return this.#receiveStop(stopSchema.parse(body));
			}

			case '/v1/hold': {
				return this.#receiveHold(holdSchema.parse(body));
			}

			default: {
				return {status: 404};
			}
		}
	}

	async #receiveStart(order: z.infer<typeof startSchema>): Promise<JsonReply> {
		if (this.faults.lateStartMs > 0) {
			setTimeout(() => {
				if (this.#server) {
					this.#startRun(order);
				}
			}, this.faults.lateStartMs);
			return undefined;
		}

		return this.#startRun(order);
	}

	#startRun(order: z.infer<typeof startSchema>): JsonReply {
		const {
			task,
			attempt,
			spec,
			deadline_ms: until,
			fencing_token: token,
		} = order;
		if (token < this.#token) {
			return this.#refuse('fence');
		}

		this.#token = token;
		const active = this.#active.get(task);
		if (active?.attempt === attempt) {
			this.#extend(until);
			return this.#accept();
		}

		if (attempt <= (this.#attempts.get(task) ?? 0) || active) {
			return this.#refuse('old');
		}

		if (until <= this.#readClock()) {
			return this.#refuse('late');
		}

		const {ms, cpu, failures} = specSchema.parse(JSON.parse(spec));
		if (this.#sumCpu() + cpu > this.capacityCpu) {
			return this.#refuse('room');
		}

		this.#extend(until);
		this.#attempts.set(task, attempt);
		const isFailing = this.faults.failsAll || attempt <= failures;
		const run: ActiveRun = {
			executor: this.id,
			task,
			attempt,
			cpu,
			startedAt: performance.now(),
			timer: setTimeout(() => {
				this.#endRun(run, isFailing ? 'failed' : 'done');
			}, ms * this.faults.slowness),
		};
		this.#active.set(task, run);
		this.seen.push(run);
		return this.#accept();
	}

	#receiveStop(order: z.infer<typeof stopSchema>): JsonReply {
		if (order.fencing_token < this.#token) {
			return this.#refuse('fence');
		}

		this.#token = order.fencing_token;
		const known = this.#attempts.get(order.task) ?? 0;
		this.#attempts.set(order.task, Math.max(known, order.attempt));
		const run = this.#active.get(order.task);
		if (run && run.attempt <= order.attempt) {
			this.#endRun(run, 'stopped');
		}

		return this.#accept();
	}

	async #receiveHold(order: z.infer<typeof holdSchema>): Promise<JsonReply> {
		if (order.fencing_token < this.#token) {
			return this.#refuse('fence');
		}

		this.#token = order.fencing_token;
		this.acknowledged = Math.max(this.acknowledged, order.acked_through);
		this.#finished = this.#finished.filter(([n]) => n > this.acknowledged);
		if (order.deadline_ms !== undefined) {
			this.#extend(order.deadline_ms);
		}

		const endsAt = performance.now() + order.wait_ms;
		while (this.#finished.length === 0 && performance.now() < endsAt) {
			await delay(pollMs);
		}

		return {
			status: 200,
			body: {
				clock_ms: this.#readClock(),
				born: this.bornMs,
				active: [...this.#active.values()].map(({task, attempt}) => [
					task,
					attempt,
					'',
					50,
				]),
				finished: this.#finished,
			},
		};
	}

	/** Never gets shorter. */
	#extend(untilMs: number): void {
		const capped = Math.min(untilMs, this.#readClock() + leaseLimitMs);
		if (capped <= this.#leaseEndsAt) {
			return;
		}

		this.#leaseEndsAt = capped;
		clearTimeout(this.#leaseTimer);
		this.#leaseTimer = setTimeout(() => {
			this.#endAll('lapsed');
		}, capped - this.#readClock());
	}

	#endRun(run: ActiveRun, how: string): void {
		clearTimeout(run.timer);
		if (this.#active.get(run.task) !== run) {
			return;
		}

		this.#active.delete(run.task);
		run.endedAt = performance.now();
		run.how = how;
		this.#sequence += 1;
		this.#finished.push([this.#sequence, run.task, run.attempt, how, '']);
	}

	#endAll(how: string): void {
		for (const run of this.#active.values()) {
			this.#endRun(run, how);
		}
	}

	#sumCpu(): number {
		return [...this.#active.values()].reduce((sum, {cpu}) => sum + cpu, 0);
	}

	#readClock(): number {
		return Math.floor(performance.now() - this.#clockStartedAt);
	}

	#accept(): JsonReply {
		return {status: 200, body: this.#makeOrderBody()};
	}

	#refuse(reason: string): JsonReply {
		return {status: 409, body: {...this.#makeOrderBody(), reason}};
	}

	#makeOrderBody() {
		return {
			clock_ms: this.#readClock(),
			born: this.bornIn === 'all' ? this.bornMs : undefined,
		};
	}
}
