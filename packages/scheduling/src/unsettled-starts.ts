/**
Starts of which it is not known which process of their executor has the run, or will get it.

A start without an answer may be carried out later, by whatever process is there then. An accepted start is a run of the
process that stated its start time with the answer, or that has listed the run; answers to orders need not state it, so
without either the next process may be the one that accepted it. The lease, which is reckoned by the clock of the known
process, ends neither of them for certain.
*/
import {formatTaskKey, type Run} from './run.js';

export function isUnsettled({
	isConfirmed,
	isUnclaimed,
	isRefused,
}: Run): boolean {
	return !isConfirmed && !isUnclaimed && !isRefused;
}

export function isAccepted({acceptedAt}: Run): boolean {
	return acceptedAt !== undefined;
}

/** The runs whose tasks are among those of others. */
export function pickRuns(runs: readonly Run[], others: readonly Run[]): Run[] {
	const keys = new Set(others.map((run) => formatTaskKey(run)));
	return runs.filter((run) => keys.has(formatTaskKey(run)));
}

/**
The run as the session with the next process enters it: an accepted start goes on until a report tells what became of it, one
without an answer is held.
*/
export function takeOverStart({
	job,
	index,
	attempt,
	demand,
	estimateMs,
	startedAt,
	acceptedAt,
	stopBy,
}: Run): Run {
	return {
		job,
		index,
		attempt,
		demand,
		startedAt,
		state: 'starting',
		isInherited: true,
		isUnclaimed: false,
		...(acceptedAt === undefined
			? {isHeld: true}
			: {acceptedAt, estimateMs, stopBy}),
	};
}
