/**
Messages between entries, which hold callers' jobs, and the schedulers of executor groups.
An entry asks over the connection that it dialled; the scheduler answers on that connection.
A scheduler tells its state to every host over the connections that it dialled itself.
*/
import {nameSchema} from '@gentianshift/resources';
import {z} from 'zod';

const count = z.number().int().min(0);
const duration = z.number();
const jobId = z.string().max(64);

/**
The state of the group that the entry read last: the holder's token and its steady clock when it told that state.

What goes wrong: a message waits in a connection through a cut and arrives seconds late as if it were new. As it names a moment on the
holder's own clock, it renews nothing beyond what that moment allows, however late it comes.
*/
const answeredState = {token: count, stateAt: z.number()};

/**
What a job's entry lets a group do with its tasks, by a number that the entry never uses again. A task that the entry takes away from
a silent holder and later hands to the same group comes under another claim.
*/
const claim = count;

/** When the entry took the job, milliseconds since 1970 by its clock: tells one taking of a job from the next. */
const takenAtMs = z.number();

/** Tokens of the first and of the last holder of a group that was told of tasks. */
const tokens = z.tuple([count, count]);

/** Of the holders that another entry had handed tasks to, where it is known that one did. */
const formerTokens = tokens.optional();

/** What one task needs of an executor while it runs. */
export const taskDemandSchema = z.object({
	/** Thousandths of a core. */
	cpu: count,
	memoryMb: count,
	accelerators: count,
});

/**
A task that the entry asks for: its index in the job, the number of its next attempt, and the number
of this placement, which rises each time that the entry places the task. Ends carry it back, so that
a part that comes again and a task that was given back meanwhile are not taken for news.
*/
export const wantedTaskSchema = z.tuple([
	count,
	z.number().int().min(1),
	count,
]);

/**
Under which lives of executors a task ran when they crashed, or turned silent until their lease had passed. Receivers add it to what they know.
*/
export const taskCrashesSchema = z.object({
	job: jobId,
	index: count,
	/** Ids of executors that have crashed. */
	crashed: z.array(z.string()),
	/** Ids of executors that may have crashed, or be out of reach. */
	silent: z.array(z.string()),
});

/** Absent: none are known. */
const crashes = z.array(taskCrashesSchema).optional();

/**
Some or all tasks of a job, handed to one scheduler. Sent again after a broken connection or a
change of the group's holder: tasks that are known already stay as they are.
*/
export const partSchema = z.object({
	t: z.literal('part'),
	job: jobId,
	takenAtMs,
	...answeredState,
	claim,
	queue: z.string(),
	service: z.string(),
	/** 0 goes first. */
	priority: count,
	/** Failed runs after which a task counts as failed. */
	maxAttempts: z.number().int().min(1),
	spec: z.string(),
	demand: taskDemandSchema,
	/** Run time of one task, as estimated by the entry. */
	estimateMs: duration,
	/** Until the job's latency objective; negative when it has passed. */
	dueInMs: duration,
	/** Tasks that would end later than this from now are given back at once, if none has started. */
	admitInMs: duration,
	/** Until the caller no longer waits. */
	timeLeftMs: duration,
	/** Tasks of the whole job that are not done: its place in the queue follows from it. */
	remaining: count,
	tasks: z.array(wantedTaskSchema),
	/** Times that these tasks have been given back for room in another group. */
	shifts: count,
	/** Tasks of it may run under an earlier holder of the group. */
	isMoved: z.boolean(),
	crashes,
});

/** The entry no longer wants the job: it ended, its caller left, or its time is up. */
export const dropSchema = z.object({
	t: z.literal('drop'),
	job: jobId,
	/** A later taking of the job by the same entry stays. */
	takenAtMs,
	/** Only what is under this claim or an earlier one: the job goes on elsewhere. Absent: all of it. */
	claim: claim.optional(),
});

/**
An entry takes over a job that its caller may have sent to another entry before. Copies of other entries are stopped, and none
is started from then on.
*/
export const replaceSchema = z.object({
	t: z.literal('replace'),
	job: jobId,
	/** Of two copies the later one counts. */
	takenAtMs,
	/** Until the caller no longer waits. */
	timeLeftMs: duration,
	formerTokens,
});

/** Nothing of other copies runs any more, or (`isRefused`) another entry has a later copy: this one is not started. */
export const replacedSchema = z.object({
	t: z.literal('replaced'),
	job: jobId,
	takenAtMs,
	isRefused: z.boolean(),
	/** As asked: what a holder of these or of later tokens confirms. */
	formerTokens,
	crashes,
});

/**
An entry takes over a job, and not every scheduler can say whether another copy runs: entries are asked for theirs. One that
has a copy gives it up.
*/
export const recallCopySchema = z.object({
	t: z.literal('recall-copy'),
	job: jobId,
	takenAtMs,
	/** The process that asks: `<host key>.<incarnation>`. */
	entry: z.string(),
	/** Hosts that it has no connection to: the receiver passes the question on to those that it has one to. */
	passTo: z.array(z.string()),
});

