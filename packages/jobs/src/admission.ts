/**
Checks of a submission that this host makes alone, without a message to a slot keeper.

They protect against overload and caller errors: a job that can never run, or that would exceed
this host's limits, is refused at once. All these refusals say that nothing ran (`ran: 'none'`),
because the job's record is new and none of its tasks has been sent.
*/
import {type Problem, type ServiceSpec} from '@gentianshift/resources';
import {type Generations} from './generations.js';
import {type JobRecord} from './job-record.js';
import {createProblem, type ProblemCode} from './problems.js';

/** Limits of this host, which bound its memory use under overload. */
export type OwnerLimits = {
	/** Jobs not yet ended. */
	jobs: number;
	/** Tasks waiting for slots, over all services. */
	queueTasks: number;
	/** Ended jobs whose answers are kept for repeated requests. */
	records: number;
};

/** State of the host at the time of the submission. */
export type HostState = {
	service: ServiceSpec | undefined;
	hasTeam: boolean;
	/** Whether the service's target has an executor that could run its tasks. */
	canServe: boolean;
	isStopping: boolean;
	limits: OwnerLimits;
	activeJobs: number;
	queuedTasks: number;
};

/** Retry delay when this host is stopping; short, as another host can take the job at once. */
const stoppingRetryMs = 200;

/** Retry delay when this host is full; it accepts jobs again after some of its jobs have ended. */
const fullRetryMs = 1000;

/** Returns why the job is refused, or undefined if it is accepted. */
export function judgeSubmission(
	record: JobRecord,
	view: HostState,
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
		return refuse('stopping', detail, stoppingRetryMs);
	}

	return isFull(record, service, view)
		? refuse('overloaded', 'this host keeps all the work it may', fullRetryMs)
		: undefined;
}

/**
Returns why an id of this generation can't be started, or undefined if it can. A job of an expired
generation may have run, as its record may have been dropped: the problem says `ran: 'unknown'`.
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
	{limits, activeJobs, queuedTasks}: HostState,
): boolean {
	const queued = queuedTasks + record.taskCount;
	return (
		activeJobs >= limits.jobs ||
		queued > Math.min(limits.queueTasks, service.queueTasks)
	);
}
