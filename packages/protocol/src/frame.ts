/**
Frames on the wire between hosts: a 4-byte big-endian length, then one CBOR array of messages.
*/
import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x/index-no-eval';
import {err, ok, type Result} from 'neverthrow';

/** Largest frame, bytes: a forwarded submission or answer at its limit, with room to spare. */
export const maxFrameBytes = 40 * 1024 * 1024;

const lengthBytes = 4;

export type FrameError = {
	code: 'oversized-frame' | 'malformed-frame';
	message: string;
};

const options = {
	useRecords: false,
	mapsAsObjects: true,
	variableMapSize: true,
} as const;
const encoder = new Encoder(options);
const decoder = new Decoder(options);

/** Packs one loop turn's messages into one frame. */
export function encodeFrame(messages: readonly unknown[]): Buffer {
	const body = encoder.encode(messages);
	const frame = Buffer.allocUnsafe(lengthBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	frame.set(body, lengthBytes);
	return frame;
}

/**
Takes the bytes of one connection as they come and yields the messages of whole frames.
An oversized length is refused before anything of that size is kept, so that garbage on the
port cannot make a host reserve memory.
*/
export class FrameReader {
	#chunks: Buffer[] = [];
	#size = 0;

	/** Adds bytes; returns each whole frame's messages, or why the connection must be closed. */
	readFrames(chunk: Buffer): Result<unknown[][], FrameError> {
		this.#chunks.push(chunk);
		this.#size += chunk.length;
		const frames: unknown[][] = [];
		while (this.#size >= lengthBytes) {
			const length = this.#peekLength();
			if (length > maxFrameBytes) {
				return err({
					code: 'oversized-frame',
					message: `a frame of ${length} bytes; at most ${maxFrameBytes}`,
				});
			}

			if (this.#size < lengthBytes + length) {
				break;
			}

			const messages = decodeBody(
				this.#take(lengthBytes + length).subarray(lengthBytes),
			);
			if (messages.isErr()) {
				return err(messages.error);
			}

			frames.push(messages.value);
		}

		return ok(frames);
	}

	#peekLength(): number {
		if (this.#chunks[0]!.length < lengthBytes) {
			this.#join();
		}

		return this.#chunks[0]!.readUInt32BE(0);
	}

	#take(size: number): Buffer {
		if (this.#chunks[0]!.length < size) {
			this.#join();
		}

		const first = this.#chunks[0]!;
		this.#size -= size;
		if (first.length === size) {
			this.#chunks.shift();
		} else {
			this.#chunks[0] = first.subarray(size);
		}

		return first.subarray(0, size);
	}

	#join(): void {
		this.#chunks = [Buffer.concat(this.#chunks)];
	}
}

function decodeBody(body: Buffer): Result<unknown[], FrameError> {
	try {
		const value: unknown = decoder.decode(body);
		return Array.isArray(value)
			? ok(value as unknown[])
			: err({code: 'malformed-frame', message: 'a frame that is no array'});
	} catch (error) {
		return err({
			code: 'malformed-frame',
			message: error instanceof Error ? error.message : 'not CBOR',
		});
	}
}
