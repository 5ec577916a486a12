/**
A stand-in for an executor, on bare `node:http` so that it is not the bottleneck of a bench.

It takes `POST PATH` with a task's payload: `{"ms": n, "value": any}` waits n milliseconds and
answers `{"value", "executor", "task"}`; `{"fail": true}` answers 500. Above its slots it answers
503 with `Gentianshift-Not-Run: true`.
*/
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {headers} from '@gentianshift/resources';
import {type ExecutorLinks} from './executor-links.js';
import {type ExecutorStats, type ModeChange} from './executor-schemas.js';
import {type StartLog} from './executor-starts.js';
import {resetSocket} from './reset-socket.js';

export type ExecutorSettings = {
	name: string;
	ip: string;
	/** 0: any free one. */
	port: number;
	slots: number;
};

export type ExecutorContext = {links: ExecutorLinks; starts: StartLog};

export type RunningExecutor = {
	name: string;
	/** `IP:PORT` as bound. */
	address: string;
	setMode: (change: ModeChange) => void;
	readStats: () => ExecutorStats;
	close: () => Promise<void>;
};

type Payload = {ms?: number; value?: unknown; fail?: boolean};
type Request = {
	req: IncomingMessage;
	res: ServerResponse;
	socket: Socket;
	delayMs: number;
	payload: Payload;
	task: string;
};

/** Opens one executor's port. */
export async function startExecutor(
	settings: ExecutorSettings,
	{links, starts}: ExecutorContext,
): Promise<RunningExecutor> {
	const {name, slots} = settings;
	const stats = createStats(settings);
	let mode: ModeChange = {executor: name, mode: 'ok', factor: 1};

	const server = createServer((req, res) => {
		receiveRequest(req, res);
	});
	server.keepAliveTimeout = 0;
	server.headersTimeout = 0;
	server.requestTimeout = 0;
	server.on('connection', (socket: Socket) => {
		if (!links.admitSocket(socket)) {
			return;
		}

		socket.setNoDelay(true);
		stats.connections++;
		stats.connectionsHighWater = Math.max(
			stats.connectionsHighWater,
			stats.connections,
		);
		socket.once('close', () => {
			stats.connections--;
		});
	});

	function receiveRequest(req: IncomingMessage, res: ServerResponse): void {
		const {socket} = req;
		const delayMs = links.getDelayMs(socket.remoteAddress ?? '');
		const chunks: Uint8Array[] = [];
		req.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		req.on('error', ignoreError);
		res.on('error', ignoreError);
		req.on('end', () => {
			if (links.isSilent(socket)) {
				return;
			}

			const payload = readPayload(chunks);
			const task = String(req.headers[headers.task] ?? '');
			const request = {req, res, socket, delayMs, payload, task};
			waitFor(delayMs, () => {
				takeRequest(request);
			});
		});
	}

	function takeRequest(request: Request): void {
		if (mode.mode === 'refuse' || stats.running >= slots) {
			stats.refused++;
			sendAnswer(request, 503, '{"error":"no free slot"}', {
				[headers.notRun]: 'true',
			});
			return;
		}

		recordStart(request);
		if (mode.mode === 'fail' || request.payload.fail === true) {
			endRun(0);
			sendAnswer(request, 500, '{"error":"failed"}');
			return;
		}

		if (mode.mode === 'silent') {
			request.socket.once('close', () => {
				endRun(0);
			});
			return;
		}

		if (mode.mode === 'reset') {
			endRun(0);
			resetSocket(request.socket);
			return;
		}

		const factor = mode.mode === 'slow' ? mode.factor : 1;
		const runMs = (request.payload.ms ?? 0) * factor;
		waitFor(runMs, () => {
			endRun(runMs);
			finishRequest(request);
		});
	}

	function recordStart({req, socket, task}: Request): void {
		const deadline = req.headers[headers.deadline];
		const isDuplicate = starts.recordStart({
			task,
			executor: name,
			at: Date.now(),
			from: socket.remoteAddress ?? '',
			traceparent: req.headers.traceparent as string | undefined,
			deadlineMs: deadline === undefined ? undefined : Number(deadline),
		});
		stats.starts++;
		stats.duplicates += isDuplicate ? 1 : 0;
		stats.running++;
		stats.runningHighWater = Math.max(stats.runningHighWater, stats.running);
	}

	function endRun(runMs: number): void {
		stats.running--;
		stats.busyMs += runMs;
	}

	function finishRequest(request: Request): void {
		const body = JSON.stringify({
			value: request.payload.value ?? null,
			executor: name,
			task: request.task,
		});
		stats.answered++;
		if (mode.mode === 'truncate') {
			sendTruncated(request, body);
			return;
		}

		const length = Buffer.byteLength(body);
		const announced = mode.mode === 'wrong-length' ? length - 3 : length;
		sendAnswer(request, 200, body, {'content-length': String(announced)});
	}

	function sendTruncated({res, socket, delayMs}: Request, body: string): void {
		waitFor(delayMs, () => {
			res.writeHead(200, {
				'content-type': 'application/json',
				'content-length': String(Buffer.byteLength(body)),
			});
			res.write(body.slice(0, Math.floor(body.length / 2)), () => {
				socket.destroy();
			});
		});
	}

	function sendAnswer(
		{res, socket, delayMs}: Request,
		status: number,
		body: string,
		more: Record<string, string> = {},
	): void {
		waitFor(delayMs, () => {
			if (links.isSilent(socket) || socket.destroyed) {
				return;
			}

			res.writeHead(status, {
				'content-type': 'application/json',
				'content-length': String(Buffer.byteLength(body)),
				...more,
			});
			res.end(body);
		});
	}

	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(settings.port, settings.ip, resolve);
	});
	const {port} = server.address() as AddressInfo;
	return {
		name,
		address: `${settings.ip}:${port}`,
		setMode(change) {
			mode = change;
		},
		readStats: () => ({...stats}),
		async close() {
			server.closeAllConnections();
			await new Promise((resolve) => {
				server.close(resolve);
			});
		},
	};
}

function createStats({name, slots}: ExecutorSettings): ExecutorStats {
	return {
		executor: name,
		slots,
		starts: 0,
		refused: 0,
		answered: 0,
		duplicates: 0,
		running: 0,
		runningHighWater: 0,
		connections: 0,
		connectionsHighWater: 0,
		busyMs: 0,
	};
}

function readPayload(chunks: readonly Uint8Array[]): Payload {
	const text = Buffer.concat(chunks).toString();
	try {
		const payload = JSON.parse(text) as Payload | null;
		return typeof payload === 'object' && payload !== null
			? payload
			: {value: payload};
	} catch {
		return {fail: true};
	}
}

/** Runs at once where there is nothing to wait for: a timer costs a millisecond. */
function waitFor(ms: number, then: () => void): void {
	if (ms <= 0) {
		then();
		return;
	}

	setTimeout(then, ms);
}

/** A client that hangs up is no fault of the executor; the run goes on. */
function ignoreError(): void {
	// Nothing to do.
}
