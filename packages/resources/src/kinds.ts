/**
The three kinds of resource an operator declares: services, teams and targets.
Each schema is the definition; its type falls out of it.
*/
import {z} from 'zod';
import {isHostAddress} from './host-address.js';

/** Most tasks in one job (letter 1). */
export const maxTasksPerJob = 1700;

/** Names are short, so that keys and metric labels stay readable. */
export const nameSchema = z
	.string()
	.regex(
		/^[a-z\d][a-z\d\-]{0,62}$/v,
		'a name has 1 to 63 of a-z, 0-9 and "-", and does not start with "-"',
	);

/** An IP address and a port: hosts talk by IP numbers. */
export const addressSchema = z
	.string()
	.refine(
		(text) => isHostAddress(text),
		'an address is IPV4:PORT, like 127.0.0.1:7000',
	);

/** One process of a target that takes requests over HTTP. */
export const executorSchema = z.strictObject({
	name: nameSchema,
	address: addressSchema,
	dataCentre: nameSchema,
	/** Tasks it runs at the same time. */
	slots: z.number().int().min(1).max(4096),
	/** Connections it takes from all hosts together. */
	connections: z.number().int().min(1).max(65_535),
	/** A leaving executor gets no new task. */
	state: z.enum(['active', 'leaving']).default('active'),
});

/** A back end: the executors that serve it. */
export const targetSpecSchema = z.strictObject({
	state: z.enum(['active', 'leaving']).default('active'),
	executors: z.array(executorSchema).max(4096).default([]),
});

/** What callers submit jobs to. */
export const serviceSpecSchema = z.strictObject({
	target: nameSchema,
	/** Path of the executor's URL that a task is posted to. */
	path: z
		.string()
		.regex(/^\/[\w\-.\/~]*$/v, 'a path starts with "/"')
		.default('/'),
	/** False: a submission must carry an id, so that a retry cannot become a second run. */
	idempotent: z.boolean().default(false),
	/** What counts more when they conflict: response time, or few wasted messages. */
	prefer: z.enum(['response', 'messages']).default('response'),
	/** Declared run time of one task, milliseconds: only the prior of what is learned. */
	taskMs: z.number().int().min(1).max(600_000).default(200),
	/** Longest a task may run before it counts as unknown, milliseconds. */
	taskLimitMs: z.number().int().min(1).max(600_000).default(30_000),
	/** A job's deadline where the caller names none, milliseconds from submission. */
	deadlineMs: z.number().int().min(1).max(3_600_000).default(30_000),
	maxTasks: z.number().int().min(1).max(maxTasksPerJob).default(maxTasksPerJob),
	/** Tasks of this service that may wait at one host. */
	queueTasks: z.number().int().min(1).max(10_000_000).default(100_000),
});

/** A caller's share of the slots. */
export const teamSpecSchema = z.strictObject({
	/** Relative share when slots are short. */
	weight: z.number().min(0.01).max(1000).default(1),
	/** Most slots in use at once over all targets; absent: no limit. */
	quota: z.number().int().min(1).optional(),
});

export type Executor = z.infer<typeof executorSchema>;
export type TargetSpec = z.infer<typeof targetSpecSchema>;
export type ServiceSpec = z.infer<typeof serviceSpecSchema>;
export type TeamSpec = z.infer<typeof teamSpecSchema>;

/** Kinds by the name used in paths, keys and declarations. */
export const kindSchema = z.enum(['services', 'teams', 'targets']);
export type Kind = z.infer<typeof kindSchema>;

export const specSchemas = {
	services: serviceSpecSchema,
	teams: teamSpecSchema,
	targets: targetSpecSchema,
} as const;

export type SpecOf = {
	services: ServiceSpec;
	teams: TeamSpec;
	targets: TargetSpec;
};
