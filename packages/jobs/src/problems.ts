/**
Refusals and failures that this host answers. Each says whether any task of the job ran: `none`,
`some` or `unknown`. Every place that creates a problem with `none` is listed in docs/REFUSALS.md,
with the reason why no task can have run.
*/
import {type Problem, type Ran} from '@gentianshift/resources';

export type ProblemCode =
	| 'malformed-id'
	| 'id-required'
	| 'id-expired'
	| 'id-in-use'
	| 'unknown-service'
	| 'unknown-team'
	| 'too-many-tasks'
	| 'impossible'
	| 'overloaded'
	| 'deadline'
	| 'stopping'
	| 'not-found'
	| 'cancelled'
	| 'task-failed'
	| 'task-unknown'
	| 'owner-gone'
	| 'owner-unreachable'
	| 'platform-down'
	| 'answer-dropped';

type ProblemKind = {status: number; title: string};

const problemKinds: Record<ProblemCode, ProblemKind> = {
	'malformed-id': {status: 400, title: 'The id is malformed'},
	'id-required': {
		status: 428,
		title: 'The service takes no submission without an id',
	},
	'id-expired': {status: 410, title: 'The id is too old to start'},
	'id-in-use': {status: 409, title: 'The id stands for another job'},
	'unknown-service': {status: 404, title: 'No such service'},
	'unknown-team': {status: 403, title: 'No such team'},
	'too-many-tasks': {status: 413, title: 'More tasks than the service takes'},
	impossible: {status: 422, title: 'The job can never run'},
	overloaded: {status: 503, title: 'The queue is full'},
	deadline: {status: 503, title: 'The deadline cannot be met'},
	stopping: {status: 503, title: 'The host is stopping'},
	'not-found': {status: 404, title: 'No such job'},
	cancelled: {status: 409, title: 'The job was cancelled'},
	'task-failed': {status: 502, title: 'A task failed'},
	'task-unknown': {status: 502, title: 'A task gave no whole answer'},
	'owner-gone': {status: 410, title: 'The host that owned the job is gone'},
	'owner-unreachable': {
		status: 504,
		title: 'The host that owns the job cannot be reached',
	},
	'platform-down': {status: 503, title: "The platform's service is down"},
	'answer-dropped': {status: 410, title: 'The answer is no longer kept'},
};

export type ProblemFields = Partial<
	Pick<Problem, 'id' | 'retryAfterMs' | 'tasksDone' | 'tasksUnknown' | 'issuer'>
>;

export function createProblem(
	code: ProblemCode,
	ran: Ran,
	detail: string,
	fields: ProblemFields = {},
): Problem {
	const {status, title} = problemKinds[code];
	return {type: 'about:blank', title, status, detail, code, ran, ...fields};
}
