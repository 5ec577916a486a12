/**
A caller's job at the host that took it, the entry.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {type CopyCheck} from './copy-check.js';
import {type Queue} from './queue-table.js';

export type JobRequest = {
	/** Chosen by the caller; the same job may come again at any host. */
	id: string;
	queue: Queue;
	/** Handed to the executors as it is. */
	spec: string;
	/** Tasks. */
	count: number;
	demand: TaskDemand;
	/** Run time of a task by the caller's word. */
	declaredMs: number;
	/** How long the caller waits from now. */
	timeLeftMs: number;
	/** Requests that came before this one on the caller's connection: 0 for the first one. */
	requestsBefore: number;
};

/**
- `refused`: no task has run, nor will.
- `given-up`: some may have run; nothing more will.
*/
export type JobAnswer =
	| {type: 'completed'}
	| {type: 'failed'; task: number; reason: string}
	| {type: 'refused'; reason: string; retryAfterMs: number}
	| {type: 'given-up'; reason: string; retryAfterMs: number}
	| {type: 'cancelled'};

export type EntryTask = {
	index: number;
	/** The group it was handed to; undefined: nowhere now. */
	group?: string;
	/** The token of the holder that it was first handed to in this group. */
	token?: number;
	isDone: boolean;
	/** Rises each time that the task is placed. */
	placement: number;
	/** Times that a group gave it back for room in another. */
	shifts: number;
	nextAttempt: number;
};

export type EntryJob = {
	request: JobRequest;
	tasks: EntryTask[];
	estimateMs: number;
	arrivedAt: number;
	/** When the latency objective passes. */
	dueAt: number;
	/** A job that would end later than this is not let in. */
	admitUntil: number;
	/** Ending later is of no use to the caller. */
	uselessAt: number;
	/** When the caller no longer waits. */
	endsAt: number;
	/** A scheduler let it in and gave it back for room elsewhere: it is not judged anew as late. */
	isLetIn: boolean;
	/** By group: the claim under which it was handed there, until this entry takes its tasks away. */
	claims: Map<string, number>;
	/** A scheduler has started a task of it, or may have. */
	isStarted: boolean;
	/**
	A scheduler that had tasks of it was lost, or the connection to it: what it told of starts may be lost as well, so that
	"nothing has run" would not be true any more.
	*/
	isHandedOver: boolean;
	/** When this entry took it, milliseconds since 1970. */
	takenAtMs: number;
	/** Undefined: the job can't have another copy that runs. */
	copyCheck?: CopyCheck;
	/** When a scheduler first told of a start; undefined: none did. */
	startToldAt?: number;
	waiters: Set<(answer: JobAnswer) => void>;
};

/**
Estimates are off by a quarter: a job that seems late by less than that may be in time, and one that is turned away while
executors are free is lost for nothing.
*/
const admitFactor = 1.2;
/** After three times its objective an answer is of no use to its caller. */
const uselessFactor = 3;

/** When the job has to end by to be placed: one that was let in is served, late if need be. */
export function getLimit({
	isLetIn,
	isStarted,
	admitUntil,
	uselessAt,
}: EntryJob): number {
	return isLetIn || isStarted ? uselessAt : admitUntil;
}

export function createEntryJob(
	request: JobRequest,
	estimateMs: number,
	{now, takenAtMs}: {now: number; takenAtMs: number},
): EntryJob {
	const {queue, count, timeLeftMs} = request;
	const objectiveMs = queue.slackFactor * estimateMs + queue.allowanceMs;
	return {
		request,
		estimateMs,
		arrivedAt: now,
		takenAtMs,
		dueAt: now + objectiveMs,
		admitUntil: now + Math.min(timeLeftMs, admitFactor * objectiveMs),
		uselessAt: now + Math.min(timeLeftMs, uselessFactor * objectiveMs),
		endsAt: now + timeLeftMs,
		isLetIn: false,
		claims: new Map(),
		isStarted: false,
		isHandedOver: false,
		tasks: Array.from({length: count}, (_, index) => ({
			index,
			isDone: false,
			placement: 0,
			shifts: 0,
			nextAttempt: 1,
		})),
		waiters: new Set(),
	};
}

/** The tasks that a group has and that have not ended. */
export function listTasksAt(job: EntryJob, group: string): EntryTask[] {
	return job.tasks.filter((task) => !task.isDone && task.group === group);
}
