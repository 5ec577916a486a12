/**
What callers send and get: jobs, their answers, and refusals that say whether anything ran.
*/
import {type Result} from 'neverthrow';
import {z} from 'zod';
import {maxTasksPerJob, nameSchema} from './kinds.js';

/** Header names between callers, hosts and executors. */
export const headers = {
	issuer: 'gentianshift-issuer',
	attempt: 'gentianshift-attempt',
	task: 'gentianshift-task',
	deadline: 'gentianshift-deadline-ms',
	notRun: 'gentianshift-not-run',
} as const;

/** Largest body of a submission, bytes. */
export const maxBodyBytes = 16 * 1024 * 1024;

/** The body of `PUT /v1/jobs/ID` and `POST /v1/jobs`. */
export const submissionSchema = z.strictObject({
	service: nameSchema,
	team: nameSchema,
	/** Milliseconds from arrival; the service's own where absent. */
	deadlineMs: z.number().int().min(1).max(3_600_000).optional(),
	/** Each task's payload, posted to an executor as JSON. */
	tasks: z.array(z.unknown()).min(1).max(maxTasksPerJob),
});

/** Whether anything of the job ran: only the owner, who knows all of it, says "none". */
export const ranSchema = z.enum(['none', 'some', 'unknown']);

export const jobStateSchema = z.enum([
	'queued',
	'running',
	'complete',
	'failed',
	'cancelled',
	'refused',
]);

/** A job's state while it runs and the answer when it is complete. */
export const jobAnswerSchema = z.object({
	id: z.string(),
	state: jobStateSchema,
	tasks: z.number().int(),
	done: z.number().int(),
	/** In the order of the tasks, whole; only when the state is `complete`. */
	results: z.array(z.unknown()).optional(),
});

/** A refusal or failure, as `application/problem+json`. */
export const problemSchema = z.object({
	type: z.string().default('about:blank'),
	title: z.string(),
	status: z.number().int(),
	detail: z.string(),
	code: z.string(),
	ran: ranSchema,
	id: z.string().optional(),
	/** When coming back makes sense; also in the `Retry-After` header, in whole seconds. */
	retryAfterMs: z.number().int().optional(),
	/** Indexes of tasks that ran to the end, of those that may have run. */
	tasksDone: z.array(z.number().int()).optional(),
	tasksUnknown: z.array(z.number().int()).optional(),
	/** The issuer to make an id with (428). */
	issuer: z.string().optional(),
	findings: z.array(z.unknown()).optional(),
});

export type Submission = z.infer<typeof submissionSchema>;
export type Ran = z.infer<typeof ranSchema>;
export type JobState = z.infer<typeof jobStateSchema>;
export type JobAnswer = z.infer<typeof jobAnswerSchema>;
export type Problem = z.infer<typeof problemSchema>;
/** The answer or state of a job, or why there is none. */
export type JobReply = Result<JobAnswer, Problem>;
