/**
The measures of a replay, as defined in docs/MEASURES.md: a flat record by dotted names.
*/
import {build, type Histogram} from 'hdr-histogram-js';
import {type ExecutorStats, type Start} from '@gentianshift/standins';
import {getJobOf} from '@gentianshift/trials';
import {sumSamples, type Counters} from './counters.js';
import {sumWork} from './job-mix.js';
import {type JobRun, type Replay} from './replay.js';
import {countSlots, type Expectation, type Trace} from './trace.js';

export type Measures = Record<string, number>;

export type Evidence = {
	trace: Trace;
	replay: Replay;
	/** Of the replay alone. */
	starts: readonly Start[];
	refusedAtExecutors: number;
	stats: readonly ExecutorStats[];
	counters: Counters;
	/** Round trips of a lone job in this system: caller to host and host to executor, ms. */
	roundTripMs: number;
};

/** Ratios are recorded in thousandths: histograms hold integers. */
const perUnit = 1000;

export function computeMeasures(evidence: Evidence): Measures {
	const {trace, replay, roundTripMs} = evidence;
	const slots = countSlots(trace.header);
	const {runs} = replay;
	const idealOf = ({job}: JobRun) => computeIdealMs(job.tasks, slots);
	const ratioOf = (run: JobRun) => run.tookMs / (idealOf(run) + roundTripMs);
	return {
		...countRuns(runs),
		...measureRatios('ratio', runs, ratioOf),
		...measureGroups('class', runs, ratioOf, ({job}) => job.class ?? 'all'),
		...measureGroups('team', runs, ratioOf, ({job}) => job.team),
		...measureRefusals(runs),
		...measureGoodput(evidence, slots),
		...measureCosts(evidence),
		'roundTrip.ms': roundTripMs,
		'late.p99.ms': measureLateness(replay),
	};
}

/** Time of a job alone in an empty system: its longest task, or its work over all slots. */
export function computeIdealMs(
	tasks: readonly number[],
	slots: number,
): number {
	return Math.max(...tasks, sumWork(tasks) / slots);
}

export function isComplete({outcome}: JobRun): boolean {
	return outcome.kind === 'answer' && outcome.answer.state === 'complete';
}

function isRefused({outcome}: JobRun): boolean {
	return outcome.kind === 'problem' && outcome.problem.ran === 'none';
}

function countRuns(runs: readonly JobRun[], prefix = ''): Measures {
	const complete = runs.filter((run) => isComplete(run)).length;
	const refused = runs.filter((run) => isRefused(run)).length;
	const lost = runs.filter(({outcome}) => outcome.kind === 'lost').length;
	return {
		[`${prefix}jobs`]: runs.length,
		[`${prefix}complete`]: complete,
		[`${prefix}refused`]: refused,
		[`${prefix}lost`]: lost,
		[`${prefix}otherwise`]: runs.length - complete - refused - lost,
		[`${prefix}complete.share`]: complete / runs.length,
		[`${prefix}refused.share`]: refused / runs.length,
	};
}

function measureRatios(
	prefix: string,
	runs: readonly JobRun[],
	ratioOf: (run: JobRun) => number,
): Measures {
	const complete = runs.filter((run) => isComplete(run));
	if (complete.length === 0) {
		return {};
	}

	const histogram = createHistogram();
	for (const run of complete) {
		histogram.recordValue(Math.max(1, Math.round(ratioOf(run) * perUnit)));
	}

	return {
		[`${prefix}.p50`]: histogram.getValueAtPercentile(50) / perUnit,
		[`${prefix}.p99`]: histogram.getValueAtPercentile(99) / perUnit,
		[`${prefix}.p999`]: histogram.getValueAtPercentile(99.9) / perUnit,
	};
}

function createHistogram(): Histogram {
	return build({numberOfSignificantValueDigits: 3, useWebAssembly: false});
}

