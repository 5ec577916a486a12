/**
Builds the `part` message, by which an entry sends tasks of a job to a scheduler.
*/
import {
	type GroupState,
	type Part,
	type TaskCrashes,
} from '@gentianshift/protocol';
import {getLatestEnd, type EntryJob, type EntryTask} from './entry-job.js';

export type PartContext = {
	/** Tasks may run under an earlier holder of the group. */
	isMoved: boolean;
	claim: number;
	/** The newest state of the group that this entry has received. */
	state: GroupState;
	now: number;
	/** Executors that crashed under the job's tasks; undefined: none is known. */
	crashes: TaskCrashes[] | undefined;
};

export function makePart(
	job: EntryJob,
	tasks: readonly EntryTask[],
	{isMoved, claim, state, now, crashes}: PartContext,
): Part {
	const {queue, id, spec, demand, constraints} = job.request;
	return {
		t: 'part',
		group: state.group,
		job: id,
		takenAtMs: job.takenAtMs,
		token: state.token,
		stateAt: state.at,
		claim,
		queue: queue.name,
		service: queue.service,
		priority: queue.priority,
		maxAttempts: queue.maxAttempts,
		spec,
		demand,
		constraints,
		estimateMs: job.estimateMs,
		dueInMs: job.dueAt - now,
		admitInMs: getLatestEnd(job) - now,
		timeLeftMs: (job.isStarted ? job.callerDeadlineAt : job.usefulUntil) - now,
		remaining: job.tasks.filter(({isDone}) => !isDone).length,
		tasks: tasks.map(({index, nextAttempt, placement}) => [
			index,
			nextAttempt,
			placement,
		]),
		shifts: Math.max(...tasks.map(({shifts}) => shifts)),
		isMoved,
		...(isMoved && {
			firstToken: Math.min(...tasks.map(({firstToken = 0}) => firstToken)),
		}),
		crashes,
	};
}
