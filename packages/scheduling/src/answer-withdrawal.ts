/**
A scheduler's answer to an entry that withdraws tasks of a job.

The entry tells its caller that nothing has run and nothing will if the tasks are returned, so they are returned only if that is certain.
Without an answer, the entry assumes that they may run.
*/
import {type Drop} from '@gentianshift/protocol';
import {type EndsOutbox} from './ends-outbox.js';
import {createPartTasks, type Entry, type GroupJob} from './group-job.js';

export type AnswerContext = {
	token: number;
	outbox: Pick<EndsOutbox, 'sendStarted' | 'sendReturned' | 'hasSentEnd'>;
	now: number;
	findJob: (id: string) => GroupJob | undefined;
	/** Whether another entry has a later copy of the job. */
	isReplaced: (id: string) => boolean;
	/** Whether it is known which of the job's tasks run under an earlier holder. */
	isRunStateKnown: (job: GroupJob) => boolean;
	hasRun: (task: {job: string; index: number}) => boolean;
	/** Drops the job, so that none of its tasks is started. */
	drop: (job: GroupJob) => void;
};

/**
Returns the tasks that the entry withdraws, or reports that one of them was started. The returned ends are remembered, so that a part
that arrives after the withdrawal starts none of them.
*/
export function answerWithdrawal(
	entry: Entry,
	{job: id, takenAtMs, withdrawal}: Drop,
	context: AnswerContext,
): void {
	if (withdrawal?.token !== context.token || context.isReplaced(id)) {
		return;
	}

	const {claim, tasks} = withdrawal;
	const job = context.findJob(id);
	const isSamePart =
		job?.entry.key === entry.key &&
		job.takenAtMs === takenAtMs &&
		job.claim === claim;
	if (job && !isSamePart) {
		return;
	}

	const ended = {id, claim, entry, isStarted: job?.isStarted ?? false};
	if (ended.isStarted) {
		context.outbox.sendStarted(ended);
		return;
	}

	// A task whose end was sent before keeps that end: the entry receives it before this answer.
	const returned = [...createPartTasks({tasks, shifts: 0})].filter(
		(task) => !context.outbox.hasSentEnd({id, entry}, task),
	);
	const mayRun =
		(job && (job.isDropped || !context.isRunStateKnown(job))) ?? false;
	if (mayRun || returned.some(({index}) => context.hasRun({job: id, index}))) {
		return;
	}

	context.outbox.sendReturned(ended, returned, 'hopeless', context.now);
	if (job) {
		context.drop(job);
	}
}
