/**
Connections between hosts on a virtual clock. Each host opens one to each other host, so a pair of hosts has two. Messages arrive in
order, after a millisecond; connections can break, go silent, or delay messages.
*/
import {
	silenceMs,
	silentReason,
	type Link,
	type Message,
	type Session,
} from '@gentianshift/protocol';
import {type VirtualClock} from '@gentianshift/scheduling/fixtures';
import {type FaultyHost} from './faulty-host.fixture.js';

const linkMs = 1;
/** Connections are checked for silence this often, so a silent one may be noticed this much later. */
const noticeMs = 180;
/** Delay before a connection that was closed for silence is opened again. */
const redialMs = 100;

/** `asked`: sent by the host that opened the connection; `answered`: sent to it. */
type Way = 'asked' | 'answered';

export class FaultyNetwork {
	readonly clock: VirtualClock;
	readonly #hosts: readonly FaultyHost[];
	readonly #connections = new Map<string, Connection>();
	/** By pair of hosts: how many faults keep them disconnected now. */
	readonly #cuts = new Map<string, number>();
	/** By pair of sender and receiver: messages arrive no earlier than this. */
	readonly #heldUntil = new Map<string, number>();

	constructor(clock: VirtualClock, hosts: readonly FaultyHost[]) {
		this.clock = clock;
		this.#hosts = hosts;
	}

	/** Opens the missing connections between hosts that are alive and not cut off from each other. */
	connect(): void {
		for (const from of this.#hosts) {
			for (const to of this.#hosts) {
				const key = makePair(from, to);
				const isCut = (this.#cuts.get(key) ?? 0) > 0;
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
	cut(a: FaultyHost, b: FaultyHost, isCut: boolean): void {
		for (const key of [makePair(a, b), makePair(b, a)]) {
			this.#cuts.set(key, (this.#cuts.get(key) ?? 0) + (isCut ? 1 : -1));
			if (isCut) {
				this.#connections.get(key)?.close('cut');
			}
		}

		this.connect();
	}

	/** Breaks all connections of a host, or allows new ones. */
	cutOff(host: FaultyHost, isCut: boolean): void {
		for (const other of this.#hosts) {
			if (other !== host) {
				this.cut(host, other, isCut);
			}
		}
	}

	holdUp(from: FaultyHost, to: FaultyHost, until: number): void {
		this.#heldUntil.set(makePair(from, to), until);
	}

	holdUpConnection(
		from: FaultyHost,
		to: FaultyHost,
		{way, until}: {way: Way; until: number},
	): void {
		this.#connections.get(makePair(from, to))?.holdUp(way, until);
	}

	/** The connection delivers nothing more; it is closed and opened again once the silence is noticed. */
	silence(from: FaultyHost, to: FaultyHost): void {
		const connection = this.#connections.get(makePair(from, to));
		if (!connection?.isOpen) {
			return;
		}

		connection.isSilent = true;
		this.clock.schedule(silenceMs + noticeMs, () => {
			connection.close(silentReason);
			this.clock.schedule(redialMs, () => {
				this.connect();
			});
		});
	}

	closeAll(host: FaultyHost): void {
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

	getArrival(from: FaultyHost, to: FaultyHost): number {
		const heldUntil = this.#heldUntil.get(makePair(from, to)) ?? 0;
		return Math.max(this.clock.now + linkMs, heldUntil);
	}
}

class Connection {
	isOpen = false;
	/** It stays open, and delivers nothing more. */
	isSilent = false;
	readonly link: Link;
	readonly session: Session;
	/** When the last message in each direction arrives: no later one may overtake it. */
	#askedAt = 0;
	#repliedAt = 0;

	constructor(
		private readonly network: FaultyNetwork,
		readonly from: FaultyHost,
		readonly to: FaultyHost,
	) {
		this.link = {
			key: to.key,
			hello: to.hello,
			send: (message) => {
				this.#askedAt = this.#send(message, from, to, this.#askedAt);
			},
		};
		this.session = {
			key: from.key,
			hello: from.hello,
			send: (message) => {
				this.#repliedAt = this.#send(message, to, from, this.#repliedAt);
			},
		};
	}

	/** Messages that are sent in that direction from now on arrive no earlier than `until`. */
	holdUp(way: Way, until: number): void {
		if (way === 'asked') {
			this.#askedAt = Math.max(this.#askedAt, until);
		} else {
			this.#repliedAt = Math.max(this.#repliedAt, until);
		}
	}

	open(): void {
		this.isOpen = true;
		this.to.run(({handlers}) => {
			handlers.onSessionUp(this.session);
		});
		this.from.run(({handlers}) => {
			handlers.onLinkUp(this.link);
		});
	}

	close(reason: string): void {
		if (this.isOpen) {
			this.isOpen = false;
			this.to.run(({handlers}) => {
				handlers.onSessionDown(this.session);
			});
			this.from.run(({handlers}) => {
				handlers.onLinkDown(this.link, reason);
			});
		}
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

		const at = Math.max(this.network.getArrival(from, to), lastAt);
		clock.schedule(at - clock.now, () => {
			if (!this.isOpen) {
				return;
			}

			to.run(({handlers}) => {
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

function makePair(from: FaultyHost, to: FaultyHost): string {
	return `${from.key} ${to.key}`;
}
