/**
Runs one placing round over a scheduler's waiting jobs, in their rank order. Each task is started where there is
free capacity. Tasks that find none are returned while another group has some for them, and jobs that can no longer end
in time are returned at once.

At saturation the jobs ahead of one may take longer than its caller waits for an answer. This is known as soon
as the jobs are ranked. If the caller were answered only at its deadline, it would have waited for nothing and could
no longer resend the job in time.
*/
import {type Ends} from '@gentianshift/protocol';
import {
	isPastLatestStart,
	listWaiting,
	type GroupJob,
	type GroupTask,
} from './group-job.js';
import {chooseExecutor, type ExecutorCandidate} from './place-task.js';
import {type PlacingRound} from './placing-round.js';
import {rankJobs} from './rank-jobs.js';

/**
A task is returned for placement in another group this often at most: what is known of the free capacity there is
some milliseconds old.
*/
const maxShifts = 2;

export type PlacingActions<C extends ExecutorCandidate> = {
	/** Lists waiting tasks of which nothing runs: only these may be started or given back. */
	listStartable: (job: GroupJob) => GroupTask[];
	/** Whether no executor has crashed under the task, nor may have. */
	isSound: (job: GroupJob, task: GroupTask) => boolean;
	start: (job: GroupJob, task: GroupTask, executor: C) => void;
	/** Returns tasks to their entry; without `tasks`, all that `listStartable` lists. */
	giveBack: (
		job: GroupJob,
		reason: NonNullable<Ends['reason']>,
		tasks?: GroupTask[],
	) => void;
};

export function placeWaiting<C extends ExecutorCandidate>(
	jobs: readonly GroupJob[],
	round: PlacingRound<C>,
	actions: PlacingActions<C>,
): void {
	const ranked = rankJobs(jobs, round.now);
	let aheadMs = 0;
	for (const job of ranked) {
		if (isPastLatestStart(job, round.now)) {
			actions.giveBack(job, 'hopeless');
			continue;
		}

		if (!startTasks(job, round, actions)) {
			shiftTasks(job, round, actions);
			if (isPastLatestStart(job, round.now + aheadMs)) {
				actions.giveBack(job, 'hopeless');
			}

			aheadMs += computeBusyMs(job, round);
		}
	}
}

/** Least time for which the job's waiting tasks keep all executors of the round busy. */
function computeBusyMs<C extends ExecutorCandidate>(
	job: GroupJob,
	{capacityCpu}: PlacingRound<C>,
): number {
	const work = job.taskCounts.waiting * job.estimateMs * job.demand.cpu;
	return capacityCpu > 0 ? work / capacityCpu : 0;
}

/** Starts the job's tasks; returns false if there was no free capacity for one of them. */
function startTasks<C extends ExecutorCandidate>(
	job: GroupJob,
	{now, candidates, hasCapacityFor}: PlacingRound<C>,
	{listStartable, isSound, start}: PlacingActions<C>,
): boolean {
	const {id, constraints, service, demand, estimateMs, deadlineAt} = job;
	if (!hasCapacityFor(service, demand)) {
		return false;
	}

	for (const task of listStartable(job)) {
		if (!isSound(job, task)) {
			continue;
		}

		const {avoid} = task;
		const requirements = {
			id,
			constraints,
			service,
			demand,
			estimateMs,
			deadlineAt,
			avoid,
		};
		const executor = chooseExecutor(candidates, requirements, now);
		if (!executor) {
			return false;
		}

		start(job, task, executor);
	}

	return true;
}

/**
Returns tasks that find no free capacity here while another group has some for them now. What is free elsewhere is not
known by label, so tasks with constraints stay.
*/
function shiftTasks<C extends ExecutorCandidate>(
	job: GroupJob,
	{hasNoneElsewhere, takeCapacityElsewhere}: PlacingRound<C>,
	{listStartable, giveBack}: PlacingActions<C>,
): void {
	if (job.constraints !== undefined || hasNoneElsewhere(job.demand.cpu)) {
		return;
	}

	const waiting = listWaiting(job).filter((task) => isShiftable(task));
	const shiftCount =
		waiting.length === 0
			? 0
			: takeCapacityElsewhere(job.demand.cpu, waiting.length);
	if (shiftCount > 0) {
		const startable = listStartable(job).filter((task) => isShiftable(task));
		giveBack(job, 'elsewhere', startable.slice(0, shiftCount));
	}
}

function isShiftable({shifts}: GroupTask): boolean {
	return shifts < maxShifts;
}
