/**
Wire format between hosts: each frame is a 4-byte big-endian length of the body, then the body, one CBOR array
of messages.
*/
import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x/index-no-eval';
import {err, ok, type Result} from 'neverthrow';

/** Largest body of a frame. A forwarded submission or answer of the largest permitted size fits with a margin. */
export const maxFrameBytes = 40 * 1024 * 1024;

const lengthPrefixBytes = 4;

export type FrameError = {
	code: 'oversized-frame' | 'malformed-frame';
	message: string;
};

const cborOptions = {
	useRecords: false,
	mapsAsObjects: true,
	variableMapSize: true,
} as const;
const encoder = new Encoder(cborOptions);
const decoder = new Decoder(cborOptions);

/** The frame with a single message that was encoded last. */
let lastSingle: {message: unknown; frame: Buffer} | undefined;

/**
Encodes messages as one frame, including its length prefix. A message that is sent to many peers in a row, such as a
holder's state, is encoded once. Messages must not be changed after they were sent.
*/
export function encodeFrame(messages: readonly unknown[]): Buffer {
	const [message] = messages;
	if (messages.length !== 1) {
		return encodeMessages(messages);
	}

	const single =
		lastSingle && lastSingle.message === message
			? lastSingle
			: {message, frame: encodeMessages(messages)};
	lastSingle = single;
	return single.frame;
}

function encodeMessages(messages: readonly unknown[]): Buffer {
	const body = encoder.encode(messages);
	const frame = Buffer.allocUnsafe(lengthPrefixBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	frame.set(body, lengthPrefixBytes);
	return frame;
}

/**
Reassembles the frames of one connection from its byte stream and decodes their messages.
A length above `maxFrameBytes` is an error as soon as the prefix is read, before the body is buffered:
otherwise a client that sends arbitrary bytes to the port could make the host run out of memory.
*/
export class FrameReader {
	#chunks: Buffer[] = [];
	#bufferedBytes = 0;

	/**
	Appends received bytes. Returns the messages of each frame that is now complete, one array a frame.
	After an error the stream can't be resynchronised: the caller must close the connection.
	*/
	readFrames(chunk: Buffer): Result<unknown[][], FrameError> {
		this.#chunks.push(chunk);
		this.#bufferedBytes += chunk.length;
		const frames: unknown[][] = [];
		while (this.#bufferedBytes >= lengthPrefixBytes) {
			const length = this.#peekBodyLength();
			if (length > maxFrameBytes) {
				return err({
					code: 'oversized-frame',
					message: `frame body of ${length} bytes exceeds the limit of ${maxFrameBytes} bytes`,
				});
			}

			if (this.#bufferedBytes < lengthPrefixBytes + length) {
				break;
			}

			const messages = decodeBody(
				this.#takeBytes(lengthPrefixBytes + length).subarray(lengthPrefixBytes),
			);
			if (messages.isErr()) {
				return err(messages.error);
			}

			frames.push(messages.value);
		}

		return ok(frames);
	}

	#peekBodyLength(): number {
		if (this.#chunks[0]!.length < lengthPrefixBytes) {
			this.#joinChunks();
		}

		return this.#chunks[0]!.readUInt32BE(0);
	}

	#takeBytes(size: number): Buffer {
		if (this.#chunks[0]!.length < size) {
			this.#joinChunks();
		}

		const first = this.#chunks[0]!;
		this.#bufferedBytes -= size;
		if (first.length === size) {
			this.#chunks.shift();
		} else {
			this.#chunks[0] = first.subarray(size);
		}

		return first.subarray(0, size);
	}

	#joinChunks(): void {
		this.#chunks = [Buffer.concat(this.#chunks)];
	}
}

function decodeBody(body: Buffer): Result<unknown[], FrameError> {
	try {
		const value: unknown = decoder.decode(body);
		return Array.isArray(value)
			? ok(value as unknown[])
			: err({
					code: 'malformed-frame',
					message: 'frame body is not a CBOR array',
				});
	} catch (error) {
		return err({
			code: 'malformed-frame',
			message:
				error instanceof Error ? error.message : 'frame body is not valid CBOR',
		});
	}
}
