/**
The log lines of the starts that one round over the waiting jobs brings about: one a job, which names the group, its holder's
token and the entry, so that runs of one task can be told apart by who had them started.

Not one a start: a job of many tasks would fill the log, and a small host pays for each line.
*/
import {type GroupJob, type GroupTask} from './group-job.js';

type Start = {
	task: number;
	attempt: number;
	executor: string;
	/** How long ago the executor's capacity was first read. */
	capacityAgeMs: number;
};

export type StartLog = {
	/** To be called when the task's state names its executor and the attempt. */
	add: (
		job: GroupJob,
		task: GroupTask,
		start: Pick<Start, 'attempt' | 'capacityAgeMs'>,
	) => void;
	/** Writes the lines of what was added since the last call. */
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
			const ofJob = starts.get(job) ?? [];
			ofJob.push({
				task: index,
				attempt,
				executor: executor ?? '',
				capacityAgeMs: Math.round(capacityAgeMs),
			});
			starts.set(job, ofJob);
		},
		write() {
			const written = starts;
			starts = new Map();
			for (const [job, ofJob] of written) {
				log('tasks started', {
					job: job.id,
					entry: job.entry.key,
					group,
					token,
					isMoved: job.movedAt !== undefined,
					starts: ofJob,
				});
			}
		},
	};
}
