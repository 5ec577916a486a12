/**
The stand-ins of a trial as processes: platform, relays between data centres, executors.
*/
import {Buffer} from 'node:buffer';
import {request} from 'undici';
import {
	executorsListeningSchema,
	type ExecutorStats,
	type FaultMode,
	type LinkChange,
	type ModeChange,
	type RelayFault,
	type Start,
} from '@gentianshift/standins';
import {z} from 'zod';
import {
	getIpPrefix,
	placeExecutors,
	type ExecutorPlace,
	type HostPlace,
	type SystemLayout,
} from './layout.js';
import {readFirstJson, type ProcessGroup} from './processes.js';

/** How the platform's stand-in misbehaves; absent data centre: towards all. */
export type PlatformFault = {
	dataCentre?: string;
	mode: FaultMode;
	ms?: number;
	/** What `drop-reply` turns into after the first reply dropped. */
	next?: FaultMode;
};

/** Of the hosts' resources in the platform's store. */
const resourcePrefix = 'trial/resources/';

export type PlacedExecutor = ExecutorPlace & {address: string};

const platformListeningSchema = z.object({
	urls: z.record(z.string(), z.string()),
	control: z.string(),
});

const relayListeningSchema = z.object({
	control: z.string(),
	links: z.array(z.object({name: z.string(), address: z.string()})),
});

type StartOptions = {
	processes: ProcessGroup;
	layout: SystemLayout;
	dir: string;
};

function listStandinArguments(program: string): string[] {
	return ['--import', 'tsx', `packages/standins/src/${program}-main.ts`];
}

/** Starts the platform's stand-in; each data centre has its own port to it. */
export async function startPlatformProcess({
	processes,
	layout,
	dir,
}: StartOptions) {
	const ports = layout.dataCentres.flatMap((name) => ['--port', `${name}=0`]);
	const started = processes.startProcess({
		name: 'platform',
		args: [...listStandinArguments('platform'), ...ports],
		dir,
	});
	const {urls, control} = platformListeningSchema.parse(
		await readFirstJson(started),
	);
	return {
		urls,
		async setHosts(hosts: unknown[]): Promise<void> {
			await putJson(`${control}/control/hosts`, {hosts});
		},
		async setViews(views: Record<string, Record<string, string>>) {
			await putJson(`${control}/control/views`, views);
		},
		async setFault(fault: PlatformFault): Promise<void> {
			await putJson(`${control}/control/faults`, fault);
		},
		async compact(): Promise<void> {
			const response = await request(`${control}/control/compact`, {
				method: 'POST',
			});
			await response.body.dump();
		},
		/** Writes a resource's record past all hosts; returns its revision. */
		async putResource(key: string, record: unknown): Promise<number> {
			const encode = (text: string) => Buffer.from(text).toString('base64');
			const response = await request(`${Object.values(urls)[0]!}/v3/kv/txn`, {
				method: 'POST',
				body: JSON.stringify({
					success: [
						{
							request_put: {
								key: encode(`${resourcePrefix}${key}`),
								value: encode(JSON.stringify(record)),
							},
						},
					],
				}),
			});
			const {header} = (await response.body.json()) as {
				header: {revision: string};
			};
			return Number(header.revision);
		},
		async readCalls(): Promise<unknown> {
			const response = await request(`${control}/control/calls`);
			return response.body.json();
		},
	};
}

/** Starts one relay process with a link from each data centre to each host of the others. */
export async function startRelays(
	{processes, layout, dir}: StartOptions,
	hosts: readonly HostPlace[],
) {
	const links = layout.dataCentres.flatMap((from) =>
		hosts
			.filter((host) => host.dataCentre !== from)
			.map((host) => ({name: `${from}>${host.name}`, from, host})),
	);
	const started = processes.startProcess({
		name: 'relay',
		args: [
			...listStandinArguments('relay'),
			...links.flatMap(({name, host}) => [
				'--link',
				`${name}=127.0.0.1:0>${host.ip}:${host.innerPort}@${layout.delayMs}`,
			]),
		],
		dir,
	});
	const listening = relayListeningSchema.parse(await readFirstJson(started));
	const addresses = new Map(
		listening.links.map(({name, address}) => [name, address]),
	);

	/** By data centre: a host's own inner address to the one it is reached by from there. */
	const views = Object.fromEntries(
		layout.dataCentres.map((dataCentre) => [
			dataCentre,
			Object.fromEntries(
				links
					.filter(({from}) => from === dataCentre)
					.map(({name, host}) => [
						`${host.ip}:${host.innerPort}`,
						addresses.get(name)!,
					]),
			),
		]),
	);
	return {
		views,
		/** Applies a fault to the links between two data centres, both ways. */
		async applyFault(a: string, b: string, fault: RelayFault): Promise<void> {
			const names = links
				.filter(({from, host}) => isBetween(from, host.dataCentre, a, b))
				.map(({name}) => name);
			await putJson(`http://${listening.control}/links`, {names, fault});
		},
	};
}

