/**
Response times and refusals under load, simulated on a virtual clock with fixed seeds. The replay itself
fails if an executor ever gets more tasks at once than it has slots.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	findPercentile,
	makeExecutors,
	makeJob,
	makeJobs,
	measureRatio,
	measureWork,
	seedRandom,
} from './load.fixture.js';
import {Replay, type JobRecord, type ReplayReport} from './replay.fixture.js';

const slots = 80;
const executors = makeExecutors(10);

function listRatios(jobs: JobRecord[]): number[] {
	return jobs
		.filter(({state}) => state === 'done')
		.map((job) => measureRatio(job, slots));
}

function countByState({jobs}: ReplayReport, state: JobRecord['state']): number {
	return jobs.filter((job) => job.state === state).length;
}

/** Share of the slots' capacity until the last arrival that went into jobs that completed. */
function measureGoodput({jobs}: ReplayReport): number {
	const lastAt = Math.max(...jobs.map(({plan}) => plan.at));
	let workMs = 0;
	for (const job of jobs) {
		workMs += job.state === 'done' ? job.workBeforeLastArrivalMs : 0;
	}

	return workMs / (slots * lastAt);
}

function assertAtMost(value: number, bound: number): void {
	assert.ok(value <= bound, `${value} is above ${bound}`);
}

function assertAtLeast(value: number, bound: number): void {
	assert.ok(value >= bound, `${value} is below ${bound}`);
}

function makeLoad(load: number, count: number, teams = ['cooks']) {
	return makeJobs({
		random: seedRandom(11),
		jobCount: count,
		load,
		slots,
		teams,
		deadlineMs: 10_000,
	});
}

test('at 80% load, jobs take little longer than in an empty system and few grants stay unused', () => {
	const jobs = makeJobs({
		random: seedRandom(11),
		jobCount: 2500,
		load: 0.8,
		slots: 240,
	});
	const report = new Replay({jobs, executors: makeExecutors(30)}).run();
	assert.equal(countByState(report, 'done'), 2500);
	const ratios = report.jobs.map((job) => measureRatio(job, 240));
	assertAtMost(findPercentile(ratios, 50), 1.05);
	assertAtMost(findPercentile(ratios, 99), 1.5);
	assertAtMost(report.unusedGrants / report.starts, 0.005);
});

test('at three times the capacity, slots do useful work and few admitted jobs miss their deadline', () => {
	const report = new Replay({jobs: makeLoad(3, 3000), executors}).run();
	assertAtLeast(measureGoodput(report), 0.95);
	const admitted = countByState(report, 'done') + countByState(report, 'late');
	assertAtMost(countByState(report, 'late') / admitted, 0.01);
	const refused = report.jobs.filter(({state}) => state === 'refused');
	const waits = refused.map(({plan, endedAt}) => endedAt - plan.at);
	assertAtMost(findPercentile(waits, 99), 50);
});

test('a burst of far more work than slots completes, shortest jobs first', () => {
	const random = seedRandom(3);
	const jobs = Array.from({length: 200}, () =>
		makeJob({random, jobCount: 200, load: 1, slots}),
	);
	const report = new Replay({jobs, executors}).run();
	assert.equal(countByState(report, 'done'), 200);
	const ended = report.jobs.map(({endedAt}) => endedAt);
	const totalMs = jobs.reduce((sum, job) => sum + measureWork(job), 0);
	assertAtMost(Math.max(...ended), (totalMs / slots) * 1.15 + 1000);
	assertAtMost(findPercentile(ended, 50), (totalMs / slots) * 0.4);
});

test('a team within its share is not delayed by a team that asks for ten times its own', () => {
	// One customer's script asks for ten times its share. Without shares, the jobs of all other teams
	// would wait behind it, and their callers would be refused although they asked for little.
	const flood = makeJobs({
		random: seedRandom(5),
		jobCount: 2500,
		load: 2.5,
		slots,
		teams: ['flood'],
		deadlineMs: 10_000,
	});
	const lastAt = flood.at(-1)!.at;
	const calm = makeJobs({
		random: seedRandom(6),
		jobCount: 600,
		load: 0.6,
		slots,
		teams: ['a', 'b', 'c'],
		deadlineMs: 10_000,
	}).filter(({at}) => at < lastAt);
	const jobs = [...flood, ...calm];
	const report = new Replay({jobs, executors}).run();
	for (const team of ['a', 'b', 'c']) {
		const own = report.jobs.filter(({plan}) => plan.team === team);
		const served = own.filter(({state}) => state === 'done').length;
		assert.ok(
			served / own.length >= 0.95,
			`${team}: ${served} of ${own.length}`,
		);
	}

	assertAtLeast(measureGoodput(report), 0.95);
});

