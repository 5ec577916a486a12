/**
One request to one host: its checked answer, or that none came.
*/
import {err, ok, type Result} from 'neverthrow';
import {request, type Dispatcher} from 'undici';
import {
	headers,
	jobAnswerSchema,
	problemSchema,
	type JobReply,
} from '@gentianshift/resources';

export type Exchange = {
	host: string;
	method: 'GET' | 'PUT' | 'DELETE';
	path: string;
	body?: string;
	attempt?: number;
	/** Milliseconds until the connection counts as silent. */
	timeoutMs: number;
	signal?: AbortSignal;
	dispatcher?: Dispatcher;
};

export type HostAnswer = {
	reply: JobReply;
	/** The issuer in the answer's header. */
	issuer?: string;
};

/** No answer, or one that no host of ours makes (a balancer's page): what ran isn't known. */
export type LostAnswer = {code: 'lost'; message: string};

/** Sends one request about a job. */
export async function askHost(
	exchange: Exchange,
): Promise<Result<HostAnswer, LostAnswer>> {
	const sent = await send(exchange);
	return sent.andThen(({status, issuer, text}) => {
		const value = parseJson(text);
		const schema = status < 300 ? jobAnswerSchema : problemSchema;
		const parsed = schema.safeParse(value);
		if (!parsed.success) {
			return err(createLost(`status ${status} without a known body`));
		}

		const reply = (
			status < 300 ? ok(parsed.data) : err(parsed.data)
		) as JobReply;
		return ok({reply, issuer});
	});
}

/** Asks a host for the issuer that ids may be made under now. */
export async function askIssuer(
	exchange: Omit<Exchange, 'method' | 'path'>,
): Promise<Result<string, LostAnswer>> {
	const sent = await send({...exchange, method: 'GET', path: '/v1/issuer'});
	return sent.andThen(({status, issuer}) =>
		status === 200 && issuer !== undefined
			? ok(issuer)
			: err(createLost(`status ${status} without an issuer`)),
	);
}

type RawAnswer = {status: number; issuer?: string; text: string};

async function send({
	host,
	method,
	path,
	body,
	attempt,
	timeoutMs,
	signal,
	dispatcher,
}: Exchange): Promise<Result<RawAnswer, LostAnswer>> {
	const silence = AbortSignal.timeout(timeoutMs);
	try {
		const response = await request(new URL(path, host), {
			method,
			headers: {
				'content-type': 'application/json',
				...(attempt !== undefined && {[headers.attempt]: String(attempt)}),
			},
			body,
			dispatcher,
			signal: signal ? AbortSignal.any([signal, silence]) : silence,
		});
		const issuer = response.headers[headers.issuer];
		return ok({
			status: response.statusCode,
			issuer: typeof issuer === 'string' ? issuer : undefined,
			text: await response.body.text(),
		});
	} catch (error) {
		return err(createLost(String(error)));
	}
}

function createLost(message: string): LostAnswer {
	return {code: 'lost', message};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
