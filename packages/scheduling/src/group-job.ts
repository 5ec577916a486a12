/**
A job's tasks at one scheduler: what an entry has handed over, and how far it is.
*/
import {
	type ClaimsEnded,
	type Ends,
	type Part,
	type Replaced,
	type TaskDemand,
} from '@gentianshift/protocol';
import {type RankedJob} from './rank-jobs.js';
import {entrySilenceMs} from './timing.js';

/** Who handed a job over: one incarnation of a host, and how to answer it. */
export type Entry = {
	/** `<host key>.<incarnation>`. */
	key: string;
	send: (message: Ends | Replaced | ClaimsEnded) => void;
};

export type GroupTask = {
	index: number;
	/** The entry's number of this placement. */
	placement: number;
	/** The number that the next start carries. */
	nextAttempt: number;
	state: 'waiting' | 'started' | 'over';
	/** The executor of its run. */
	executor?: string;
	failures: number;
	/** Times that it was given back, here or elsewhere, for room in another group. */
	shifts: number;
	/** Times that a run of it was stopped as overdue. */
	moves: number;
	/** Executors where a run of it came to nothing. */
	avoid: Set<string>;
	startedAt: number;
};

export type GroupJob = RankedJob & {
	id: string;
	/** Which taking of the job by its entry this is. */
	takenAtMs: number;
	/** Which claim of the entry its tasks are here under. */
	claim: number;
	/** When this scheduler told the state that the entry has last answered for the claim; this host's boot time. */
	renewedAt: number;
	entry: Entry;
	queue: string;
	service: string;
	spec: string;
	maxAttempts: number;
	demand: TaskDemand;
	/** When the caller no longer waits; this host's clock. */
	endsAt: number;
	tasks: Map<number, GroupTask>;
	/** Run times of its tasks that have ended here: their sum and number. */
	ended: {sumMs: number; count: number};
	/** A task of it has been started here. */
	isStarted: boolean;
	/** The entry wants nothing more of it: it is kept until its runs have ended. */
	isDropped: boolean;
	/** Dropped because the entry no longer renewed its claim. */
	isOrphaned?: boolean;
	/** When it came from an earlier holder of the group, under which tasks may run; undefined: it did not. */
	movedAt?: number;
};

/** Of a task's estimated run time, the share that has to be left for a start: estimates are off by about 40%. */
const hopelessShare = 0.6;

/** Whether a task started now would not end while its caller has use for it. */
export function isHopeless(
	{estimateMs, endsAt}: Pick<GroupJob, 'estimateMs' | 'endsAt'>,
	now: number,
): boolean {
	return now + estimateMs * hopelessShare >= endsAt;
}

/** What the entry handed over, on this host's clock. */
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
		estimateMs: part.estimateMs,
		work: part.remaining * part.estimateMs * Math.max(1, part.demand.cpu),
		dueAt: now + part.dueInMs,
		endsAt: now + part.timeLeftMs,
		tasks: new Map(),
		ended: {sumMs: 0, count: 0},
		isStarted: false,
		isDropped: false,
		movedAt: part.isMoved ? now : undefined,
	};
}

/** Whether its entry may have placed its tasks elsewhere. */
export function isLapsed(
	{renewedAt}: Pick<GroupJob, 'renewedAt'>,
	bootTime: number,
): boolean {
	return bootTime - renewedAt > entrySilenceMs;
}

/** Adds the tasks of a part that are new here; those that are known by this placement stay as they are. */
export function addTasks(job: GroupJob, part: Part): GroupTask[] {
	const added: GroupTask[] = [];
	for (const task of createPartTasks(part)) {
		const known = job.tasks.get(task.index);
		if (
			!known ||
			(known.state === 'over' && known.placement < task.placement)
		) {
			job.tasks.set(task.index, task);
			added.push(task);
		}
	}

	return added;
}

/** The tasks of a part, as they are when nothing of them has been started here. */
export function* createPartTasks({
	tasks,
	shifts,
}: Part): Generator<GroupTask, void> {
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

export function hasWaiting({tasks}: GroupJob): boolean {
	for (const {state} of tasks.values()) {
		if (state === 'waiting') {
			return true;
		}
	}

	return false;
}

export function countWaiting({tasks}: GroupJob): number {
	let count = 0;
	for (const {state} of tasks.values()) {
		count += Number(state === 'waiting');
	}

	return count;
}

export function listWaiting(job: GroupJob): GroupTask[] {
	return [...job.tasks.values()].filter(({state}) => state === 'waiting');
}
