/**
The HTTP server of one host: its bounds against slow and broken clients, and its planned stop.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {getRequestListener} from '@hono/node-server';
import {headers, type Problem} from '@gentianshift/resources';
import {tellClosedConnections} from './closed-connections.js';
import {createApp} from './app.js';
import {createBodyBudget} from './bodies/index.js';
import {InFlight} from './in-flight.js';
import {type CallerPort, type HealthPort, type OperatorPort} from './ports.js';
import {createProblem} from './problems.js';
import {contentTypes, createReplies} from './replies.js';

/** A client that sends its headers a byte at a time holds a connection no longer. */
const headersTimeoutMs = 5000;
/** Headers and body: 16 MB in this time is a slow mobile link. */
const requestTimeoutMs = 30_000;
/** How often the two above are looked at. */
const timeoutCheckMs = 500;
/** Longer than the 60 s of usual balancers, so that the balancer closes first. */
const keepAliveTimeoutMs = 75_000;
/** Probes of the system find a peer that went silent on an open watch. */
const keepAliveProbeMs = 15_000;
/** Bytes of all headers of one request. */
const maxHeaderBytes = 16 * 1024;
/** Bodies of the largest legal size that may be read at once. */
const largestBodiesAtOnce = 8;
/** Connections at once: about 10 KB each, so that a flood of them stays under 64 MB. */
const maxConnections = 5000;
/** After the grace, answers said in its last moment get this long to go out. */
const flushMs = 200;
/** How often a stopping host looks whether its last request has ended. */
const stopCheckMs = 10;

export type ApiOptions = {
	/** `IPV4:PORT`; port 0 takes a free one. */
	address: string;
	callers: CallerPort;
	operators: OperatorPort;
	health: HealthPort;
	limits: {bodyBytes: number};
	getExtraHeaders?: () => Record<string, string>;
	/** Told of exceptions in a route and of faults of the server. */
	onError?: (error: Error) => void;
	/** Milliseconds; other bounds for tests. */
	timeouts?: {headersMs?: number; requestMs?: number};
};

export type Api = {
	/** Where it listens, `IPV4:PORT`. */
	address: string;
	/**
	Takes no new connection, tells watches of resources to reconnect, lets requests in flight
	end and closes idle connections. What is still open after the grace gets a last word.
	*/
	stop: (options: {graceMs: number}) => Promise<void>;
};

/** Starts to serve callers and operators; throws when the address cannot be had. */
export async function startApi(options: ApiOptions): Promise<Api> {
	const streams = {resources: new InFlight(), jobs: new InFlight()};
	const waits = new InFlight();
	let isStopping = false;
	const replies = createReplies({
		getIssuer: options.callers.getIssuer,
		isStopping: () => isStopping,
		getExtraHeaders: options.getExtraHeaders,
	});
	const app = createApp({
		...options,
		replies,
		bodyBytes: options.limits.bodyBytes,
		bodyBudget: createBodyBudget(
			largestBodiesAtOnce * options.limits.bodyBytes,
		),
		waits,
		jobStreams: streams.jobs,
		resourceStreams: streams.resources,
	});
	const listener = getRequestListener(app.fetch, {
		errorHandler: () =>
			replies.sendProblem(
				createProblem({
					status: 400,
					code: 'bad-request',
					detail: 'the request line or the Host header is malformed',
					ran: 'unknown',
				}),
			),
	});
	const server = createBoundedServer(options);
	tellClosedConnections(server);
	const requests = new Set<ServerResponse>();
	server.on('request', (req, res) => {
		requests.add(res);
		res.once('close', () => {
			requests.delete(res);
		});
		void listener(req, res);
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
		answerBrokenRequest(error, socket, options.callers.getIssuer());
	});
	const address = await listen(server, options.address);

	const stop = async ({graceMs}: {graceMs: number}): Promise<void> => {
		isStopping = true;
		const deadline = performance.now() + graceMs;
		const closed = once(server, 'close');
		server.close();
		server.closeIdleConnections();
		streams.resources.endAll();
		while (requests.size > 0 && performance.now() < deadline) {
			await sleep(stopCheckMs);
			server.closeIdleConnections();
		}

		if (requests.size > 0) {
			waits.endAll();
			streams.jobs.endAll();
			await sleep(flushMs);
		}

		server.closeAllConnections();
		await closed;
	};

	return {address, stop};
}

function createBoundedServer({timeouts, onError}: ApiOptions): Server {
	const server = createServer({
		headersTimeout: timeouts?.headersMs ?? headersTimeoutMs,
		requestTimeout: timeouts?.requestMs ?? requestTimeoutMs,
		connectionsCheckingInterval: timeoutCheckMs,
		keepAliveTimeout: keepAliveTimeoutMs,
		maxHeaderSize: maxHeaderBytes,
		keepAlive: true,
		keepAliveInitialDelay: keepAliveProbeMs,
		noDelay: true,
	});
	server.maxConnections = maxConnections;
	server.on('error', (error) => onError?.(error));
	return server;
}

async function listen(server: Server, address: string): Promise<string> {
	const [host, port] = address.split(':');
	server.listen(Number(port), host);
	await once(server, 'listening');
	const bound = server.address() as AddressInfo;
	return `${bound.address}:${bound.port}`;
}

/** What the parser could not read gets a problem too, then the connection is closed. */
function answerBrokenRequest(
	error: NodeJS.ErrnoException,
	socket: Socket,
	issuer: string,
): void {
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	const problem = describeBrokenRequest(error.code);
	const body = JSON.stringify(problem);
	const head = [
		`HTTP/1.1 ${problem.status} ${problem.title}`,
		`content-type: ${contentTypes.problem}`,
		`content-length: ${Buffer.byteLength(body)}`,
		`${headers.issuer}: ${issuer}`,
		'connection: close',
	];
	socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}

/** A broken request may be a copy of one that came whole elsewhere: what ran is not known. */
function describeBrokenRequest(code = 'none'): Problem {
	const ran = 'unknown';
	if (code === 'HPE_HEADER_OVERFLOW') {
		const detail = `the headers are larger than ${maxHeaderBytes} bytes`;
		return createProblem({status: 431, code: 'headers-too-large', detail, ran});
	}

	if (code === 'ERR_HTTP_REQUEST_TIMEOUT') {
		const detail = 'the request did not come whole in time';
		return createProblem({status: 408, code: 'request-timeout', detail, ran});
	}

	const detail = 'this is not HTTP/1.1';
	return createProblem({status: 400, code: 'bad-request', detail, ran});
}
