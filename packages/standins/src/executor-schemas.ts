/**
What the executor stand-in is told, and what it reports, over its control port.
*/
import {z} from 'zod';

/**
How an executor behaves towards requests.

- `ok`: runs the task and answers 200.
- `fail`: answers 500 at once, as a fast failer does.
- `silent`: starts the task and never answers; its slot stays taken until the connection closes.
- `truncate`: runs the task, then closes the connection in the middle of the answer.
- `wrong-length`: runs the task; the announced length is shorter than the answer.
- `reset`: starts the task, then resets the connection.
- `refuse`: answers 503 not-run to everything.
- `slow`: takes `factor` times as long.
*/
export const modeSchema = z.enum([
	'ok',
	'fail',
	'silent',
	'truncate',
	'wrong-length',
	'reset',
	'refuse',
	'slow',
]);

/** Body of `PUT /modes`. */
export const modeChangeSchema = z.strictObject({
	executor: z.string(),
	mode: modeSchema,
	/** Run times are multiplied by it in mode `slow`. */
	factor: z.number().min(0).default(10),
});

/**
State of the link from clients whose IP begins with a prefix.

- `cut`: open connections are reset, new ones too.
- `silent`: open and new connections pass nothing more, for good.
- `silent-open`: the same, but only for connections that are open now: new ones work.
*/
export const linkModeSchema = z.enum(['ok', 'cut', 'silent', 'silent-open']);

/** Body of `PUT /links`. */
export const linkChangeSchema = z.strictObject({
	from: z.string(),
	mode: linkModeSchema,
});

/** One start of a task, as the executor saw it: the judge of "at most once". */
export const startSchema = z.object({
	/** `JOBID/INDEX`. */
	task: z.string(),
	executor: z.string(),
	/** Unix milliseconds. */
	at: z.number(),
	/** IP of the host that sent it. */
	from: z.string(),
	traceparent: z.string().optional(),
	deadlineMs: z.number().optional(),
});

/** What one executor counted since it was started. */
export const executorStatsSchema = z.object({
	executor: z.string(),
	slots: z.number(),
	starts: z.number(),
	refused: z.number(),
	answered: z.number(),
	/** Starts of a task that had been started before, here or at another executor of the process. */
	duplicates: z.number(),
	running: z.number(),
	runningHighWater: z.number(),
	connections: z.number(),
	connectionsHighWater: z.number(),
	/** Sum of the run times of the tasks that ran, milliseconds. */
	busyMs: z.number(),
});

/** The line that says that all ports are open. */
export const executorsListeningSchema = z.object({
	listening: z.literal('executors'),
	control: z.string(),
	executors: z.array(z.object({name: z.string(), address: z.string()})),
});

export type Mode = z.infer<typeof modeSchema>;
export type ModeChange = z.infer<typeof modeChangeSchema>;
export type LinkChange = z.infer<typeof linkChangeSchema>;
export type Start = z.infer<typeof startSchema>;
export type ExecutorStats = z.infer<typeof executorStatsSchema>;
export type ExecutorsListening = z.infer<typeof executorsListeningSchema>;
