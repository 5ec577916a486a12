/**
The messages between hosts. On a connection, the host that dialled sends requests (the client) and the host
that accepted answers them (the server); two hosts that both send requests have a connection in each direction.
Times in this file are durations in milliseconds, never points in time, because the hosts' clocks aren't synchronised.

In the names of messages, a job's owner is the host that accepted the job from its caller; a target's keeper is the
host that assigns the slots of the target's executors and lends them to owners.
*/
import {z} from 'zod';
import {
	jobAnswerSchema,
	nameSchema,
	problemSchema,
} from '@gentianshift/resources';
import {schedulingMessageSchemas} from './scheduling-messages.js';

export const protocolVersion = 1;

const count = z.number().int().min(0);
const duration = z.number();

/** The first message in both directions: identifies the sender. */
export const helloSchema = z.object({
	t: z.literal('hello'),
	version: z.number().int(),
	dataCentre: nameSchema,
	host: nameSchema,
	incarnation: z.string().regex(/^[\da-f]{16}$/v),
	/** `<ip>:<port>` where the sender accepts connections from other hosts. */
	address: z.string(),
	/** Processor cores that the sender may use; absent if unknown. */
	cores: z.number().positive().optional(),
	/** The sender is being stopped: it holds no role and accepts no new jobs. */
	isLeaving: z.boolean(),
	/**
	How long the sender keeps a connection that it accepted while no bytes arrive on it; absent: 2000. The other side
	pings often enough for that.
	*/
	silenceLimitMs: duration.optional(),
});

/** The client's heartbeat; the server answers with `pong`. */
export const pingSchema = z.object({
	t: z.literal('ping'),
	isLeaving: z.boolean(),
});
export const pongSchema = z.object({
	t: z.literal('pong'),
	isLeaving: z.boolean(),
});

/** A caller's request, forwarded to the job's owner. */
export const forwardSchema = z.object({
	t: z.literal('forward'),
	request: count,
	operation: z.enum(['submit', 'query', 'cancel']),
	id: z.string().max(200),
	attempt: z.number().int().min(1),
	waitMs: duration,
	/** The submission as JSON text. */
	submission: z.string().optional(),
	traceparent: z.string().optional(),
});

export const answerSchema = z.object({
	t: z.literal('answer'),
	request: count,
	answer: jobAnswerSchema.optional(),
	problem: problemSchema.optional(),
});

/** An owner requests slots for a job from a keeper. The counters never decrease, so processing the message twice is harmless. */
export const demandSchema = z.object({
	t: z.literal('demand'),
	target: nameSchema,
	job: count,
	service: nameSchema,
	team: nameSchema,
	remaining: count,
	asked: count,
	taskMs: duration,
	deadlineInMs: duration,
	waitedMs: duration,
	/** Slots granted so far, as far as the owner knows. */
	granted: count.optional(),
	/** A previous keeper admitted the job: this keeper skips the admission check. */
	isAdmitted: z.boolean().optional(),
	/** Slots that the job currently holds from other keepers. */
	heldElsewhere: count.optional(),
});

/** The job needs no more slots: it ended, failed or was cancelled. */
export const withdrawSchema = z.object({
	t: z.literal('withdraw'),
	target: nameSchema,
	job: count,
});

/** A slot of an executor that is lent to a job. */
export const slotSchema = z.object({
	executor: nameSchema,
	slot: count,
	job: count,
});

/**
Whether work is queued at the keeper. If so, owners release slots at once; otherwise they may batch
releases for some milliseconds, which saves most of the `release` messages.
*/
const hasQueuedWork = z.boolean();

/** Slots lent to the client; it may use them while its lease with this keeper is valid. */
export const grantSchema = z.object({
	t: z.literal('grant'),
	target: nameSchema,
	isHungry: hasQueuedWork,
	slots: z.array(slotSchema),
});

/** How the last task on a lent slot ended. */
export const slotReportSchema = z.object({
	slot: count,
	result: z.enum(['done', 'failed', 'refused', 'unknown', 'unused']),
	runMs: duration,
});

/** The client returns slots to the keeper. */
export const releaseSchema = z.object({
	t: z.literal('release'),
	target: nameSchema,
	slots: z.array(slotReportSchema),
});

/** The keeper refuses the job, for which it has lent no slot. */
export const refuseSchema = z.object({
	t: z.literal('refuse'),
	target: nameSchema,
	job: count,
	code: z.enum(['overloaded', 'deadline', 'impossible']),
	retryAfterMs: duration.optional(),
});

/** The keeper requests these slots back when their tasks end, because work of higher rank is queued. */
export const recallSchema = z.object({
	t: z.literal('recall'),
	target: nameSchema,
	slots: z.array(count),
});

