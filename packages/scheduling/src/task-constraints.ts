/**
Where the tasks of a job may run, beyond what their service and their demand say.
*/
import {type TaskConstraints} from '@gentianshift/protocol';
import {type Run} from './run.js';

/** A job, as far as it limits where its tasks run. */
export type ConstrainedJob = {
	id: string;
	/** Undefined: the tasks may run on any executor of the service. */
	constraints?: TaskConstraints;
};

type ConstrainedExecutor = {
	labels?: readonly string[];
	runs?: ReadonlyMap<string, Run>;
};

/** Whether the executor may take one more task of the job. A run that is being stopped counts as running. */
export function isAllowedOn(
	{labels = [], runs = new Map()}: ConstrainedExecutor,
	{id, constraints}: ConstrainedJob,
): boolean {
	if (!constraints) {
		return true;
	}

	const {requiredLabel, maxPerExecutor = Infinity} = constraints;
	if (requiredLabel !== undefined && !labels.includes(requiredLabel)) {
		return false;
	}

	let running = 0;
	for (const {job} of runs.values()) {
		running += Number(job === id);
	}

	return running < maxPerExecutor;
}

/** Whether a group whose executors have these labels can run tasks with these constraints; `labels` undefined: not known. */
export function hasRequiredLabel(
	labels: readonly string[] | undefined,
	constraints: TaskConstraints | undefined,
): boolean {
	const requiredLabel = constraints?.requiredLabel;
	return (
		requiredLabel === undefined || (labels?.includes(requiredLabel) ?? true)
	);
}
