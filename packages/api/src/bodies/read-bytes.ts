/**
Reads a request's body within bounds of its size, of its number of chunks and of the memory that all bodies share.
*/
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {type BodyBudget} from './body-budget.js';
import {createByteCollector, type ByteCollector} from './byte-collector.js';

/**
Why a body is not read: it is larger than the limit, comes in far too many chunks, finds no memory left, or its connection has ended
before it did.
*/
export type BodyRefusal =
	'too-large' | 'too-many-chunks' | 'no-memory' | 'cut-off';

/** Chunks that each body may have, whatever their size. */
const freeChunks = 1000;
/** Beyond these, chunks are at least this long on average, in bytes: each costs about as much processor time as so many bytes. */
const minMeanChunkBytes = 64;

export type ReadBytesOptions = {
	/** Most bytes of the body; looked at with each chunk. */
	getLimit: () => number;
	budget: BodyBudget;
};

/**
Resolves with the body as soon as it is complete, or with the reason as soon as it is refused. What still arrives of a refused body is
thrown away, or not read where memory is short.
*/
export async function readBytes(
	incoming: IncomingMessage,
	{getLimit, budget}: ReadBytesOptions,
): Promise<Result<Buffer, BodyRefusal>> {
	return new Promise((resolve) => {
		let body: ByteCollector | undefined = createByteCollector();
		let chunkCount = 0;
		const lease = budget.openLease(() => {
			settle(err('no-memory'));
		});

		function settle(result: Result<Buffer, BodyRefusal>): void {
			lease.release();
			body = undefined;
			incoming.off('data', receiveChunk);
			if (result.isErr() && result.error === 'no-memory') {
				// Reading on takes memory too.
				incoming.pause();
			} else {
				incoming.resume();
			}

			resolve(result);
		}

		function receiveChunk(chunk: Buffer): void {
			chunkCount += 1;
			const length = (body?.length ?? 0) + chunk.length;
			if (length > getLimit()) {
				settle(err('too-large'));
			} else if (chunkCount > freeChunks + length / minMeanChunkBytes) {
				settle(err('too-many-chunks'));
			} else {
				body?.append(chunk);
				lease.resize(body?.heldBytes ?? 0);
			}
		}

		incoming.once('end', () => {
			settle(ok(body?.joinAll() ?? Buffer.alloc(0)));
		});
		incoming.once('error', () => {
			settle(err('cut-off'));
		});
		incoming.once('close', () => {
			settle(err('cut-off'));
		});
		if (Number(incoming.headers['content-length'] ?? 0) > getLimit()) {
			settle(err('too-large'));
		} else {
			incoming.on('data', receiveChunk);
		}
	});
}
