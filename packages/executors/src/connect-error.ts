/**
Records which errors occurred while connecting. undici reports a connection reset, a peer that
does not answer and a refused connection all as request errors; only the connector knows that no
connection was made. A task is retried only on that evidence; otherwise it might run twice.
*/
import {buildConnector, type buildConnector as Connector} from 'undici';

/** Time-out for opening a connection to an executor. */
export const connectTimeoutMs = 1000;

const connectErrors = new WeakSet<Error>();

/** True if the error occurred while connecting, so that no byte of the request was written. */
export function isConnectError(error: unknown): boolean {
	return error instanceof Error && connectErrors.has(error);
}

/** Creates a connector whose errors `isConnectError` recognises; `source` is the local IP to connect from. */
export function createConnector(source?: string): Connector.connector {
	const connect = buildConnector({
		timeout: connectTimeoutMs,
		localAddress: source,
		keepAlive: true,
	});
	return (options, callback) => {
		// undici passes a `localAddress` of null, which would override the one given to buildConnector.
		connect({...options, localAddress: source}, (...result) => {
			if (result[0]) {
				connectErrors.add(result[0]);
			}

			callback(...result);
		});
	};
}
