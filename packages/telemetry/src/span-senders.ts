/**
Where batches of spans go: an OTLP/HTTP collector, or a file of OTLP JSON, one batch a line.
*/
import {appendFile} from 'node:fs/promises';
import {ResultAsync} from 'neverthrow';
import {JsonTraceSerializer} from '@opentelemetry/otlp-transformer';
import {Agent, request} from 'undici';
import {type SendSpans} from './span-buffer.js';

/** Milliseconds for one batch: a slow collector costs spans, not memory. */
const collectorTimeoutMs = 2000;

/** A sender and the end of what it holds open. */
export type SpanSender = {send: SendSpans; close: () => Promise<void>};

/**
Posts batches to a collector. The address is the collector's root, like
`http://127.0.0.1:4318`; the path of OTLP is added.
*/
export function createCollectorSender(collector: string): SpanSender {
	const agent = new Agent({connections: 1, connectTimeout: collectorTimeoutMs});
	const url = new URL('/v1/traces', collector);
	return {
		send: (spans) =>
			ResultAsync.fromPromise(
				post(url, agent, JsonTraceSerializer.serializeRequest(spans)),
				toError,
			),
		close: async () => agent.destroy(),
	};
}

/** Appends batches to a file; for trials and demos, as hosts have no disks. */
export function createFileSender(file: string): SpanSender {
	return {
		send(spans) {
			const bytes = JsonTraceSerializer.serializeRequest(spans);
			const line = `${new TextDecoder().decode(bytes)}\n`;
			return ResultAsync.fromPromise(appendFile(file, line), toError);
		},
		async close() {
			// Each batch opens and closes the file itself.
		},
	};
}

async function post(
	url: URL,
	dispatcher: Agent,
	body: Uint8Array | undefined,
): Promise<void> {
	const response = await request(url, {
		method: 'POST',
		headers: {'content-type': 'application/json'},
		body,
		dispatcher,
		signal: AbortSignal.timeout(collectorTimeoutMs),
	});
	await response.body.dump();
	if (response.statusCode >= 300) {
		throw new Error(`the collector answered ${response.statusCode}`);
	}
}

function toError(error: unknown): Error {
	return error instanceof Error ? error : new Error(String(error));
}
