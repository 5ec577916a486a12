/**
The seeded schedule of a soak on the users' platform: which fault comes when, where, and for how long.
*/
import {
	drawSchedule,
	gapMs,
	type ScheduleDraw,
	type Span,
} from '../fault-schedule.js';

const hostFaults = ['kill', 'freeze', 'restart'] as const;
/** `silence` of one data centre's relays cuts one way: what others send there. */
const linkFaults = ['cut', 'silence', 'silence-open'] as const;
const storeFaults = [
	'busy',
	'silent',
	'slow',
	'loses-answers',
	'deaf-watches',
	'refuses-hosts',
	'forgets-history',
	'takes-leases',
] as const;
const executorFaults = [
	'silent',
	'slow',
	'fails',
	'late-starts',
	'resets',
	'crash',
	'drain',
] as const;

export type SoakFault = Span &
	(
		| {kind: 'host'; host: string; fault: (typeof hostFaults)[number]}
		| {kind: 'link'; dataCentre: string; fault: (typeof linkFaults)[number]}
		/** A data centre without the others and without the store. */
		| {kind: 'isolate'; dataCentre: string}
		| {
				kind: 'store';
				fault: (typeof storeFaults)[number];
				/** Whose hosts are refused, where only some are. */
				dataCentre: string;
		  }
		/** `executor`: which of those that are there then. */
		| {
				kind: 'executor';
				executor: number;
				fault: (typeof executorFaults)[number];
		  }
		| {kind: 'configuration'}
		| {kind: 'burst'}
	);

export type SoakPlaces = {
	hosts: readonly string[];
	dataCentres: readonly string[];
};

const kinds = [
	'host',
	'host',
	'link',
	'isolate',
	'store',
	'store',
	'executor',
	'executor',
	'configuration',
	'burst',
] as const;

/** A planned stop takes up to the time until SIGKILL, and the start after it, milliseconds. */
const plannedStopMs = 8000;
const mostExecutor = 1000;

/**
The faults of a seed, by time; all end before the run does.

@example
createSoakSchedule(1, 20_000, {hosts: ['mieres-1', 'langreo-1'], dataCentres: ['mieres', 'langreo']});
*/
export function createSoakSchedule(
	seed: number,
	durationMs: number,
	{hosts, dataCentres}: SoakPlaces,
): SoakFault[] {
	return drawSchedule<SoakFault>(seed, durationMs, hosts, (span, draw) =>
		drawFault(span, draw, dataCentres),
	);
}

function drawFault(
	span: Span,
	{drawInt, drawOne, drawHost}: ScheduleDraw,
	dataCentres: readonly string[],
): SoakFault | undefined {
	const kind = drawOne(kinds);
	const dataCentre = drawOne(dataCentres);
	switch (kind) {
		case 'host': {
			const fault = drawOne(hostFaults);
			const stopMs = fault === 'restart' ? plannedStopMs : 0;
			const freeAt = span.at + span.forMs + gapMs.most + stopMs;
			const host = drawHost(span.at, freeAt);
			return host === undefined ? undefined : {...span, kind, host, fault};
		}

		case 'link': {
			return {...span, kind, dataCentre, fault: drawOne(linkFaults)};
		}

		case 'isolate': {
			return {...span, kind, dataCentre};
		}

		case 'store': {
			return {...span, kind, fault: drawOne(storeFaults), dataCentre};
		}

		case 'executor': {
			const executor = drawInt(0, mostExecutor);
			return {...span, kind, executor, fault: drawOne(executorFaults)};
		}

		case 'configuration':
		case 'burst': {
			return {...span, kind};
		}
	}
}

/** The part of a schedule that acts at some moment between two, milliseconds from the run's begin. */
export function listActive(
	schedule: readonly SoakFault[],
	from: number,
	to: number,
): SoakFault[] {
	return schedule.filter(({at, forMs}) => at < to && at + forMs > from);
}
