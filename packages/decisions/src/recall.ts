/**
Which lent slots are asked back, as their tasks end, for better-ranked work.
*/
import {countWanted, type JobState, type LentSlot} from './job-state.js';
import {type Recall} from './lending.js';
import {type TeamState} from './team-table.js';

/**
How much less work a waiting job must have than the holder for a recall. A recall costs a message and an
idle moment; two jobs of like size would pass slots to and fro and both end later.
*/
export const recallFactor = 4;

/** Most recalls in one decision: the rest follows at the next one, if it is still wanted. */
const mostRecalls = 64;

type RecallView = {
	teams: Iterable<TeamState>;
	slots: Iterable<LentSlot>;
	/** Slots per unit of weight. */
	perWeight: number;
	/** Recalled and not back yet. */
	outstanding: number;
	/** Takes a slot out of its job's held ones. */
	markRecalled: (lent: LentSlot) => void;
};

/**
Chooses slots to call back.

For long jobs beside short ones, and for one team's flood that came before another team's work:
owners keep a slot for a job's next task, so a job of 1,700 tasks would hold every slot for
seconds while short jobs wait. Never more are recalled than are waited for by better-ranked
jobs, less those recalled already, or slots would come back with nobody to use them.
*/
export function chooseRecalls(view: RecallView): LentSlot[] {
	const waiting = listWaiting(view.teams);
	if (waiting.length === 0) {
		return [];
	}

	const holders = listHolders(view.slots);
	const recalled: LentSlot[] = [];
	let uncovered = -view.outstanding;
	for (const job of waiting) {
		uncovered += countRoom(job, countWanted(job));
		while (uncovered > 0 && recalled.length < mostRecalls) {
			const lent = takeFrom(holders, job, view.perWeight);
			if (!lent) {
				return recalled;
			}

			view.markRecalled(lent);
			recalled.push(lent);
			uncovered -= 1;
		}
	}

	return recalled;
}

/** Puts recalls together by owner. */
export function groupRecalls(slots: readonly LentSlot[]): Recall[] {
	const byOwner = new Map<string, number[]>();
	for (const {owner, slot} of slots) {
		const numbers = byOwner.get(owner) ?? [];
		numbers.push(slot);
		byOwner.set(owner, numbers);
	}

	return [...byOwner].map(([owner, slots]) => ({owner, slots}));
}

function countRoom({team}: JobState, wanted: number): number {
	return Math.min(wanted, Math.max(0, team.quota - team.inUse));
}

/** The best waiting jobs, of which recalls are made: a few, as recalls are few. */
function listWaiting(teams: Iterable<TeamState>): JobState[] {
	const heads: JobState[] = [];
	for (const {waiting} of teams) {
		heads.push(...waiting.items.slice(0, mostRecalls));
	}

	return heads.toSorted((a, b) => a.order - b.order).slice(0, mostRecalls);
}

/** Jobs with slots that may be called back, worst rank last. */
function listHolders(slots: Iterable<LentSlot>): JobState[] {
	const holders = new Set<JobState>();
	for (const {job, isRecalled, quarantinedUntil} of slots) {
		if (job && !isRecalled && quarantinedUntil === undefined) {
			holders.add(job);
		}
	}

	return [...holders].toSorted((a, b) => a.order - b.order);
}

function takeFrom(
	holders: JobState[],
	waiting: JobState,
	perWeight: number,
): LentSlot | undefined {
	const holder = holders.findLast(
		(candidate) =>
			candidate.held.size > 0 &&
			isWorthRecalling(waiting, candidate, perWeight),
	);
	return holder?.held.values().next().value;
}

function isWorthRecalling(
	waiting: JobState,
	holder: JobState,
	perWeight: number,
): boolean {
	const isWaitingBelow = isBelowShare(waiting.team, perWeight, 0);
	const isHolderBelow = isBelowShare(holder.team, perWeight, 1);
	if (waiting.team !== holder.team && isWaitingBelow !== isHolderBelow) {
		return isWaitingBelow;
	}

	if (waiting.isUrgent !== holder.isUrgent) {
		return waiting.isUrgent;
	}

	return (
		waiting.order < holder.order &&
		waiting.workMs * recallFactor < holder.workMs
	);
}

function isBelowShare(
	team: TeamState,
	perWeight: number,
	margin: number,
): boolean {
	return team.inUse < perWeight * team.weight + margin;
}

/**
Slots on executors that are leaving or shut out. A leaving one must come to rest; on one shut
out, an owner that kept its slot would go on sending tasks to be failed or held up.
*/
export function chooseUnwanted(
	slots: Iterable<LentSlot>,
	now: number,
): LentSlot[] {
	const unwanted: LentSlot[] = [];
	for (const lent of slots) {
		const {executor, isRecalled, quarantinedUntil, lentAt} = lent;
		const isUnwanted = executor.isLeaving || executor.isShutOut;
		// One lent just now as a probe has yet to get its one task.
		const isFresh = lentAt >= now && !executor.isLeaving;
		if (
			isUnwanted &&
			!isRecalled &&
			!isFresh &&
			quarantinedUntil === undefined
		) {
			unwanted.push(lent);
		}
	}

	return unwanted;
}
