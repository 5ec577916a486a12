/**
Logs the starts of one placing round, with one line per job. A line names the group, its holder's token and the entry,
so that the log shows which holder and which entry caused each run of a task.

There is no line per start: a job of many tasks would fill the log, and each line costs a small host processor time.
*/
import {type GroupJob, type GroupTask} from './group-job.js';

type Start = {
	task: number;
	attempt: number;
	executor: string;
	/** Age of the executor's capacity: time since it was first read, milliseconds. */
	capacityAgeMs: number;
};

export type StartLog = {
	/** Records a start. To be called after `task.executor` has been set. */
	add: (
		job: GroupJob,
		task: GroupTask,
		start: Pick<Start, 'attempt' | 'capacityAgeMs'>,
	) => void;
	/** Logs the starts recorded since the last call. */
	write: () => void;
};

export type StartLogPorts = {
	group: string;
	token: number;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export function createStartLog({group, token, log}: StartLogPorts): StartLog {
	let starts = new Map<GroupJob, Start[]>();
	return {
		add(job, {index, executor}, {attempt, capacityAgeMs}) {
			const jobStarts = starts.get(job) ?? [];
			jobStarts.push({
				task: index,
				attempt,
				executor: executor ?? '',
				capacityAgeMs: Math.round(capacityAgeMs),
			});
			starts.set(job, jobStarts);
		},
		write() {
			const pendingStarts = starts;
			starts = new Map();
			for (const [job, jobStarts] of pendingStarts) {
				log('tasks started', {
					job: job.id,
					entry: job.entry.key,
					group,
					token,
					isMoved: job.movedAt !== undefined,
					starts: jobStarts,
				});
			}
		},
	};
}
