/**
Connections between hosts on a virtual clock: one each way, in order, a millisecond; they break, and hold messages up.
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
/** Connections are looked at this often, and dialled anew after this long. */
const noticeMs = 180;
const redialMs = 100;

/** From the host that made a connection, or to it. */
type Way = 'asked' | 'answered';

export class FaultyNetwork {
	readonly clock: VirtualClock;
	readonly #hosts: readonly FaultyHost[];
	readonly #connections = new Map<string, Connection>();
	readonly #cuts = new Map<string, number>();
	/** Until when what one host sends another is held up. */
	readonly #heldUntil = new Map<string, number>();

	constructor(clock: VirtualClock, hosts: readonly FaultyHost[]) {
		this.clock = clock;
		this.#hosts = hosts;
	}

	/** Connects all pairs that can be connected now. */
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

	/** Breaks both connections of a pair, or mends the way for new ones. */
	cut(a: FaultyHost, b: FaultyHost, isCut: boolean): void {
		for (const key of [makePair(a, b), makePair(b, a)]) {
			this.#cuts.set(key, (this.#cuts.get(key) ?? 0) + (isCut ? 1 : -1));
			if (isCut) {
				this.#connections.get(key)?.close('cut');
			}
		}

		this.connect();
	}

	/** Breaks all connections of a host, or mends the way for new ones. */
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

	/** The connection is lost without a word, and made anew when that has been noticed. */
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
	/** Nothing gets through any more. */
	isSilent = false;
	readonly link: Link;
	readonly session: Session;
	/** When the last message of each way arrives: none overtakes another. */
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

	/** No message of that way that is sent from now on arrives before then. */
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

	/** Gives when the message arrives, unless the connection breaks before. */
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
