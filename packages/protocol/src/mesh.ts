/**
This host's connections to its peers: it dials each known peer (as the asking side) and accepts
theirs (as the answering side). A peer that is silent is hung up on and dialled anew.

What goes wrong: something between two hosts loses track of an open connection, or a host is
frozen; the connection stays open and nothing comes. Noticed by the heartbeat: every ping is
answered, and `silenceMs` without a byte closes the connection. That bounds how long a request
can wait on a dead link.
*/
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {Connection, type Meter} from './connection.js';
import {protocolVersion, type Hello, type Message} from './messages.js';

/** Heartbeat interval where none is given. */
export const pingMs = 600;
/** Silence and due dials are looked at this many times between heartbeats. */
const ticksPerPing = 5;
/** A peer that sent nothing for this long is hung up on. */
export const silenceMs = 2000;
/** Why a connection was closed that nothing came on for that long. */
export const silentReason = 'silent';
/** How long a dial may take. */
const dialTimeoutMs = 1500;
/** Pause before a peer is dialled again; doubled up to the cap, with jitter. */
const redialMs = 100;
/** A try this young is left to come to its end: two hosts that dial each other would never meet otherwise. */
const freshDialMs = 200;
const redialCapMs = 2000;
/** A timer this late means that this host itself was paused: peers are not to blame. */
const pauseMs = 1000;

export type PeerAddress = {dataCentre: string; host: string; address: string};

/** An established, answered connection to a peer, this host asking. */
export type Link = {
	key: string;
	hello: Hello;
	send: (message: Message) => void;
};
/** An accepted connection, this host answering. */
export type Session = {
	key: string;
	hello: Hello;
	send: (message: Message) => void;
};

export type MeshHandlers = {
	onLinkUp: (link: Link) => void;
	onLinkDown: (link: Link, reason: string) => void;
	/** A message from the answering side of a link. */
	onReply: (link: Link, message: Message) => void;
	onSessionUp: (session: Session) => void;
	onSessionDown: (session: Session) => void;
	/** A message from the asking side of a session. */
	onRequest: (session: Session, message: Message) => void;
	/** The heartbeat: what is sent now travels in the same frames. */
	onBeat: () => void;
	/** A peer says it is leaving, or that it no longer is. */
	onLeaving: (key: string, isLeaving: boolean) => void;
};

export type MeshOptions = {
	self: Omit<Hello, 't' | 'version' | 'isLeaving'>;
	/** Local IP of outgoing connections. */
	source?: string;
	handlers: MeshHandlers;
	meter: Meter;
	/** Uniform in [0, 1). */
	random: () => number;
	/** Heartbeat interval; a third of `silenceMs` at most, so that two may be missed. */
	pingMs?: number;
};

/** Names a host in maps: `<data centre>_<host>`, as in issuers. */
export function formatHostKey({
	dataCentre,
	host,
}: {
	dataCentre: string;
	host: string;
}): string {
	return `${dataCentre}_${host}`;
}

type Peer = PeerAddress & {
	key: string;
	connection?: Connection;
	link?: Link;
	failures: number;
	nextDialAt: number;
	dialledAt: number;
};

export class Mesh {
	#isLeaving = false;
	readonly #peers = new Map<string, Peer>();
	readonly #accepted = new Map<Connection, Session | undefined>();
	readonly #server: net.Server;
	#timer: NodeJS.Timeout | undefined;
	#tickAt = performance.now();
	#beat = 0;
	readonly #pingMs: number;

