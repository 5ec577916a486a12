/**
Closes a connection by a reset, as a stand-in for a host that dies or a network that cuts.
*/
import {type Socket} from 'node:net';

/**
Resets a connection; one whose end is already on its way to the peer is closed without a reset.

What goes wrong: Node can not reset a socket between its `end()` and the shutdown that follows. It reports
`EINVAL`, counts the handle as closing and never closes it; the process can then not exit, and uses a whole core
waiting for that handle. One would notice a test file that passes and never ends.

@example
resetSocket(socket);
*/
export function resetSocket(socket: Socket): void {
	const isShuttingDown = socket.writableEnded && !socket.writableFinished;
	if (isShuttingDown) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
}
