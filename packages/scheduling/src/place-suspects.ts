/**
Places suspects, tasks under which an executor has crashed or may have: each alone on an executor, so that
another crash is blamed on no other task. Tasks whose losses were excused need not be alone.

Tasks that merely shared an executor with the cause of a crash are suspects too, and are cleared when they
complete. The number of executors put at risk at a time is bounded. Executors that have restarted lately may do so again, and the
suspect would be blamed for it, so others are preferred. Under load no executor becomes idle by
itself, so the least busy one gets no new tasks until it is idle.
*/
import {type CrashVerdict} from './crash-records.js';
import {steadyUptimeMs} from './crash-waves.js';
import {type GroupJob, type GroupTask} from './group-job.js';
import {chooseExecutor, type ExecutorCandidate} from './place-task.js';
import {compareJobs} from './rank-jobs.js';
import {coversDemand} from './free-capacity.js';
import {isAllowedOn} from './task-constraints.js';

/** Largest share of all executors that run suspects or are kept free for one; at least one executor. */
const maxSuspectShare = 0.25;
/** A task whose remaining time is at most this many run times no longer waits for an idle executor. */
const urgentRunTimes = 1.5;

export type SuspectActions<C extends ExecutorCandidate> = {
	now: number;
	judge: (task: {job: string; index: number}) => CrashVerdict;
	/** Whether one of the executor's runs is of a suspect. */
	hasSuspectRun: (executor: C) => boolean;
	/** Since when this process of the executor has been known to be up. */
	getUpSince: (executor: C) => number;
	/** Lists waiting tasks of which nothing runs. */
	listStartable: (job: GroupJob) => GroupTask[];
	start: (job: GroupJob, task: GroupTask, executor: C) => void;
};

type Suspect = {job: GroupJob; task: GroupTask};

/** Starts suspects and tasks whose losses were excused; returns the executors that remain for other tasks. */
export function placeSuspects<C extends ExecutorCandidate>(
	jobs: readonly GroupJob[],
	executors: readonly C[],
	actions: SuspectActions<C>,
): C[] {
	const available = new Set(
		executors.filter((executor) => !actions.hasSuspectRun(executor)),
	);
	for (const {job, task} of listByVerdict(jobs, 'excused', actions)) {
		const suitable = pickSteady(listSuitable(job, available), actions);
		const executor = chooseForTask({job, task}, suitable, actions.now);
		if (executor) {
			actions.start(job, task, executor);
		}
	}

	const maxReserved = Math.max(
		1,
		Math.floor(executors.length * maxSuspectShare),
	);
	for (const suspect of listByVerdict(jobs, 'suspect', actions)) {
		if (executors.length - available.size >= maxReserved) {
			break;
		}

		const suitable = pickSteady(listSuitable(suspect.job, available), actions);
		const executor = findExecutor(suspect, suitable, actions.now);
		if (executor) {
			actions.start(suspect.job, suspect.task, executor);
		}

		const reserved = executor ?? findLeastBusy(suitable);
		if (reserved) {
			available.delete(reserved);
		}
	}

	return [...available];
}

/** Returns the executors that have been up for a while, or all if none has: a new holder has just met all of them. */
function pickSteady<C extends ExecutorCandidate>(
	executors: readonly C[],
	{now, getUpSince}: SuspectActions<C>,
): readonly C[] {
	const steady = executors.filter(
		(executor) => now - getUpSince(executor) >= steadyUptimeMs,
	);
	return steady.length > 0 ? steady : executors;
}

/** Lists the startable tasks with this verdict, those of the most urgent job first. */
function listByVerdict<C extends ExecutorCandidate>(
	jobs: readonly GroupJob[],
	verdict: CrashVerdict,
	{now, judge, listStartable}: SuspectActions<C>,
): Suspect[] {
	return jobs
		.toSorted((a, b) => compareJobs(a, b, now))
		.flatMap((job) =>
			listStartable(job)
				.filter(({index}) => judge({job: job.id, index}) === verdict)
				.map((task) => ({job, task})),
		);
}

function findExecutor<C extends ExecutorCandidate>(
	suspect: Suspect,
	executors: readonly C[],
	now: number,
): C | undefined {
	const {demand, estimateMs, deadlineAt} = suspect.job;
	const idle = executors.filter(({runCount}) => runCount === 0);
	const isUrgent = now + urgentRunTimes * estimateMs >= deadlineAt;
	return (
		chooseForTask(suspect, idle, now) ??
		(isUrgent
			? findLeastBusy(executors.filter(({free}) => coversDemand(free, demand)))
			: undefined)
	);
}

function chooseForTask<C extends ExecutorCandidate>(
	{job, task: {avoid}}: Suspect,
	executors: readonly C[],
	now: number,
): C | undefined {
	const {id, constraints, service, demand, estimateMs, deadlineAt} = job;
	return chooseExecutor(
		executors,
		{id, constraints, service, demand, estimateMs, deadlineAt, avoid},
		now,
	);
}

function listSuitable<C extends ExecutorCandidate>(
	job: GroupJob,
	executors: ReadonlySet<C>,
): C[] {
	return [...executors].filter(
		(executor) =>
			executor.service === job.service &&
			coversDemand(executor.capacity, job.demand) &&
			isAllowedOn(executor, job),
	);
}

function findLeastBusy<C extends ExecutorCandidate>(
	executors: readonly C[],
): C | undefined {
	return executors.toSorted(
		(a, b) => a.runCount - b.runCount || b.free.cpu - a.free.cpu,
	)[0];
}
