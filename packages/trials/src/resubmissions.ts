/**
What the trials of "at most once" and of refusals have in common: copies of one submission sent
to many hosts, names chosen by callers, and what the executors saw of a job.
*/
import assert from 'node:assert/strict';
import {type Start} from '@gentianshift/standins';
import {type Submission} from '@gentianshift/resources';
import {runJob, type CallOptions, type JobOutcome} from './caller.js';
import {type RunningSystem} from './harness.js';
import {getJobOf} from './judge.js';

/** Sends the same submission to each host at once; each copy is followed to its own end. */
export async function submitEverywhere(
	urls: readonly string[],
	id: string,
	submission: Submission,
	options: CallOptions = {},
): Promise<JobOutcome[]> {
	return Promise.all(
		urls.map(async (url) => runJob([url], id, submission, options)),
	);
}

/** The starts of one job, as the executors logged them. */
export async function readJobStarts(
	system: RunningSystem,
	id: string,
): Promise<Start[]> {
	const starts = await system.readStarts();
	return starts.filter(({task}) => getJobOf(task) === id);
}

/** What a problem said, or why there is none. */
export function describeOutcome(outcome: JobOutcome): string {
	switch (outcome.kind) {
		case 'answer': {
			return outcome.answer.state;
		}

		case 'problem': {
			return `${outcome.problem.code}, ran: ${outcome.problem.ran}`;
		}

		case 'lost': {
			return `lost: ${outcome.detail}`;
		}
	}
}

/** Fails when a caller was told, by a host that cannot know, that nothing ran. */
export function assertNoneSaidNone(outcomes: readonly JobOutcome[]): void {
	const told = outcomes.map((outcome) => describeOutcome(outcome));
	assert.ok(
		told.every((one) => !one.endsWith('ran: none')),
		told.join('; '),
	);
}
