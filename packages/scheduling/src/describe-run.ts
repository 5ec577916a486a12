/**
A run as the log names it: its job, task and attempt, and what is known of its start.
*/
import {type Run} from './run.js';

export type RunDescription = {
	job: string;
	task: number;
	attempt: number;
	/** Time since the start was sent, milliseconds. */
	ageMs: number;
	/** Time since the start was accepted, milliseconds; undefined: it was not. */
	acceptedAgoMs?: number;
	/** Start time of the process that accepted the start, Unix milliseconds; undefined: the answer did not say. */
	acceptedBornMs?: number;
};

export function describeRun(
	{job, index, attempt, startedAt, acceptedAt, acceptedBornMs}: Run,
	now: number,
): RunDescription {
	return {
		job,
		task: index,
		attempt,
		ageMs: Math.round(now - startedAt),
		...(acceptedAt !== undefined && {
			acceptedAgoMs: Math.round(now - acceptedAt),
		}),
		...(acceptedBornMs !== undefined && {acceptedBornMs}),
	};
}
