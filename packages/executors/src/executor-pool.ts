/**
Connections of this host to one executor: HTTP/1.1, one request a connection at a time.
*/
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {Pool, type Dispatcher} from 'undici';
import {headers} from '@gentianshift/resources';
import {createConnector, isConnectError} from './connect-error.js';
import {type TaskOutcome, type TaskRequest} from './outcome.js';

/**
An idle connection is not used again after this long. What goes wrong: something on the way
forgets idle connections, and a request written to such a one is lost, its task "unknown".
A connection used within the last second or so is still remembered.
*/
export const idleLimitMs = 1500;

/** Largest answer of one task, bytes; a larger one is cut off and counts as unknown. */
export const maxAnswerBytes = 4 * 1024 * 1024;

/** Task limits are rounded up to this, so that timers share a list. */
const timerGrainMs = 50;

export type ExecutorPoolOptions = {
	/** `ip:port`. */
	address: string;
	/** Connections that may stay open while idle. */
	share: number;
	/** Requests the executor runs at the same time. */
	slots: number;
	/** Local IP of outgoing connections. */
	source?: string;
};

export class ExecutorPool {
	/** Kept open between requests. */
	readonly #kept: Pool | undefined;
	/** Closed after each request: those beyond this host's share. */
	readonly #extra: Pool;
	#running = 0;

	constructor(readonly options: ExecutorPoolOptions) {
		this.#kept =
			options.share > 0 ? createPool(options, options.share) : undefined;
		this.#extra = createPool(options, options.slots);
	}

	/** Requests under way. */
	get running(): number {
		return this.#running;
	}

	/** Sends one task; `onEnd` is called exactly once. */
	sendTask(request: TaskRequest, onEnd: (outcome: TaskOutcome) => void): void {
		this.#running += 1;
		const exchange = new Exchange(request, (outcome) => {
			this.#running -= 1;
			onEnd(outcome);
		});
		const isKept =
			this.#kept !== undefined && this.#running <= this.options.share;
		(isKept ? this.#kept : this.#extra).dispatch(
			{
				path: request.path,
				method: 'POST',
				headers: listHeaders(request),
				body: request.payload,
				// Never sent again by the library, whatever happens to the connection.
				idempotent: false,
				reset: !isKept,
			},
			exchange,
		);
	}

	/** Lets requests under way end, then closes the connections. */
	async close(): Promise<void> {
		await Promise.all([this.#kept?.close(), this.#extra.close()]);
	}

	/** Cuts everything off. */
	async destroy(): Promise<void> {
		await Promise.all([this.#kept?.destroy(), this.#extra.destroy()]);
	}
}

function createPool(
	{address, source}: ExecutorPoolOptions,
	connections: number,
): Pool {
	return new Pool(`http://${address}`, {
		connections,
		pipelining: 1,
		keepAliveTimeout: idleLimitMs,
		keepAliveMaxTimeout: idleLimitMs,
		headersTimeout: 0,
		bodyTimeout: 0,
		connect: createConnector(source),
	});
}

function listHeaders(request: TaskRequest): Record<string, string> {
	const list: Record<string, string> = {
		'content-type': 'application/json',
		[headers.task]: request.taskId,
		[headers.deadline]: String(Math.ceil(request.deadlineMs)),
	};
	if (request.traceparent !== undefined) {
		list.traceparent = request.traceparent;
	}

	return list;
}

/** One request and its answer. */
class Exchange implements Dispatcher.DispatchHandler {
	readonly #sentAt = performance.now();
	readonly #timer: NodeJS.Timeout;
	#controller: Dispatcher.DispatchController | undefined;
	#status = 0;
	#isRefusal = false;
	#isJson = false;
	#size = 0;
	#chunks: Buffer[] = [];
	#ended = false;

	constructor(
		private readonly request: TaskRequest,
		private readonly onEnd: (outcome: TaskOutcome) => void,
	) {
		const limit =
			Math.ceil(Math.max(1, request.limitMs) / timerGrainMs) * timerGrainMs;
		this.#timer = setTimeout(() => {
			this.#giveUp('no whole answer in time');
		}, limit);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (!this.#ended && !this.request.isUsable()) {
			this.#end({result: 'withheld', runMs: this.#measure()});
		}

		if (this.#ended) {
			controller.abort(new Error('given up before it was sent'));
			return;
		}

		this.#controller = controller;
	}

	onResponseStart(
		_controller: Dispatcher.DispatchController,
		status: number,
		responseHeaders: Record<string, string | string[] | undefined>,
	): void {
		this.#status = status;
		this.#isRefusal =
			status === 503 && responseHeaders[headers.notRun] === 'true';
		this.#isJson = String(responseHeaders['content-type'] ?? '').includes(
			'json',
		);
	}

	onResponseData(
		_controller: Dispatcher.DispatchController,
		chunk: Buffer,
	): void {
		this.#size += chunk.length;
		if (this.#size > maxAnswerBytes) {
			this.#giveUp(`an answer of over ${maxAnswerBytes} bytes`);
			return;
		}

		this.#chunks.push(chunk);
	}

	onResponseEnd(): void {
		const runMs = this.#measure();
		if (this.#isRefusal) {
			this.#end({result: 'refused', runMs});
			return;
		}

		const text = (
			this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks)
		).toString();
		if (this.#status < 200 || this.#status > 299) {
			this.#end({
				result: 'failed',
				status: this.#status,
				detail: text.slice(0, 200),
				runMs,
			});
			return;
		}

		this.#end(readValue(text, this.#isJson, runMs));
	}

	onResponseError(
		_controller: Dispatcher.DispatchController,
		error: Error,
	): void {
		const runMs = this.#measure();
		const detail = error.message;
		this.#end(
			isConnectError(error)
				? {result: 'unreachable', detail, runMs}
				: {result: 'unknown', detail, runMs},
		);
	}

	#giveUp(detail: string): void {
		const runMs = this.#measure();
		// Not yet on a connection: no byte was written, and undici drops the aborted request unsent.
		this.#end(
			this.#controller
				? {result: 'unknown', detail, runMs}
				: {result: 'unreachable', detail, runMs},
		);
		this.#controller?.abort(new Error(detail));
	}

	#measure(): number {
		return performance.now() - this.#sentAt;
	}

	#end(outcome: TaskOutcome): void {
		if (this.#ended) {
			return;
		}

		this.#ended = true;
		clearTimeout(this.#timer);
		this.#chunks = [];
		this.onEnd(outcome);
	}
}

/** An answer that says it is JSON and is not was damaged on the way or by the executor: it ran, and failed. */
function readValue(text: string, isJson: boolean, runMs: number): TaskOutcome {
	if (!isJson) {
		return {result: 'done', value: text, runMs};
	}

	try {
		return {result: 'done', value: JSON.parse(text) as unknown, runMs};
	} catch {
		return {
			result: 'failed',
			status: 200,
			detail: 'the answer is not the JSON it says it is',
			runMs,
		};
	}
}