	constructor(private readonly options: MeshOptions) {
		this.#pingMs = options.pingMs ?? pingMs;
		this.#server = net.createServer((socket) => {
			this.#accept(socket);
		});
	}

	/** Listens and starts dialling. */
	async start(): Promise<void> {
		const [ip, port] = splitAddress(this.options.self.address);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, ip, resolve);
		});
		this.#timer = setInterval(() => {
			this.#tick();
		}, this.#pingMs / ticksPerPing);
	}

	/** The peers to hold links to; links to others are closed. */
	setPeers(peers: readonly PeerAddress[]): void {
		const wanted = new Set<string>();
		for (const peer of peers) {
			const key = formatHostKey(peer);
			wanted.add(key);
			this.#setPeer(key, peer);
		}

		for (const [key, peer] of this.#peers) {
			if (!wanted.has(key)) {
				this.#peers.delete(key);
				peer.connection?.close('no longer listed');
			}
		}

		this.#dialDue(performance.now());
	}

	/** Keys of the peers to hold links to, whether or not there is one now. */
	listPeers(): string[] {
		return [...this.#peers.keys()];
	}

	findLink(key: string): Link | undefined {
		return this.#peers.get(key)?.link;
	}

	/** The incarnations of a host that are connected to this one, whichever side dialled. */
	listIncarnations(key: string): string[] {
		const sessions = this.listSessions().filter(
			(session) => session.key === key,
		);
		const link = this.findLink(key);
		return [...sessions, ...(link ? [link] : [])].map(
			({hello}) => hello.incarnation,
		);
	}

	/** Where a peer is dialled. */
	findAddress(key: string): string | undefined {
		return this.#peers.get(key)?.address;
	}

	listLinks(): Link[] {
		return [...this.#peers.values()].flatMap((peer) => peer.link ?? []);
	}

	listSessions(): Session[] {
		return [...this.#accepted.values()].filter(
			(session) => session !== undefined,
		);
	}

	/**
	Makes this host known at an address of which no name is known: the host there learns this one's
	name and address from the hello, dials back, and is dialled in turn.
	*/
	sendGreeting(address: string): void {
		const [host, port] = splitAddress(address);
		const socket = net.connect({host, port, localAddress: this.options.source});
		const connection = new Connection(
			socket,
			{
				onMessage() {
					// The answer comes over the connection that is dialled back.
				},
				onClose() {
					clearTimeout(timer);
				},
			},
			this.options.meter,
		);
		const timer = setTimeout(() => {
			connection.close('greeted');
		}, dialTimeoutMs);
		socket.once('connect', () => {
			connection.send(this.#makeHello());
		});
	}

	/** Tells all peers, at once and with each heartbeat. */
	setLeaving(isLeaving: boolean): void {
		this.#isLeaving = isLeaving;
		this.#sendHeartbeats(Infinity);
	}

	/** Sends what waits and closes in order. */
	async stop(): Promise<void> {
		clearInterval(this.#timer);
		for (const connection of this.#listConnections()) {
			connection.end();
		}

		this.#peers.clear();
		await new Promise<void>((resolve) => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#setPeer(key: string, address: PeerAddress): void {
		const known = this.#peers.get(key);
		if (known?.address === address.address) {
			return;
		}

		known?.connection?.close('moved');
		this.#peers.set(key, {
			...address,
			key,
			failures: 0,
			nextDialAt: 0,
			dialledAt: 0,
		});
	}

	#tick(): void {
		const now = performance.now();
		const late = now - this.#tickAt - this.#pingMs / ticksPerPing;
		this.#tickAt = now;
		if (late > pauseMs) {
			this.#forgiveSilence(now);
		}

		this.#closeSilent(now);
		this.#dialDue(now);
		this.#beat += 1;
		if (this.#beat % ticksPerPing === 0) {
			this.#sendHeartbeats(now - this.#pingMs);
			this.options.handlers.onBeat();
		}
	}

	/** This host was paused: what the peers sent meanwhile has yet to be read. */
	#forgiveSilence(now: number): void {
		for (const connection of this.#listConnections()) {
			connection.lastHeardAt = now - silenceMs + pauseMs;
		}
	}

	#closeSilent(now: number): void {
		for (const connection of this.#listConnections()) {
			if (now - connection.lastHeardAt > silenceMs) {
				connection.close(silentReason);
			}
		}
	}

	#listConnections(): Connection[] {
		const dialled = [...this.#peers.values()].flatMap(
			(peer) => peer.connection ?? [],
		);
		return [...dialled, ...this.#accepted.keys()];
	}

	/** A link on which something was heard within the interval needs no ping. */
	#sendHeartbeats(quietSince: number): void {
		for (const {link, connection} of this.#peers.values()) {
			if (link && connection && connection.lastHeardAt <= quietSince) {
				link.send({t: 'ping', isLeaving: this.#isLeaving});
			}
		}
	}

	#dialDue(now: number): void {
		for (const peer of this.#peers.values()) {
			if (!peer.connection && now >= peer.nextDialAt) {
				this.#dial(peer);
			}
		}
	}

	#dial(peer: Peer): void {
		const [host, port] = splitAddress(peer.address);
		const socket = net.connect({host, port, localAddress: this.options.source});
		const connection = new Connection(
			socket,
			{
				onMessage: (message) => {
					this.#receiveReply(peer, connection, message);
				},
				onClose: (reason) => {
					this.#endLink(peer, reason);
				},
			},
			this.options.meter,
		);
		socket.setTimeout(dialTimeoutMs, () => {
			connection.close('dial timed out');
		});
		socket.once('connect', () => {
			socket.setTimeout(0);
			connection.send(this.#makeHello());
		});
		peer.connection = connection;
		peer.dialledAt = performance.now();
	}

	/**
	A peer that dials this host can be reached. After all hosts lost power, the tries made while it was
	dark wait for a time-out or a growing pause; its callers would be told of no scheduler meanwhile.
	*/
	#dialAgain(key: string): void {
		const now = performance.now();
		const peer = this.#peers.get(key);
		if (!peer) {
			return;
		}

		// A try that has failed already is not waited for, however young: the next would come after the pause.
		const isFresh =
			peer.connection !== undefined && now - peer.dialledAt < freshDialMs;
		if (peer.link !== undefined || isFresh) {
			return;
		}

		peer.connection?.close('the peer is back');
		peer.failures = 0;
		peer.nextDialAt = now;
		this.#dialDue(now);
	}

	#receiveReply(peer: Peer, connection: Connection, message: Message): void {
		if (message.t === 'hello') {
			this.#openLink(peer, connection, message);
			return;
		}

		if (!peer.link) {
			connection.close('spoke before its hello');
			return;
		}

		if (message.t === 'pong') {
			this.options.handlers.onLeaving(peer.key, message.isLeaving);
			return;
		}

		this.options.handlers.onReply(peer.link, message);
	}

	#openLink(peer: Peer, connection: Connection, hello: Hello): void {
		if (
			hello.version !== protocolVersion ||
			formatHostKey(hello) !== peer.key
		) {
			connection.close('not the host that was dialled');
			return;
		}

		peer.failures = 0;
		peer.link = {
			key: peer.key,
			hello,
			send(message) {
				connection.send(message);
			},
		};
		this.options.handlers.onLinkUp(peer.link);
		this.options.handlers.onLeaving(peer.key, hello.isLeaving);
	}

	#endLink(peer: Peer, reason: string): void {
		const {link} = peer;
		peer.connection = undefined;
		peer.link = undefined;
		if (link && performance.now() - peer.dialledAt > redialMs) {
			this.#dialBroken(peer);
		} else {
			this.#scheduleDial(peer);
		}

		if (link) {
			this.options.handlers.onLinkDown(link, reason);
		}
	}

	/** Only the connection may be gone and not the host, whose answers callers here wait for. */
	#dialBroken(peer: Peer): void {
		peer.failures = 0;
		peer.nextDialAt = performance.now();
		setImmediate(() => {
			this.#dialDue(performance.now());
		});
	}

	#scheduleDial(peer: Peer): void {
		peer.failures += 1;
		const pause = Math.min(
			redialCapMs,
			redialMs * 2 ** Math.min(peer.failures, 6),
		);
		peer.nextDialAt =
			performance.now() + pause * (0.5 + this.options.random() / 2);
	}

	#accept(socket: net.Socket): void {
		const connection = new Connection(
			socket,
			{
				onMessage: (message) => {
					this.#receiveRequest(connection, message);
				},
				onClose: () => {
					this.#endSession(connection);
				},
			},
			this.options.meter,
		);
		this.#accepted.set(connection, undefined);
	}

	#receiveRequest(connection: Connection, message: Message): void {
		if (message.t === 'hello') {
			this.#openSession(connection, message);
			return;
		}

		const session = this.#accepted.get(connection);
		if (!session) {
			this.options.meter.countBadFrame('no-hello');
			connection.close('spoke before its hello');
			return;
		}

		if (message.t === 'ping') {
			connection.send({t: 'pong', isLeaving: this.#isLeaving});
			this.options.handlers.onLeaving(session.key, message.isLeaving);
			return;
		}

		this.options.handlers.onRequest(session, message);
	}

	#openSession(connection: Connection, hello: Hello): void {
		if (hello.version !== protocolVersion || this.#accepted.get(connection)) {
			connection.close('unusable hello');
			return;
		}

		const session: Session = {
			key: formatHostKey(hello),
			hello,
			send(message) {
				connection.send(message);
			},
		};
		this.#accepted.set(connection, session);
		connection.send(this.#makeHello());
		this.#dialAgain(session.key);
		this.options.handlers.onSessionUp(session);
	}

	#endSession(connection: Connection): void {
		const session = this.#accepted.get(connection);
		this.#accepted.delete(connection);
		if (session) {
			this.options.handlers.onSessionDown(session);
		}
	}

	#makeHello(): Hello {
		return {
			t: 'hello',
			version: protocolVersion,
			isLeaving: this.#isLeaving,
			...this.options.self,
		};
	}
}

function splitAddress(address: string): [string, number] {
	const at = address.lastIndexOf(':');
	return [address.slice(0, at), Number(address.slice(at + 1))];
}
