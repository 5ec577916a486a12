/**
Connections between hosts on a virtual clock. Each host opens one to each other host, so a pair of hosts has two. Messages arrive in
order, after a millisecond; connections can break, go silent, or delay messages.
*/
import {
	silentCloseReason,
	type Link,
	type Message,
	type Session,
} from '@gentianshift/protocol';
import {type VirtualClock} from '@gentianshift/scheduling/fixtures';
import {type FaultyHost} from './faulty-host.fixture.js';

const latencyMs = 1;
/** Connections are checked for silence this often, so a silent one may be noticed this much later. */
const silenceCheckMs = 180;
/** A ping without an answer for this long closes the connection. */
const pongTimeoutMs = 1100;
/** Delay before a connection that was closed for silence is opened again. */
const redialDelayMs = 100;

/** `asked`: sent by the host that opened the connection; `answered`: sent to it. */
type Direction = 'asked' | 'answered';

export type CutOff = {
	how: 'held-up' | 'lost';
	until: number;
	redialMs: number;
	backlogMs: number;
};

export class FaultyNetwork {
	readonly clock: VirtualClock;
	#channelCount = 0;
	readonly #hosts: readonly FaultyHost[];
	readonly #connections = new Map<string, Connection>();
	/** By pair of hosts: how many faults keep them disconnected now. */
	readonly #cutCounts = new Map<string, number>();
	/** By pair of sender and receiver: messages arrive no earlier than this. */
	readonly #delayedUntil = new Map<string, number>();

	constructor(clock: VirtualClock, hosts: readonly FaultyHost[]) {
		this.clock = clock;
		this.#hosts = hosts;
	}

	/** Number of the next connection. */
	takeChannel(): number {
		this.#channelCount += 1;
		return this.#channelCount;
	}

	/** Opens the missing connections between hosts that are alive and not cut off from each other. */
	connect(): void {
		for (const from of this.#hosts) {
			for (const to of this.#hosts) {
				const key = makePairKey(from, to);
				const isCut = (this.#cutCounts.get(key) ?? 0) > 0;
				const canOpen = from !== to && from.isAlive && to.isAlive && !isCut;
				if (canOpen && !this.#connections.get(key)?.isOpen) {
					const connection = new Connection(this, from, to);
					this.#connections.set(key, connection);
					connection.open();
				}
			}
		}
	}

	/** Breaks both connections of a pair, or allows new ones. */
	setCut(a: FaultyHost, b: FaultyHost, isCut: boolean): void {
		for (const key of [makePairKey(a, b), makePairKey(b, a)]) {
			this.#cutCounts.set(
				key,
				(this.#cutCounts.get(key) ?? 0) + (isCut ? 1 : -1),
			);
			if (isCut) {
				this.#connections.get(key)?.close('cut');
			}
		}

		this.connect();
	}

	/** Breaks all connections of a host, or allows new ones. */
	setIsolated(host: FaultyHost, isIsolated: boolean): void {
		for (const other of this.#hosts) {
			if (other !== host) {
				this.setCut(host, other, isIsolated);
			}
		}
	}

	setDelay(from: FaultyHost, to: FaultyHost, until: number): void {
		this.#delayedUntil.set(makePairKey(from, to), until);
	}

	setConnectionDelay(
		from: FaultyHost,
		to: FaultyHost,
		{direction, until}: {direction: Direction; until: number},
	): void {
		this.#connections.get(makePairKey(from, to))?.setDelay(direction, until);
	}

	/** The connection delivers nothing more; it is closed and opened again once the silence is noticed. */
	markSilent(from: FaultyHost, to: FaultyHost): void {
		const connection = this.#connections.get(makePairKey(from, to));
		if (!connection?.isOpen) {
			return;
		}

		connection.isSilent = true;
		this.#closeOnceNoticed(connection, this.clock.now);
	}

	closeAllOf(host: FaultyHost): void {
		for (const connection of this.#connections.values()) {
			if (connection.from === host || connection.to === host) {
				connection.close('gone');
			}
		}
	}

	findLink(from: FaultyHost, key: string): Link | undefined {
		return this.listLinks(from).find((link) => link.key === key);
	}

	listLinks(from: FaultyHost): Link[] {
		return [...this.#connections.values()]
			.filter((connection) => connection.isOpen && connection.from === from)
			.map(({link}) => link);
	}

	/**
	Cuts a host off from all others, and breaks no connection at once: what is sent on them arrives `backlogMs` after the heal
	(`held-up`), or never (`lost`). The host that opened a connection closes it when it notices the silence, and the other one
	reads that behind the backlog. No connection is opened until `redialMs` after the heal.
	*/
	cutOff(host: FaultyHost, {how, until, redialMs, backlogMs}: CutOff): void {
		const {clock} = this;
		const keys = this.#hosts
			.filter((other) => other !== host)
			.flatMap((other) => [makePairKey(host, other), makePairKey(other, host)]);
		for (const key of keys) {
			this.#cutCounts.set(key, (this.#cutCounts.get(key) ?? 0) + 1);
			const connection = this.#connections.get(key);
			if (connection?.isOpen && how === 'lost') {
				connection.isSilent = true;
				this.#closeOnceNoticed(connection, clock.now);
			} else if (connection?.isOpen) {
				connection.setDelay('asked', until + backlogMs);
				connection.setDelay('answered', until + backlogMs);
				this.#closeOnceNoticed(connection, clock.now, until + backlogMs);
			}
		}

		clock.schedule(until + redialMs - clock.now, () => {
			for (const key of keys) {
				this.#cutCounts.set(key, this.#cutCounts.get(key)! - 1);
			}

			this.connect();
		});
	}

	computeArrival(from: FaultyHost, to: FaultyHost): number {
		const delayedUntil = this.#delayedUntil.get(makePairKey(from, to)) ?? 0;
		return Math.max(this.clock.now + latencyMs, delayedUntil);
	}

	/**
	The host that opened the connection pings it more or less often, and closes it when no answer comes. `silentUntil`: what was sent
	on it arrives then, and so does its close.
	*/
	#closeOnceNoticed(
		connection: Connection,
		silentSince: number,
		silentUntil = Infinity,
	): void {
		const {from, to} = connection;
		if (!connection.isOpen || this.clock.now >= silentUntil) {
			return;
		}

		const limitMs = from.choosePingInterval(to.key) + pongTimeoutMs;
		if (this.clock.now - silentSince < limitMs) {
			this.clock.schedule(silenceCheckMs, () => {
				this.#closeOnceNoticed(connection, silentSince, silentUntil);
			});
			return;
		}

		if (silentUntil === Infinity) {
			connection.close(silentCloseReason);
		} else {
			connection.closeAtOpener(silentCloseReason);
		}

		this.clock.schedule(redialDelayMs, () => {
			this.connect();
		});
	}
}

class Connection {
	isOpen = false;
	/** The host that it was opened to has not read its close. */
	isOpenAtPeer = false;
	/** It stays open, and delivers nothing more. */
	isSilent = false;
	readonly link: Link;
	readonly session: Session;
	/** When the last message in each direction arrives: no later one may overtake it. */
	#lastRequestAt = 0;
	#lastReplyAt = 0;
	readonly #channel: number;

