/**
What the trials' tests have in common: submissions, a steady load, and the judge as an assertion.
*/
import assert from 'node:assert/strict';
import {setTimeout as delay} from 'node:timers/promises';
import {type Submission} from '@gentianshift/resources';
import {fetchIssuer, makeJobId, runJob, type JobOutcome} from './caller.js';
import {type RunningSystem} from './harness.js';
import {checkPromises, type Drain} from './judge.js';

export function createSubmission(
	tasks: number,
	ms: number,
	changes: Partial<Submission> = {},
): Submission {
	return {
		service: 'meals',
		team: 'cooks',
		tasks: Array.from({length: tasks}, (_, i) => ({ms, value: `dish ${i}`})),
		...changes,
	};
}

export function isComplete(outcome: JobOutcome): boolean {
	return outcome.kind === 'answer' && outcome.answer.state === 'complete';
}

/** Submits to a host a job of its own, and waits for the final answer. */
export async function runOwnJob(
	url: string,
	submission: Submission,
): Promise<JobOutcome> {
	const id = makeJobId(await fetchIssuer(url));
	return runJob([url], id, submission);
}

export type SteadyLoad = {
	/** Stops submitting and waits for all answers. */
	stop: () => Promise<JobOutcome[]>;
};

/** Submits a job every few milliseconds, to the hosts in turn, each with an id of its own. */
export function startLoad(
	urls: readonly string[],
	submission: Submission,
	everyMs = 40,
): SteadyLoad {
	const outcomes: Array<Promise<JobOutcome>> = [];
	const stopping = new AbortController();
	const submitting = (async () => {
		for (let turn = 0; !stopping.signal.aborted; turn++) {
			outcomes.push(runOwnJob(urls[turn % urls.length]!, submission));
			await delay(everyMs);
		}
	})();
	return {
		async stop() {
			stopping.abort();
			await submitting;
			return Promise.all(outcomes);
		},
	};
}

/** Fails when the executors' log shows a broken promise. */
export async function assertPromises(
	system: RunningSystem,
	outcomes: readonly JobOutcome[],
	drains: readonly Drain[] = [],
): Promise<void> {
	const violations = checkPromises({
		starts: await system.readStarts(),
		outcomes,
		drains,
		stats: await system.readStats(),
		connections: 60,
	});
	assert.deepEqual(violations, []);
}

/** Fails with what was told where a job isn't complete. */
export function assertComplete(outcomes: readonly JobOutcome[]): void {
	const others = outcomes.filter((outcome) => !isComplete(outcome));
	const told = others.map(({submission: _, ...outcome}) =>
		JSON.stringify(outcome).slice(0, 500),
	);
	assert.deepEqual(told.slice(0, 5), [], `${others.length} jobs not complete`);
}
