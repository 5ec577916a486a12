/**
What became of each job, and why it was not in time, by its hosts' log lines.
*/
import {z} from 'zod';
import {type LogLine} from './log-lines.js';

/** An entry's last word on a job; times in milliseconds. */
const answerSchema = z.object({
	job: z.string(),
	queue: z.string(),
	tasks: z.number(),
	tookMs: z.number(),
	objectiveMs: z.number(),
	/** Absent: no start was heard of. */
	firstStartMs: z.number().optional(),
	type: z.enum(['completed', 'failed', 'refused', 'given-up', 'cancelled']),
	reason: z.string().optional(),
});

type Answer = z.output<typeof answerSchema>;

export type JudgedJob = Answer & {
	/** When its caller was answered, milliseconds since 1970. */
	at: number;
	/** `in time`, or what it suffered from. */
	cause: string;
};

/** Of the time that a late job took, the share that counts as the reason when it passed before the first start. */
const waitShare = 0.25;

/** What a scheduler logged of a late job's tasks, worst first. */
const troubles: ReadonlyArray<[message: string, cause: string]> = [
	['task failed', 'late: a run failed'],
	['an executor crashed under a task', 'late: an executor crashed'],
	[
		'run is over with the process of its executor',
		'late: an executor restarted or left',
	],
	['lease of a run has passed', 'late: an executor fell silent'],
	['run is neither listed nor ended', 'late: a run was lost'],
	['start came to nothing', 'late: a start came to nothing'],
	['run is overdue', 'late: a run was overdue'],
];

/** One for each answer that an entry gave, by time. */
export function judgeJobs(lines: readonly LogLine[]): JudgedJob[] {
	const messages = new Map<string, Set<string>>();
	for (const {job, msg} of lines) {
		if (job !== undefined) {
			const known = messages.get(job) ?? new Set();
			messages.set(job, known.add(msg));
		}
	}

	return lines.flatMap((line) => {
		const answer =
			line.msg === 'job answered' ? answerSchema.safeParse(line) : undefined;
		return answer?.success
			? {
					...answer.data,
					at: line.at,
					cause: findCause(answer.data, messages.get(answer.data.job)!),
				}
			: [];
	});
}

function findCause(answer: Answer, messages: ReadonlySet<string>): string {
	const {type, reason, tookMs, objectiveMs, firstStartMs} = answer;
	if (type !== 'completed') {
		return reason === undefined ? type : `${type}: ${reason}`;
	}

	if (tookMs <= objectiveMs) {
		return 'in time';
	}

	const trouble = troubles.find(([message]) => messages.has(message));
	if (trouble) {
		return trouble[1];
	}

	return (firstStartMs ?? tookMs) > waitShare * tookMs
		? 'late: its first start waited'
		: 'late: its last tasks waited or ran long';
}
