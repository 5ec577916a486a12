/**
Messages between entries, the hosts that hold callers' jobs, and the schedulers of executor groups. The host that
schedules a group is the group's holder; each new holder has a higher (fencing) token.
An entry sends requests over the connection that it dialled, and the scheduler answers on that connection.
A scheduler sends its state to every host over the connections that it dialled itself.
*/
import {hostAddressSchema, nameSchema} from '@gentianshift/resources';
import {z} from 'zod';

const count = z.number().int().min(0);
const duration = z.number();
const jobId = z.string().max(64);

/**
The last state message (`group-state`) that the entry received from the group: the holder's token, and the holder's monotonic
clock when it sent the state.

A message can wait in a connection during a network failure and arrive seconds late as if it were new. Because it carries a
time of the holder's own clock, the holder renews claims only as far as that time allows, however late the message arrives.
*/
const answeredStateFields = {token: count, stateAt: z.number()};

/**
Number of a permission that a job's entry gives to a group to run tasks of the job. The entry never reuses a number: if it
withdraws a task from a silent holder and later gives the task to the same group again, the new claim has another number.
*/
const claim = count;

/**
The group that a message is about: a host may hold several. Absent if the sender is of an earlier build, in which each
host holds one group at most.
*/
const group = nameSchema.optional();

/** When the entry accepted the job, Unix time in milliseconds by the entry's clock. Distinguishes copies of the job accepted at different times. */
const takenAtMs = z.number();

/** Tokens of the first and of the last holder of a group that tasks were sent to. */
const tokenRangeSchema = z.tuple([count, count]);

/** Tokens of the holders that another entry sent tasks of the job to; absent if none is known to have done so. */
const formerTokens = tokenRangeSchema.optional();

/**
Whole numbers of at least 0. Checked in one loop: a host receives a hundred of them some thirty times a second, and
a schema for each costs several times as much.
*/
const countsSchema = z.custom<number[]>(
	(value) =>
		Array.isArray(value) &&
		value.every(
			(item) =>
				typeof item === 'number' && Number.isSafeInteger(item) && item >= 0,
		),
	{error: 'expected an array of whole numbers of at least 0'},
);

/** What one task needs of an executor while it runs. */
export const taskDemandSchema = z.object({
	/** Thousandths of a core. */
	cpu: count,
	memoryMb: count,
	accelerators: count,
});

/** Where the tasks of a job may run. */
export const taskConstraintsSchema = z.object({
	/** A label that the executor must have. */
	requiredLabel: z.string().optional(),
	/** So many tasks of the job may run on one executor at a time. */
	maxPerExecutor: z.number().int().min(1).optional(),
});

/**
A task that the entry requests: its index in the job, the number of its next attempt, and its placement
number, which the entry increases each time it places the task. `ends` messages return the placement number. Thereby a
repeated `part` isn't taken for a new placement, nor an end of an earlier placement for one of the current placement.
*/
export const taskPlacementSchema = z.tuple([
	count,
	z.number().int().min(1),
	count,
]);

/**
The incarnations of executors that crashed, or were silent until their lease expired, while a task ran on them. Receivers merge
the lists into those that they have.
*/
export const taskCrashesSchema = z.object({
	job: jobId,
	index: count,
	/** Ids of the incarnations that crashed. */
	crashed: z.array(z.string()),
	/** Ids of the incarnations that have crashed or are unreachable; it isn't known which. */
	silent: z.array(z.string()),
	/** Those of both lists that ran nothing beside the task. Absent: not known. */
	alone: z.array(z.string()).optional(),
	/** Ids of the incarnations whose loss does not count against the task, as many executors were lost with it. Absent: none. */
	excused: z.array(z.string()).optional(),
});

/** Absent if none are known. */
const crashes = z.array(taskCrashesSchema).optional();

