/**
This host's connections to its peers. The host dials each known peer and sends requests on that connection (a link);
it accepts the connections that peers dial and answers requests on them (sessions).

A firewall or NAT between two hosts can lose track of an open connection, or a host can freeze: the
connection then stays open and no bytes arrive. Each ping is answered by a pong; a connection without an answer is
closed and dialled again (`heartbeat.ts`). This bounds how long a request can wait on a dead link.
*/
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {isHostAddress} from '@gentianshift/resources';
import {Connection, type Meter} from './connection.js';
import {
	computePingInterval,
	computeSilenceLimit,
	findUnansweredPing,
	isPingDue,
	isPongOverdue,
	silenceTimeoutMs,
	type HeartbeatOptions,
	type LinkActivity,
} from './heartbeat.js';
import {protocolVersion, type Hello, type Message} from './messages.js';

/** Default heartbeat interval. */
export const defaultPingIntervalMs = 600;
/** Timer ticks a heartbeat interval; each tick closes silent connections and starts due dials. */
const ticksPerPing = 5;
/** Close reason of a connection on which no bytes arrive. */
export const silentCloseReason = 'silent';
/** Close reason of connections to the former process of a host that has restarted. */
const restartedCloseReason = 'the peer has restarted';
/** Time-out for establishing a TCP connection; also how long the connection of `sendGreeting` stays open. */
const dialTimeoutMs = 1500;
/**
Base of the exponential backoff between failed dials: doubled with each failure up to `maxRedialDelayMs`, then multiplied
by a random factor from 0.5 to 1. A link that breaks later than this after its dial is dialled again without backoff.
*/
const minRedialDelayMs = 100;
/**
A pending dial younger than this isn't replaced when the peer dials this host. Otherwise two hosts that dial each other at
the same time would keep closing each other's dials and never connect.
*/
const pendingDialGraceMs = 200;
/**
Most dials that wait for their hello at a time; older ones than `pendingDialGraceMs` don't count. A host that starts with
hundreds of others would otherwise work on all connections at once, and have those that its callers wait for last.
*/
const maxPendingDials = 8;
/** Peers that nobody waits for are dialled with the timer's ticks, so many at a time. */
const backgroundDialsPerTick = 4;
const maxRedialDelayMs = 2000;
/** A tick later than this means that this process was paused; the silence of peers is then no sign of a fault of theirs. */
const pauseThresholdMs = 1000;

const livePong: Message = {t: 'pong', isLeaving: false};
const leavingPong: Message = {t: 'pong', isLeaving: true};

export type PeerAddress = {dataCentre: string; host: string; address: string};

/** A connection that this host dialled and on which the peer's `hello` has arrived: this host sends requests. */
export type Link = {
	key: string;
	hello: Hello;
	send: (message: Message) => void;
};
/** A connection that the peer dialled and on which its `hello` has arrived: this host answers requests. */
export type Session = {
	key: string;
	hello: Hello;
	send: (message: Message) => void;
};

export type MeshHandlers = {
	onLinkUp: (link: Link) => void;
	/**
	`reason`: the connection's close reason, such as `silentCloseReason`. `lastReceivedAt`: when bytes last arrived
	on it, monotonic milliseconds.
	*/
	onLinkDown: (link: Link, reason: string, lastReceivedAt: number) => void;
	/** A message that the peer sent on a link, other than `hello` and `pong`. */
	onReply: (link: Link, message: Message) => void;
	onSessionUp: (session: Session) => void;
	onSessionDown: (session: Session) => void;
	/** A message that the peer sent on a session, other than `hello` and `ping`. */
	onRequest: (session: Session, message: Message) => void;
	/** Called right after the pings of each heartbeat: messages sent from it share the pings' frames. */
	onHeartbeat: () => void;
	/** Called for each `hello` of a link, `ping` and `pong`, whether or not `isLeaving` has changed. */
	onLeaving: (key: string, isLeaving: boolean) => void;
};

export type MeshOptions = {
	self: Omit<Hello, 't' | 'version' | 'isLeaving' | 'silenceLimitMs'>;
	/** Local IP address that outgoing connections are bound to. */
	localAddress?: string;
	handlers: MeshHandlers;
	meter: Meter;
	/** Uniform in [0, 1). */
	random: () => number;
	/** Heartbeat interval; at most half of `silenceTimeoutMs`, so that a lost heartbeat doesn't close a connection. */
	pingIntervalMs?: number;
	/** Longest interval that `choosePingInterval` returns. */
	longestPingIntervalMs?: number;
	/** Interval between pings to this peer while nothing arrives from it. Absent: `pingIntervalMs`. */
	choosePingInterval?: (key: string) => number;
	/**
	The order of dials: peers of a lower rank first. Infinity: nobody waits for the connection, and the peer is dialled in the
	background. Absent: as they were listed.
	*/
	rankDial?: (peer: PeerAddress) => number;
	/** Asked at each timer tick; true: pings that are due go out now and not with the next heartbeat. */
	isPingUrgent?: () => boolean;
	/** Whether this peer learns at once that this host is leaving, and not with the next heartbeat. Absent: all. */
	isToldLeavingAtOnce?: (peer: PeerAddress) => boolean;
};

