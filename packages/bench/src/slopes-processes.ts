/**
Control traffic of whole systems of processes that are asked for nothing, by the number of hosts.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {startSystem} from '@gentianshift/trials';
import {
	readCounters,
	subtractCounters,
	sumSamples,
	type Counters,
} from './counters.js';
import {type Series} from './slope-series.js';

/** Hosts in each of three data centres. */
const hostsPerDataCentre = [1, 2, 3, 4];
const dataCentres = 3;

/** Links are up and first tables exchanged by then. */
const settleMs = 5000;
const measureSeconds = 10;
const repetitions = 2;

/** A figure for one host, from what all of them together spent. */
type Figure = {name: string; read: (spent: Counters, hosts: number) => number};

const figures: Figure[] = [
	{
		name: 'idle host: processor, part of a core',
		read: ({cpuSeconds}, hosts) => cpuSeconds / measureSeconds / hosts,
	},
	{
		name: 'idle host: bytes sent to hosts a second',
		read: (spent, hosts) =>
			sumSamples(
				spent,
				'gentianshift_bytes_total',
				'direction="out"',
				'link="hosts"',
			) /
			measureSeconds /
			hosts,
	},
	{
		name: 'idle host: messages sent to hosts a second',
		read: (spent, hosts) =>
			sumSamples(spent, 'gentianshift_messages_total', 'direction="out"') /
			measureSeconds /
			hosts,
	},
	{
		name: 'idle host: calls of the platform a second',
		read: (spent, hosts) =>
			sumSamples(spent, 'gentianshift_platform_calls_total') /
			measureSeconds /
			hosts,
	},
	{
		name: 'idle host: memory of the largest process, MB',
		read: ({largestBytes}) => largestBytes / 1e6,
	},
];

export async function measureProcesses(): Promise<Series[]> {
	const series = figures.map(({name}): Series => ({
		name,
		by: 'hosts',
		points: [],
	}));
	for (let i = 0; i < repetitions; i += 1) {
		for (const each of hostsPerDataCentre) {
			const spent = await measureIdle(each);
			const hosts = each * dataCentres;
			for (const [index, {read}] of figures.entries()) {
				series[index]!.points.push({x: hosts, y: read(spent, hosts)});
			}
		}
	}

	return series;
}

async function measureIdle(each: number): Promise<Counters> {
	const system = await startSystem({hostsPerDataCentre: each});
	try {
		await delay(settleMs);
		const before = await readCounters(system);
		await delay(measureSeconds * 1000);
		return subtractCounters(await readCounters(system), before);
	} finally {
		await system.end();
	}
}
