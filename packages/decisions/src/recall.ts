/**
Chooses which lent slots are recalled: their owners release them as the tasks on them end.
*/
import {countWanted, type JobState, type LentSlot} from './job-state.js';
import {type Recall} from './lending.js';
import {type TeamState} from './team-table.js';

/**
If neither urgency nor team shares decide, a waiting job gets a holder's slot only if its work times this
factor is less than the holder's. A recall costs a message and idle time; two jobs of similar size would
pass slots back and forth and both end later.
*/
export const recallWorkFactor = 4;

/**
Maximum number of recalls for waiting jobs in one decision; the others follow in the next if still
wanted.
*/
const maxRecalls = 64;

type RecallView = {
	teams: Iterable<TeamState>;
	slots: Iterable<LentSlot>;
	/** Slots per unit of team weight. */
	slotsPerWeight: number;
	/** Slots that are recalled and not yet released. */
	outstanding: number;
	/** Marks a slot as recalled and removes it from its job's held slots. */
	markRecalled: (lent: LentSlot) => void;
};

/**
Chooses the slots to recall for waiting jobs.

Owners keep a slot for a job's next task. Without recalls, a job of 1,700 tasks would hold every slot for
seconds while short jobs wait, and so would a team that floods the queue before another team's jobs
arrive. At most as many slots are recalled as better-ranked jobs wait for, less those already recalled:
otherwise slots would be returned that no job uses.
*/
export function chooseRecalls(view: RecallView): LentSlot[] {
	const waiting = listBestWaiting(view.teams);
	if (waiting.length === 0) {
		return [];
	}

	const holders = listHolders(view.slots);
	const recalled: LentSlot[] = [];
	let unmet = -view.outstanding;
	for (const job of waiting) {
		unmet += countWithinQuota(job, countWanted(job));
		while (unmet > 0 && recalled.length < maxRecalls) {
			const lent = findSlotToRecall(holders, job, view.slotsPerWeight);
			if (!lent) {
				return recalled;
			}

			view.markRecalled(lent);
			recalled.push(lent);
			unmet -= 1;
		}
	}

	return recalled;
}

/** Groups recalled slots by owner. */
export function groupRecalls(slots: readonly LentSlot[]): Recall[] {
	const byOwner = new Map<string, number[]>();
	for (const {owner, slot} of slots) {
		const numbers = byOwner.get(owner) ?? [];
		numbers.push(slot);
		byOwner.set(owner, numbers);
	}

	return [...byOwner].map(([owner, slots]) => ({owner, slots}));
}

function countWithinQuota({team}: JobState, wanted: number): number {
	return Math.min(wanted, Math.max(0, team.quota - team.inUse));
}

/** The best waiting jobs, best first: no more than there can be recalls. */
function listBestWaiting(teams: Iterable<TeamState>): JobState[] {
	const heads: JobState[] = [];
	for (const {waiting} of teams) {
		heads.push(...waiting.items.slice(0, maxRecalls));
	}

	return heads.toSorted((a, b) => a.order - b.order).slice(0, maxRecalls);
}

/** Jobs with slots that may be recalled, worst rank last. */
function listHolders(slots: Iterable<LentSlot>): JobState[] {
	const holders = new Set<JobState>();
	for (const {job, isRecalled, quarantinedUntil} of slots) {
		if (job && !isRecalled && quarantinedUntil === undefined) {
			holders.add(job);
		}
	}

	return [...holders].toSorted((a, b) => a.order - b.order);
}

function findSlotToRecall(
	holders: JobState[],
	waiting: JobState,
	slotsPerWeight: number,
): LentSlot | undefined {
	const holder = holders.findLast(
		(candidate) =>
			candidate.heldSlots.size > 0 &&
			isWorthRecalling(waiting, candidate, slotsPerWeight),
	);
	return holder?.heldSlots.values().next().value;
}

function isWorthRecalling(
	waiting: JobState,
	holder: JobState,
	slotsPerWeight: number,
): boolean {
	const isWaitingBelow = isBelowShare(waiting.team, slotsPerWeight, 0);
	const isHolderBelow = isBelowShare(holder.team, slotsPerWeight, 1);
	if (waiting.team !== holder.team && isWaitingBelow !== isHolderBelow) {
		return isWaitingBelow;
	}

	if (waiting.isUrgent !== holder.isUrgent) {
		return waiting.isUrgent;
	}

	return (
		waiting.order < holder.order &&
		waiting.workMs * recallWorkFactor < holder.workMs
	);
}

function isBelowShare(
	team: TeamState,
	slotsPerWeight: number,
	margin: number,
): boolean {
	return team.inUse < slotsPerWeight * team.weight + margin;
}

/**
Chooses the slots of leaving or ejected executors. A leaving executor has to become idle. An owner that
kept a slot of an ejected executor would go on sending it tasks, which would fail or be delayed.
*/
export function chooseUnwanted(
	slots: Iterable<LentSlot>,
	now: number,
): LentSlot[] {
	const unwanted: LentSlot[] = [];
	for (const lent of slots) {
		const {executor, isRecalled, quarantinedUntil, lentAt} = lent;
		const isUnwanted = executor.isLeaving || executor.isEjected;
		// A slot of an ejected executor that was lent in this decision is a probe that hasn't got its task yet.
		const isNewProbe = lentAt >= now && !executor.isLeaving;
		if (
			isUnwanted &&
			!isRecalled &&
			!isNewProbe &&
			quarantinedUntil === undefined
		) {
			unwanted.push(lent);
		}
	}

	return unwanted;
}
