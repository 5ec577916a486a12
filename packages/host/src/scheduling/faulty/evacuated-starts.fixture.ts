/**
Judges whether a start in an evacuated data centre was sent by a host that must have known better.
*/
import {type FakeRun} from '@gentianshift/scheduling/fixtures';
import {hostCount, type PlannedFault} from './fault-plan.fixture.js';

/** Hosts whose calls the store answers start nothing later than this after an evacuation. */
const servedHostLimitMs = 300;
/** Hosts that the store turns away, and that reach others which it answers, start nothing later than this. */
const refusedHostLimitMs = 1500;
/** A fault excuses starts up to this long after its end. */
const contactMs = 4000;

export type EvacuationSpan = {dataCentre: string; from: number; until: number};

type TimedFault = {fault: PlannedFault; from: number; until: number};

/** Describes each start in an evacuated data centre that no fault excuses. `faults` are on the clock of the runs. */
export function findEvacuatedStarts(
	runs: ReadonlyArray<FakeRun & {dataCentre: string}>,
	spans: readonly EvacuationSpan[],
	faults: readonly TimedFault[],
): string[] {
	return runs.flatMap(({job, index, executor, dataCentre, startedAt}) => {
		const limitMs = findLimitMs(faults, startedAt);
		const isLate = spans.some(
			(span) =>
				span.dataCentre === dataCentre &&
				startedAt > span.from + limitMs &&
				startedAt < span.until,
		);
		return isLate ? [`${job}/${index} on ${executor} at ${startedAt}`] : [];
	});
}

/** How long after an evacuation a start at this time is allowed. */
function findLimitMs(faults: readonly TimedFault[], at: number): number {
	const recent = faults.filter(
		({from, until}) => from <= at && at <= until + contactMs,
	);
	if (recent.some(({fault}) => isExcuse(fault))) {
		return Infinity;
	}

	const refusedHosts = new Set(
		recent.flatMap(({fault}) => (fault.kind === 'store' ? fault.host : [])),
	);
	if (refusedHosts.size === hostCount) {
		return Infinity;
	}

	return refusedHosts.size > 0 ? refusedHostLimitMs : servedHostLimitMs;
}

/** Whether hosts may be out of touch, or calls to executors carried out late. */
function isExcuse(fault: PlannedFault): boolean {
	switch (fault.kind) {
		case 'kill':
		case 'kill-resend-at-once':
		case 'freeze':
		case 'suspend':
		case 'cut':
		case 'delay-messages':
		case 'delay-connection':
		case 'silent-connection':
		case 'reset-resend-at-once': {
			return true;
		}

		case 'faulty-calls': {
			return fault.how === 'late';
		}

		default: {
			return false;
		}
	}
}
