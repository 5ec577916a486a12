/**
Where a task goes: the executor with the most room among the sound ones that have enough.

For thin executors that take two or three tasks each. Spreading keeps room on many executors, so
that a wide job starts at once. An executor that has proved slow, or is doubted, is used only when
no other has room, and not for a task that it could not end in time.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {
	computeSlowness,
	isDoubted,
	slowFactor,
	type ExecutorTrust,
} from './executor-trust.js';
import {hasRoom} from './room.js';

export type Candidate = {
	id: string;
	service: string;
	capacity: TaskDemand;
	free: TaskDemand;
	runCount: number;
	/** A start could carry a lease of use. Undefined: it could. */
	isExtendable?: boolean;
	trust: ExecutorTrust;
};

export type PlacedTask = {
	service: string;
	demand: TaskDemand;
	estimateMs: number;
	/** Ending later is of no use. */
	endsAt: number;
	/** Executors where a run of the task came to nothing. */
	avoid: ReadonlySet<string>;
};

export function chooseExecutor<C extends Candidate>(
	candidates: Iterable<C>,
	task: PlacedTask,
	now: number,
): C | undefined {
	let best: C | undefined;
	let bestWeight = -Infinity;
	for (const candidate of candidates) {
		if (!isFit(candidate, task, now)) {
			continue;
		}

		const weight = weighExecutor(candidate, task, now);
		if (weight > bestWeight) {
			best = candidate;
			bestWeight = weight;
		}
	}

	return best;
}

/** Whether the executor may take a task of this size now. */
export function isFree(
	candidate: Candidate,
	task: Pick<PlacedTask, 'service' | 'demand'>,
	now: number,
): boolean {
	const {service, free, trust, runCount} = candidate;
	return (
		service === task.service &&
		now >= trust.restsUntil &&
		hasRoom(free, task.demand) &&
		candidate.isExtendable !== false &&
		!(isDoubted(trust) && runCount > 0)
	);
}

function isFit(candidate: Candidate, task: PlacedTask, now: number): boolean {
	const slowness = computeSlowness(candidate.trust, now);
	const isInTime =
		slowness < slowFactor || now + task.estimateMs * slowness < task.endsAt;
	return isFree(candidate, task, now) && isInTime;
}

/** Larger than any room: a class of executors goes before another whatever is free. */
const classStep = 1e9;

function weighExecutor(
	{id, free, trust}: Candidate,
	{avoid}: PlacedTask,
	now: number,
): number {
	const demerits =
		Number(computeSlowness(trust, now) > slowFactor) * 2 +
		Number(isDoubted(trust)) * 4 +
		Number(avoid.has(id)) * 8;
	return free.cpu - demerits * classStep;
}
