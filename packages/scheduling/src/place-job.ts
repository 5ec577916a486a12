/**
Chooses the groups that get a job's tasks, or refuses the job at once.

Tasks go where they can start now, to the entry's own data centre first. Only tasks that find no free capacity
anywhere wait, where the wait is shortest. So a job with more tasks than a small group can run at once is split, and work
is moved from a full data centre to others before any is refused.

A job is refused at once if the shortest wait anywhere would make it late. At saturation, a job that is admitted
although it will be late delays the jobs that come after it, and in the end all are late.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {countFits} from './free-capacity.js';
import {rankGroups} from './rank-groups.js';
import {estimateRetryMs} from './retry-after.js';

export type OpenGroup = {
	group: string;
	/** The data centre whose executors the group has. */
	dataCentre: string;
	/** Free processor of each open executor, in thousandths of a core. */
	free: readonly number[];
	capacity: number;
	/**
	Work of waiting jobs that can still meet their objective, by priority: thousandths of a core times
	milliseconds.
	*/
	backlog: readonly number[];
	/** Work of waiting jobs that will be late, in the same unit. */
	lateBacklog: readonly number[];
	/** Processor that running tasks use, by priority, in thousandths of a core. */
	running: readonly number[];
	/** Work that has ended in the last half second, thousandths of a core times milliseconds; undefined: not known. */
	finished?: number;
	/** Labels that some executor has; undefined: not known. */
	labels?: readonly string[];
};

export type JobPlacementRequest = {
	count: number;
	demand: TaskDemand;
	priority: number;
	estimateMs: number;
	/** The job can no longer meet its objective: it is started after jobs that can. */
	isLate: boolean;
	/** The entry's own data centre. */
	home: string;
	/** The job is refused if it would take longer than this from now, milliseconds. */
	limitMs: number;
	/** Returns a number from 0 up to 1. */
	random: () => number;
};

export type JobPlacement =
	| {type: 'placed'; shares: Map<string, number>}
	| {type: 'refused'; retryAfterMs: number; waitMs: number};

/** Run time of a job's longest task relative to their estimate, for eight tasks that differ by 15%. */
export const longestTaskFactor = 1.2;
/** Least share of a group's capacity that a priority is taken to have, however much more urgent work uses. */
const minCapacityShare = 0.15;

/**
Estimates how long the last of `tasks` tasks waits for its start, in milliseconds: the work that goes before it,
and that of the other `tasks`, divided by the capacity of the group. More urgent work keeps arriving, so the
share of the capacity that such work uses now is left out.

Work that will be late goes after work of the same priority that can still be in time. After an outage of one
second the queues hold little else; when it was counted as going before, new jobs were refused although they
would have been started next.
*/
export function estimateWaitMs(
	{
		capacity,
		backlog,
		lateBacklog,
		running,
	}: Omit<OpenGroup, 'group' | 'dataCentre' | 'free'>,
	{
		demand: {cpu},
		priority,
		estimateMs,
		isLate,
	}: Pick<JobPlacementRequest, 'demand' | 'priority' | 'estimateMs' | 'isLate'>,
	tasks: number,
): number {
	if (capacity <= 0) {
		return Infinity;
	}

	const workAhead =
		sumBelow(backlog, priority + 1) +
		sumBelow(lateBacklog, isLate ? priority + 1 : priority);
	const moreUrgentCpu = sumBelow(running, priority);
	const share = Math.max(minCapacityShare, 1 - moreUrgentCpu / capacity);
	return (workAhead + tasks * estimateMs * cpu) / (capacity * share);
}

function sumBelow(levels: readonly number[], end: number): number {
	let sum = 0;
	for (const level of levels.slice(0, end)) {
		sum += level;
	}

	return sum;
}

export function placeJob(
	candidates: readonly OpenGroup[],
	request: JobPlacementRequest,
): JobPlacement {
	const shares = new Map<string, number>();
	const ranked = rankGroups(candidates, request, request.random);
	let unplaced = request.count;
	for (const candidate of ranked) {
		const startable = Math.min(
			unplaced,
			countFits(candidate.free, request.demand.cpu),
		);
		if (startable > 0) {
			shares.set(candidate.group, startable);
			unplaced -= startable;
		}
	}

	if (unplaced === 0) {
		return {type: 'placed', shares};
	}

	const tasksPerGroup = Math.ceil(unplaced / Math.max(1, ranked.length));
	const waits = ranked
		.map((candidate) => ({
			candidate,
			waitMs: estimateWaitMs(candidate, request, tasksPerGroup),
		}))
		.toSorted((a, b) => a.waitMs - b.waitMs);
	const shortest = waits[0];
	const endMs =
		(shortest?.waitMs ?? Infinity) + longestTaskFactor * request.estimateMs;
	if (!shortest || endMs > request.limitMs) {
		const waitMs = shortest?.waitMs ?? Infinity;
		const retryAfterMs = estimateRetryMs(candidates, (candidate) =>
			estimateWaitMs(candidate, request, tasksPerGroup),
		);
		return {type: 'refused', waitMs, retryAfterMs};
	}

	setWaitingShares(shares, waits, unplaced);
	return {type: 'placed', shares};
}

/**
Distributes waiting tasks in proportion to capacity over the groups whose wait is close to the shortest, the
shortest wait first.
*/
function setWaitingShares(
	shares: Map<string, number>,
	waits: ReadonlyArray<{candidate: OpenGroup; waitMs: number}>,
	tasks: number,
): void {
	const usable = waits.filter(
		({waitMs}) => waitMs <= waits[0]!.waitMs * 1.5 + 1,
	);
	const capacity = usable.reduce(
		(sum, {candidate}) => sum + candidate.capacity,
		0,
	);
	let unplaced = tasks;
	for (const {candidate} of usable) {
		const share = Math.min(
			unplaced,
			Math.ceil((tasks * candidate.capacity) / Math.max(1, capacity)),
		);
		shares.set(candidate.group, (shares.get(candidate.group) ?? 0) + share);
		unplaced -= share;
	}
}
