/**
Counters of the hosts, read from `/metrics` and from the kernel: what a replay cost is the
difference of two readings.
*/
import {readFileSync} from 'node:fs';
import {type RunningSystem} from '@gentianshift/trials';
import {request} from 'undici';

/** Sums over all hosts. */
export type Counters = {
	/** Processor time of the host processes, seconds. */
	cpuSeconds: number;
	/** Memory of the largest host process, bytes. */
	largestBytes: number;
	/** By metric name with its labels, as in the Prometheus text. */
	samples: Map<string, number>;
};

/** Ticks of the kernel's processor times a second (`getconf CLK_TCK`). */
const ticksPerSecond = 100;
const bytesPerPage = 4096;

/** Reads all hosts' counters; hosts that ended add nothing. */
export async function readCounters({hosts}: RunningSystem): Promise<Counters> {
	const samples = new Map<string, number>();
	let cpuSeconds = 0;
	let largestBytes = 0;
	for (const host of hosts) {
		const text = await fetchMetrics(host.url);
		for (const [name, value] of parseSamples(text)) {
			samples.set(name, (samples.get(name) ?? 0) + value);
		}

		const usage = readUsage(host.process.child.pid);
		cpuSeconds += usage.cpuSeconds;
		largestBytes = Math.max(largestBytes, usage.bytes);
	}

	return {cpuSeconds, largestBytes, samples};
}

export function subtractCounters(after: Counters, before: Counters): Counters {
	const samples = new Map(
		[...after.samples].map(([name, value]) => [
			name,
			value - (before.samples.get(name) ?? 0),
		]),
	);
	const cpuSeconds = after.cpuSeconds - before.cpuSeconds;
	return {cpuSeconds, largestBytes: after.largestBytes, samples};
}

/** Sums the samples of a metric that have all these labels, like `direction="out"`. */
export function sumSamples(
	{samples}: Counters,
	metric: string,
	...labels: string[]
): number {
	let sum = 0;
	for (const [name, value] of samples) {
		const isMetric = name === metric || name.startsWith(`${metric}{`);
		if (isMetric && labels.every((label) => name.includes(label))) {
			sum += value;
		}
	}

	return sum;
}

/** The values of one label of a metric with their sums, largest first. */
export function listByLabel(
	{samples}: Counters,
	metric: string,
	label: string,
	...labels: string[]
): Array<[string, number]> {
	const sums = new Map<string, number>();
	const pattern = new RegExp(`${label}="([^"]*)"`, 'v');
	for (const [name, value] of samples) {
		const found = pattern.exec(name)?.[1];
		const isMetric = name.startsWith(`${metric}{`);
		if (
			isMetric &&
			found !== undefined &&
			labels.every((one) => name.includes(one))
		) {
			sums.set(found, (sums.get(found) ?? 0) + value);
		}
	}

	return [...sums].toSorted((a, b) => b[1] - a[1]);
}

async function fetchMetrics(url: string): Promise<string> {
	try {
		const response = await request(`${url}/metrics`);
		return await response.body.text();
	} catch {
		return '';
	}
}

function* parseSamples(text: string): Generator<[string, number]> {
	for (const line of text.split('\n')) {
		const match = /^([a-z_][^ ]*(?:\{[^\}]*\})?) (\S+)$/v.exec(line);
		if (match) {
			yield [match[1]!, Number(match[2])];
		}
	}
}

/** Processor time and memory of a process, from the kernel. */
export function readUsage(pid: number | undefined) {
	try {
		const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
		// The program's name, in brackets, may hold blanks: fields are counted from its end.
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		const ticks = Number(fields[11]) + Number(fields[12]);
		return {
			cpuSeconds: ticks / ticksPerSecond,
			bytes: Number(fields[21]) * bytesPerPage,
		};
	} catch {
		return {cpuSeconds: 0, bytes: 0};
	}
}
