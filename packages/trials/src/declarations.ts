/**
The resources of a trial: declared at one host, waited for at all.
*/
import {type TargetSpec} from '@gentianshift/resources';
import {probeUrl, type SystemHost} from './hosts.js';
import {type SystemLayout} from './layout.js';
import {waitFor} from './processes.js';
import {type PlacedExecutor, putJson} from './system.js';

/** Resources are to be in force within 3 s; a start-up in a busy machine gets more, milliseconds. */
const inForceLimitMs = 15_000;

/** Declares a resource at a host; false when the host doesn't say that it is accepted. */
export async function declare(
	url: string,
	kind: 'targets' | 'teams' | 'services',
	name: string,
	spec: unknown,
): Promise<boolean> {
	try {
		await putJson(`${url}/v1/${kind}/${name}`, {spec});
		return true;
	} catch {
		return false;
	}
}

/** A target's spec, with some of its executors leaving. */
export function createTargetSpec(
	executors: readonly PlacedExecutor[],
	target: string,
	leaving: readonly string[] = [],
): TargetSpec {
	return {
		state: 'active',
		executors: executors
			.filter((place) => place.target === target)
			.map(({name, address, dataCentre, slots, connections}) => ({
				name,
				address,
				dataCentre,
				slots,
				connections,
				state: leaving.includes(name) ? 'leaving' : 'active',
			})),
	};
}

/** Declares a layout's targets, teams and services, and waits until all hosts know them. */
export async function declareAll(
	hosts: readonly SystemHost[],
	layout: SystemLayout,
	executors: readonly PlacedExecutor[],
): Promise<void> {
	const {url} = hosts[0]!;
	for (const target of Object.keys(layout.targets)) {
		const spec = createTargetSpec(executors, target);
		await putJson(`${url}/v1/targets/${target}`, {spec});
	}

	for (const [name, spec] of Object.entries(layout.teams)) {
		await putJson(`${url}/v1/teams/${name}`, {spec});
	}

	for (const [name, spec] of Object.entries(layout.services)) {
		await putJson(`${url}/v1/services/${name}`, {spec});
	}

	await Promise.all(hosts.map(async (host) => waitUntilInForce(host, layout)));
}

async function waitUntilInForce(
	{name, url}: SystemHost,
	layout: SystemLayout,
): Promise<void> {
	const paths = (['targets', 'teams', 'services'] as const).flatMap((kind) =>
		Object.keys(layout[kind]).map((one) => `${kind}/${one}`),
	);
	await Promise.all(
		paths.map(async (one) =>
			waitFor(
				async () => probeUrl(`${url}/v1/${one}`),
				`${one} at ${name}`,
				inForceLimitMs,
			),
		),
	);
}