function isBetween(from: string, to: string, a: string, b: string): boolean {
	return (from === a && to === b) || (from === b && to === a);
}

/** Starts one process of executors for each data centre. */
export async function startExecutorProcesses(options: StartOptions) {
	const places = placeExecutors(options.layout);
	const fleets = new Map(
		await Promise.all(
			options.layout.dataCentres.map(
				async (dataCentre) =>
					[
						dataCentre,
						await startExecutorProcess(options, dataCentre, places),
					] as const,
			),
		),
	);
	const addresses = new Map(
		[...fleets.values()].flatMap(({executors}) =>
			executors.map(({name, address}) => [name, address] as const),
		),
	);
	const controls = [...fleets.values()].map(({control}) => control);
	return {
		places: places.map((place): PlacedExecutor => ({
			...place,
			address: addresses.get(place.name)!,
		})),
		async readStarts(): Promise<Start[]> {
			const texts = await Promise.all(
				controls.map(async (control) => getText(`${control}/starts`)),
			);
			return texts
				.flatMap((text) => text.split('\n'))
				.filter((line) => line !== '')
				.map((line) => JSON.parse(line) as Start)
				.toSorted((a, b) => a.at - b.at);
		},
		async readStats(): Promise<ExecutorStats[]> {
			const texts = await Promise.all(
				controls.map(async (control) => getText(`${control}/stats`)),
			);
			return texts.flatMap((text) => JSON.parse(text) as ExecutorStats[]);
		},
		async setMode(
			executor: string,
			mode: ModeChange['mode'],
			factor = 1,
		): Promise<void> {
			const place = places.find(({name}) => name === executor);
			const {control} = fleets.get(place!.dataCentre)!;
			await putJson(`${control}/modes`, {executor, mode, factor});
		},
		/** Changes the link from the hosts of one data centre to the executors of another. */
		async setLink(
			from: string,
			to: string,
			mode: LinkChange['mode'],
		): Promise<void> {
			const {control} = fleets.get(to)!;
			const prefix = getIpPrefix(options.layout, from);
			await putJson(`${control}/links`, {from: prefix, mode});
		},
	};
}

async function startExecutorProcess(
	{processes, layout, dir}: StartOptions,
	dataCentre: string,
	places: readonly ExecutorPlace[],
) {
	const executors = places
		.filter((place) => place.dataCentre === dataCentre)
		.flatMap(({name, ip, slots}) => ['--executor', `${name}=${ip}:0:${slots}`]);
	const delays = layout.dataCentres
		.filter((other) => other !== dataCentre)
		.flatMap((other) => [
			'--delay-from',
			`${getIpPrefix(layout, other)}=${layout.delayMs}`,
		]);
	const started = processes.startProcess({
		name: `executors-${dataCentre}`,
		args: [...listStandinArguments('executor'), ...executors, ...delays],
		dir,
	});
	const listening = executorsListeningSchema.parse(
		await readFirstJson(started),
	);
	return {...listening, control: `http://${listening.control}`};
}

/** A control call that failed would make the trial prove nothing, so it throws. */
export async function putJson(url: string, body: unknown): Promise<unknown> {
	const response = await request(url, {
		method: 'PUT',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify(body),
	});
	const text = await response.body.text();
	if (response.statusCode >= 300) {
		throw new Error(`PUT ${url}: ${response.statusCode} ${text}`);
	}

	return text === '' ? undefined : JSON.parse(text);
}

async function getText(url: string): Promise<string> {
	const response = await request(url);
	return response.body.text();
}
