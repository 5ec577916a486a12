/**
How often the hosts of a trial call the platform, as they count it themselves: also calls that a
platform which is down never sees.
*/
import {request} from 'undici';
import {type ObservedHost} from './configuration-recorder.js';

/** Calls by kind. */
export type Calls = Record<string, number>;

const linePattern =
	/^gentianshift_platform_calls_total\{kind="(?<kind>\w+)"\} (?<count>\d+)$/gmv;

/** Calls of each host since it started. */
export async function readHostCalls(
	hosts: readonly ObservedHost[],
): Promise<Map<string, Calls>> {
	const all = await Promise.all(
		hosts.map(
			async ({name, url}) =>
				[name, parseCalls(await readText(`${url}/metrics`))] as const,
		),
	);
	return new Map(all);
}

/** Calls of each host between two readings, all kinds together. */
export function countBetween(
	before: ReadonlyMap<string, Calls>,
	later: ReadonlyMap<string, Calls>,
): Map<string, number> {
	return new Map(
		[...later].map(([name, calls]) => [
			name,
			sumCalls(calls) - sumCalls(before.get(name) ?? {}),
		]),
	);
}

export function sumCalls(calls: Calls): number {
	return Object.values(calls).reduce((sum, count) => sum + count, 0);
}

function parseCalls(text: string): Calls {
	return Object.fromEntries(
		[...text.matchAll(linePattern)].map(({groups}) => [
			groups!.kind!,
			Number(groups!.count),
		]),
	);
}

async function readText(url: string): Promise<string> {
	const response = await request(url);
	return response.body.text();
}