/** The client requests an extension of its lease with this keeper. */
export const leaseSchema = z.object({
	t: z.literal('lease'),
	target: nameSchema,
	sequence: count,
	/** All slots of this keeper's executors that the client holds; sent first, and again after the keeper changed. */
	held: z.array(slotSchema).optional(),
	/** Results of tasks that ended on slots that the client kept. */
	reports: z.array(slotReportSchema),
});
/** The keeper's answer to `lease`. `leaving`: executors that must get no new tasks. */
export const leasedSchema = z.object({
	t: z.literal('leased'),
	target: nameSchema,
	sequence: count,
	/** Random number chosen when the host became keeper. A different number means a new keeper, which doesn't know the client's slots yet. */
	term: count,
	leaving: z.array(nameSchema),
	isHungry: hasQueuedWork,
});

/** Sent by the keeper when its queue becomes non-empty; see `isHungry`. */
export const workQueuedSchema = z.object({
	t: z.literal('hunger'),
	target: nameSchema,
});

/** A new keeper asks which slots are lent before it lends any; answered by `held`. */
export const askHeldSchema = z.object({
	t: z.literal('ask-held'),
	target: nameSchema,
	dataCentre: nameSchema,
});
export const heldSchema = z.object({
	t: z.literal('held'),
	target: nameSchema,
	dataCentre: nameSchema,
	slots: z.array(slotSchema),
});

/** A keeper, as client, asks a keeper of another data centre to lend slots to a job's owner: at once, or not at all. */
export const shiftSchema = z.object({
	t: z.literal('shift'),
	target: nameSchema,
	/** The owner that receives the grants: `<data centre>_<host>.<incarnation>`. */
	owner: z.string().max(200),
	demand: demandSchema,
	count,
});
/** Answer to `shift`: how many of the requested slots were lent. */
export const shiftedSchema = z.object({
	t: z.literal('shifted'),
	target: nameSchema,
	owner: z.string().max(200),
	job: count,
	count,
	granted: count,
	/** Free slots that remain at the answering keeper. */
	free: count,
});

/** A keeper's load, sent to keepers of other data centres when it changes considerably. */
export const keeperStateSchema = z.object({
	t: z.literal('keeper-state'),
	target: nameSchema,
	dataCentre: nameSchema,
	free: count,
	slots: count,
	queuedMs: duration,
});

const knownHostSchema = z.object({
	name: nameSchema,
	dataCentre: nameSchema,
	role: z.enum(['entry', 'worker']),
	address: z.string().max(64),
	state: z.enum(['live', 'leaving']),
});

/** The hosts that the sender knows. Sent within a data centre, because not every host reads the platform's host list. */
export const hostsSchema = z.object({
	t: z.literal('hosts'),
	/** Hosts that the sender knows at first hand: itself, those that it is connected to, and those on its own host list. */
	known: z.array(knownHostSchema),
	/** The platform's host list as the sender last got it; `listedAgeMs`: how long ago. */
	listed: z.array(knownHostSchema).optional(),
	listedAgeMs: duration.optional(),
});

/** A host's current state, shown to operators at other hosts. */
export const hostStatusSchema = z.object({
	t: z.literal('host-status'),
	/** Highest configuration revision in force at the sender. */
	revision: count,
	isStopping: z.boolean(),
	activeJobs: count,
	queuedTasks: count,
	keepers: z.array(
		z.object({
			target: nameSchema,
			free: count,
			slots: count,
			queuedTasks: count,
			/** Number of leaving executors that still have lent slots. */
			leaving: count,
		}),
	),
});

/** Only `t` is checked here; the configuration package validates the rest by its own schemas. */
export const configurationSchema = z.looseObject({
	t: z.enum(['config-digest', 'config-revisions', 'config-resources']),
});

export const messageSchema = z.discriminatedUnion('t', [
	helloSchema,
	pingSchema,
	pongSchema,
	forwardSchema,
	answerSchema,
	demandSchema,
	withdrawSchema,
	grantSchema,
	releaseSchema,
	refuseSchema,
	recallSchema,
	leaseSchema,
	leasedSchema,
	workQueuedSchema,
	askHeldSchema,
	heldSchema,
	shiftSchema,
	shiftedSchema,
	keeperStateSchema,
	hostsSchema,
	hostStatusSchema,
	configurationSchema,
	...schedulingMessageSchemas,
]);

export type Message = z.infer<typeof messageSchema>;
export type MessageOf<T extends Message['t']> = Extract<Message, {t: T}>;
export type Hello = z.infer<typeof helloSchema>;
export type LentSlot = z.infer<typeof slotSchema>;