/**
Some or all tasks of a job, assigned to one scheduler. The entry sends the part again after a broken connection or a
change of the group's holder; the scheduler leaves tasks that it already knows unchanged.
*/
export const partSchema = z.object({
	t: z.literal('part'),
	group,
	job: jobId,
	takenAtMs,
	...answeredStateFields,
	claim,
	queue: z.string(),
	service: z.string(),
	/** 0 is the most urgent. */
	priority: count,
	/** Number of failed runs after which the task has failed. */
	maxAttempts: z.number().int().min(1),
	spec: z.string(),
	demand: taskDemandSchema,
	/** Absent: the tasks may run on any executor of the service. */
	constraints: taskConstraintsSchema.optional(),
	/** The entry's estimate of one task's run time. */
	estimateMs: duration,
	/** Time until the job's latency objective; negative if the objective has been missed. */
	dueInMs: duration,
	/** If no task has started, tasks that would end later than this from now are returned at once. */
	admitInMs: duration,
	/** Time until the caller stops waiting. */
	timeLeftMs: duration,
	/** Unfinished tasks of the whole job; determines the job's position in the queue. */
	remaining: count,
	tasks: z.array(taskPlacementSchema),
	/** How often these tasks were returned because another group had free capacity. */
	shifts: count,
	/** Some of these tasks may still run under a previous holder of the group. */
	isMoved: z.boolean(),
	/**
	The lowest token of a holder of the group that the tasks were sent to since they were placed there. Absent: not known, or
	this is the first holder.
	*/
	firstToken: count.optional(),
	crashes,
});

/** The entry no longer needs the job's tasks: the job ended, its caller disconnected, or its time is up. */
export const dropSchema = z.object({
	t: z.literal('drop'),
	group,
	job: jobId,
	/** A copy of the job that the same entry accepted later is not affected. */
	takenAtMs,
	/** Only tasks under this claim or an earlier one are dropped; the job continues elsewhere. Absent: all tasks of the job. */
	claim: claim.optional(),
	/**
	The entry withdraws these tasks, which it placed under this claim at the holder with this token, unless one of them was started.
	The holder answers with `ends`: the tasks as `returned`, or `isStarted`. The message's own `claim` is then 0, so a holder that
	does not know this field drops nothing and does not answer.
	*/
	withdrawal: z
		.object({token: count, claim, tasks: z.array(taskPlacementSchema)})
		.optional(),
});

/**
An entry accepts a job that its caller may have sent to another entry before. The scheduler stops the copies of other entries and
starts none of them from then on.
*/
export const replaceSchema = z.object({
	t: z.literal('replace'),
	group,
	job: jobId,
	/** Of two copies, the one that was accepted later is kept. */
	takenAtMs,
	/** The request lay unread for an unknown time: a copy that is here already and was accepted after `takenAtMs` is kept. */
	isDelayed: z.boolean().optional(),
	/** Time until the caller stops waiting. */
	timeLeftMs: duration,
	formerTokens,
});

/** Answer to `replace`: no task of another copy runs any more; or, if `isRefused`, another entry has a later copy, and this copy must not start. */
export const replacedSchema = z.object({
	t: z.literal('replaced'),
	group,
	job: jobId,
	takenAtMs,
	isRefused: z.boolean(),
	/** Copied from the `replace`: the confirmation holds for a holder with one of these tokens or a later one. */
	formerTokens,
	crashes,
});

/**
Sent by an entry that accepts a job when not every scheduler can say whether another copy runs. An entry that receives it
and has a copy gives that copy up, unless its copy is the later one (`isRefused` in its answer).
*/
export const recallCopySchema = z.object({
	t: z.literal('recall-copy'),
	job: jobId,
	takenAtMs,
	/** The process that sent the request: `<host key>.<incarnation>`. */
	entry: z.string(),
	/** Hosts that the requesting process has no connection to; the receiver forwards the request to those that it is connected to. */
	passTo: z.array(z.string()),
});

/** An entry's answer to `recall-copy`; a host other than the requesting one forwards it there. */
export const copyRecalledSchema = z.object({
	t: z.literal('copy-recalled'),
	job: jobId,
	takenAtMs,
	/** The process that sent the `recall-copy`. */
	entry: z.string(),
	/** The answering host. */
	host: z.string(),
	/** The answering host has a later copy and keeps it. */
	isRefused: z.boolean(),
	/** Hosts that the request was forwarded to, which answer as well. */
	passedTo: z.array(z.string()),
	/** The groups that the answering host knows, and their holders' tokens. */
	groups: z.array(z.tuple([nameSchema, count])),
	/** Groups where tasks of another copy may still run. */
	places: z.array(
		z.object({
			group: nameSchema,
			tokens: tokenRangeSchema,
			/** Time from now after which no task of the copy runs there, whatever happens to the group's holder. */
			overInMs: duration,
			/** True: the answering entry sent tasks to the group. False: an entry that it can no longer reach may have. */
			isSure: z.boolean(),
		}),
	),
	crashes,
});

