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

/** Finds different ports that nothing listens on at this IP. */
export async function findFreePorts(
	ip: string,
	count: number,
	random: () => number = Math.random,
): Promise<number[]> {
	const ports = new Set<number>();
	while (ports.size < count) {
		const port = firstPort + Math.floor(random() * (lastPort - firstPort));
		if (!ports.has(port) && (await isFree(ip, port))) {
			ports.add(port);
		}
	}

	return [...ports];
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
