/**
State of one job at a group's scheduler: the tasks that an entry has handed over, and their progress.
*/
import {
	type CancelJob,
	type ClaimsEnded,
	type Ends,
	type Part,
	type Replaced,
	type TaskConstraints,
	type TaskDemand,
} from '@gentianshift/protocol';
import {type RankedJob} from './rank-jobs.js';
import {entrySilenceMs} from './timing.js';

/**
The sender of a job. An entry is a host that has accepted a job from its caller and hands its tasks to
schedulers. A restarted host is another entry.
*/
export type Entry = {
	/** `<host key>.<incarnation>`. */
	key: string;
	send: (message: Ends | Replaced | ClaimsEnded | CancelJob) => void;
};

export type TaskState = 'waiting' | 'started' | 'over';

export type GroupTask = {
	index: number;
	/** The entry's number for this placement of the task; higher for each later one. */
	placement: number;
	/** Attempt number of the next start. */
	nextAttempt: number;
	/** Changed only by `setTaskState`, which counts the tasks of the job by state. */
	readonly state: TaskState;
	/** The executor of the current run. */
	executor?: string;
	failures: number;
	/** How often this or another group has returned the task to its entry because a different group had free capacity. */
	shifts: number;
	/** How often a run of the task was stopped as overdue. */
	moves: number;
	/** Executors on which an earlier run of the task failed, was lost, was stopped or never began. */
	avoid: Set<string>;
	startedAt: number;
};

export type GroupJob = RankedJob & {
	id: string;
	/** When the entry accepted the job; distinguishes copies of the job that it accepted one after another. */
	takenAtMs: number;
	/**
	Number of the claim under which the entry handed the tasks over. A claim is a lease on these tasks: it ends
	unless the entry renews it.
	*/
	claim: number;
	/**
	Send time of the latest state message of this scheduler that the entry answered for this claim, in this
	host's boot time.
	*/
	renewedAt: number;
	entry: Entry;
	queue: string;
	service: string;
	spec: string;
	maxAttempts: number;
	demand: TaskDemand;
	constraints?: TaskConstraints;
	/** When the caller stops waiting, on this host's clock. */
	deadlineAt: number;
	tasks: Map<number, GroupTask>;
	/** How many of `tasks` wait, and how many have been started and are not over. */
	taskCounts: {waiting: number; started: number};
	/** Run times of the tasks that have ended here: their sum and number. */
	endedRunTimes: {sumMs: number; count: number};
	/** A task of the job has been started here. */
	isStarted: boolean;
	/** The tasks are no longer wanted here; the job is kept until its runs have ended. */
	isDropped: boolean;
	/** The job was dropped because the entry no longer renewed its claim. */
	isOrphaned?: boolean;
	/**
	When the entry handed the job over from an earlier holder of the group, under which its tasks may still run;
	undefined if it did not.
	*/
	movedAt?: number;
	/**
	The earlier holder may have gone on after this one had begun, on executors that this one does not list: only time proves
	that its runs are over.
	*/
	isMovedLate?: boolean;
};

/**
Share of a task's estimated run time that must be left at its start. Less than the whole, as estimates are off
by about 40%.
*/
const minTimeLeftShare = 0.6;

/** Whether a task that is started now would end after its caller has stopped waiting. */
export function isPastLatestStart(
	{estimateMs, deadlineAt}: Pick<GroupJob, 'estimateMs' | 'deadlineAt'>,
	now: number,
): boolean {
	return now + estimateMs * minTimeLeftShare >= deadlineAt;
}

/** Creates a job without tasks from a part; durations in the part become times on this host's clock. */
export function createGroupJob(
	part: Part,
	entry: Entry,
	now: number,
): GroupJob {
	return {
		id: part.job,
		takenAtMs: part.takenAtMs,
		claim: part.claim,
		renewedAt: part.stateAt,
		entry,
		queue: part.queue,
		service: part.service,
		priority: part.priority,
		spec: part.spec,
		maxAttempts: part.maxAttempts,
		demand: part.demand,
		constraints: part.constraints,
		estimateMs: part.estimateMs,
		remainingWork:
			part.remaining * part.estimateMs * Math.max(1, part.demand.cpu),
		dueAt: now + part.dueInMs,
		deadlineAt: now + part.timeLeftMs,
		tasks: new Map(),
		taskCounts: {waiting: 0, started: 0},
		endedRunTimes: {sumMs: 0, count: 0},
		isStarted: false,
		isDropped: false,
		movedAt: part.isMoved ? now : undefined,
	};
}

/** Whether the job's claim has ended, so that its entry may have placed the tasks elsewhere. */
export function hasClaimEnded(
	{renewedAt}: Pick<GroupJob, 'renewedAt'>,
	bootTime: number,
): boolean {
	return bootTime - renewedAt > entrySilenceMs;
}

/**
Adds the part's tasks and returns those that were added. A known task is replaced only if it is over and the
part holds a later placement of it.
*/
export function addTasks(job: GroupJob, part: Part): GroupTask[] {
	const added: GroupTask[] = [];
	for (const task of createPartTasks(part)) {
		const known = job.tasks.get(task.index);
		if (
			!known ||
			(known.state === 'over' && known.placement < task.placement)
		) {
			job.tasks.set(task.index, task);
			job.taskCounts.waiting += 1;
			added.push(task);
		}
	}

	return added;
}

/** Yields the tasks of a part in their initial state: waiting, none started here. */
export function* createPartTasks({
	tasks,
	shifts,
}: Pick<Part, 'tasks' | 'shifts'>): Generator<GroupTask, void> {
	for (const [index, nextAttempt, placement] of tasks) {
		yield {
			index,
			placement,
			nextAttempt,
			state: 'waiting',
			failures: 0,
			moves: 0,
			shifts,
			avoid: new Set(),
			startedAt: 0,
		};
	}
}

/** Changes the state of a task of the job. */
export function setTaskState(
	{taskCounts}: GroupJob,
	task: GroupTask,
	state: TaskState,
): void {
	taskCounts.waiting += Number(state === 'waiting');
	taskCounts.waiting -= Number(task.state === 'waiting');
	taskCounts.started += Number(state === 'started');
	taskCounts.started -= Number(task.state === 'started');
	const changeable: {state: TaskState} = task;
	changeable.state = state;
}

export function hasWaiting({taskCounts}: GroupJob): boolean {
	return taskCounts.waiting > 0;
}

export function listWaiting(job: GroupJob): GroupTask[] {
	return hasWaiting(job)
		? [...job.tasks.values()].filter(({state}) => state === 'waiting')
		: [];
}
