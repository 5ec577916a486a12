/**
An HTTP server of a stand-in: JSON in, JSON out, and faults on the way.
*/
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer,
	type IncomingMessage,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {resetSocket} from '../reset-socket.js';

export type JsonRequest = {
	method: string;
	path: string;
	query: URLSearchParams;
	headers: IncomingMessage['headers'];
	body: unknown;
	/** Local IP that the caller's connection comes from. */
	caller: string;
};

/** `undefined`: no answer, ever. */
export type JsonReply = {status: number; body?: unknown} | undefined;

export type JsonServer = {
	/** `ip:port`. */
	address: string;
	close: () => Promise<void>;
	/** Resets all connections. */
	resetConnections: () => void;
};

export async function startJsonServer(
	ip: string,
	answer: (request: JsonRequest) => Promise<JsonReply> | JsonReply,
	/** 0: any free one. */
	givenPort = 0,
): Promise<JsonServer> {
	const sockets = new Set<Socket>();
	const server = createServer((req, res) => {
		void serve(req, res, answer);
	});
	server.keepAliveTimeout = 60_000;
	server.on('connection', (socket) => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	server.listen(givenPort, ip);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const resetConnections = () => {
		for (const socket of sockets) {
			resetSocket(socket);
		}
	};

	return {
		address: `${ip}:${port}`,
		resetConnections,
		async close() {
			const closed = once(server, 'close');
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}

			await closed;
		},
	};
}

async function serve(
	req: IncomingMessage,
	res: ServerResponse,
	answer: (request: JsonRequest) => Promise<JsonReply> | JsonReply,
): Promise<void> {
	const chunks: Buffer[] = [];
	try {
		for await (const chunk of req) {
			chunks.push(chunk as Buffer);
		}
	} catch {
		// The connection was reset before the whole request was here.
		return;
	}

	const text = Buffer.concat(chunks).toString('utf8');
	const {pathname, searchParams} = new URL(req.url ?? '/', 'http://standin');
	const reply = await answer({
		method: req.method ?? 'GET',
		path: pathname,
		query: searchParams,
		headers: req.headers,
		body: text === '' ? undefined : JSON.parse(text),
		caller: req.socket.remoteAddress ?? '',
	});
	if (reply === undefined || res.destroyed) {
		return;
	}

	res.writeHead(reply.status, {'content-type': 'application/json'});
	res.end(reply.body === undefined ? '' : JSON.stringify(reply.body));
}