	constructor(
		private readonly network: FaultyNetwork,
		readonly from: FaultyHost,
		readonly to: FaultyHost,
	) {
		this.#channel = network.takeChannel();
		this.link = {
			key: to.key,
			hello: to.hello,
			send: (message) => {
				this.#lastRequestAt = this.#send(
					message,
					from,
					to,
					this.#lastRequestAt,
				);
			},
		};
		this.session = {
			key: from.key,
			hello: from.hello,
			send: (message) => {
				this.#lastReplyAt = this.#send(message, to, from, this.#lastReplyAt);
			},
		};
	}

	/** Messages that are sent in that direction from now on arrive no earlier than `until`. */
	setDelay(direction: Direction, until: number): void {
		if (direction === 'asked') {
			this.#lastRequestAt = Math.max(this.#lastRequestAt, until);
		} else {
			this.#lastReplyAt = Math.max(this.#lastReplyAt, until);
		}
	}

	open(): void {
		this.isOpen = true;
		this.isOpenAtPeer = true;
		this.#runAt(this.to, ({handlers}) => {
			handlers.onSessionUp(this.session);
		});
		this.#runAt(this.from, ({handlers}) => {
			handlers.onLinkUp(this.link);
		});
	}

	close(reason: string): void {
		this.#closeAtPeer();
		if (this.isOpen) {
			this.isOpen = false;
			this.#runAt(this.from, ({handlers}) => {
				handlers.onLinkDown(this.link, reason, this.#lastReplyAt);
			});
		}
	}

	/** The other host reads the close behind all that was sent to it. */
	closeAtOpener(reason: string): void {
		const {clock} = this.network;
		const silentSince = clock.now;
		this.isOpen = false;
		this.#runAt(this.from, ({handlers}) => {
			handlers.onLinkDown(this.link, reason, silentSince);
		});
		clock.schedule(Math.max(0, this.#lastRequestAt - clock.now), () => {
			this.#closeAtPeer();
		});
	}

	#closeAtPeer(): void {
		if (this.isOpenAtPeer) {
			this.isOpenAtPeer = false;
			this.#runAt(this.to, ({handlers}) => {
				handlers.onSessionDown(this.session);
			});
		}
	}

	#runAt(host: FaultyHost, work: Parameters<FaultyHost['run']>[0]): void {
		host.run(work, {channel: this.#channel});
	}

	/** Returns when the message arrives, unless the connection breaks before. */
	#send(
		message: Message,
		from: FaultyHost,
		to: FaultyHost,
		lastAt: number,
	): number {
		const {clock} = this.network;
		if (this.isSilent) {
			return lastAt;
		}

		const at = Math.max(this.network.computeArrival(from, to), lastAt);
		clock.schedule(at - clock.now, () => {
			if (!(to === this.to ? this.isOpenAtPeer : this.isOpen)) {
				return;
			}

			this.#runAt(to, ({handlers}) => {
				if (to === this.to) {
					handlers.onRequest(this.session, message);
				} else {
					handlers.onReply(this.link, message);
				}
			});
		});
		return at;
	}
}

function makePairKey(from: FaultyHost, to: FaultyHost): string {
	return `${from.key} ${to.key}`;
}