/**
The entry's answer to a `group-state`: the entry still wants the tasks under these claims, and no others. No other message
renews a claim, so that messages about one job never keep another job's tasks running.
*/
export const keepSchema = z.object({
	t: z.literal('keep'),
	group,
	...answeredStateFields,
	claims: z.array(claim),
});

/** A holder's answer to `keep`: it has no tasks under these claims, and no call that it made still runs one. */
export const claimsEndedSchema = z.object({
	t: z.literal('claims-ended'),
	group,
	token: count,
	claims: z.array(claim),
});

/**
How a task ended at a scheduler: `done`; `failed`: its attempts are used up; `returned`: the task doesn't
run here and won't, so the entry places it again or gives the job up.
*/
export const taskEndSchema = z.object({
	index: count,
	outcome: z.enum(['done', 'failed', 'returned']),
	/** The last attempt that this scheduler started; 0 if none. */
	attempt: count,
	/** The placement number that the end belongs to. */
	placement: count,
	/** Run time on the executor; absent if it wasn't measured. */
	runMs: duration.optional(),
});

export const endsSchema = z.object({
	t: z.literal('ends'),
	group,
	job: jobId,
	/** The sending holder's token, and the claim that the ends belong to. A message from before the tasks were placed here again names an older pair, and so returns none of them. */
	token: count,
	claim,
	/** At least one task of the job has been started at this scheduler. */
	isStarted: z.boolean(),
	ends: z.array(taskEndSchema),
	/**
	Why tasks were returned. `full`: they were not admitted; `hopeless`: they can no longer end in time; `elsewhere`: another
	group has free capacity; `released`: the group has another holder.
	*/
	reason: z.enum(['full', 'hopeless', 'elsewhere', 'released']).optional(),
	crashes,
});

/** A holder's state message, sent to all hosts: which host schedules the group, and the group's free capacity and load. */
export const groupStateSchema = z.object({
	t: z.literal('group-state'),
	group: nameSchema,
	/** The data centre whose executors the group has. Absent: the data centre of the group's name. */
	dataCentre: nameSchema.optional(),
	/**
	How the data centre's executors are divided into groups, as far as the holder knows. Absent: the sender is of an
	earlier build, and the group has all executors of its data centre.
	*/
	layout: z
		.object({
			revision: count,
			count: z.number().int().min(1),
			formerCount: z.number().int().min(1).optional(),
			changedAtMs: z.number(),
		})
		.optional(),
	/**
	Executors that belong to another group by this layout, and on which runs of this holder have yet to end. Absent: none.
	*/
	releasing: z.array(z.string()).optional(),
	/** Runs of this holder, or of an earlier one, may go on on executors that belong to other groups. Absent: none do. */
	hasRunsOutside: z.boolean().optional(),
	/** Executors that this holder uses, or on which its runs go on, and that another host's list may lack. Absent: none. */
	unconfirmed: z.array(z.string()).optional(),
	/** Higher with each new holder. */
	token: count,
	/** The holder's monotonic clock when it sent this message, milliseconds; entries return it as `stateAt`. */
	at: z.number(),
	/**
	The holder is being stopped, and another host will take the group over. The heartbeat's `isLeaving` isn't enough: it may
	arrive on another connection and be older than this state.
	*/
	isLeaving: z.boolean(),
	/** A host with far more processor cores, which the holder asks to take the group over. */
	successor: z.string().optional(),
	/** The holder has given the group up, so that another host can take it. */
	isReleased: z.boolean(),
	/**
	Hosts of the data centre that the holder has no connection to: one of them may hold the group by now, unknown to this holder.
	Absent: the holder does not say.
	*/
	unreachable: z.array(z.string()).optional(),
	/** Time since the holder last got an answer from the store. */
	storeAgeMs: duration,
	/** Free thousandths of a core of each executor that accepts tasks. */
	free: countsSchema,
	/** Total thousandths of a core. */
	capacity: count,
	/** Labels that some executor has. Absent: the holder does not say. */
	labels: z.array(z.string()).optional(),
	/** Queued work that can still meet its latency objective, by priority, in thousandths of a core times milliseconds. */
	backlog: z.array(z.number()),
	/** Queued work that will miss its objective, in the same form; it is scheduled after all other work of its priority. */
	lateBacklog: z.array(z.number()),
	/** Thousandths of a core in use, by priority. */
	running: z.array(count),
	/** Work that has ended in the last half second, in thousandths of a core times milliseconds. Absent: the holder does not say. */
	finished: z.number().min(0).optional(),
	/** Crashes under tasks of all jobs, sent for some time after each change, so that an entry that has another copy of a job knows of them too. */
	crashes,
});

