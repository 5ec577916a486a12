/**
The limit that the bench compares with: one central scheduler that knows every true run time,
asks nobody and waits for no message. Replayed offline on the trace of a run.
*/
import {RankedList} from '@gentianshift/decisions';

/** A job of a trace, with what only a clairvoyant knows. */
export type TraceJob = {
	/** Arrival, milliseconds from the trace's start. */
	atMs: number;
	/** True run time of each task, milliseconds. */
	runMs: readonly number[];
};

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
replayClairvoyant([{atMs: 0, runMs: [100, 100]}], 1)[0].endedAtMs; // 200
*/
export function replayClairvoyant(
	trace: readonly TraceJob[],
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

/** What a job would take alone: its longest task, or its work over all slots if that is more. */
export function computeIdealMs(
	runMs: readonly number[],
	slots: number,
): number {
	return Math.max(...runMs, sumWork(runMs) / slots);
}

function prepareJob({atMs, runMs}: TraceJob, sequence: number): Running {
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
