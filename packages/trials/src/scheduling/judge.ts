/**
What must hold at executors, judged from the runs that they saw.
*/
import assert from 'node:assert/strict';
import {type LeasedExecutor, type SeenRun} from '@gentianshift/standins';

/** Two runs of one task that overlap: `task on A and B`, empty when none does. */
export function findOverlaps(executors: readonly LeasedExecutor[]): string[] {
	const byTask = new Map<string, SeenRun[]>();
	for (const run of executors.flatMap(({seen}) => seen)) {
		byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
	}

	return [...byTask.values()].flatMap((runs) => findOverlapsOf(runs));
}

export function findOverlapsOf(runs: readonly SeenRun[]): string[] {
	const ordered = runs.toSorted((a, b) => a.startedAt - b.startedAt);
	return ordered.slice(1).flatMap((run, i) => {
		const before = ordered[i]!;
		return run.startedAt < (before.endedAt ?? Infinity)
			? [`${run.task} on ${before.executor} and ${run.executor}`]
			: [];
	});
}

export function assertNoOverlaps(executors: readonly LeasedExecutor[]): void {
	assert.deepEqual(findOverlaps(executors), []);
}

/** Runs of a job's tasks. */
export function listRuns(
	executors: readonly LeasedExecutor[],
	id: string,
): SeenRun[] {
	return executors
		.flatMap(({seen}) => seen)
		.filter(({task}) => task.startsWith(id));
}
