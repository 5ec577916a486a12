/**
Where the hosts, executors and links of a trial are: names, IPs and ports.

Data centre k (from 1) has the IPs 127.0.k.n: its hosts n = 1, 2, ..., its workers n = 200, 201, ...
A worker has one executor of each target.
A host's source IP is its own, so that executors tell data centres apart by it.
*/
import {type Executor, type ServiceSpec} from '@gentianshift/resources';
import {findFreePorts} from './ports.js';

export type TargetLayout = {
	executorsPerDataCentre: number;
	slots: number;
	/** Connections that an executor takes from all hosts together. */
	connections: number;
};

export type SystemLayout = {
	dataCentres: readonly string[];
	hostsPerDataCentre: number;
	/** One way between data centres, milliseconds. */
	delayMs: number;
	targets: Record<string, TargetLayout>;
	services: Record<string, Partial<ServiceSpec> & {target: string}>;
	teams: Record<string, {weight?: number; quota?: number}>;
};

export type HostPlace = {
	name: string;
	dataCentre: string;
	ip: string;
	callersPort: number;
	innerPort: number;
};

export type ExecutorPlace = Omit<Executor, 'address' | 'state'> & {
	target: string;
	ip: string;
};

/** Two services as our users have them, each with its own target, at a tenth of their size. */
export const defaultLayout: SystemLayout = {
	dataCentres: ['mieres', 'langreo', 'tineo'],
	hostsPerDataCentre: 1,
	delayMs: 1,
	targets: {
		kitchens: {executorsPerDataCentre: 1, slots: 8, connections: 60},
		desks: {executorsPerDataCentre: 1, slots: 8, connections: 60},
	},
	services: {
		meals: {target: 'kitchens', path: '/run', prefer: 'messages'},
		quotes: {target: 'desks', path: '/run', prefer: 'response'},
	},
	teams: {cooks: {}, brokers: {}},
};

/** Last number of the IP of a data centre's first worker. */
const firstWorker = 200;

/** IPs of a data centre begin with it. */
export function getIpPrefix(layout: SystemLayout, dataCentre: string): string {
	return `127.0.${layout.dataCentres.indexOf(dataCentre) + 1}.`;
}

export async function placeHosts(layout: SystemLayout): Promise<HostPlace[]> {
	const places = layout.dataCentres.flatMap((dataCentre) =>
		Array.from({length: layout.hostsPerDataCentre}, (_, i) => ({
			name: `${dataCentre.slice(0, 1)}${i + 1}`,
			dataCentre,
			ip: `${getIpPrefix(layout, dataCentre)}${i + 1}`,
		})),
	);
	return Promise.all(
		places.map(async (place) => {
			const [callersPort, innerPort] = await findFreePorts(place.ip, 2);
			return {...place, callersPort: callersPort!, innerPort: innerPort!};
		}),
	);
}

export function placeExecutors(layout: SystemLayout): ExecutorPlace[] {
	return layout.dataCentres.flatMap((dataCentre) =>
		Object.entries(layout.targets).flatMap(([target, one]) =>
			Array.from({length: one.executorsPerDataCentre}, (_, i) => ({
				name: `${target}-${dataCentre}-${i + 1}`,
				target,
				dataCentre,
				ip: `${getIpPrefix(layout, dataCentre)}${firstWorker + i}`,
				slots: one.slots,
				connections: one.connections,
			})),
		),
	);
}

/** Settings of one host, as INI. */
export function formatHostSettings(
	place: HostPlace,
	platformUrl: string,
	more = '',
): string {
	return `[host]
name = ${place.name}
data-centre = ${place.dataCentre}

[addresses]
callers = ${place.ip}:${place.callersPort}
inner = ${place.ip}:${place.innerPort}
source = ${place.ip}

[platform]
key-value = ${platformUrl}
host-list = ${platformUrl}
prefix = trial/

[log]
level = info
${more}`;
}
