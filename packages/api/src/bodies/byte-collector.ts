/**
Collects the chunks of a body in little more memory than their bytes.

A chunk is a part of the buffer that its connection was read into, and keeps all of it. A chunk that is most of its buffer is kept as
it is; others are copied together, as the object of each takes more than a few bytes.
*/
import {Buffer} from 'node:buffer';

const firstBlockBytes = 512;
const largestBlockBytes = 16 * 1024;

export type ByteCollector = {
	/** Bytes of all chunks. */
	readonly length: number;
	/** Memory that is held, bytes. */
	readonly heldBytes: number;
	append: (chunk: Buffer) => void;
	/** All chunks in one buffer. */
	joinAll: () => Buffer;
};

export function createByteCollector(): ByteCollector {
	let length = 0;
	let heldBytes = 0;
	let parts: Buffer[] = [];
	/** Filled with small chunks up to `usedBytes`. */
	let block = Buffer.alloc(0);
	let usedBytes = 0;

	function endBlock(): void {
		if (usedBytes > 0) {
			parts.push(block.subarray(0, usedBytes));
		}

		block = Buffer.alloc(0);
		usedBytes = 0;
	}

	function openBlock(bytes: number): void {
		const size = Math.min(
			largestBlockBytes,
			Math.max(firstBlockBytes, 2 * block.length),
		);
		endBlock();
		block = Buffer.allocUnsafeSlow(Math.max(size, bytes));
		heldBytes += block.length;
	}

	return {
		get length() {
			return length;
		},
		get heldBytes() {
			return heldBytes;
		},
		append(chunk) {
			length += chunk.length;
			const {byteLength} = chunk.buffer;
			if (2 * chunk.length >= byteLength) {
				endBlock();
				parts.push(chunk);
				heldBytes += byteLength;
				return;
			}

			if (usedBytes + chunk.length > block.length) {
				openBlock(chunk.length);
			}

			chunk.copy(block, usedBytes);
			usedBytes += chunk.length;
		},
		joinAll() {
			endBlock();
			const [first] = parts;
			const joined = parts.length === 1 ? first! : Buffer.concat(parts);
			parts = [];
			return joined;
		},
	};
}
