/**
Places suspects, tasks under which an executor has crashed or may have: each alone on an executor, so that
another crash is blamed on no other task.

Tasks that merely shared an executor with the cause of a crash are suspects too, and are cleared when they
complete. The number of executors put at risk at a time is bounded. Under load no executor becomes idle by
itself, so the least busy one gets no new tasks until it is idle.
*/
import {type CrashVerdict} from './crash-records.js';
import {type GroupJob, type GroupTask} from './group-job.js';
import {chooseExecutor, type Candidate} from './place-task.js';
import {compareJobs} from './rank-jobs.js';
import {hasRoom} from './room.js';

/** Largest share of all executors that run suspects or are kept free for one; at least one executor. */
const suspectShare = 0.25;
/** A task whose remaining time is at most this many run times no longer waits for an idle executor. */
const urgentRuns = 1.5;

export type SuspectActions<C extends Candidate> = {
	now: number;
	judge: (task: {job: string; index: number}) => CrashVerdict;
	/** Whether one of the executor's runs is of a suspect. */
	holdsSuspect: (executor: C) => boolean;
	/** Lists waiting tasks of which nothing runs. */
	listFree: (job: GroupJob) => GroupTask[];
	start: (job: GroupJob, task: GroupTask, executor: C) => void;
};

type Suspect = {job: GroupJob; task: GroupTask};

/** Starts suspects; returns the executors that remain for other tasks. */
export function placeSuspects<C extends Candidate>(
	jobs: readonly GroupJob[],
	executors: readonly C[],
	actions: SuspectActions<C>,
): C[] {
	const left = new Set(executors.filter((one) => !actions.holdsSuspect(one)));
	const most = Math.max(1, Math.floor(executors.length * suspectShare));
	for (const suspect of listSuspects(jobs, actions)) {
		if (executors.length - left.size >= most) {
			break;
		}

		const executor = findPlace(suspect, left, actions.now);
		if (executor) {
			actions.start(suspect.job, suspect.task, executor);
		}

		const taken = executor ?? findLeastBusy(suspect.job, left, () => true);
		if (taken) {
			left.delete(taken);
		}
	}

	return [...left];
}

function listSuspects<C extends Candidate>(
	jobs: readonly GroupJob[],
	{now, judge, listFree}: SuspectActions<C>,
): Suspect[] {
	return jobs
		.toSorted((a, b) => compareJobs(a, b, now))
		.flatMap((job) =>
			listFree(job)
				.filter(({index}) => judge({job: job.id, index}) === 'suspect')
				.map((task) => ({job, task})),
		);
}

function findPlace<C extends Candidate>(
	{job, task: {avoid}}: Suspect,
	executors: ReadonlySet<C>,
	now: number,
): C | undefined {
	const {service, demand, estimateMs, endsAt} = job;
	const idle = [...executors].filter(({runCount}) => runCount === 0);
	const alone = chooseExecutor(
		idle,
		{service, demand, estimateMs, endsAt, avoid},
		now,
	);
	const isUrgent = now + urgentRuns * estimateMs >= endsAt;
	return (
		alone ?? (isUrgent ? findLeastBusy(job, executors, isRoomy) : undefined)
	);

	function isRoomy({free}: C): boolean {
		return hasRoom(free, demand);
	}
}

function findLeastBusy<C extends Candidate>(
	{service, demand}: GroupJob,
	executors: ReadonlySet<C>,
	isFit: (executor: C) => boolean,
): C | undefined {
	return [...executors]
		.filter(
			(one) =>
				one.service === service && hasRoom(one.capacity, demand) && isFit(one),
		)
		.toSorted((a, b) => a.runCount - b.runCount || b.free.cpu - a.free.cpu)[0];
}