/**
A caller has cancelled the job. Sent to all hosts, and again over each new connection; a holder also sends it to an entry whose
job it stops.
*/
export const cancelJobSchema = z.object({
	t: z.literal('cancel-job'),
	job: jobId,
	/** Time since the caller cancelled it, milliseconds. Absent: the sender is of an earlier build, which expects no answer. */
	ageMs: z.number().min(0).optional(),
});

/** Answers `cancel-job`: the sender holds a group, and starts no more tasks of the job. */
export const jobCancelledSchema = z.object({
	t: z.literal('job-cancelled'),
	job: jobId,
});

/** The data centres that are evacuated, as of a revision of the store; a list of a later revision replaces it. */
export const evacuationListSchema = z.object({
	revision: count,
	dataCentres: z.array(nameSchema),
});

/** What an executor has registered about itself in the store. */
export const registrationSchema = z.object({
	id: z.string().min(1),
	address: hostAddressSchema,
	dataCentre: z.string().min(1),
	service: z.string().min(1),
	isDraining: z.boolean(),
	/** The least time that a draining executor had left when it registered. */
	remainingMs: duration.min(0).optional(),
	/** When its process started, Unix milliseconds. */
	bornMs: z.number().optional(),
	labels: z.array(z.string()).readonly().optional(),
	/** The last capacity that was usable. */
	capacity: taskDemandSchema,
	sequence: z.number().optional(),
	revision: z.number().optional(),
});

/** Registrations that the sender has read from the store, or was told. */
export const registrationNewsSchema = z.object({
	/** Answers a request: all changes up to this revision of the store are there. Absent: only these changes are told. */
	upTo: count.optional(),
	registrations: z.array(registrationSchema),
});

/** Asks for registrations of a data centre's executors that have changed since a revision of the store. */
export const registrationRequestSchema = z.object({
	dataCentre: z.string(),
	since: count,
});

/**
What the sender knows of what operators and executors have written in the store. All of it goes in one kind of message: a host of an
earlier build ignores fields that it does not know, and closes a connection on which an unknown message arrives.
*/
export const queueTableSchema = z.object({
	t: z.literal('queue-table'),
	/** Of the newest configuration, the platform's text. 0: none is known, or it is not announced here. */
	version: count,
	/** Absent if only the version is announced; a peer with an older version then requests the text. */
	text: z.string().optional(),
	isAsked: z.boolean().optional(),
	/** Absent: not announced here, or not known. */
	evacuations: evacuationListSchema.optional(),
	registrations: registrationNewsSchema.optional(),
	registrationRequest: registrationRequestSchema.optional(),
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
	jobCancelledSchema,
	queueTableSchema,
] as const;

export type TaskDemand = z.infer<typeof taskDemandSchema>;
export type TaskConstraints = z.infer<typeof taskConstraintsSchema>;
export type Part = z.infer<typeof partSchema>;
export type Keep = z.infer<typeof keepSchema>;
export type ClaimsEnded = z.infer<typeof claimsEndedSchema>;
export type Drop = z.infer<typeof dropSchema>;
export type Replace = z.infer<typeof replaceSchema>;
export type Replaced = z.infer<typeof replacedSchema>;
export type RecallCopy = z.infer<typeof recallCopySchema>;
export type CopyRecalled = z.infer<typeof copyRecalledSchema>;
/** The first and the last holder's token. */
export type TokenRange = z.infer<typeof tokenRangeSchema>;
export type Ends = z.infer<typeof endsSchema>;
export type CancelJob = z.infer<typeof cancelJobSchema>;
export type JobCancelled = z.infer<typeof jobCancelledSchema>;
export type TaskCrashes = z.infer<typeof taskCrashesSchema>;
export type TaskEnd = z.infer<typeof taskEndSchema>;
export type ToldRegistration = z.infer<typeof registrationSchema>;
export type RegistrationNews = z.infer<typeof registrationNewsSchema>;
export type RegistrationRequest = z.infer<typeof registrationRequestSchema>;
export type EvacuationList = z.infer<typeof evacuationListSchema>;
export type GroupState = z.infer<typeof groupStateSchema>;
