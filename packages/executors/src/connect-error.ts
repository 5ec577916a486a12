/**
Marks failures of the connect step. undici reports a reset, a silent peer and a refused
connection alike as errors of the request; only the connector itself knows that no connection
was made. A task is placed again only on that evidence, else it might start twice.
*/
import {buildConnector, type buildConnector as Connector} from 'undici';

/** How long a connection to an executor may take. */
export const connectTimeoutMs = 1000;

const marked = new WeakSet<Error>();

/** True when no byte of the request can have been written. */
export function isConnectError(error: unknown): boolean {
	return error instanceof Error && marked.has(error);
}

/** A connector that marks its own failures; `source` is the local IP to connect from. */
export function createConnector(source?: string): Connector.connector {
	const connect = buildConnector({
		timeout: connectTimeoutMs,
		localAddress: source,
		keepAlive: true,
	});
	return (options, callback) => {
		// The client hands over a `localAddress` of null, which would take the place of the connector's.
		connect({...options, localAddress: source}, (...result) => {
			if (result[0]) {
				marked.add(result[0]);
			}

			callback(...result);
		});
	};
}
