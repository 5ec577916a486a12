/**
What a scheduler tells entries of their tasks. Ends of one turn go in one message a job; ends that
were told are remembered for a while, and told again when the entry's part comes again.
*/
import {type Ends, type Part, type TaskEnd} from '@gentianshift/protocol';
import {type GroupJob, type GroupTask} from './group-job.js';
import {createToldEnds} from './told-ends.js';

export type EndsOutbox = {
	/** To be told with the others of this turn. */
	add: (job: GroupJob, end: TaskEnd, now: number) => void;
	/** Tells at once that tasks are not started here. */
	giveBack: (
		job: GroupJob,
		tasks: readonly GroupTask[],
		reason: NonNullable<Ends['reason']>,
		now: number,
	) => void;
	/** The first task of the job is being started: from now on a refusal would not be true. */
	tellStarted: (job: GroupJob) => void;
	/** The ends of a part's tasks that were told before, and may not have arrived. */
	tellAgain: (job: GroupJob, part: Part) => void;
	/** This placement of the task has ended, and its entry was told. */
	isTold: (job: GroupJob, task: GroupTask) => boolean;
	/** Tells what was added in this turn. */
	flush: () => void;
	forgetOld: (now: number) => void;
};

/** `token`: of the holder that tells. */
export function createEndsOutbox(token: number): EndsOutbox {
	const told = createToldEnds();
	const waiting = new Map<GroupJob, TaskEnd[]>();

	function enter(job: GroupJob, end: TaskEnd): void {
		const ends = waiting.get(job) ?? [];
		ends.push(end);
		waiting.set(job, ends);
	}

	return {
		add(job, end, now) {
			told.remember(job, end, now);
			enter(job, end);
		},
		giveBack(job, tasks, reason, now) {
			const ends = tasks.map(({index, nextAttempt, placement}): TaskEnd => ({
				index,
				outcome: 'returned',
				attempt: nextAttempt - 1,
				placement,
			}));
			for (const end of ends) {
				told.remember(job, end, now);
			}

			if (ends.length > 0) {
				send(job, {token, ends, reason});
			}
		},
		tellStarted(job) {
			send(job, {token, ends: []});
		},
		tellAgain(job, {tasks}) {
			for (const [index, , placement] of tasks) {
				const end = told.find(job, index, placement);
				if (end) {
					enter(job, end);
				}
			}
		},
		isTold: (job, {index, placement}) =>
			told.find(job, index, placement) !== undefined,
		flush() {
			for (const [job, ends] of waiting) {
				if (!job.isDropped || job.isOrphaned) {
					send(job, {token, ends});
				}
			}

			waiting.clear();
		},
		forgetOld: told.forgetOld,
	};
}

function send(
	{id, claim, entry, isStarted}: GroupJob,
	ends: Pick<Ends, 'token' | 'ends' | 'reason'>,
): void {
	entry.send({t: 'ends', job: id, claim, isStarted, ...ends});
}
