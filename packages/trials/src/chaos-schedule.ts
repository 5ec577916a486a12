/**
The seeded schedule of a chaos run: which fault comes when, where, and for how long.
*/
import {
	drawSchedule,
	gapMs,
	type ScheduleDraw,
	type Span,
} from './fault-schedule.js';

export type ChaosFault = Span &
	(
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

/** A planned stop waits for the jobs in flight; the host is left alone for that, milliseconds. */
const plannedStopMs = 10_000;
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
	function drawPair({drawOne}: ScheduleDraw): [string, string] {
		const first = drawOne(places.dataCentres);
		const others = places.dataCentres.filter((one) => one !== first);
		return [first, drawOne(others)];
	}

	function drawFault(
		{at, forMs}: Span,
		draw: ScheduleDraw,
	): ChaosFault | undefined {
		const {drawOne} = draw;
		const kind = drawOne(kinds);
		switch (kind) {
			case 'kill':
			case 'freeze':
			case 'restart': {
				const stopMs = kind === 'restart' ? plannedStopMs : 0;
				const host = draw.drawHost(at, at + forMs + gapMs.most + stopMs);
				return host === undefined ? undefined : {at, forMs, kind, host};
			}

			case 'link': {
				const fault = drawOne(linkFaults);
				return {at, forMs, kind, between: drawPair(draw), fault};
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

	return drawSchedule(seed, durationMs, places.hosts, drawFault);
}
