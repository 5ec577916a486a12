/**
Places suspects, tasks under which an executor has crashed or may have: each alone on an executor, so that
another crash is blamed on no other task.

Tasks that merely shared an executor with the cause of a crash are suspects too, and are cleared when they
complete. The number of executors put at risk at a time is bounded. Under load no executor becomes idle by
itself, so the least busy one gets no new tasks until it is idle.
*/
import {type CrashVerdict} from './crash-records.js';
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
	/** Lists waiting tasks of which nothing runs. */
	listStartable: (job: GroupJob) => GroupTask[];
	start: (job: GroupJob, task: GroupTask, executor: C) => void;
};

type Suspect = {job: GroupJob; task: GroupTask};

/** Starts suspects; returns the executors that remain for other tasks. */
export function placeSuspects<C extends ExecutorCandidate>(
	jobs: readonly GroupJob[],
	executors: readonly C[],
	actions: SuspectActions<C>,
): C[] {
	const available = new Set(
		executors.filter((executor) => !actions.hasSuspectRun(executor)),
	);
	const maxReserved = Math.max(
		1,
		Math.floor(executors.length * maxSuspectShare),
	);
	for (const suspect of listSuspects(jobs, actions)) {
		if (executors.length - available.size >= maxReserved) {
			break;
		}

		const executor = findExecutor(suspect, available, actions.now);
		if (executor) {
			actions.start(suspect.job, suspect.task, executor);
		}

		const reserved =
			executor ?? findLeastBusy(suspect.job, available, () => true);
		if (reserved) {
			available.delete(reserved);
		}
	}

	return [...available];
}

function listSuspects<C extends ExecutorCandidate>(
	jobs: readonly GroupJob[],
	{now, judge, listStartable}: SuspectActions<C>,
): Suspect[] {
	return jobs
		.toSorted((a, b) => compareJobs(a, b, now))
		.flatMap((job) =>
			listStartable(job)
				.filter(({index}) => judge({job: job.id, index}) === 'suspect')
				.map((task) => ({job, task})),
		);
}

function findExecutor<C extends ExecutorCandidate>(
	{job, task: {avoid}}: Suspect,
	executors: ReadonlySet<C>,
	now: number,
): C | undefined {
	const {id, constraints, service, demand, estimateMs, deadlineAt} = job;
	const idle = [...executors].filter(({runCount}) => runCount === 0);
	const idleExecutor = chooseExecutor(
		idle,
		{id, constraints, service, demand, estimateMs, deadlineAt, avoid},
		now,
	);
	const isUrgent = now + urgentRunTimes * estimateMs >= deadlineAt;
	return (
		idleExecutor ??
		(isUrgent ? findLeastBusy(job, executors, hasCapacityForTask) : undefined)
	);

	function hasCapacityForTask({free}: C): boolean {
		return coversDemand(free, demand);
	}
}

function findLeastBusy<C extends ExecutorCandidate>(
	job: GroupJob,
	executors: ReadonlySet<C>,
	isSuitable: (executor: C) => boolean,
): C | undefined {
	const {service, demand} = job;
	return [...executors]
		.filter(
			(executor) =>
				executor.service === service &&
				coversDemand(executor.capacity, demand) &&
				isAllowedOn(executor, job) &&
				isSuitable(executor),
		)
		.toSorted((a, b) => a.runCount - b.runCount || b.free.cpu - a.free.cpu)[0];
}