test('one slow executor raises the 99th percentile of response times by at most 30%', () => {
	// One process of the target has faulty memory and takes ten times as long. With its full share of the
	// tasks of each job it would delay every job.
	const many = makeExecutors(30);
	const jobs = makeJobs({
		random: seedRandom(11),
		jobCount: 2500,
		load: 0.8,
		slots: 240,
	});
	const slow = {
		...many[0]!,
		run: (runMs: number) => ({result: 'done' as const, runMs: runMs * 10}),
	};
	const [before, after] = [many, [slow, ...many.slice(1)]].map((plan) => {
		const report = new Replay({jobs, executors: plan}).run();
		const ratios = report.jobs.map((job) => measureRatio(job, 240));
		return findPercentile(ratios, 99);
	});
	assertAtMost(after! / before!, 1.3);
});

test('an executor that fails all its tasks makes few jobs fail', () => {
	// The executor fails tasks fast, so its slots are nearly always free and it would attract all work.
	const bad = executors.map((executor, i) => ({
		...executor,
		...(i === 0 && {run: () => ({result: 'failed' as const, runMs: 2})}),
	}));
	const report = new Replay({jobs: makeLoad(0.6, 2000), executors: bad}).run();
	assertAtMost(countByState(report, 'failed'), 20);
	assert.equal(
		countByState(report, 'done') + countByState(report, 'failed'),
		2000,
	);
});

test('when every executor fails half its tasks, none is ejected', () => {
	const random = seedRandom(9);
	const all = executors.map((executor) => ({
		...executor,
		run: (runMs: number) => ({
			result: random() < 0.5 ? ('failed' as const) : ('done' as const),
			runMs,
		}),
	}));
	const jobs = makeJobs({
		random,
		jobCount: 1000,
		load: 0.5,
		slots,
		medianTasks: 1,
		sizeSigma: 0.1,
	});
	const report = new Replay({jobs, executors: all}).run();
	assert.equal(
		countByState(report, 'done') + countByState(report, 'failed'),
		1000,
	);
	assertAtLeast(countByState(report, 'done'), 250);
});

test('short jobs overtake a job of 1,700 tasks, and the long job still completes', () => {
	const random = seedRandom(13);
	const long = makeJob({
		random,
		jobCount: 1,
		load: 1,
		slots,
		medianTasks: 1700,
		sizeSigma: 0,
		deadlineMs: 60_000,
	});
	const short = makeJobs({
		random,
		jobCount: 500,
		load: 0.5,
		slots,
		medianTasks: 3,
		sizeSigma: 0.5,
	});
	const report = new Replay({jobs: [long, ...short], executors}).run();
	assert.equal(countByState(report, 'done'), 501);
	assertAtMost(findPercentile(listRatios(report.jobs.slice(1)), 99), 3);
	assertAtMost(measureRatio(report.jobs[0]!, slots), 4);
});

for (const [name, declaredMs] of [
	['ten times too long', 1800],
	['ten times too short', 18],
] as const) {
	test(`declared run times ${name}: jobs are served in time once the real ones are learned`, () => {
		const jobs = makeLoad(0.8, 1500).map((job) => ({...job, declaredMs}));
		const report = new Replay({jobs, executors}).run();
		assertAtLeast(countByState(report, 'done'), 1485);
		assertAtMost(findPercentile(listRatios(report.jobs), 99), 3);
	});
}

test('waves of cancellations leave other jobs served and few grants unused', () => {
	const jobs = makeLoad(1.2, 1500).map((job) => ({
		...job,
		...(job.at % 2000 < 500 && {cancelAt: Math.ceil(job.at / 500) * 500 + 100}),
	}));
	const report = new Replay({jobs, executors}).run();
	assertAtLeast(countByState(report, 'cancelled'), 100);
	const rest = report.jobs.filter(
		({plan, state}) => plan.cancelAt === undefined && state !== 'refused',
	);
	assertAtLeast(
		rest.filter(({state}) => state === 'done').length / rest.length,
		0.98,
	);
	assertAtMost(report.unusedGrants / report.starts, 0.02);
});

test('jobs of one data centre get the free slots of the other two', () => {
	const far = makeExecutors(12, 3);
	const jobs = makeJobs({
		random: seedRandom(21),
		jobCount: 1500,
		load: 0.6,
		slots: 96,
	});
	const report = new Replay({jobs, executors: far, dataCentres: 3}).run();
	assert.equal(countByState(report, 'done'), 1500);
	const ratios = report.jobs.map((job) => measureRatio(job, 96));
	assertAtMost(findPercentile(ratios, 99), 2);
});
