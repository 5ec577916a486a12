/**
One round over the jobs that wait at a scheduler: in their order, each task is started where there is room, tasks that
find none go back while another group has room for them, and jobs that can no longer end in time go back at once.

For saturation: what goes before a job may take longer than its caller has use for an answer. That is known when the job is
ranked; told only when its time is over, the caller has waited for nothing, and could not come again while it was of use.
*/
import {type Ends} from '@gentianshift/protocol';
import {
	countWaiting,
	isHopeless,
	listWaiting,
	type GroupJob,
	type GroupTask,
} from './group-job.js';
import {chooseExecutor, type Candidate} from './place-task.js';
import {type PlacingRound} from './placing-round.js';
import {compareJobs} from './rank-jobs.js';

/** A task is given back for room elsewhere this often at most: what is told of that room is some milliseconds old. */
const maxShifts = 2;

export type PlacingActions<C extends Candidate> = {
	/** Waiting tasks of which nothing runs: only these may be started or given back. */
	listFree: (job: GroupJob) => GroupTask[];
	/** No executor has crashed under the task. */
	isSound: (job: GroupJob, task: GroupTask) => boolean;
	start: (job: GroupJob, task: GroupTask, executor: C) => void;
	/** Without tasks named, all that are free. */
	giveBack: (
		job: GroupJob,
		reason: NonNullable<Ends['reason']>,
		tasks?: GroupTask[],
	) => void;
};

export function placeWaiting<C extends Candidate>(
	jobs: readonly GroupJob[],
	round: PlacingRound<C>,
	actions: PlacingActions<C>,
): void {
	const ranked = jobs.toSorted((a, b) => compareJobs(a, b, round.now));
	let aheadMs = 0;
	for (const job of ranked) {
		if (isHopeless(job, round.now)) {
			actions.giveBack(job, 'hopeless');
			continue;
		}

		if (!startTasks(job, round, actions)) {
			shiftTasks(job, round, actions);
			if (isHopeless(job, round.now + aheadMs)) {
				actions.giveBack(job, 'hopeless');
			}

			aheadMs += measureWaitingMs(job, round);
		}
	}
}

/** How long all executors of the round are busy with the job's waiting tasks at least. */
function measureWaitingMs<C extends Candidate>(
	job: GroupJob,
	{capacityCpu}: PlacingRound<C>,
): number {
	const work = countWaiting(job) * job.estimateMs * job.demand.cpu;
	return capacityCpu > 0 ? work / capacityCpu : 0;
}

/** False: there was no room for one of its tasks. */
function startTasks<C extends Candidate>(
	job: GroupJob,
	{now, candidates, hasRoomFor}: PlacingRound<C>,
	{listFree, isSound, start}: PlacingActions<C>,
): boolean {
	const {service, demand, estimateMs, endsAt} = job;
	if (!hasRoomFor(service, demand)) {
		return false;
	}

	for (const task of listFree(job)) {
		if (!isSound(job, task)) {
			continue;
		}

		const {avoid} = task;
		const wanted = {service, demand, estimateMs, endsAt, avoid};
		const executor = chooseExecutor(candidates, wanted, now);
		if (!executor) {
			return false;
		}

		start(job, task, executor);
	}

	return true;
}

/** Tasks that find no room here go back while another group has room for them now. */
function shiftTasks<C extends Candidate>(
	job: GroupJob,
	{takeElsewhere}: PlacingRound<C>,
	{listFree, giveBack}: PlacingActions<C>,
): void {
	const waiting = listWaiting(job).filter((task) => isShiftable(task));
	const taken =
		waiting.length === 0 ? 0 : takeElsewhere(job.demand.cpu, waiting.length);
	if (taken > 0) {
		const free = listFree(job).filter((task) => isShiftable(task));
		giveBack(job, 'elsewhere', free.slice(0, taken));
	}
}

function isShiftable({shifts}: GroupTask): boolean {
	return shifts < maxShifts;
}
