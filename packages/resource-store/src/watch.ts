/**
A watch on a prefix, as an async generator of its events.

A connection can go silent for good while new ones work. A watch on it would look like a quiet
store: changes are not seen, and nothing fails. So the service is asked for progress notices,
and a watch without a byte for a named bound is ended; the caller opens a new one.
*/
import {
	encodeBase64,
	encodePrefixEnd,
	watchLineSchema,
	type StoreEntry,
} from './gateway-schemas.js';
import {type Transport} from './transport.js';

export type WatchEvent =
	| {type: 'opened'; revision: number}
	| {type: 'put'; entry: StoreEntry}
	| {type: 'delete'; key: string; modRevision: number}
	/** Nothing before this revision is still to come. */
	| {type: 'progress'; revision: number}
	/** Revisions below this one are gone: read all again. */
	| {type: 'compacted'; compactRevision: number}
	| {type: 'ended'; reason: string};

/** Longest line of a watch, characters: a batch of events; more means a broken peer. */
const maxLineLength = 64 * 1024 * 1024;

export async function* watchPrefix(options: {
	transport: Transport;
	prefix: string;
	fromRevision: number;
	signal: AbortSignal;
	silenceMs: number;
}): AsyncGenerator<WatchEvent> {
	const {prefix, fromRevision, transport, signal, silenceMs} = options;
	const body = {
		create_request: {
			key: encodeBase64(prefix),
			range_end: encodePrefixEnd(prefix),
			start_revision: String(fromRevision),
			progress_notify: true,
		},
	};
	try {
		const response = await transport.openStream('/v3/watch', body, {
			signal,
			silenceMs,
		});
		for await (const line of readLines(response.body)) {
			yield* readEvents(line);
		}

		yield {type: 'ended', reason: 'closed by the service'};
	} catch (error) {
		yield {type: 'ended', reason: String(error)};
	}
}

async function* readLines(
	body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
	const decoder = new TextDecoder();
	let rest = '';
	for await (const chunk of body) {
		rest += decoder.decode(chunk, {stream: true});
		const lines = rest.split('\n');
		rest = lines.pop()!;
		if (rest.length > maxLineLength) {
			throw new RangeError('a line of the watch is longer than its limit');
		}

		yield* lines.filter((line) => line !== '');
	}
}

function* readEvents(line: string): Generator<WatchEvent> {
	const {result} = watchLineSchema.parse(JSON.parse(line));
	if (result.compact_revision > 0) {
		yield {type: 'compacted', compactRevision: result.compact_revision};
		return;
	}

	if (result.canceled) {
		yield {type: 'ended', reason: 'cancelled by the service'};
		return;
	}

	if (result.created) {
		yield {type: 'opened', revision: result.header.revision};
		return;
	}

	if (result.events.length === 0) {
		yield {type: 'progress', revision: result.header.revision};
		return;
	}

	for (const {type, kv} of result.events) {
		yield type === 'DELETE'
			? {type: 'delete', key: kv.key, modRevision: kv.modRevision}
			: {type: 'put', entry: kv};
	}
}
