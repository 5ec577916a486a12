/**
Chooses the executor for a task: of the sound ones that have enough free capacity, the one with the most.

An executor takes only two or three tasks. Spreading them keeps capacity free on many executors, so that a job with many
tasks can start at once. An executor that has proved slow, or is doubted, is used only when no other has free
capacity; a slow one never for a task that it could not end in time.
*/
import {type TaskConstraints, type TaskDemand} from '@gentianshift/protocol';
import {
	computeSlowness,
	isDoubted,
	slowFactor,
	type ExecutorTrust,
} from './executor-trust.js';
import {coversDemand} from './free-capacity.js';
import {type Run} from './run.js';
import {isAllowedOn} from './task-constraints.js';

export type ExecutorCandidate = {
	id: string;
	service: string;
	capacity: TaskDemand;
	free: TaskDemand;
	runCount: number;
	/** Whether the executor's lease can be extended far enough for a new run; undefined counts as true. */
	isLeaseExtendable?: boolean;
	trust: ExecutorTrust;
	labels?: readonly string[];
	/** What runs there. */
	runs?: ReadonlyMap<string, Run>;
};

export type TaskRequirements = {
	/** The job's id. */
	id: string;
	/** Undefined: any executor of the service will do. */
	constraints?: TaskConstraints;
	service: string;
	demand: TaskDemand;
	estimateMs: number;
	/** When the caller stops waiting: a later end is of no use. */
	deadlineAt: number;
	/** Executors on which an earlier run of the task was unsuccessful; used only when no other has free capacity. */
	avoid: ReadonlySet<string>;
};

export function chooseExecutor<C extends ExecutorCandidate>(
	candidates: Iterable<C>,
	task: TaskRequirements,
	now: number,
): C | undefined {
	let best: C | undefined;
	let bestWeight = -Infinity;
	for (const candidate of candidates) {
		// Demerits only lower the weight. This comparison passes over most executors before their lease is computed.
		const {free} = candidate;
		if (free.cpu <= bestWeight || !isSuitable(candidate, free, task, now)) {
			continue;
		}

		const weight = weighExecutor(candidate, free, task, now);
		if (weight > bestWeight) {
			best = candidate;
			bestWeight = weight;
		}
	}

	return best;
}

/** Whether the executor may take a task of this size now. */
export function isAvailable(
	candidate: ExecutorCandidate,
	task: Pick<TaskRequirements, 'service' | 'demand'>,
	now: number,
): boolean {
	return hasRoomFor(candidate, candidate.free, task, now);
}

/** The lease is looked at last: it depends on every run of the executor. */
function hasRoomFor(
	candidate: ExecutorCandidate,
	free: TaskDemand,
	{service, demand}: Pick<TaskRequirements, 'service' | 'demand'>,
	now: number,
): boolean {
	const {trust} = candidate;
	return (
		candidate.service === service &&
		now >= trust.pausedUntil &&
		coversDemand(free, demand) &&
		!(isDoubted(trust) && candidate.runCount > 0) &&
		candidate.isLeaseExtendable !== false
	);
}

function isSuitable(
	candidate: ExecutorCandidate,
	free: TaskDemand,
	task: TaskRequirements,
	now: number,
): boolean {
	if (!hasRoomFor(candidate, free, task, now)) {
		return false;
	}

	const slowness = computeSlowness(candidate.trust, now);
	const isInTime =
		slowness < slowFactor || now + task.estimateMs * slowness < task.deadlineAt;
	const isAllowed = !task.constraints || isAllowedOn(candidate, task);
	return isInTime && isAllowed;
}

/**
Weight of one demerit. Larger than any free capacity, so that an executor with fewer demerits goes before another
however much of it that one has.
*/
const demeritWeight = 1e9;

function weighExecutor(
	{id, trust}: ExecutorCandidate,
	free: TaskDemand,
	{avoid}: TaskRequirements,
	now: number,
): number {
	const demerits =
		Number(computeSlowness(trust, now) > slowFactor) * 2 +
		Number(isDoubted(trust)) * 4 +
		Number(avoid.has(id)) * 8;
	return free.cpu - demerits * demeritWeight;
}