/** An entry's answer to `recall-copy`; a host that it is not for passes it on. */
export const copyRecalledSchema = z.object({
	t: z.literal('copy-recalled'),
	job: jobId,
	takenAtMs,
	/** The process that asked. */
	entry: z.string(),
	/** The host that answers. */
	host: z.string(),
	/** It has a later copy, which counts. */
	isRefused: z.boolean(),
	/** Hosts that the question was passed on to: they answer as well. */
	passedTo: z.array(z.string()),
	/** The groups that it knows, and the tokens of their holders. */
	groups: z.array(z.tuple([nameSchema, count])),
	/** Groups where tasks of another copy may still run. */
	places: z.array(
		z.object({
			group: nameSchema,
			tokens,
			/** From now on until nothing of it runs, whatever becomes of the group's holder. */
			overInMs: duration,
			/** The answering entry handed tasks there; else one that it has lost may have. */
			isSure: z.boolean(),
		}),
	),
	crashes,
});

/**
The entry's answer to a state of the group: it still wants what it handed over under these claims, and nothing else. No other message
renews a claim, so that words for one job never keep another one alive.
*/
export const keepSchema = z.object({
	t: z.literal('keep'),
	...answeredState,
	claims: z.array(claim),
});

/** A holder's answer to a keep: it has nothing under these claims, and nothing of them runs by its orders. */
export const claimsEndedSchema = z.object({
	t: z.literal('claims-ended'),
	token: count,
	claims: z.array(claim),
});

/**
How a task ended at a scheduler: `done`, `failed` (its attempts are used up), `returned` (not
running here, and will not: the entry places it anew or gives the job up).
*/
export const taskEndSchema = z.object({
	index: count,
	outcome: z.enum(['done', 'failed', 'returned']),
	/** The last attempt that was started here; 0: none. */
	attempt: count,
	/** The placement that the end is of. */
	placement: count,
	/** Run time on the executor, where it was seen. */
	runMs: duration.optional(),
});

export const endsSchema = z.object({
	t: z.literal('ends'),
	job: jobId,
	/** Of the holder that tells them, and the claim that they are of: a word of before the tasks came here anew gives nothing back. */
	token: count,
	claim,
	/** The first task of the job has been started here. */
	isStarted: z.boolean(),
	ends: z.array(taskEndSchema),
	/**
	Why tasks were returned: `full`: not let in; `hopeless`: no longer in time; `elsewhere`: another
	group has room; `released`: the group has another holder.
	*/
	reason: z.enum(['full', 'hopeless', 'elsewhere', 'released']).optional(),
	crashes,
});

/** A holder's state, told to all hosts: who schedules the group, and its room. */
export const groupStateSchema = z.object({
	t: z.literal('group-state'),
	/** The group's data centre. */
	group: nameSchema,
	/** Rises with each holder. */
	token: count,
	/** The holder's steady clock when it told this, milliseconds; entries answer with it. */
	at: z.number(),
	/**
	The holder is being stopped: another takes the group over. Told here, and not only with the
	heartbeat, whose word may come on another connection and be older than the state.
	*/
	isLeaving: z.boolean(),
	/** A host with far more processor, which the holder asks to take the group over. */
	successor: z.string().optional(),
	/** The holder has given the group up: another takes it. */
	isReleased: z.boolean(),
	/** Since the holder last heard of the store. */
	storeAgeMs: duration,
	/** Free thousandths of a core of each executor that takes tasks. */
	free: z.array(count),
	/** Thousandths of a core in all. */
	capacity: count,
	/** Waiting work that can still meet its objective, by priority: thousandths of a core times milliseconds. */
	backlog: z.array(z.number()),
	/** Waiting work that will be late, likewise: it goes after all other work of its priority. */
	lateBacklog: z.array(z.number()),
	/** Thousandths of a core that run, by priority. */
	running: z.array(count),
	/** Of all jobs, told for some time after each change: a copy at another entry is known for what it is. */
	crashes,
});

/** A caller cancelled a job at a host that does not hold it. */
export const cancelJobSchema = z.object({
	t: z.literal('cancel-job'),
	job: jobId,
});

/** The newest configuration that the sender knows, as text of the platform. */
export const queueTableSchema = z.object({
	t: z.literal('queue-table'),
	version: count,
	/** Absent: only the version is told; a peer that lacks it asks. */
	text: z.string().optional(),
	isAsked: z.boolean().optional(),
});

export const schedulingMessageSchemas = [
	partSchema,
	dropSchema,
	keepSchema,
	claimsEndedSchema,
	replaceSchema,
	replacedSchema,
	recallCopySchema,
	copyRecalledSchema,
	endsSchema,
	groupStateSchema,
	cancelJobSchema,
	queueTableSchema,
] as const;

export type TaskDemand = z.infer<typeof taskDemandSchema>;
export type Part = z.infer<typeof partSchema>;
export type Keep = z.infer<typeof keepSchema>;
export type ClaimsEnded = z.infer<typeof claimsEndedSchema>;
export type Drop = z.infer<typeof dropSchema>;
export type Replace = z.infer<typeof replaceSchema>;
export type Replaced = z.infer<typeof replacedSchema>;
export type RecallCopy = z.infer<typeof recallCopySchema>;
export type CopyRecalled = z.infer<typeof copyRecalledSchema>;
/** First and last. */
export type TokenRange = z.infer<typeof tokens>;
export type Ends = z.infer<typeof endsSchema>;
export type TaskCrashes = z.infer<typeof taskCrashesSchema>;
export type TaskEnd = z.infer<typeof taskEndSchema>;
export type GroupState = z.infer<typeof groupStateSchema>;
