/**
The runs on one executor, as the scheduler of its group knows them.

What goes wrong: one report of the executor changes several things: runs that have ended, runs that
an earlier holder of the group started, runs that it no longer has. Whoever acts on the first of
these before the last is entered starts a task that the same report shows running, and it runs twice.
So a report is entered whole, in one step that calls nobody; what it changed is given back,
to be told to others afterwards.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {
	type LeaseReply,
	type RunEnd,
	type RunName,
} from './executor-control.js';
import {addDemand, noDemand, removeDemand} from './room.js';
import {formatTaskKey, type Run, type RunOutcome} from './run.js';
import {createStrayEnds} from './stray-ends.js';

export type EndedRun = {run: Run; outcome: RunOutcome};

export type ReportChange = {
	/** Runs that are over; the book no longer has them. */
	ended: EndedRun[];
	/** Runs that nobody here started: an earlier holder's, or starts carried out late. */
	found: Run[];
};

export type ReportContext = {
	/** When the executor was asked; this host's clock. */
	sentAt: number;
	now: number;
	/** What a run of unknown size is taken to need. */
	foundDemand: TaskDemand;
};

export type RunBook = {
	readonly runs: ReadonlyMap<string, Run>;
	/** What all runs need together. */
	readonly used: TaskDemand;
	/** Ends up to this sequence have been entered. */
	readonly acknowledged: number;
	enter: (run: Run) => void;
	remove: (run: Run) => void;
	/** The run is still the one that the book has of its task. */
	isCurrent: (run: Run) => boolean;
	resize: (run: Run, demand: TaskDemand) => void;
	takeReport: (report: LeaseReply, context: ReportContext) => ReportChange;
	/** It has runs, or ends of runs, that an earlier holder may have started. */
	readonly hasUnclaimed: boolean;
	/** The end of a run that nobody had claimed when it was listed. */
	takeStrayEnd: (task: {job: string; index: number}) => RunEnd | undefined;
	forgetOldEnds: (now: number) => void;
};

/**
@example
const {ended, found} = book.takeReport(report, {sentAt, now, foundDemand});
*/
export function createRunBook(): RunBook {
	const runs = new Map<string, Run>();
	const strayEnds = createStrayEnds();
	let used = noDemand;
	let acknowledged = 0;

	function enter(run: Run): void {
		runs.set(formatTaskKey(run), run);
		used = addDemand(used, run.demand);
	}

	function remove(run: Run): void {
		runs.delete(formatTaskKey(run));
		used = removeDemand(used, run.demand);
	}

	/** Gives the run that has ended, if it is one of the book's. */
	function enterEnd(end: RunEnd, now: number): EndedRun | undefined {
		if (end.sequence <= acknowledged) {
			return undefined;
		}

		acknowledged = end.sequence;
		const run = runs.get(formatTaskKey(end));
		if (!run || run.isFound) {
			strayEnds.add(end, now);
		}

		if (run?.attempt !== end.attempt) {
			return undefined;
		}

		remove(run);
		return {run, outcome: end.outcome};
	}

	/** Gives the run if it was not known. */
	function enterRunning(
		{job, index, attempt}: RunName,
		{now, foundDemand}: ReportContext,
	): Run | undefined {
		const known = runs.get(formatTaskKey({job, index}));
		if (known) {
			known.state = known.state === 'starting' ? 'running' : known.state;
			return undefined;
		}

		const run: Run = {
			job,
			index,
			attempt,
			demand: foundDemand,
			state: 'running',
			startedAt: now,
			isFound: true,
		};
		enter(run);
		return run;
	}

	return {
		runs,
		get used() {
			return used;
		},
		get hasUnclaimed() {
			if (strayEnds.size > 0) {
				return true;
			}

			for (const {isFound} of runs.values()) {
				if (isFound) {
					return true;
				}
			}

			return false;
		},
		get acknowledged() {
			return acknowledged;
		},
		enter,
		remove,
		isCurrent: (run) => runs.get(formatTaskKey(run)) === run,
		resize(run, demand) {
			used = addDemand(removeDemand(used, run.demand), demand);
			run.demand = demand;
		},
		takeReport(report, context) {
			const ended = report.ended.flatMap(
				(end) => enterEnd(end, context.now) ?? [],
			);
			const found = report.running.flatMap(
				(run) => enterRunning(run, context) ?? [],
			);
			// An end that does not fit into this report would make its run look lost.
			const missing = report.hasMoreEnds
				? []
				: listMissing(runs, report, context.sentAt);
			for (const {run} of missing) {
				remove(run);
			}

			return {ended: [...ended, ...missing], found};
		},
		takeStrayEnd: strayEnds.take,
		forgetOldEnds: strayEnds.forgetOld,
	};
}

/** Runs that the executor does not list, although it was asked after they were accepted or stopped. */
function listMissing(
	runs: ReadonlyMap<string, Run>,
	{running}: LeaseReply,
	sentAt: number,
): EndedRun[] {
	const listed = new Set(running.map((run) => formatTaskKey(run)));
	return [...runs]
		.filter(([key]) => !listed.has(key))
		.flatMap(([, run]) => {
			const outcome = judgeMissing(run, sentAt);
			return outcome === undefined ? [] : {run, outcome};
		});
}

/** Undefined: the report may be older than the run. */
function judgeMissing(
	{stoppedAt, acceptedAt}: Run,
	sentAt: number,
): RunOutcome | undefined {
	if (stoppedAt !== undefined && sentAt > stoppedAt) {
		return acceptedAt === undefined ? 'unstarted' : 'ended';
	}

	return acceptedAt !== undefined && sentAt > acceptedAt ? 'lost' : undefined;
}
