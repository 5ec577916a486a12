/**
The `ends` messages that a scheduler sends to entries. An end says how one placement of a task ended: it is
done, it has failed, or it is returned (it neither runs nor will run here). Ends that are added in one turn of the
event loop go out in one message per job. Ends are kept for a while after sending, and sent again when the entry sends
the same part again.
*/
import {type Ends, type Part, type TaskEnd} from '@gentianshift/protocol';
import {type GroupJob, type GroupTask} from './group-job.js';
import {createSentEnds} from './sent-ends.js';

/** What messages say of a job. */
export type EndedJob = Pick<GroupJob, 'id' | 'claim' | 'entry' | 'isStarted'>;

export type EndsOutbox = {
	/** Queues an end for the next `flush`. */
	add: (job: GroupJob, end: TaskEnd, now: number) => void;
	/** Sends at once that these tasks are returned to the entry, as they are not started here. */
	sendReturned: (
		job: EndedJob,
		tasks: readonly GroupTask[],
		reason: NonNullable<Ends['reason']>,
		now: number,
	) => void;
	/**
	Sends at once that the first task of the job is being started: the entry may no longer refuse the job as
	unstarted.
	*/
	sendStarted: (job: EndedJob) => void;
	/** Queues the ends that were sent before for tasks of this part: they may not have arrived. */
	addSentEnds: (job: GroupJob, part: Part) => void;
	/** The end of this placement of the task was sent to its entry. */
	hasSentEnd: (
		job: Pick<GroupJob, 'id' | 'entry'>,
		task: Pick<GroupTask, 'index' | 'placement'>,
	) => boolean;
	/** Sends the queued ends. */
	flush: () => void;
	forgetOld: (now: number) => void;
};

/** `token`: the fencing token of the group's holder, which sends the ends. */
export function createEndsOutbox({
	group,
	token,
}: {
	group: string;
	token: number;
}): EndsOutbox {
	const sentEnds = createSentEnds();
	const queuedEnds = new Map<GroupJob, TaskEnd[]>();

	function pushEnd(job: GroupJob, end: TaskEnd): void {
		const ends = queuedEnds.get(job) ?? [];
		ends.push(end);
		queuedEnds.set(job, ends);
	}

	return {
		add(job, end, now) {
			sentEnds.remember(job, end, now);
			pushEnd(job, end);
		},
		sendReturned(job, tasks, reason, now) {
			const ends = tasks.map(({index, nextAttempt, placement}): TaskEnd => ({
				index,
				outcome: 'returned',
				attempt: nextAttempt - 1,
				placement,
			}));
			for (const end of ends) {
				sentEnds.remember(job, end, now);
			}

			if (ends.length > 0) {
				send(job, {group, token, ends, reason});
			}
		},
		sendStarted(job) {
			send(job, {group, token, ends: []});
		},
		addSentEnds(job, {tasks}) {
			for (const [index, , placement] of tasks) {
				const end = sentEnds.find(job, index, placement);
				if (end) {
					pushEnd(job, end);
				}
			}
		},
		hasSentEnd: (job, {index, placement}) =>
			sentEnds.find(job, index, placement) !== undefined,
		flush() {
			for (const [job, ends] of queuedEnds) {
				if (!job.isDropped || job.isOrphaned) {
					send(job, {group, token, ends});
				}
			}

			queuedEnds.clear();
		},
		forgetOld: sentEnds.forgetOld,
	};
}

function send(
	{id, claim, entry, isStarted}: EndedJob,
	ends: Pick<Ends, 'group' | 'token' | 'ends' | 'reason'>,
): void {
	entry.send({t: 'ends', job: id, claim, isStarted, ...ends});
}
