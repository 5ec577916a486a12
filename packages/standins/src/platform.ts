/**
The platform's stand-in, for tests and the demo only: an etcd JSON gateway with host list for
each data centre, over one store, and a control port that brings about its faults.
*/
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {hostListSchema, type HostEntry} from '@gentianshift/resource-store';
import {
	createCounts,
	faultSchema,
	viewsSchema,
	type CallCounts,
	type Fault,
	type Views,
} from './platform-faults.js';
import {Gateway, readJson} from './platform-gateway.js';
import {PlatformStore} from './platform-store.js';

export type PlatformOptions = {
	/** Ports by data centre; 0: any. */
	ports: Record<string, number>;
	controlPort?: number;
	hosts?: HostEntry[];
	progressMs?: number;
};

export type RunningPlatform = {
	store: PlatformStore;
	/** By data centre. */
	urls: Record<string, string>;
	controlUrl: string;
	setHosts: (hosts: HostEntry[]) => void;
	setViews: (views: Views) => void;
	setFault: (fault: Fault) => void;
	readCounts: () => CallCounts;
	stop: () => void;
};

const loopback = '127.0.0.1';
const defaultProgressMs = 1000;

export async function startPlatform({
	ports,
	controlPort = 0,
	hosts: firstHosts = [],
	progressMs = defaultProgressMs,
}: PlatformOptions): Promise<RunningPlatform> {
	const store = new PlatformStore();
	const counts = createCounts();
	let hosts = firstHosts;
	let views: Views = {};
	const gateways = new Map<string, Gateway>();
	const urls: Record<string, string> = {};

	const listHosts = (dataCentre: string): HostEntry[] =>
		hosts.map((host) => ({
			...host,
			address: views[dataCentre]?.[host.address] ?? host.address,
		}));

	for (const [dataCentre, port] of Object.entries(ports)) {
		const gateway = new Gateway({
			store,
			counts,
			listHosts: () => listHosts(dataCentre),
			progressMs,
		});
		gateways.set(dataCentre, gateway);
		urls[dataCentre] = await listen(gateway.server, port);
	}

	const platform: Omit<RunningPlatform, 'controlUrl' | 'stop'> = {
		store,
		urls,
		setHosts(list) {
			hosts = list;
		},
		setViews(next) {
			views = next;
		},
		setFault(fault) {
			for (const [dataCentre, gateway] of gateways) {
				if (fault.dataCentre === undefined || fault.dataCentre === dataCentre) {
					gateway.setFault(fault);
				}
			}
		},
		readCounts: () => counts.counts,
	};

	const control = createServer((req, res) => {
		handleControl(platform, req, res).catch((error: unknown) => {
			res.statusCode = 400;
			res.end(JSON.stringify({error: String(error)}));
		});
	});
	const controlUrl = await listen(control, controlPort);

	return {
		...platform,
		controlUrl,
		stop() {
			control.close();
			control.closeAllConnections();
			store.close();
			for (const gateway of gateways.values()) {
				gateway.close();
			}
		},
	};
}

async function handleControl(
	platform: Omit<RunningPlatform, 'controlUrl' | 'stop'>,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	const body = await readJson(req);
	switch (`${req.method} ${req.url}`) {
		case 'PUT /control/hosts': {
			platform.setHosts(hostListSchema.parse(body).hosts);
			break;
		}

		case 'PUT /control/views': {
			platform.setViews(viewsSchema.parse(body));
			break;
		}

		case 'PUT /control/faults': {
			platform.setFault(faultSchema.parse(body));
			break;
		}

		case 'POST /control/compact': {
			platform.store.compact();
			break;
		}

		case 'GET /control/calls': {
			res.end(JSON.stringify(platform.readCounts()));
			return;
		}

		default: {
			res.statusCode = 404;
		}
	}

	res.end('{}');
}

async function listen(server: Server, port: number): Promise<string> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, loopback, resolve);
	});
	return `http://${loopback}:${(server.address() as AddressInfo).port}`;
}
