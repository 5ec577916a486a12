/**
The limit that the bench compares with: one central scheduler that knows every true run time,
asks nobody and waits for no message. Replayed offline on the trace of a run.
*/
import {RankedList} from '@gentianshift/decisions';
import {computeIdealMs} from './measures.js';
import {countSlots, type Trace, type TraceJob} from './trace.js';

export type ClairvoyantInput = Pick<TraceJob, 'at' | 'tasks'>;

export type ClairvoyantJob = {
	atMs: number;
	endedAtMs: number;
	/** Time over the time alone on all slots; at least 1. */
	ratio: number;
};

type Running = {
	/** Remaining work, milliseconds: least goes first. */
	order: number;
	sequence: number;
	/** Longest task first: the last one to start then ends soonest. */
	tasks: number[];
	next: number;
	openTasks: number;
	report: ClairvoyantJob;
};

type Event = {order: number; sequence: number; apply: () => void};

/**
Least remaining work first, with true run times, on one pool of slots; tasks aren't interrupted.
Returns the jobs in the trace's order.

@example
replayClairvoyant([{at: 0, tasks: [100, 100]}], 1)[0].endedAtMs; // 200
*/
export function replayClairvoyant(
	trace: readonly ClairvoyantInput[],
	slots: number,
): ClairvoyantJob[] {
	const waiting = new RankedList<Running>();
	const events = new RankedList<Event>();
	let free = slots;
	let sequence = 0;
	let now = 0;
	const plan = (order: number, apply: () => void): void => {
		sequence += 1;
		events.insert({order, sequence, apply});
	};

	const startTasks = (): void => {
		if (free > 0 && waiting.first) {
			startTask(waiting.first);
			startTasks();
		}
	};

	const startTask = (job: Running): void => {
		const runMs = job.tasks[job.next]!;
		free -= 1;
		waiting.remove(job);
		job.next += 1;
		job.order -= runMs;
		if (job.next < job.tasks.length) {
			waiting.insert(job);
		}

		plan(now + runMs, () => {
			free += 1;
			job.openTasks -= 1;
			if (job.openTasks === 0) {
				job.report.endedAtMs = now;
			}
		});
	};

	const jobs = trace.map((job, index) => prepareJob(job, index));
	for (const job of jobs) {
		plan(job.report.atMs, () => {
			waiting.insert(job);
		});
	}

	for (let event = events.items.shift(); event; event = events.items.shift()) {
		now = event.order;
		event.apply();
		startTasks();
	}

	return jobs.map(({report, tasks}) => ({
		...report,
		ratio: (report.endedAtMs - report.atMs) / computeIdealMs(tasks, slots),
	}));
}

function prepareJob(
	{at: atMs, tasks: runMs}: ClairvoyantInput,
	sequence: number,
): Running {
	return {
		order: sumWork(runMs),
		sequence,
		tasks: runMs.toSorted((a, b) => b - a),
		next: 0,
		openTasks: runMs.length,
		report: {atMs, endedAtMs: atMs, ratio: 1},
	};
}

function sumWork(runMs: readonly number[]): number {
	let workMs = 0;
	for (const run of runMs) {
		workMs += run;
	}

	return workMs;
}

/**
The limit's response ratios on a trace, for the column beside the measured ones. Jobs that can
never run are left out, cancelled ones run to their end: a limit for traces without them.
*/
export function measureClairvoyant({
	header,
	jobs,
}: Trace): Record<string, number> {
	const runnable = jobs.filter(({service}) => {
		const target = header.services[service]?.target ?? '';
		return header.targets[target] === 'full';
	});
	const ratios = replayClairvoyant(runnable, countSlots(header))
		.map(({ratio}) => ratio)
		.toSorted((a, b) => a - b);
	const findRatio = (part: number): number =>
		ratios[Math.min(ratios.length - 1, Math.floor(ratios.length * part))] ?? 0;
	return {
		jobs: ratios.length,
		'ratio.p50': findRatio(0.5),
		'ratio.p99': findRatio(0.99),
		'ratio.p999': findRatio(0.999),
	};
}
