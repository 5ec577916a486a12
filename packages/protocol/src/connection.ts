/**
One connection between two hosts: frames, batching, heartbeat bookkeeping.
*/
import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {encodeFrame, FrameReader} from './frame.js';
import {messageSchema, type Hello, type Message} from './messages.js';

/** Bytes waiting to be sent on one connection above which the peer counts as stuck. */
const maxUnsentBytes = 128 * 1024 * 1024;

/** How long an ended connection may take to close, milliseconds. */
const endLimitMs = 1000;

export type Meter = {
	/** A frame went out or came in. */
	countFrame: (
		direction: 'in' | 'out',
		messages: ReadonlyArray<{t: string}>,
	) => void;
	countBytesOut: (bytes: number) => void;
	/** Bytes came in, of whole frames or parts of them. */
	countBytesIn: (bytes: number) => void;
	countBadFrame: (reason: string) => void;
};

export type ConnectionHandlers = {
	onMessage: (message: Message) => void;
	onClose: (reason: string) => void;
};

/** A framed connection. `send` batches: all messages of one loop turn travel in one frame. */
export class Connection {
	/** Set by the first message. */
	peer: Hello | undefined;
	/** Monotonic milliseconds. */
	lastHeardAt = performance.now();
	readonly #reader = new FrameReader();
	#batch: Message[] = [];
	#closed = false;

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
		return this.#closed;
	}

	send(message: Message): void {
		if (this.#closed) {
			return;
		}

		if (this.#batch.length === 0) {
			setImmediate(() => {
				this.flush();
			});
		}

		this.#batch.push(message);
	}

	/** Sends what waits, now. */
	flush(): void {
		if (this.#closed || this.#batch.length === 0) {
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

	/** Sends what waits, then closes in order: the peer gets all of it. */
	end(): void {
		this.flush();
		this.socket.end();
		this.socket.setTimeout(endLimitMs, () => {
			this.close('ended');
		});
	}

	close(reason: string): void {
		if (this.#closed) {
			return;
		}

		this.#closed = true;
		this.socket.destroy();
		this.handlers.onClose(reason);
	}

	#receive(chunk: Buffer): void {
		this.meter.countBytesIn(chunk.length);
		const frames = this.#reader.readFrames(chunk);
		if (frames.isErr()) {
			this.#refuse(frames.error.code);
			return;
		}

		this.lastHeardAt = performance.now();
		for (const frame of frames.value) {
			const messages = this.#check(frame);
			if (!messages) {
				return;
			}

			this.meter.countFrame('in', messages);
			for (const message of messages) {
				if (this.#closed) {
					return;
				}

				this.handlers.onMessage(message);
			}
		}
	}

	#check(frame: unknown[]): Message[] | undefined {
		const messages: Message[] = [];
		for (const item of frame) {
			const parsed = messageSchema.safeParse(item);
			if (!parsed.success) {
				this.#refuse('unknown-message');
				return undefined;
			}

			messages.push(parsed.data);
		}

		return messages;
	}

	#refuse(reason: string): void {
		this.meter.countBadFrame(reason);
		this.close(reason);
	}
}
