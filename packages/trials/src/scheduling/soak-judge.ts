/**
What must hold in a soak, judged from what callers were told and what executors saw.
*/
import {type SeenRun} from '@gentianshift/standins';
import {answerSlackMs} from './caller.js';
import {drainMs, type Drain, type FaultLog} from './soak-faults.js';
import {listActive, type SoakFault} from './soak-schedule.js';
import {type SoakJob} from './soak-load.js';
import {findOverlapsOf} from './judge.js';

export type Violation = {
	code:
		| 'overlap'
		| 'untrue-refusal'
		| 'partial-answer'
		| 'no-answer'
		| 'cut-off'
		| 'drained'
		| 'left-running'
		| 'not-recovered'
		| 'old-configuration';
	message: string;
};

export type Evidence = {
	jobs: readonly SoakJob[];
	runs: readonly SeenRun[];
	log: FaultLog;
	schedule: readonly SoakFault[];
};

/** Effects of a fault last for this long after its end: leases, reconnections, a start; milliseconds. */
export const aftermathMs = 4000;
/** A connection that broke this soon may have closed before the host read the request. */
const readMs = 300;

export function* checkPromises(evidence: Evidence): Generator<Violation> {
	const runsByTask = groupRuns(evidence.runs);
	for (const runs of runsByTask.values()) {
		for (const message of findOverlapsOf(runs)) {
			yield {code: 'overlap', message};
		}
	}

	for (const job of evidence.jobs) {
		yield* checkJob(job, runsByTask, evidence);
	}

	for (const drain of evidence.log.drains) {
		yield* checkDrain(drain, evidence);
	}
}

function groupRuns(runs: readonly SeenRun[]): Map<string, SeenRun[]> {
	const byTask = new Map<string, SeenRun[]>();
	for (const run of runs) {
		const known = byTask.get(run.task);
		if (known) {
			known.push(run);
		} else {
			byTask.set(run.task, [run]);
		}
	}

	return byTask;
}

function* checkJob(
	job: SoakJob,
	runsByTask: ReadonlyMap<string, SeenRun[]>,
	evidence: Evidence,
): Generator<Violation> {
	const listRuns = (index: number) =>
		runsByTask.get(`${job.id}.0.0.${index}`) ?? [];
	const indexes = Array.from({length: job.tasks}, (_, index) => index);
	const isRefused = job.attempts.every(
		({status}) => status === 503 || status === 429,
	);
	if (isRefused && indexes.some((index) => listRuns(index).length > 0)) {
		yield {code: 'untrue-refusal', message: `${job.id} has run`};
	}

	const isCompleted = job.attempts.at(-1)?.state === 'completed';
	const isDone = (index: number) =>
		listRuns(index).some(({how}) => how === 'done');
	if (isCompleted && !indexes.every((index) => isDone(index))) {
		yield {code: 'partial-answer', message: `${job.id} is not whole`};
	}

	if (!job.hasLeft) {
		yield* checkAnswers(job, evidence);
	}
}

/** Each caller of an undisturbed host is answered in its time; a planned stop cuts off nothing. */
function* checkAnswers(
	{id, attempts, timeLeftMs}: SoakJob,
	{log, schedule}: Evidence,
): Generator<Violation> {
	for (const {host, sentAt, tookMs, status, failure} of attempts) {
		if (status !== 0) {
			continue;
		}

		const near = listNear(schedule, log, sentAt, sentAt + tookMs);
		const ofHost = near.filter(
			(fault) => fault.kind === 'host' && fault.host === host,
		);
		const message = `${id} at ${host}, ${Math.round(sentAt - log.begin)} ms: ${failure} after ${Math.round(tookMs)} ms`;
		const isTimeOver = tookMs >= timeLeftMs + answerSlackMs / 2;
		if (isTimeOver && ofHost.length === 0) {
			yield {code: 'no-answer', message};
		}

		const stop = log.stops.find(
			(one) =>
				one.host === host && sentAt < one.until && sentAt + tookMs >= one.from,
		);
		const isPlanned =
			stop !== undefined && near.every((fault) => isPlannedWork(fault));
		if (isPlanned && !isTimeOver && tookMs > readMs) {
			yield {code: 'cut-off', message};
		}
	}
}

function isPlannedWork(fault: SoakFault): boolean {
	return (
		fault.kind === 'configuration' ||
		(fault.kind === 'host' && fault.fault === 'restart') ||
		(fault.kind === 'executor' && fault.fault === 'drain')
	);
}

/** Faults that act, or have acted a short while before. */
function listNear(
	schedule: readonly SoakFault[],
	{begin, stops}: FaultLog,
	from: number,
	to: number,
): SoakFault[] {
	const planned = new Set(
		stops
			.filter((stop) => stop.from < to && stop.until + aftermathMs > from)
			.map(({host}) => host),
	);
	const acting = listActive(schedule, from - aftermathMs - begin, to - begin);
	const isStop = (fault: SoakFault) =>
		fault.kind === 'host' &&
		fault.fault === 'restart' &&
		planned.has(fault.host);
	return schedule.filter((fault) => acting.includes(fault) || isStop(fault));
}

/** A draining executor gets nothing new, where nothing kept its data centre's hosts from hearing of it. */
function* checkDrain(
	{executor, toldAt, leftAt}: Drain,
	{runs, log, schedule}: Evidence,
): Generator<Violation> {
	const near = listNear(schedule, log, toldAt, leftAt);
	if (!near.every((fault) => isPlannedWork(fault) || fault.kind === 'burst')) {
		return;
	}

	const late = runs.filter(
		(run) => run.executor === executor && run.startedAt > toldAt + drainMs,
	);
	for (const {task, startedAt} of late) {
		const afterMs = Math.round(startedAt - toldAt);
		yield {code: 'drained', message: `${task} on ${executor}, ${afterMs} ms`};
	}
}

/** Jobs by what their callers were told in the end. */
export function countTold(jobs: readonly SoakJob[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {attempts, hasLeft} of jobs) {
		const last = attempts.at(-1)!;
		const told = hasLeft && last.status === 0 ? 'left' : describeReply(last);
		counts[told] = (counts[told] ?? 0) + 1;
	}

	return counts;
}

function describeReply({
	status,
	state,
	failure,
}: SoakJob['attempts'][number]): string {
	return status === 0 ? (failure ?? 'no answer') : (state ?? String(status));
}
