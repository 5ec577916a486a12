/**
A TCP relay that stands for the network between two data centres: it delays, cuts, or goes
silent without closing.
*/
import {connect, createServer, type Server, type Socket} from 'node:net';
import {z} from 'zod';
import {resetSocket} from './reset-socket.js';

/** Where a link listens, where it leads, and its delay. */
export const linkSettingsSchema = z.strictObject({
	name: z.string(),
	listen: z.strictObject({ip: z.string(), port: z.number().int()}),
	target: z.strictObject({ip: z.string(), port: z.number().int()}),
	/** One way, each way, milliseconds. */
	delayMs: z.number().min(0).default(0),
});

/**
What a link does.

- `heal`: passes everything on, for connections made from now on.
- `cut`: resets open connections and refuses new ones.
- `silence`: open and new connections stay open and pass nothing more, for good.
- `silence-open`: the same, but only for connections that are open now: new ones work.
*/
export const relayFaultSchema = z.enum([
	'heal',
	'cut',
	'silence',
	'silence-open',
]);

export type LinkSettings = z.infer<typeof linkSettingsSchema>;
export type RelayFault = z.infer<typeof relayFaultSchema>;

/** One link: a listening port and the connections through it. */
export class RelayLink {
	readonly settings: LinkSettings;
	#port: number;
	#server: Server | undefined;
	#isSilent = false;
	readonly #passages = new Set<Passage>();

	constructor(settings: LinkSettings) {
		this.settings = settings;
		this.#port = settings.listen.port;
	}

	get port(): number {
		return this.#port;
	}

	/** Connections through this link that are open now. */
	get connectionCount(): number {
		return this.#passages.size;
	}

	/** Opens the listening port; where it was any free one, the same is taken after a cut. */
	async open(): Promise<void> {
		const server = createServer((socket) => {
			this.#acceptSocket(socket);
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(this.#port, this.settings.listen.ip, resolve);
		});
		this.#server = server;
		const address = server.address();
		if (typeof address === 'object' && address !== null) {
			this.#port = address.port;
		}
	}

	async applyFault(fault: RelayFault): Promise<void> {
		this.#isSilent = fault === 'silence';
		if (fault === 'cut') {
			await this.close();
			return;
		}

		if (fault !== 'heal') {
			for (const passage of this.#passages) {
				passage.silence();
			}
		}

		if (this.#server === undefined) {
			await this.open();
		}
	}

	/** Resets all connections; new ones are refused. */
	async close(): Promise<void> {
		for (const passage of this.#passages) {
			passage.reset();
		}

		const server = this.#server;
		this.#server = undefined;
		if (server !== undefined) {
			await new Promise((resolve) => {
				server.close(resolve);
			});
		}
	}

	#acceptSocket(near: Socket): void {
		const {target, delayMs} = this.settings;
		const far = connect({host: target.ip, port: target.port});
		const passage = new Passage(near, far, delayMs);
		this.#passages.add(passage);
		passage.onEnd = () => {
			this.#passages.delete(passage);
		};

		if (this.#isSilent) {
			passage.silence();
		}
	}
}

/** One connection through a link. */
class Passage {
	onEnd: () => void = ignore;
	#isSilent = false;

	constructor(
		private readonly near: Socket,
		private readonly far: Socket,
		private readonly delayMs: number,
	) {
		this.#passOn(near, far);
		this.#passOn(far, near);
	}

	silence(): void {
		this.#isSilent = true;
	}

	reset(): void {
		resetSocket(this.near);
		resetSocket(this.far);
		this.onEnd();
	}

	#passOn(from: Socket, to: Socket): void {
		from.setNoDelay(true);
		from.on('data', (chunk) => {
			this.#sendLater(() => {
				to.write(chunk);
			});
		});
		from.on('end', () => {
			this.#sendLater(() => {
				to.end();
			});
		});
		// A reset passes as a reset, so that each side sees what the other did.
		from.on('error', () => {
			this.#sendLater(() => {
				resetSocket(to);
			});
		});
		from.on('close', () => {
			this.#sendLater(() => {
				to.destroySoon();
			});
			this.onEnd();
		});
	}

	/** Timers of one length fire in the order they were set, so bytes stay in order. */
	#sendLater(send: () => void): void {
		setTimeout(() => {
			if (!this.#isSilent) {
				send();
			}
		}, this.delayMs);
	}
}

function ignore(): void {
	// Nothing to do.
}
