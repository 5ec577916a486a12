/**
One data centre's port of the platform stand-in: the key-value gateway and the host list, with
its own faults and its own view of the hosts' addresses.
*/
import {Buffer} from 'node:buffer';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type HostEntry} from '@gentianshift/resource-store';
import {type createCounts, type Fault} from './platform-faults.js';
import {type PlatformStore} from './platform-store.js';
import {
	RefusedRequest,
	formatEntry,
	formatRange,
	isInRange,
	type KeyRange,
	type StoreEvent,
	type WireReply,
	type WireTxn,
} from './platform-wire.js';

export type GatewayOptions = {
	store: PlatformStore;
	counts: ReturnType<typeof createCounts>;
	listHosts: () => HostEntry[];
	/** Time between progress notices of a watch, milliseconds. */
	progressMs: number;
};

type WatchRequest = {
	create_request: KeyRange & {start_revision?: string};
};

const kinds: Record<string, string> = {
	'/v3/kv/range': 'range',
	'/v3/kv/txn': 'txn',
	'/v3/lease/grant': 'lease',
	'/v3/lease/keepalive': 'lease',
	'/v3/lease/revoke': 'lease',
	'/v3/watch': 'watch',
	'/hosts': 'hosts',
};

export class Gateway {
	readonly server: Server;
	#fault: Fault = {mode: 'ok', ms: 0};
	readonly #sockets = new Set<Socket>();
	/** Those that were open when the fault began, of `silent-open`. */
	#silentSockets = new WeakSet<Socket>();

	readonly #options: GatewayOptions;

	constructor(options: GatewayOptions) {
		this.#options = options;
		this.server = createServer((req, res) => {
			this.#handle(req, res).catch(() => {
				res.destroy();
			});
		});
		this.server.on('connection', (socket) => {
			this.#admitSocket(socket);
		});
	}

	setFault(fault: Fault): void {
		this.#fault = fault;
		this.#silentSockets = new WeakSet(
			fault.mode === 'silent-open' ? this.#sockets : [],
		);
		if (fault.mode === 'down') {
			this.#destroySockets();
		}
	}

	close(): void {
		this.server.close();
		this.#destroySockets();
	}

	#destroySockets(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#isSilent(socket: Socket): boolean {
		return this.#fault.mode === 'silent' || this.#silentSockets.has(socket);
	}

	#admitSocket(socket: Socket): void {
		if (this.#fault.mode === 'down') {
			socket.destroy();
			return;
		}

		this.#sockets.add(socket);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
	}

	async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const path = new URL(req.url ?? '/', 'http://x').pathname;
		const kind = kinds[path] ?? 'other';
		this.#options.counts.countCall(kind, getAddress(req));
		const body = await readJson(req);
		if (this.#isSilent(req.socket)) {
			return;
		}

		if (this.#fault.mode === 'slow') {
			await delay(this.#fault.ms);
		}

		if (path === '/v3/watch') {
			this.#streamWatch(req, res, body as WatchRequest);
			return;
		}

		this.#reply(res, kind, () => this.#answer(path, body));
	}

	#dropReply(res: ServerResponse): void {
		res.destroy();
		if (this.#fault.next !== undefined) {
			this.setFault({mode: this.#fault.next, ms: 0});
		}
	}

	#runLate(run: () => void): void {
		if (this.#fault.mode === 'late-events') {
			setTimeout(run, this.#fault.ms).unref();
		} else {
			run();
		}
	}

	#reply(res: ServerResponse, kind: string, answer: () => unknown): void {
		try {
			const text = JSON.stringify(answer());
			if (this.#fault.mode === 'drop-reply' && isWrite(kind)) {
				this.#dropReply(res);
				return;
			}

			res.setHeader('content-type', 'application/json');
			res.end(text);
		} catch (error) {
			res.statusCode = 400;
			const message =
				error instanceof RefusedRequest ? error.message : 'malformed request';
			res.end(JSON.stringify({code: 3, message}));
		}
	}

	#answer(path: string, body: unknown): unknown {
		const {store} = this.#options;
		switch (path) {
			case '/v3/kv/range': {
				return formatRange(
					store.formatHeader(),
					store.readRange(body as KeyRange),
				);
			}

			case '/v3/kv/txn': {
				return store.commitTxn(body as WireTxn);
			}

			case '/v3/lease/grant': {
				return store.grantLease(Number((body as {TTL: string}).TTL));
			}

			case '/v3/lease/keepalive': {
				return {result: store.keepLease((body as {ID: string}).ID)};
			}

			case '/v3/lease/revoke': {
				store.revokeLease((body as {ID: string}).ID);
				return {header: store.formatHeader()};
			}

			case '/hosts': {
				return {hosts: this.#options.listHosts()};
			}

			default: {
				throw new RefusedRequest(`no such path: ${path}`);
			}
		}
	}

	#streamWatch(
		req: IncomingMessage,
		res: ServerResponse,
		{create_request: range}: WatchRequest,
	): void {
		const {store, counts, progressMs} = this.#options;
		const address = getAddress(req);
		const from = Number(range.start_revision ?? 0);
		const write = (result: WireReply) => {
			if (!this.#isSilent(req.socket)) {
				res.write(
					JSON.stringify({result: {header: store.formatHeader(), ...result}}) +
						'\n',
				);
			}
		};

		write({created: true});
		if (from > 0 && from <= store.compactRevision) {
			write({canceled: true, compact_revision: String(store.compactRevision)});
			res.end();
			return;
		}

		const writeEvents = (events: StoreEvent[]) => {
			const seen = events.filter(({kv}) => isInRange(kv.key, range));
			if (seen.length > 0) {
				const result = {events: seen.map((event) => formatEvent(event))};
				this.#runLate(() => {
					write(result);
				});
			}
		};

		counts.changeWaiting(address, 1);
		writeEvents(store.readHistory(range, from > 0 ? from : store.revision + 1));
		const unsubscribe = store.subscribe(writeEvents);
		const progress = setInterval(() => {
			write({});
		}, progressMs);
		res.on('close', () => {
			clearInterval(progress);
			unsubscribe();
			counts.changeWaiting(address, -1);
		});
	}
}

/** Like the real gateway, PUT is the type that is left out. */
function formatEvent({type, kv}: StoreEvent): WireReply {
	return {...(type === 'DELETE' && {type}), kv: formatEntry(kv)};
}

function isWrite(kind: string): boolean {
	return kind === 'txn' || kind === 'lease';
}

function getAddress(req: IncomingMessage): string {
	return req.socket.remoteAddress ?? '';
}

export async function readJson(req: IncomingMessage): Promise<unknown> {
	const chunks: Buffer[] = [];
	for await (const chunk of req) {
		chunks.push(chunk as Buffer);
	}

	const text = Buffer.concat(chunks).toString('utf8');
	return text === '' ? undefined : JSON.parse(text);
}
