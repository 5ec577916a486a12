/**
Requests to the hosts' HTTP API. Only a host that could not be connected to is passed over for
the next: a request whose bytes may have arrived is never sent again here.
*/
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';

export type HttpRequest = {
	method: 'GET' | 'PUT' | 'POST' | 'DELETE';
	path: string;
	body?: unknown;
	headers?: Record<string, string>;
	/** Time until the answer's headers, milliseconds. */
	timeoutMs?: number;
	signal?: AbortSignal;
};

export type HttpReply = {host: string; status: number; body: unknown};

/**
`unreachable`: no host could be connected to, so nothing arrived. `lost`: the connection
ended before the answer, so the request may have had its effect.
*/
export type HttpError = {code: 'unreachable' | 'lost'; message: string};

type OpenReply = Awaited<ReturnType<typeof request>> & {host: string};

/** A host answers anything but a wait within this, or is taken for dead. */
const defaultTimeoutMs = 10_000;

/** Failures of the connect step itself: no byte of the request was written. */
const connectFailures = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
	'ENOTFOUND',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Sends a request to the first host that takes a connection and reads the JSON answer. */
export async function sendRequest(
	hosts: readonly string[],
	options: HttpRequest,
): Promise<Result<HttpReply, HttpError>> {
	const opened = await openRequest(hosts, options);
	if (opened.isErr()) {
		return err(opened.error);
	}

	const {host, statusCode, body} = opened.value;
	try {
		return ok({host, status: statusCode, body: parseBody(await body.text())});
	} catch (error) {
		return err({code: 'lost', message: `${host}: ${describeError(error)}`});
	}
}

/** Sends a request and yields the answer's lines of JSON as they come. */
export async function* streamLines(
	hosts: readonly string[],
	options: HttpRequest,
): AsyncGenerator<Result<unknown, HttpError>> {
	const opened = await openRequest(hosts, options);
	if (opened.isErr()) {
		yield err(opened.error);
		return;
	}

	const {host, statusCode, body} = opened.value;
	if (statusCode !== 200) {
		const text = await body.text();
		yield err({
			code: 'lost',
			message: `${host}: status ${statusCode}: ${text.slice(0, 200)}`,
		});
		return;
	}

	let rest = '';
	try {
		body.setEncoding('utf8');
		for await (const chunk of body as AsyncIterable<string>) {
			const lines = (rest + chunk).split('\n');
			rest = lines.pop()!;
			yield* lines
				.filter((line) => line.trim() !== '')
				.map((line) => ok(parseBody(line)));
		}
	} catch (error) {
		yield err({code: 'lost', message: `${host}: ${describeError(error)}`});
	}
}

async function openRequest(
	hosts: readonly string[],
	{method, path, body, headers, timeoutMs, signal}: HttpRequest,
): Promise<Result<OpenReply, HttpError>> {
	const failures: string[] = [];
	for (const host of hosts) {
		try {
			const reply = await request(new URL(path, host), {
				method,
				signal,
				headers: {'content-type': 'application/json', ...headers},
				body: body === undefined ? null : JSON.stringify(body),
				headersTimeout: timeoutMs ?? defaultTimeoutMs,
				bodyTimeout: 0,
			});
			return ok({...reply, host});
		} catch (error) {
			failures.push(`${host}: ${describeError(error)}`);
			if (!connectFailures.has(getCode(error)) && method !== 'GET') {
				return err({code: 'lost', message: failures.join('; ')});
			}
		}
	}

	return err({code: 'unreachable', message: failures.join('; ')});
}

/** A body that isn't JSON, from a balancer's error page say, is kept as text. */
function parseBody(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return text;
	}
}

function getCode(error: unknown): string {
	return String((error as {code?: unknown}).code);
}

function describeError(error: unknown): string {
	const {message, code} = error as {message?: string; code?: string};
	return message === undefined || message === ''
		? String(code)
		: message.slice(0, 200);
}
