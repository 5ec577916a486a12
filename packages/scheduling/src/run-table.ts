/**
The runs on one executor, as known to the scheduler of its group.

One report of the executor changes several runs: some have ended, some were started by an earlier holder of the
group, some are missing. If others were notified of the first change before the last is recorded, they could
start a task that the same report shows running, and it would run twice. So a report is applied as a whole, in
one step that calls nobody; its changes are returned, and others are notified afterwards.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {
	type LeaseReply,
	type RunEnd,
	type RunName,
} from './executor-control.js';
import {addDemand, noDemand, removeDemand} from './free-capacity.js';
import {formatTaskKey, type Run, type RunOutcome} from './run.js';
import {createUnclaimedEnds} from './unclaimed-ends.js';

export type EndedRun = {run: Run; outcome: RunOutcome};

export type ReportChange = {
	/** Runs that are over; they have been removed. */
	ended: EndedRun[];
	/**
	Runs that this scheduler does not know: started by an earlier holder, or by a start of its own that was
	carried out late.
	*/
	found: Run[];
};

export type ReportContext = {
	/** When the executor was asked for the report, on this host's clock. */
	sentAt: number;
	now: number;
	/** The demand assumed for a run whose demand is not known. */
	assumedDemand: TaskDemand;
};

export type RunTable = {
	readonly runs: ReadonlyMap<string, Run>;
	/** The demand of all runs together. */
	readonly usedDemand: TaskDemand;
	/** Ends with sequence numbers up to this one have been recorded. */
	readonly acknowledged: number;
	add: (run: Run) => void;
	remove: (run: Run) => void;
	/** Whether the run is still the current one of its task. */
	isCurrent: (run: Run) => boolean;
	/** Marks an unclaimed run as claimed; `demand`: what it needs, which was only assumed until now. */
	claim: (run: Run, demand: TaskDemand) => void;
	applyReport: (report: LeaseReply, context: ReportContext) => ReportChange;
	/** Number of runs that an earlier holder may have started and nobody has claimed. */
	readonly unclaimedRunCount: number;
	/** Whether there are runs, or ends of runs, that an earlier holder may have started and nobody has claimed. */
	readonly hasUnclaimedRuns: boolean;
	/** Returns, once, the end of a run of the task that was listed before anybody claimed the run. */
	takeUnclaimedEnd: (task: {job: string; index: number}) => RunEnd | undefined;
	forgetOldEnds: (now: number) => void;
};

/** Is told of each run that is added or removed; must not act on it, as a report may be applied in part only. */
export type RunObserver = {
	onAdd: (run: Run) => void;
	onRemove: (run: Run) => void;
};

/**
@example
const {ended, found} = table.applyReport(report, {sentAt, now, assumedDemand});
*/
export function createRunTable(observer?: RunObserver): RunTable {
	const runs = new Map<string, Run>();
	const unclaimedEnds = createUnclaimedEnds();
	let usedDemand = noDemand;
	let unclaimedRunCount = 0;
	let acknowledged = 0;

	function addRun(run: Run): void {
		runs.set(formatTaskKey(run), run);
		usedDemand = addDemand(usedDemand, run.demand);
		unclaimedRunCount += Number(run.isUnclaimed);
		observer?.onAdd(run);
	}

	function removeRun(run: Run): void {
		runs.delete(formatTaskKey(run));
		usedDemand = removeDemand(usedDemand, run.demand);
		unclaimedRunCount -= Number(run.isUnclaimed);
		observer?.onRemove(run);
	}

	/** Records an end. Returns the run if it is a known one. */
	function recordEnd(end: RunEnd, now: number): EndedRun | undefined {
		if (end.sequence <= acknowledged) {
			return undefined;
		}

		acknowledged = end.sequence;
		const run = runs.get(formatTaskKey(end));
		if (!run || run.isUnclaimed) {
			unclaimedEnds.add(end, now);
		}

		if (run?.attempt !== end.attempt) {
			return undefined;
		}

		removeRun(run);
		return {run, outcome: end.outcome};
	}

	/** Records that a run is listed as running. Returns the run if it was not known. */
	function recordRunning(
		{job, index, attempt}: RunName,
		{now, assumedDemand}: ReportContext,
	): Run | undefined {
		const known = runs.get(formatTaskKey({job, index}));
		if (known) {
			known.state = known.state === 'starting' ? 'running' : known.state;
			if (known.attempt === attempt) {
				known.isConfirmed = true;
				known.isInherited = known.isHeld && known.isInherited;
			}

			return undefined;
		}

		const run: Run = {
			job,
			index,
			attempt,
			demand: assumedDemand,
			state: 'running',
			startedAt: now,
			isConfirmed: true,
			isUnclaimed: true,
		};
		addRun(run);
		return run;
	}

	return {
		runs,
		get usedDemand() {
			return usedDemand;
		},
		get unclaimedRunCount() {
			return unclaimedRunCount;
		},
		get hasUnclaimedRuns() {
			return unclaimedRunCount > 0 || unclaimedEnds.size > 0;
		},
		get acknowledged() {
			return acknowledged;
		},
		add: addRun,
		remove: removeRun,
		isCurrent: (run) => runs.get(formatTaskKey(run)) === run,
		claim(run, demand) {
			usedDemand = addDemand(removeDemand(usedDemand, run.demand), demand);
			unclaimedRunCount -= Number(run.isUnclaimed);
			run.demand = demand;
			run.isUnclaimed = false;
		},
		applyReport(report, context) {
			const ended = report.ended.flatMap(
				(end) => recordEnd(end, context.now) ?? [],
			);
			const found = report.running.flatMap(
				(run) => recordRunning(run, context) ?? [],
			);
			// Runs whose ends do not fit into this report would be taken for lost.
			const missing = report.hasMoreEnds
				? []
				: listMissing(runs, report, context.sentAt);
			for (const {run} of missing) {
				removeRun(run);
			}

			return {ended: [...ended, ...missing], found};
		},
		takeUnclaimedEnd: unclaimedEnds.take,
		forgetOldEnds: unclaimedEnds.forgetOld,
	};
}

/** Lists runs that the executor does not report, although it was asked after they were accepted or stopped. */
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

/** Returns undefined if the report may be older than the run. */
function judgeMissing(
	{stoppedAt, acceptedAt}: Run,
	sentAt: number,
): RunOutcome | undefined {
	if (stoppedAt !== undefined && sentAt > stoppedAt) {
		return acceptedAt === undefined ? 'unstarted' : 'ended';
	}

	return acceptedAt !== undefined && sentAt > acceptedAt ? 'lost' : undefined;
}