/** A host's key in maps: `<data centre>_<host>`, the same form as in issuers. */
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
	failedDials: number;
	nextDialAt: number;
	dialledAt: number;
	/** When the last ping on the link was sent that was not a repeated one. */
	pingedAt?: number;
};

export class Mesh {
	#isLeaving = false;
	readonly #peers = new Map<string, Peer>();
	readonly #accepted = new Map<Connection, Session | undefined>();
	readonly #dialRanks = new Map<string, number>();
	readonly #server: net.Server;
	#timer: NodeJS.Timeout | undefined;
	#lastTickAt = performance.now();
	#tickCount = 0;
	readonly #pingIntervalMs: number;
	readonly #heartbeat: HeartbeatOptions;
	readonly #silenceLimitMs: number;

	constructor(private readonly options: MeshOptions) {
		this.#pingIntervalMs = options.pingIntervalMs ?? defaultPingIntervalMs;
		this.#heartbeat = {
			pingIntervalMs: this.#pingIntervalMs,
			longestPingIntervalMs:
				options.longestPingIntervalMs ?? this.#pingIntervalMs,
		};
		this.#silenceLimitMs = computeSilenceLimit(this.#heartbeat);
		this.#server = net.createServer((socket) => {
			this.#accept(socket);
		});
	}

	/** Listens for peers and starts the timer that dials them. Rejects if the address can't be listened on. */
	async start(): Promise<void> {
		const [ip, port] = splitAddress(this.options.self.address);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, ip, resolve);
		});
		this.#timer = setInterval(() => {
			this.#onTick();
		}, this.#pingIntervalMs / ticksPerPing);
	}

	/**
	Replaces the set of peers: links to peers that are no longer in it are closed, new peers are dialled at once. Peers whose address
	can't be dialled are left out.
	*/
	setPeers(peers: readonly PeerAddress[]): void {
		const wanted = new Set<string>();
		for (const peer of peers.filter(({address}) => isHostAddress(address))) {
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

		this.#dialDuePeers(performance.now());
	}

	/** Keys of all peers given to `setPeers`, linked or not. */
	listPeers(): string[] {
		return [...this.#peers.keys()];
	}

	findLink(key: string): Link | undefined {
		return this.#peers.get(key)?.link;
	}

	/** Incarnations of the host's connected processes, one entry a session or link; may repeat. */
	listIncarnations(key: string): string[] {
		const sessions = this.listSessions().filter(
			(session) => session.key === key,
		);
		const link = this.findLink(key);
		return [...sessions, ...(link ? [link] : [])].map(
			({hello}) => hello.incarnation,
		);
	}

	/** The address that the peer is dialled at. */
	findAddress(key: string): string | undefined {
		return this.#peers.get(key)?.address;
	}

	listLinks(): Link[] {
		return [...this.#peers.values()].flatMap((peer) => peer.link ?? []);
	}

	/** Sessions of hosts to which this one has no link yet. */
	listUnlinkedSessions(): Session[] {
		return this.listSessions().filter(({key}) => !this.findLink(key));
	}

	listSessions(): Session[] {
		return [...this.#accepted.values()].filter(
			(session) => session !== undefined,
		);
	}

	/**
	Announces this host to an address whose host name isn't known. The host there learns this host's
	name and address from the `hello` and dials back, which tells this host its name; then this host dials it too.
	*/
	sendGreeting(address: string): void {
		const [host, port] = splitAddress(address);
		const socket = net.connect({
			host,
			port,
			localAddress: this.options.localAddress,
		});
		const connection = new Connection(
			socket,
			{
				onMessage() {
					// Replies are ignored: the other host dials back and is known from that connection.
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

	/**
	Sent at once to the connected peers that need it, and from then on in each `hello`, `ping` and `pong`. A peer that was not told
	that this host has started would count it as leaving until its next ping.
	*/
	setLeaving(isLeaving: boolean): void {
		const {isToldLeavingAtOnce = () => true} = this.options;
		this.#isLeaving = isLeaving;
		this.#sendPings((peer) => isToldLeavingAtOnce(peer));
		for (const session of this.listUnlinkedSessions()) {
			if (isToldLeavingAtOnce(session.hello)) {
				session.send(isLeaving ? leavingPong : livePong);
			}
		}
	}

	/** Sends the batched messages, closes all connections gracefully, and resolves when the server and all accepted connections are closed. */
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
		const previous = this.#peers.get(key);
		if (previous?.address === address.address) {
			return;
		}

		previous?.connection?.close('moved');
		this.#peers.set(key, {
			...address,
			key,
			failedDials: 0,
			nextDialAt: 0,
			dialledAt: 0,
		});
	}

	#onTick(): void {
		const now = performance.now();
		const latenessMs =
			now - this.#lastTickAt - this.#pingIntervalMs / ticksPerPing;
		this.#lastTickAt = now;
		if (latenessMs > pauseThresholdMs) {
			this.#extendSilenceLimits(now);
		}

		this.#closeSilentConnections(now);
		this.#dialRanks.clear();
		this.#dialDuePeers(now, {backgroundDials: backgroundDialsPerTick});
		this.#tickCount += 1;
		const isHeartbeat = this.#tickCount % ticksPerPing === 0;
		const isUrgent = this.options.isPingUrgent?.() ?? false;
		if (isHeartbeat || isUrgent) {
			this.#sendPings((peer, connection) =>
				isPingDue(getActivity(peer, connection), this.#getInterval(peer), now),
			);
		}

		if (isHeartbeat) {
			this.options.handlers.onHeartbeat();
		}
	}

	/**
	After a pause of this process, bytes that peers sent meanwhile are still unread. Every connection stays open for
	at least `pauseThresholdMs` from now, so that these bytes can be read; otherwise connections to healthy peers would be
	closed as silent.
	*/
	#extendSilenceLimits(now: number): void {
		for (const peer of this.#peers.values()) {
			const {connection} = peer;
			const isAwaited =
				connection !== undefined &&
				findUnansweredPing(getActivity(peer, connection)) !== undefined;
			peer.pingedAt = isAwaited ? now : peer.pingedAt;
		}

		for (const connection of this.#listConnections()) {
			const limitMs = this.#accepted.has(connection)
				? this.#silenceLimitMs
				: silenceTimeoutMs;
			connection.lastReceivedAt = Math.max(
				connection.lastReceivedAt,
				now - limitMs + pauseThresholdMs,
			);
		}
	}

	#closeSilentConnections(now: number): void {
		for (const peer of this.#peers.values()) {
			const {connection, link} = peer;
			const isSilent =
				connection !== undefined &&
				(link
					? isPongOverdue(getActivity(peer, connection), this.#heartbeat, now)
					: now - connection.lastReceivedAt > silenceTimeoutMs);
			if (isSilent) {
				connection.close(silentCloseReason);
			}
		}

		for (const connection of this.#accepted.keys()) {
			if (now - connection.lastReceivedAt > this.#silenceLimitMs) {
				connection.close(silentCloseReason);
			}
		}
	}

	#listConnections(): Connection[] {
		const dialled = [...this.#peers.values()].flatMap(
			(peer) => peer.connection ?? [],
		);
		return [...dialled, ...this.#accepted.keys()];
	}

	#getInterval({key, link}: Peer): number {
		const {choosePingInterval} = this.options;
		return computePingInterval(
			choosePingInterval?.(key) ?? this.#pingIntervalMs,
			this.#heartbeat,
			link?.hello.silenceLimitMs,
		);
	}

	/** Pings the linked peers for which `isDue` is true. */
	#sendPings(isDue: (peer: Peer, connection: Connection) => boolean): void {
		const ping: Message = {t: 'ping', isLeaving: this.#isLeaving};
		for (const peer of this.#peers.values()) {
			const {link, connection} = peer;
			if (link && connection && isDue(peer, connection)) {
				link.send(ping);
				peer.pingedAt =
					findUnansweredPing(getActivity(peer, connection)) ??
					performance.now();
			}
		}
	}

	/** Dials the first of the peers that are due; the others follow as these answer, or with a later tick. */
	#dialDuePeers(now: number, {backgroundDials = 0} = {}): void {
		let pendingDials = 0;
		const due: Array<{peer: Peer; rank: number}> = [];
		for (const peer of this.#peers.values()) {
			if (!peer.connection && now >= peer.nextDialAt) {
				due.push({peer, rank: this.#getDialRank(peer)});
			} else if (this.#isDialPending(peer, now)) {
				pendingDials += 1;
			}
		}

		const dialCount = Math.max(0, maxPendingDials - pendingDials);
		const awaited = due
			.filter(({rank}) => rank !== Infinity)
			.toSorted((a, b) => a.rank - b.rank)
			.slice(0, dialCount);
		const background = due
			.filter(({rank}) => rank === Infinity)
			.slice(0, backgroundDials);
		for (const {peer} of [...awaited, ...background]) {
			this.#dial(peer);
		}
	}

	/** Kept until the next tick: while many connections come up, the peers are looked through with each. */
	#getDialRank(peer: Peer): number {
		const {rankDial} = this.options;
		if (!rankDial) {
			return 0;
		}

		let rank = this.#dialRanks.get(peer.key);
		if (rank === undefined) {
			rank = rankDial(peer);
			this.#dialRanks.set(peer.key, rank);
		}

		return rank;
	}

	#isDialPending({connection, link, dialledAt}: Peer, now: number): boolean {
		return (
			connection !== undefined &&
			link === undefined &&
			now - dialledAt < pendingDialGraceMs
		);
	}

	#dial(peer: Peer): void {
		const [host, port] = splitAddress(peer.address);
		const socket = net.connect({
			host,
			port,
			localAddress: this.options.localAddress,
		});
		const connection = new Connection(
			socket,
			{
				onMessage: (message) => {
					this.#receiveReply(peer, connection, message);
				},
				onClose: (reason) => {
					this.#endLink(peer, reason, connection.lastReceivedAt);
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
		peer.pingedAt = undefined;
		peer.dialledAt = performance.now();
	}

	/**
	Dials a peer at once after it has dialled this host, since it can evidently be reached. When several hosts lose
	power and restart, this host's earlier dial may still be waiting for its time-out or its backoff; until the
	link is up, this host would answer its callers that no scheduler is in reach.
	*/
	#dialReachablePeer(key: string): void {
		const now = performance.now();
		const peer = this.#peers.get(key);
		if (!peer) {
			return;
		}

		// A dial that has already failed has no connection and doesn't count as pending, however recent:
		// otherwise the next dial would come only after the backoff.
		if (peer.link !== undefined || this.#isDialPending(peer, now)) {
			return;
		}

		peer.connection?.close('the peer is back');
		peer.failedDials = 0;
		peer.nextDialAt = now;
		this.#dialDuePeers(now);
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

		peer.failedDials = 0;
		peer.link = {
			key: peer.key,
			hello,
			send(message) {
				connection.send(message);
			},
		};
		this.options.handlers.onLinkUp(peer.link);
		this.options.handlers.onLeaving(peer.key, hello.isLeaving);
		this.#dialDuePeers(performance.now());
	}

	#endLink(peer: Peer, reason: string, lastReceivedAt: number): void {
		const {link} = peer;
		peer.connection = undefined;
		peer.link = undefined;
		if (link && performance.now() - peer.dialledAt > minRedialDelayMs) {
			this.#dialWithoutBackoff(peer);
		} else {
			this.#scheduleDialWithBackoff(peer);
		}

		setImmediate(() => {
			this.#dialDuePeers(performance.now());
		});
		if (link) {
			this.options.handlers.onLinkDown(link, reason, lastReceivedAt);
		}
	}

	/** Dials without backoff: perhaps only the connection broke, and callers of this host wait for the peer's answers. */
	#dialWithoutBackoff(peer: Peer): void {
		peer.failedDials = 0;
		peer.nextDialAt = performance.now();
	}

	#scheduleDialWithBackoff(peer: Peer): void {
		peer.failedDials += 1;
		const delayMs = Math.min(
			maxRedialDelayMs,
			minRedialDelayMs * 2 ** Math.min(peer.failedDials, 6),
		);
		peer.nextDialAt =
			performance.now() + delayMs * (0.5 + this.options.random() / 2);
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
			connection.send(this.#isLeaving ? leavingPong : livePong);
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
		this.#closeConnectionsOfFormerProcess(session);
		this.#accepted.set(connection, session);
		connection.send(this.#makeHello());
		this.#dialReachablePeer(session.key);
		this.options.handlers.onSessionUp(session);
	}

	/**
	A host that lost power sends no FIN: connections to its former process stay open until their silence is noticed.
	What is sent on them until then is lost.
	*/
	#closeConnectionsOfFormerProcess({key, hello}: Session): void {
		const peer = this.#peers.get(key);
		if (peer?.link && peer.link.hello.incarnation !== hello.incarnation) {
			peer.connection?.close(restartedCloseReason);
		}

		for (const [connection, session] of this.#accepted) {
			const isFormer =
				session?.key === key && session.hello.incarnation !== hello.incarnation;
			if (isFormer) {
				connection.close(restartedCloseReason);
			}
		}
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
			silenceLimitMs: this.#silenceLimitMs,
			...this.options.self,
		};
	}
}

function getActivity(
	{pingedAt}: Peer,
	{lastReceivedAt}: Connection,
): LinkActivity {
	return {lastReceivedAt, pingedAt};
}

function splitAddress(address: string): [string, number] {
	const colonIndex = address.lastIndexOf(':');
	return [address.slice(0, colonIndex), Number(address.slice(colonIndex + 1))];
}
