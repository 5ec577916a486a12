/**
JSON calls to the platform over HTTP, each with a limit on its time.
*/
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {Agent, request, type Dispatcher} from 'undici';
import {type z} from 'zod';
import {
	classifyError,
	classifyStatus,
	type CallEffect,
	type PlatformFailure,
} from './failure.js';

/** Kinds of calls, as counted: the service is small and counts each, a waiting watch as one. */
export type CallKind = 'range' | 'txn' | 'lease' | 'watch' | 'hosts';

export type TransportOptions = {
	/** Like `http://127.0.0.1:2379`. */
	url: string;
	/** Limit on one call, from its start to its whole answer. */
	timeoutMs: number;
	/** Local IP of the connections: the service counts calls by it. */
	source?: string;
	onCall?: (kind: CallKind) => void;
};

export type JsonCall<T> = {
	kind: CallKind;
	effect: CallEffect;
	method: 'GET' | 'POST';
	path: string;
	body?: unknown;
	schema: z.ZodType<T>;
};

export type Transport = {
	callJson: <T>(call: JsonCall<T>) => ResultAsync<T, PlatformFailure>;
	/** Opens a stream that ends with an error after `silenceMs` without a byte. Throws. */
	openStream: (
		path: string,
		body: unknown,
		options: {signal: AbortSignal; silenceMs: number},
	) => Promise<Dispatcher.ResponseData>;
	close: () => Promise<void>;
};

/**
An idle connection may have gone silent: something between the ends has lost track of it, the
next call on it would wait out its whole limit. So one idle for this long is not reused.
*/
const idleConnectionMs = 500;

/** One host's connections to the platform: a bound, so that a burst of calls can't flood it. */
const maxConnections = 16;

/** Part of a call's limit that connecting may take; over it, the call surely had no effect. */
const connectShare = 0.5;

const firstRedirect = 300;

export function createTransport({
	url,
	timeoutMs,
	source,
	onCall,
}: TransportOptions): Transport {
	const agent = new Agent({
		connections: maxConnections,
		pipelining: 1,
		keepAliveTimeout: idleConnectionMs,
		keepAliveMaxTimeout: idleConnectionMs,
		connect: {timeout: timeoutMs * connectShare, localAddress: source},
	});

	async function fetchJson<T>(
		call: JsonCall<T>,
	): Promise<Result<T, PlatformFailure>> {
		onCall?.(call.kind);
		const response = await request(new URL(call.path, url), {
			dispatcher: agent,
			method: call.method,
			headers: {'content-type': 'application/json'},
			body: call.body === undefined ? undefined : JSON.stringify(call.body),
			// Ends the call and its connection: a silent one is not used again.
			signal: AbortSignal.timeout(timeoutMs),
		});
		const text = await response.body.text();
		if (response.statusCode >= firstRedirect) {
			return err(classifyStatus(response.statusCode, text, call.effect));
		}

		return ok(call.schema.parse(JSON.parse(text)));
	}

	return {
		callJson: (call) =>
			ResultAsync.fromPromise(fetchJson(call), (error) =>
				classifyError(error, call.effect),
			).andThen((result) => result),
		async openStream(path, body, {signal, silenceMs}) {
			onCall?.('watch');
			return request(new URL(path, url), {
				dispatcher: agent,
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(body),
				signal,
				headersTimeout: timeoutMs,
				bodyTimeout: silenceMs,
			});
		},
		close: async () => agent.destroy(),
	};
}
