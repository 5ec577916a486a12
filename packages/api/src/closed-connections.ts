/**
Has the response of each request emit `close` when its connection ends. Node tells only the response whose turn it is: those of
requests that wait behind it on the connection would learn nothing, and their jobs would go on beside the copies that the caller
sends elsewhere.
*/
import {type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** To be called before the server takes requests. */
export function tellClosedConnections(server: Server): void {
	/** Responses without an end, by connection, in the order of their requests. */
	const waiting = new WeakMap<Socket, Set<ServerResponse>>();
	server.on('connection', (socket: Socket) => {
		const responses = new Set<ServerResponse>();
		waiting.set(socket, responses);
		socket.once('close', () => {
			// Node's own listener comes first, and has told the response whose turn it was.
			for (const response of responses) {
				response.destroy();
				response.emit('close');
			}
		});
	});
	server.on('request', ({socket}, response: ServerResponse) => {
		const responses = waiting.get(socket);
		responses?.add(response);
		response.once('close', () => {
			responses?.delete(response);
		});
	});
}
