/**
The messages between hosts. On a connection the side that dialled asks (client) and the side
that accepted answers (server); two hosts that both ask hold a connection each way.
Times are milliseconds and always durations: hosts share no clock.
*/
import {z} from 'zod';
import {
	jobAnswerSchema,
	nameSchema,
	problemSchema,
} from '@gentianshift/resources';

export const protocolVersion = 1;

const count = z.number().int().min(0);
const duration = z.number();

/** First message both ways: who speaks. */
export const helloSchema = z.object({
	t: z.literal('hello'),
	version: z.number().int(),
	dataCentre: nameSchema,
	host: nameSchema,
	incarnation: z.string().regex(/^[\da-f]{16}$/v),
	/** Where the speaker accepts inner connections. */
	address: z.string(),
	/** A host that is stopping holds no role and takes no new job. */
	isLeaving: z.boolean(),
});

/** Client's heartbeat, answered by `pong`. */
export const pingSchema = z.object({
	t: z.literal('ping'),
	isLeaving: z.boolean(),
});
export const pongSchema = z.object({
	t: z.literal('pong'),
	isLeaving: z.boolean(),
});

/** A caller's request, handed to the job's owner. */
export const forwardSchema = z.object({
	t: z.literal('forward'),
	request: count,
	operation: z.enum(['submit', 'query', 'cancel']),
	id: z.string().max(200),
	attempt: z.number().int().min(1),
	waitMs: duration,
	/** JSON text of the submission. */
	submission: z.string().optional(),
	traceparent: z.string().optional(),
});

export const answerSchema = z.object({
	t: z.literal('answer'),
	request: count,
	answer: jobAnswerSchema.optional(),
	problem: problemSchema.optional(),
});

/** An owner tells a keeper how many slots a job wants; counters only rise, so it is idempotent. */
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
});

/** The job wants nothing more: it ended, failed or was cancelled. */
export const withdrawSchema = z.object({
	t: z.literal('withdraw'),
	target: nameSchema,
	job: count,
});

/** A lent slot. */
export const slotSchema = z.object({
	executor: nameSchema,
	slot: count,
	job: count,
});

/** Slots lent to the client; usable while its lease with this keeper runs. */
export const grantSchema = z.object({
	t: z.literal('grant'),
	target: nameSchema,
	slots: z.array(slotSchema),
});

/** Slots given back, each with how its last task ended. */
export const releaseSchema = z.object({
	t: z.literal('release'),
	target: nameSchema,
	slots: z.array(
		z.object({
			slot: count,
			result: z.enum(['done', 'failed', 'refused', 'unknown', 'unused']),
			runMs: duration,
		}),
	),
});

/** The keeper will not serve this job; nothing of it has been lent a slot. */
export const refuseSchema = z.object({
	t: z.literal('refuse'),
	target: nameSchema,
	job: count,
	code: z.enum(['overloaded', 'deadline', 'impossible']),
	retryAfterMs: duration.optional(),
});

/** Give these back as their tasks end: better-ranked work waits. */
export const recallSchema = z.object({
	t: z.literal('recall'),
	target: nameSchema,
	slots: z.array(count),
});

/** Client's request to extend its lease; `held` is all it holds of this keeper. */
export const leaseSchema = z.object({
	t: z.literal('lease'),
	target: nameSchema,
	sequence: count,
	held: z.array(slotSchema),
});
/** `leaving`: executors that must get nothing new. */
export const leasedSchema = z.object({
	t: z.literal('leased'),
	target: nameSchema,
	sequence: count,
	leaving: z.array(nameSchema),
});

/** A keeper's client side asks a keeper of another data centre to lend to its owner at once, or not. */
export const shiftSchema = z.object({
	t: z.literal('shift'),
	target: nameSchema,
	/** `<data centre>_<host>` of the owner that the grants go to. */
	owner: z.string(),
	demand: demandSchema,
	count,
});
/** How many of a shift were lent. */
export const shiftedSchema = z.object({
	t: z.literal('shifted'),
	target: nameSchema,
	owner: z.string(),
	job: count,
	count,
	granted: count,
});

/** A keeper's state, told to keepers of other data centres when it changes much. */
export const keeperStateSchema = z.object({
	t: z.literal('keeper-state'),
	target: nameSchema,
	free: count,
	slots: count,
	queuedMs: duration,
});

/** Hosts as the sender knows them: for peers that cannot read the platform's list. */
export const hostsSchema = z.object({
	t: z.literal('hosts'),
	hosts: z.array(
		z.object({
			name: nameSchema,
			dataCentre: nameSchema,
			role: z.enum(['entry', 'worker']),
			address: z.string(),
			state: z.enum(['live', 'leaving']),
		}),
	),
});

/** Checked by the configuration package's own schemas. */
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
	shiftSchema,
	shiftedSchema,
	keeperStateSchema,
	hostsSchema,
	configurationSchema,
]);

export type Message = z.infer<typeof messageSchema>;
export type MessageOf<T extends Message['t']> = Extract<Message, {t: T}>;
export type Hello = z.infer<typeof helloSchema>;
export type LentSlot = z.infer<typeof slotSchema>;
