/**
A caller's job at its entry, the host that accepted the job from the caller.

Times named `…At` and `…Until` are milliseconds of the entry's steady clock.
*/
import {type TaskConstraints, type TaskDemand} from '@gentianshift/protocol';
import {type CopyCheck} from './copy-check.js';
import {type Queue} from './queue-table.js';

export type JobRequest = {
	/** Chosen by the caller, who may submit the same job again at any host. */
	id: string;
	queue: Queue;
	/** Passed to the executors unchanged. */
	spec: string;
	/** Number of tasks. */
	count: number;
	demand: TaskDemand;
	/** Undefined: the tasks may run on any executor of the service. */
	constraints?: TaskConstraints;
	/** Run time of one task, as the caller declared it. */
	declaredMs: number;
	/** How much longer the caller waits, from now. */
	timeLeftMs: number;
	/** Number of earlier requests on the caller's connection; 0 for the first request. */
	requestsBefore: number;
};

/**
- `refused`: no task has run, and none will.
- `given-up`: some tasks may have run; no more will.
*/
export type JobAnswer =
	| {type: 'completed'}
	| {type: 'failed'; task: number; reason: string}
	| {type: 'refused'; reason: string; retryAfterMs: number}
	| {type: 'given-up'; reason: string; retryAfterMs: number}
	| {type: 'cancelled'};

export type EntryTask = {
	index: number;
	/** The group that the task was sent to; undefined: it is not placed at present. */
	group?: string;
	/** Fencing token of the holder that the task was first sent to in this group. */
	firstToken?: number;
	isDone: boolean;
	/** Incremented each time the entry places the task, so that reports about an earlier placement are recognized. */
	placement: number;
	/** The placement that the entry withdrew last; undefined: it withdrew none. */
	withdrawnPlacement?: number;
	/** How often a group has returned the task for placement in another group. */
	shifts: number;
	/** How often a group has returned the task as it had no room in time. */
	fullReturns: number;
	nextAttempt: number;
};

export type EntryJob = {
	request: JobRequest;
	tasks: EntryTask[];
	/** Estimated run time of one task. */
	estimateMs: number;
	arrivedAt: number;
	/** When the latency objective expires. */
	dueAt: number;
	/** A job expected to end later than this is not admitted. */
	admitUntil: number;
	/** After this time an answer is of no use to the caller. */
	usefulUntil: number;
	/** When the caller stops waiting. */
	callerDeadlineAt: number;
	/**
	A scheduler admitted the job and returned it only because another group has free capacity, or the job had to wait because no
	scheduler was reachable. The job is then no longer refused for being late.
	*/
	isAdmitted: boolean;
	/**
	By group: the number of the claim under which this entry sent tasks there, until it takes them away. A claim is the entry's
	permission for the group to run these tasks. The entry renews it by number in each `keep` message and never reuses a number.
	*/
	claims: Map<string, number>;
	/** A scheduler has started a task of the job, or may have. */
	isStarted: boolean;
	/**
	Tasks were sent again because their group changed hands, the connection to its holder broke, or the holder no longer had them.
	A report of a start may have been lost with that, so the entry must not tell the caller that nothing has run.
	*/
	isResent: boolean;
	/**
	When this entry accepted the job, milliseconds since 1970. If its request may have lain unread, the earliest time at which it
	can have arrived: a copy that another entry accepted meanwhile is the later one.
	*/
	takenAtMs: number;
	/** Longest time for which its request may have lain unread, milliseconds; 0: it was read as it arrived. */
	unreadMs: number;
	/** Progress of the check for other copies of the job; undefined: the job can't have another copy that runs. */
	copyCheck?: CopyCheck;
	/** When the first report of a started task arrived; undefined: none has. */
	firstStartReportedAt?: number;
	waiters: Set<(answer: JobAnswer) => void>;
};

/**
Estimates are off by about a quarter, so a job that seems late by less than that may still be in time. Refusing it while
executors are free would lose it for nothing.
*/
const admitFactor = 1.2;
/** An answer that takes longer than three times the objective is of no use to the caller. */
const usefulFactor = 3;

/** The time by which the job must be able to end to be placed. A job that was admitted or started is served even if it will be late. */
export function getLatestEnd({
	isAdmitted,
	isStarted,
	admitUntil,
	usefulUntil,
}: EntryJob): number {
	return isAdmitted || isStarted ? usefulUntil : admitUntil;
}

export function createEntryJob(
	request: JobRequest,
	estimateMs: number,
	{
		now,
		takenAtMs,
		unreadMs,
	}: {now: number; takenAtMs: number; unreadMs: number},
): EntryJob {
	const {queue, count, timeLeftMs} = request;
	const objectiveMs = queue.slackFactor * estimateMs + queue.allowanceMs;
	return {
		request,
		estimateMs,
		arrivedAt: now,
		takenAtMs,
		unreadMs,
		dueAt: now + objectiveMs,
		admitUntil: now + Math.min(timeLeftMs, admitFactor * objectiveMs),
		usefulUntil: now + Math.min(timeLeftMs, usefulFactor * objectiveMs),
		callerDeadlineAt: now + timeLeftMs,
		isAdmitted: false,
		claims: new Map(),
		isStarted: false,
		isResent: false,
		tasks: Array.from({length: count}, (_, index) => ({
			index,
			isDone: false,
			placement: 0,
			shifts: 0,
			fullReturns: 0,
			nextAttempt: 1,
		})),
		waiters: new Set(),
	};
}

/** The job's tasks that are placed in the group and not done. */
export function listTasksAt(job: EntryJob, group: string): EntryTask[] {
	return job.tasks.filter((task) => !task.isDone && task.group === group);
}
