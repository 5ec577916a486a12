/**
Where a task goes: the executor with the most room among the sound ones that have enough.

For thin executors that take two or three tasks each. Spreading keeps room on many executors, so
that a wide job starts at once. An executor that has proved slow is used only when no other has
room, and one that failed its last tasks gets one at a time until it ends one well.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {hasRoom} from './room.js';

export type Candidate = {
	id: string;
	service: string;
	free: TaskDemand;
	runCount: number;
	/** Run times there against those elsewhere; 1: as fast as the others. */
	slowness: number;
	/** Tasks that failed there in a row without a good end between. */
	failuresInRow: number;
	/** No start before this time. */
	restsUntil: number;
};

/** An executor that takes more than this many times as long as the others counts as slow. */
export const slowFactor = 1.7;
/** Failures in a row after which an executor is doubted: single failures are the tasks' own. */
export const doubtFailures = 2;

export type PlacedTask = {
	service: string;
	demand: TaskDemand;
	/** Executors where a run of the task came to nothing. */
	avoid: ReadonlySet<string>;
};

export function chooseExecutor<C extends Candidate>(
	candidates: Iterable<C>,
	task: PlacedTask,
	now: number,
): C | undefined {
	let best: C | undefined;
	let bestScore = -Infinity;
	for (const candidate of candidates) {
		if (!isFit(candidate, task, now)) {
			continue;
		}

		const score = weighExecutor(candidate, task);
		if (score > bestScore) {
			best = candidate;
			bestScore = score;
		}
	}

	return best;
}

function isFit(candidate: Candidate, task: PlacedTask, now: number): boolean {
	const isDoubted = candidate.failuresInRow >= doubtFailures;
	return (
		candidate.service === task.service &&
		now >= candidate.restsUntil &&
		hasRoom(candidate.free, task.demand) &&
		!(isDoubted && candidate.runCount > 0)
	);
}

/** Larger than any room: a class of executors goes before another whatever is free. */
const classStep = 1e9;

function weighExecutor(candidate: Candidate, {avoid}: PlacedTask): number {
	const demerits =
		Number(candidate.slowness > slowFactor) * 2 +
		Number(candidate.failuresInRow >= doubtFailures) * 4 +
		Number(avoid.has(candidate.id)) * 8;
	return candidate.free.cpu - demerits * classStep;
}
