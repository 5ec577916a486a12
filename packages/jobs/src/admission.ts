/**
The checks on a submission that need no keeper: whether this host may take the job in.

For floods and for mistakes: a job that can never run, or that this host could not keep in memory,
is refused at once and costs no message. All these refusals say "none": the record is new, and
nothing of it was sent.
*/
import {type Problem, type ServiceSpec} from '@gentianshift/resources';
import {type Generations} from './generations.js';
import {type JobRecord} from './job-record.js';
import {createProblem, type ProblemCode} from './problems.js';

/** Limits of this host, against floods that it could not keep in memory. */
export type OwnerLimits = {
	/** Jobs not yet ended. */
	jobs: number;
	/** Tasks waiting for slots, all services together. */
	queueTasks: number;
	/** Ended jobs kept for those who ask again. */
	records: number;
};

/** What the host knows at the moment of the submission. */
export type AdmissionView = {
	service: ServiceSpec | undefined;
	hasTeam: boolean;
	/** Whether the service's target has anything that could ever run a task. */
	canServe: boolean;
	isStopping: boolean;
	limits: OwnerLimits;
	activeJobs: number;
	queuedTasks: number;
};

/** Another host takes the job: soon enough to be worth a wait, milliseconds. */
const elsewhereMs = 200;

/** A full host has room again after some of its jobs have ended, milliseconds. */
const fullMs = 1000;

/** Why the job isn't taken in; undefined when it is. */
export function judgeSubmission(
	record: JobRecord,
	view: AdmissionView,
): Problem | undefined {
	const refuse = (code: ProblemCode, detail: string, retryAfterMs?: number) =>
		createProblem(code, 'none', detail, {id: record.id, retryAfterMs});
	const {service: name, team} = record.submission;
	const {service} = view;
	if (!service) {
		return refuse('unknown-service', `no service "${name}" is declared`);
	}

	if (!view.hasTeam) {
		return refuse('unknown-team', `no team "${team}" is declared`);
	}

	if (record.taskCount > service.maxTasks) {
		const detail = `${record.taskCount} tasks; the service takes ${service.maxTasks}`;
		return refuse('too-many-tasks', detail);
	}

	if (!view.canServe) {
		const detail = `target "${service.target}" has no executor that takes work`;
		return refuse('impossible', detail);
	}

	if (view.isStopping) {
		const detail = 'this host is stopping; another one takes the job';
		return refuse('stopping', detail, elsewhereMs);
	}

	return isFull(record, service, view)
		? refuse('overloaded', 'this host keeps all the work it may', fullMs)
		: undefined;
}

/**
An id of an expired generation may have run, its record dropped since: "unknown", never "none".
*/
export function judgeGeneration(
	id: string,
	state: ReturnType<Generations['checkGeneration']>,
): Problem | undefined {
	if (state === 'startable') {
		return undefined;
	}

	return state === 'expired'
		? createProblem(
				'id-expired',
				'unknown',
				'an id is good for two generations; take a new one',
				{id},
			)
		: createProblem(
				'malformed-id',
				'unknown',
				'this host has not issued such an id',
				{id},
			);
}

function isFull(
	record: JobRecord,
	service: ServiceSpec,
	{limits, activeJobs, queuedTasks}: AdmissionView,
): boolean {
	const queued = queuedTasks + record.taskCount;
	return (
		activeJobs >= limits.jobs ||
		queued > Math.min(limits.queueTasks, service.queueTasks)
	);
}
