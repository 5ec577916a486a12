/**
The seeded schedule of a chaos run: which fault comes when, where, and for how long.
*/
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** A fault from `at` on for `forMs`, milliseconds from the run's begin. */
export type ChaosFault = {at: number; forMs: number} & (
	| {kind: 'kill' | 'freeze' | 'restart'; host: string}
	| {
			kind: 'link';
			between: [string, string];
			fault: 'cut' | 'silence' | 'silence-open';
	  }
	| {kind: 'isolate'; dataCentre: string; fault: 'cut' | 'silence'}
	| {
			kind: 'platform';
			dataCentre?: string;
			mode: 'down' | 'slow' | 'drop-reply' | 'silent';
	  }
	| {kind: 'drain'; executor: string}
	| {kind: 'executor'; executor: string; mode: ExecutorFault}
);

type ExecutorFault = (typeof executorFaults)[number];

export type ChaosPlaces = {
	hosts: readonly string[];
	dataCentres: readonly string[];
	executors: readonly string[];
};

const executorFaults = [
	'fail',
	'silent',
	'truncate',
	'wrong-length',
	'reset',
	'refuse',
	'slow',
] as const;
const linkFaults = ['cut', 'silence', 'silence-open'] as const;
const platformFaults = ['down', 'slow', 'drop-reply', 'silent'] as const;
const kinds = [
	'kill',
	'freeze',
	'restart',
	'link',
	'isolate',
	'platform',
	'drain',
	'executor',
] as const;

/** Between the begins of two faults, so that often two or three act together, milliseconds. */
const gapMs = {least: 300, most: 2000};
/** Shorter than a lease, or longer than every timeout between hosts, milliseconds. */
const lengthMs = {least: 400, most: 6000};
/** A planned stop waits for the jobs in flight; the host is left alone for that, milliseconds. */
const plannedStopMs = 10_000;
/** At least this part of the hosts is left alone, so that there is someone to ask. */
const sparedShare = 0.5;

/**
The faults of a seed, by time; all end before the run does.

@example
createSchedule(1, 20_000, {hosts: ['m1', 'l1'], dataCentres: ['mieres', 'langreo'], executors: ['e1']});
*/
export function createSchedule(
	seed: number,
	durationMs: number,
	places: ChaosPlaces,
): ChaosFault[] {
	const generator = xoroshiro128plus(seed);
	const drawInt = (least: number, most: number) =>
		unsafeUniformIntDistribution(least, most, generator);
	const drawOne = <T>(values: readonly T[]): T =>
		values[drawInt(0, values.length - 1)]!;
	const faults: ChaosFault[] = [];
	const hostFreeAt = new Map<string, number>();

	/** A host that is in no other fault; undefined when too many are. */
	function drawHost(at: number, until: number): string | undefined {
		const free = places.hosts.filter(
			(host) => (hostFreeAt.get(host) ?? 0) <= at,
		);
		if (free.length <= places.hosts.length * sparedShare) {
			return undefined;
		}

		const host = drawOne(free);
		hostFreeAt.set(host, until);
		return host;
	}

	function drawPair(): [string, string] {
		const first = drawOne(places.dataCentres);
		const others = places.dataCentres.filter((one) => one !== first);
		return [first, drawOne(others)];
	}

	function drawFault(at: number, forMs: number): ChaosFault | undefined {
		const kind = drawOne(kinds);
		switch (kind) {
			case 'kill':
			case 'freeze':
			case 'restart': {
				const stopMs = kind === 'restart' ? plannedStopMs : 0;
				const host = drawHost(at, at + forMs + gapMs.most + stopMs);
				return host === undefined ? undefined : {at, forMs, kind, host};
			}

			case 'link': {
				const fault = drawOne(linkFaults);
				return {at, forMs, kind, between: drawPair(), fault};
			}

			case 'isolate': {
				const dataCentre = drawOne(places.dataCentres);
				const fault = drawOne(['cut', 'silence'] as const);
				return {at, forMs, kind, dataCentre, fault};
			}

			case 'platform': {
				const dataCentre = drawOne([undefined, ...places.dataCentres]);
				const mode = drawOne(platformFaults);
				return {at, forMs, kind, dataCentre, mode};
			}

			case 'drain': {
				return {at, forMs, kind, executor: drawOne(places.executors)};
			}

			case 'executor': {
				const executor = drawOne(places.executors);
				const mode = drawOne(executorFaults);
				return {at, forMs, kind, executor, mode};
			}
		}
	}

	let at = drawInt(gapMs.least, gapMs.most);
	while (at + lengthMs.least < durationMs) {
		const most = Math.min(lengthMs.most, durationMs - at);
		const fault = drawFault(at, drawInt(lengthMs.least, most));
		if (fault !== undefined) {
			faults.push(fault);
		}

		at += drawInt(gapMs.least, gapMs.most);
	}

	return faults;
}
