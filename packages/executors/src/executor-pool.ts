/**
This host's HTTP/1.1 connections to one executor, each with at most one request at a time.
*/
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {Pool, type Dispatcher} from 'undici';
import {headers} from '@gentianshift/resources';
import {createConnector, isConnectError} from './connect-error.js';
import {type TaskOutcome, type TaskRequest} from './outcome.js';

/**
Idle connections are closed after this time. Network equipment between host and executor may drop
the state of idle connections; a request written to such a connection is lost, and its task ends
as `unknown`. Connections used within about the last second are not affected.
*/
export const idleTimeoutMs = 1500;

/** Maximum size of a response body; the request for a larger one is aborted and ends as `unknown`. */
export const maxResponseBytes = 4 * 1024 * 1024;

/**
Task time-outs are rounded up to a multiple of this: Node.js keeps timers of equal duration in
one list.
*/
const timeoutStepMs = 50;

export type ExecutorPoolOptions = {
	/** `ip:port`. */
	address: string;
	/** Maximum number of connections kept open while idle. */
	maxIdleConnections: number;
	/** Number of requests that the executor runs concurrently. */
	slots: number;
	/** Local IP of outgoing connections. */
	source?: string;
};

export class ExecutorPool {
	/** Connections that stay open between requests; undefined if `maxIdleConnections` is 0. */
	readonly #persistentPool: Pool | undefined;
	/** Connections beyond `maxIdleConnections`, closed after each request. */
	readonly #singleUsePool: Pool;
	#running = 0;

	constructor(readonly options: ExecutorPoolOptions) {
		this.#persistentPool =
			options.maxIdleConnections > 0
				? createPool(options, options.maxIdleConnections)
				: undefined;
		this.#singleUsePool = createPool(options, options.slots);
	}

	/** Number of requests in progress. */
	get running(): number {
		return this.#running;
	}

	/** Sends a task to the executor; `onEnd` is called exactly once. */
	sendTask(request: TaskRequest, onEnd: (outcome: TaskOutcome) => void): void {
		this.#running += 1;
		const exchange = new Exchange(request, (outcome) => {
			this.#running -= 1;
			onEnd(outcome);
		});
		const isPersistent =
			this.#persistentPool !== undefined &&
			this.#running <= this.options.maxIdleConnections;
		(isPersistent ? this.#persistentPool : this.#singleUsePool).dispatch(
			{
				path: request.path,
				method: 'POST',
				headers: buildHeaders(request),
				body: request.payload,
				// Prevents undici from retrying the request when the connection fails.
				idempotent: false,
				reset: !isPersistent,
			},
			exchange,
		);
	}

	/** Waits for requests in progress, then closes the connections. */
	async close(): Promise<void> {
		await Promise.all([
			this.#persistentPool?.close(),
			this.#singleUsePool.close(),
		]);
	}

	/** Aborts requests in progress and closes all connections. */
	async destroy(): Promise<void> {
		await Promise.all([
			this.#persistentPool?.destroy(),
			this.#singleUsePool.destroy(),
		]);
	}
}

function createPool(
	{address, source}: ExecutorPoolOptions,
	connections: number,
): Pool {
	return new Pool(`http://${address}`, {
		connections,
		pipelining: 1,
		keepAliveTimeout: idleTimeoutMs,
		keepAliveMaxTimeout: idleTimeoutMs,
		headersTimeout: 0,
		bodyTimeout: 0,
		connect: createConnector(source),
	});
}

function buildHeaders(request: TaskRequest): Record<string, string> {
	const result: Record<string, string> = {
		'content-type': 'application/json',
		[headers.task]: request.taskId,
		[headers.deadline]: String(Math.ceil(request.deadlineMs)),
	};
	if (request.traceparent !== undefined) {
		result.traceparent = request.traceparent;
	}

	return result;
}

/** One request and its response. */
class Exchange implements Dispatcher.DispatchHandler {
	readonly #sentAt = performance.now();
	readonly #timer: NodeJS.Timeout;
	#controller: Dispatcher.DispatchController | undefined;
	#status = 0;
	#isRefusal = false;
	#isJson = false;
	#receivedBytes = 0;
	#chunks: Buffer[] = [];
	#isEnded = false;

	constructor(
		private readonly request: TaskRequest,
		private readonly onEnd: (outcome: TaskOutcome) => void,
	) {
		const timeoutMs =
			Math.ceil(Math.max(1, request.limitMs) / timeoutStepMs) * timeoutStepMs;
		this.#timer = setTimeout(() => {
			this.#giveUp('no whole answer in time');
		}, timeoutMs);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (!this.#isEnded && !this.request.isUsable()) {
			this.#end({result: 'withheld', runMs: this.#measureRunMs()});
		}

		if (this.#isEnded) {
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
		this.#receivedBytes += chunk.length;
		if (this.#receivedBytes > maxResponseBytes) {
			this.#giveUp(`an answer of over ${maxResponseBytes} bytes`);
			return;
		}

		this.#chunks.push(chunk);
	}

	onResponseEnd(): void {
		const runMs = this.#measureRunMs();
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

		this.#end(parseResponse(text, this.#isJson, runMs));
	}

	onResponseError(
		_controller: Dispatcher.DispatchController,
		error: Error,
	): void {
		const runMs = this.#measureRunMs();
		const detail = error.message;
		this.#end(
			isConnectError(error)
				? {result: 'unreachable', detail, runMs}
				: {result: 'unknown', detail, runMs},
		);
	}

	#giveUp(detail: string): void {
		const runMs = this.#measureRunMs();
		// Without a controller the request has no connection yet: nothing was written, and
		// onRequestStart aborts it before undici sends it.
		this.#end(
			this.#controller
				? {result: 'unknown', detail, runMs}
				: {result: 'unreachable', detail, runMs},
		);
		this.#controller?.abort(new Error(detail));
	}

	#measureRunMs(): number {
		return performance.now() - this.#sentAt;
	}

	#end(outcome: TaskOutcome): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		clearTimeout(this.#timer);
		this.#chunks = [];
		this.onEnd(outcome);
	}
}

/**
A response that is declared as JSON but can't be parsed was damaged in transit or by the
executor: the task ran and failed.
*/
function parseResponse(
	text: string,
	isJson: boolean,
	runMs: number,
): TaskOutcome {
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
