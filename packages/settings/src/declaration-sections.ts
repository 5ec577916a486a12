/**
The sections of declarations: what may be written, and the resource's fields it turns into.
*/
import {z} from 'zod';
import {maxTasksPerJob} from '@gentianshift/resources';
import {
	defineAddress,
	defineCount,
	defineDuration,
	defineFlag,
	defineName,
	definePattern,
	defineRatio,
	defineWord,
} from './fields.js';

const longestTaskMs = 600_000;
const longestDeadlineMs = 3_600_000;

const defineState = () => defineWord(['active', 'leaving']);

const executorSection = z
	.strictObject({
		target: defineName(),
		address: defineAddress(),
		'data-centre': defineName(),
		slots: defineCount({min: 1, max: 4096}),
		connections: defineCount({min: 1, max: 65_535}),
		state: defineState().prefault('active'),
	})
	.transform(({'data-centre': dataCentre, ...executor}) => ({
		...executor,
		dataCentre,
	}));

const serviceSection = z
	.strictObject({
		target: defineName(),
		path: definePattern(
			/^\/[\w\-.\/~]*$/v,
			'a path that starts with "/"',
		).optional(),
		idempotent: defineFlag().optional(),
		prefer: defineWord(['response', 'messages']).optional(),
		'task-time': defineDuration({min: 1, max: longestTaskMs}).optional(),
		'task-limit': defineDuration({min: 1, max: longestTaskMs}).optional(),
		deadline: defineDuration({min: 1, max: longestDeadlineMs}).optional(),
		'max-tasks': defineCount({min: 1, max: maxTasksPerJob}).optional(),
		'queue-tasks': defineCount({min: 1, max: 10_000_000}).optional(),
	})
	.transform((service) => ({
		target: service.target,
		path: service.path,
		idempotent: service.idempotent,
		prefer: service.prefer,
		taskMs: service['task-time'],
		taskLimitMs: service['task-limit'],
		deadlineMs: service.deadline,
		maxTasks: service['max-tasks'],
		queueTasks: service['queue-tasks'],
	}));

const teamSection = z.strictObject({
	weight: defineRatio({min: 0.01, max: 1000}).optional(),
	quota: defineCount({min: 1, max: Number.MAX_SAFE_INTEGER}).optional(),
});

/** By the first word of a section's title; executors become part of their target. */
export const declarationSections = {
	target: {
		kind: 'targets',
		schema: z.strictObject({state: defineState().optional()}),
	},
	executor: {kind: 'targets', schema: executorSection},
	service: {kind: 'services', schema: serviceSection},
	team: {kind: 'teams', schema: teamSection},
} as const;

export type DeclarationWord = keyof typeof declarationSections;