function measureGroups(
	prefix: string,
	runs: readonly JobRun[],
	ratioOf: (run: JobRun) => number,
	groupOf: (run: JobRun) => string,
): Measures {
	const names = new Set(runs.map((run) => groupOf(run)));
	const parts = [...names].map((name) => {
		const own = runs.filter((run) => groupOf(run) === name);
		const done = own.filter((run) => isComplete(run));
		const asked = sumOf(own, ({job}) => sumWork(job.tasks));
		return {
			...countRuns(own, `${prefix}.${name}.`),
			...measureRatios(`${prefix}.${name}.ratio`, own, ratioOf),
			/** Work of its whole answers over the work that it asked for. */
			[`${prefix}.${name}.served`]:
				sumOf(done, ({job}) => sumWork(job.tasks)) / asked,
		};
	});
	return Object.assign({}, ...parts) as Measures;
}

function measureRefusals(runs: readonly JobRun[]): Measures {
	const refused = runs.filter((run) => isRefused(run));
	if (refused.length === 0) {
		return {};
	}

	const histogram = createHistogram();
	for (const {tookMs} of refused) {
		histogram.recordValue(Math.max(1, Math.round(tookMs * perUnit)));
	}

	return {
		'refusal.p50.ms': histogram.getValueAtPercentile(50) / perUnit,
		'refusal.p99.ms': histogram.getValueAtPercentile(99) / perUnit,
	};
}

/** How late the load tool itself submitted: then the machine was too busy for the figures to hold. */
function measureLateness({runs, beganAt}: Replay): number {
	const late = runs
		.map(({job, outcome}) => outcome.submittedAt - beganAt - job.at)
		.toSorted((a, b) => a - b);
	return Math.max(0, late[Math.floor(late.length * 0.99)] ?? 0);
}

/** Slot time within the trace's span that went into whole answers. */
function measureGoodput(
	{trace, replay, starts}: Evidence,
	slots: number,
): Measures {
	const {durationMs} = trace.header;
	const jobs = new Map(replay.runs.map((run) => [run.outcome.id, run]));
	let useful = 0;
	let used = 0;
	for (const {task, at} of starts) {
		const run = jobs.get(getJobOf(task));
		const runMs = run?.job.tasks[Number(task.slice(task.lastIndexOf('/') + 1))];
		if (run === undefined || runMs === undefined) {
			continue;
		}

		const begin = at - replay.beganAt;
		const end = Math.min(durationMs, begin + runMs);
		const spent = Math.max(0, end - Math.max(0, begin));
		used += spent;
		useful += isComplete(run) ? spent : 0;
	}

	return {
		'goodput.share': useful / (slots * durationMs),
		'slots.share': used / (slots * durationMs),
		'goodput.useful': used === 0 ? 1 : useful / used,
	};
}

function measureCosts(evidence: Evidence): Measures {
	const {replay, starts, counters, refusedAtExecutors} = evidence;
	const complete = new Set(
		replay.runs.filter((run) => isComplete(run)).map(({outcome}) => outcome.id),
	);
	const vain = starts.filter(({task}) => !complete.has(getJobOf(task))).length;
	const tasks = Math.max(1, starts.length);
	const messages = sumSamples(
		counters,
		'gentianshift_messages_total',
		'direction="out"',
	);
	return {
		starts: starts.length,
		'wasted.executors': refusedAtExecutors / tasks,
		'wasted.starts': vain / tasks,
		'messages.hosts': messages / tasks,
		'messages.platform':
			sumSamples(counters, 'gentianshift_platform_calls_total') / tasks,
		'bytes.hosts':
			sumSamples(counters, 'gentianshift_bytes_total', 'direction="out"') /
			tasks,
		'cpu.us': (counters.cpuSeconds * 1e6) / tasks,
		'memory.mb': counters.largestBytes / 1e6,
	};
}

function sumOf<T>(values: readonly T[], valueOf: (value: T) => number): number {
	return values.reduce((sum, value) => sum + valueOf(value), 0);
}

/** Whether a bound is kept; undefined where the measure isn't there. */
export function isKept(
	measures: Measures,
	{measure, atMost, atLeast}: Expectation,
): boolean | undefined {
	const value = measures[measure];
	if (value === undefined) {
		return undefined;
	}

	return value <= (atMost ?? Infinity) && value >= (atLeast ?? -Infinity);
}
