/**
Free ports for the listeners of a trial.
*/
import {once} from 'node:events';
import {createServer} from 'node:net';

/**
Below the range from which the kernel takes the local ports of outgoing connections: a host that
is restarted has to get the port back that it had.
*/
const firstPort = 18_000;
const lastPort = 32_000;

/** Finds a port that nothing listens on at this IP. */
export async function findFreePort(ip: string): Promise<number> {
	for (;;) {
		const port = firstPort + Math.floor(Math.random() * (lastPort - firstPort));
		if (await isFree(ip, port)) {
			return port;
		}
	}
}

async function isFree(ip: string, port: number): Promise<boolean> {
	const server = createServer();
	server.listen(port, ip);
	try {
		await once(server, 'listening');
	} catch {
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
}
