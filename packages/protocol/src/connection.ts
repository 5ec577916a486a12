/**
One TCP connection between two hosts: framing, batching of sent messages, validation of received ones, and the time
of the last received bytes, from which the mesh detects silent peers.
*/
import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {encodeFrame, FrameReader} from './frame.js';
import {messageSchema, type Hello, type Message} from './messages.js';

/** A connection with more bytes than this in its send buffer is closed: the peer no longer reads. */
const maxUnsentBytes = 128 * 1024 * 1024;

/** A connection that is closed gracefully is destroyed after this long without activity on its socket. */
const gracefulCloseTimeoutMs = 1000;

export type Meter = {
	/** Called once a frame that was sent, or received and validated. */
	countFrame: (
		direction: 'in' | 'out',
		messages: ReadonlyArray<{t: string}>,
	) => void;
	countBytesOut: (bytes: number) => void;
	/** Called for each chunk received, which may end within a frame. */
	countBytesIn: (bytes: number) => void;
	/** `reason`: a code such as `unknown-message` or `no-hello`; the connection is then closed. */
	countBadFrame: (reason: string) => void;
};

export type ConnectionHandlers = {
	onMessage: (message: Message) => void;
	onClose: (reason: string) => void;
};

/** `send` batches: all messages that are sent in one turn of the event loop go into one frame. */
export class Connection {
	/** Meant for the peer's `hello`; nothing sets it, as the mesh keeps the `hello` in its links and sessions. */
	peer: Hello | undefined;
	/** When bytes last arrived, or when the connection was created: `performance.now()`, milliseconds. */
	lastReceivedAt = performance.now();
	readonly #reader = new FrameReader();
	#batch: Message[] = [];
	#isClosed = false;

	constructor(
		private readonly socket: Socket,
		private readonly handlers: ConnectionHandlers,
		private readonly meter: Meter,
	) {
		socket.setNoDelay(true);
		socket.on('data', (chunk) => {
			this.#receive(chunk);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.close('closed by the peer');
		});
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	send(message: Message): void {
		if (this.#isClosed) {
			return;
		}

		if (this.#batch.length === 0) {
			setImmediate(() => {
				this.flush();
			});
		}

		this.#batch.push(message);
	}

	/** Sends the batched messages without waiting for the end of the event-loop turn. */
	flush(): void {
		if (this.#isClosed || this.#batch.length === 0) {
			return;
		}

		const messages = this.#batch;
		this.#batch = [];
		const frame = encodeFrame(messages);
		this.meter.countFrame('out', messages);
		this.meter.countBytesOut(frame.length);
		this.socket.write(frame);
		if (this.socket.writableLength > maxUnsentBytes) {
			this.close('the peer takes nothing');
		}
	}

	/** Closes gracefully: sends the batched messages and then FIN, so that the peer can read all of them. */
	end(): void {
		this.flush();
		this.socket.end();
		this.socket.setTimeout(gracefulCloseTimeoutMs, () => {
			this.close('ended');
		});
	}

	/** Destroys the socket at once; batched messages are lost. `onClose` is called once, also if `close` is called again. */
	close(reason: string): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.socket.destroy();
		this.handlers.onClose(reason);
	}

	#receive(chunk: Buffer): void {
		this.meter.countBytesIn(chunk.length);
		const frames = this.#reader.readFrames(chunk);
		if (frames.isErr()) {
			this.#closeForBadFrame(frames.error.code);
			return;
		}

		this.lastReceivedAt = performance.now();
		for (const frame of frames.value) {
			const messages = this.#parseMessages(frame);
			if (!messages) {
				return;
			}

			this.meter.countFrame('in', messages);
			for (const message of messages) {
				if (this.#isClosed) {
					return;
				}

				this.handlers.onMessage(message);
			}
		}
	}

	#parseMessages(frame: unknown[]): Message[] | undefined {
		const messages: Message[] = [];
		for (const item of frame) {
			const parsed = messageSchema.safeParse(item);
			if (!parsed.success) {
				this.#closeForBadFrame('unknown-message');
				return undefined;
			}

			messages.push(parsed.data);
		}

		return messages;
	}

	#closeForBadFrame(reason: string): void {
		this.meter.countBadFrame(reason);
		this.close(reason);
	}
}
