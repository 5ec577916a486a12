/**
The judge of a trial: holds what the executors logged against what the callers were told.
*/
import {type ExecutorStats, type Start} from '@gentianshift/standins';
import {type JobOutcome} from './caller.js';

/** A promise of the brief that was broken, with what shows it. */
export type Violation = {
	code:
		| 'started-twice'
		| 'not-whole'
		| 'not-own'
		| 'ran-after-refusal'
		| 'no-start'
		| 'late-start'
		| 'no-answer'
		| 'not-recovered'
		| 'slots-exceeded'
		| 'connections-exceeded';
	message: string;
};

/** An executor that was declared leaving. */
export type Drain = {
	executor: string;
	/** Unix milliseconds of the accepted change. */
	at: number;
	/** When it was declared active again; absent: never. */
	until?: number;
	/** Nothing new starts later than this after it, milliseconds. */
	boundMs: number;
};

export type Evidence = {
	starts: readonly Start[];
	outcomes: readonly JobOutcome[];
	drains?: readonly Drain[];
	stats?: readonly ExecutorStats[];
	/** Connections that an executor takes from all hosts together. */
	connections?: number;
};

/** Lists all broken promises; an empty list means that all were kept. */
export function checkPromises(evidence: Evidence): Violation[] {
	return [
		...checkStartedOnce(evidence),
		...checkWholeAnswers(evidence),
		...checkRefusals(evidence),
		...checkDrains(evidence),
		...checkHighWater(evidence),
	];
}

/** The job's id within a task's (`JOBID/INDEX`). */
export function getJobOf(task: string): string {
	return task.slice(0, task.lastIndexOf('/'));
}

function* checkStartedOnce({starts}: Evidence): Generator<Violation> {
	const seen = new Map<string, Start>();
	for (const start of starts) {
		const first = seen.get(start.task);
		if (first !== undefined) {
			yield {
				code: 'started-twice',
				message: `${start.task}: at ${first.executor} ${first.at} by ${first.from}, at ${start.executor} ${start.at} by ${start.from}`,
			};
		}

		seen.set(start.task, start);
	}
}

function* checkWholeAnswers({
	starts,
	outcomes,
}: Evidence): Generator<Violation> {
	const started = new Set(starts.map(({task}) => task));
	for (const outcome of outcomes) {
		if (outcome.kind !== 'answer' || outcome.answer.state !== 'complete') {
			continue;
		}

		const {id, submission, answer} = outcome;
		const results = answer.results ?? [];
		if (results.length !== submission.tasks.length) {
			yield {
				code: 'not-whole',
				message: `${id}: ${results.length} results of ${submission.tasks.length} tasks`,
			};
		}

		const missing = submission.tasks.findIndex(
			(_, i) => !started.has(`${id}/${i}`),
		);
		if (missing !== -1) {
			yield {code: 'no-start', message: `${id}/${missing}: never started`};
		}

		const wrong = results.findIndex(
			(result, i) => !isResultOf(result, submission.tasks[i], `${id}/${i}`),
		);
		if (wrong !== -1) {
			yield {
				code: 'not-own',
				message: `${id}/${wrong}: ${JSON.stringify(results[wrong])}`,
			};
		}
	}
}

function isResultOf(result: unknown, payload: unknown, task: string): boolean {
	const {value, task: answered} = result as {value: unknown; task: string};
	const {value: sent = null} = payload as {value?: unknown};
	return answered === task && JSON.stringify(value) === JSON.stringify(sent);
}

function* checkRefusals({starts, outcomes}: Evidence): Generator<Violation> {
	const startsOfJob = countByJob(starts);
	for (const outcome of outcomes) {
		if (outcome.kind !== 'problem' || outcome.problem.ran !== 'none') {
			continue;
		}

		const started = startsOfJob.get(outcome.id) ?? 0;
		if (started > 0) {
			yield {
				code: 'ran-after-refusal',
				message: `${outcome.id}: told ${outcome.problem.code}, ran none; ${started} tasks started`,
			};
		}
	}
}

function countByJob(starts: readonly Start[]): Map<string, number> {
	const counts = new Map<string, number>();
	for (const {task} of starts) {
		const job = getJobOf(task);
		counts.set(job, (counts.get(job) ?? 0) + 1);
	}

	return counts;
}

function* checkDrains({starts, drains = []}: Evidence): Generator<Violation> {
	for (const {executor, at, until = Infinity, boundMs} of drains) {
		const late = starts.filter(
			(start) =>
				start.executor === executor &&
				start.at > at + boundMs &&
				start.at < until,
		);
		if (late.length > 0) {
			const latest = Math.max(...late.map((start) => start.at));
			yield {
				code: 'late-start',
				message: `${executor}: ${late.length} starts, the last ${latest - at} ms after it was declared leaving`,
			};
		}
	}
}

function* checkHighWater({
	stats = [],
	connections,
}: Evidence): Generator<Violation> {
	for (const one of stats) {
		if (one.runningHighWater > one.slots) {
			yield {
				code: 'slots-exceeded',
				message: `${one.executor}: ${one.runningHighWater} of ${one.slots} slots`,
			};
		}

		if (connections !== undefined && one.connectionsHighWater > connections) {
			yield {
				code: 'connections-exceeded',
				message: `${one.executor}: ${one.connectionsHighWater} of ${connections} connections`,
			};
		}
	}
}
