/**
Seeded loads for the decision tests: jobs of log-normal sizes and run times.
*/
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {
	type ExecutorPlan,
	type JobPlan,
	type JobRecord,
} from './replay.fixture.js';

/** Uniform in (0, 1). */
export type Random = () => number;

export function seedRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	const steps = 2 ** 30;
	return () =>
		(unsafeUniformIntDistribution(1, steps, generator) - 0.5) / steps;
}

export function drawLogNormal(
	random: Random,
	median: number,
	sigma: number,
): number {
	const normal =
		Math.sqrt(-2 * Math.log(random())) * Math.cos(2 * Math.PI * random());
	return median * Math.exp(sigma * normal);
}

export function makeExecutors(count: number, dataCentres = 1): ExecutorPlan[] {
	return Array.from({length: count}, (_, i) => ({
		name: `executor-${i}`,
		dataCentre: i % dataCentres,
		slots: 8,
	}));
}

export type LoadPlan = {
	random: Random;
	jobCount: number;
	/** Average share of slots in use: 0.8 is 80% load. */
	load: number;
	slots: number;
	medianTasks?: number;
	sizeSigma?: number;
	medianRunMs?: number;
	runSigma?: number;
	deadlineMs?: number;
	teams?: string[];
	dataCentres?: number;
	declaredMs?: number;
};

/** Jobs that arrive as a Poisson process, at the rate that gives `plan.load`. */
export function makeJobs(plan: LoadPlan): JobPlan[] {
	const {
		random,
		jobCount,
		load,
		slots,
		teams = ['cooks'],
		dataCentres = 1,
	} = plan;
	const jobs = Array.from({length: jobCount}, () => makeJob(plan));
	const totalMs = jobs.reduce((sum, job) => sum + measureWork(job), 0);
	const gapMs = totalMs / jobCount / (slots * load);
	let at = 0;
	for (const [i, job] of jobs.entries()) {
		at -= gapMs * Math.log(random());
		job.at = at;
		job.team = teams[i % teams.length]!;
		job.dataCentre = Math.floor(random() * dataCentres);
	}

	return jobs;
}

export function makeJob(plan: LoadPlan): JobPlan {
	const {
		random,
		medianTasks = 10,
		sizeSigma = 1.2,
		medianRunMs = 150,
		runSigma = 0.6,
	} = plan;
	const tasks = Math.ceil(drawLogNormal(random, medianTasks, sizeSigma));
	return {
		at: 0,
		team: 'cooks',
		dataCentre: 0,
		deadlineMs: plan.deadlineMs ?? 30_000,
		declaredMs: plan.declaredMs ?? 200,
		runMs: Array.from({length: Math.min(1700, tasks)}, () =>
			drawLogNormal(random, medianRunMs, runSigma),
		),
	};
}

export function measureWork(job: JobPlan): number {
	return job.runMs.reduce((sum, runMs) => sum + runMs, 0);
}

/** Response time divided by that in an empty system; only for jobs in state `done`. */
export function measureRatio(
	{plan, endedAt}: JobRecord,
	slots: number,
): number {
	const idealMs = Math.max(...plan.runMs, measureWork(plan) / slots) + 2;
	return (endedAt - plan.at) / idealMs;
}

export function findPercentile(
	values: readonly number[],
	percent: number,
): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[
		Math.min(sorted.length - 1, Math.floor((sorted.length * percent) / 100))
	]!;
}
