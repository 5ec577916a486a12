/**
Withdraws a job's tasks from the groups in which they wait, once the job can no longer be of use to its caller.

The failure prevented here: a holder is late, and jobs wait at their entry until their callers' deadlines although no executor
has seen them. An entry that only stops waiting cannot know whether a task is being started just then, so it would have to
answer that the job may have run (504). A holder that returns the tasks never starts them, so the entry can answer that nothing has run (503).

A withdrawal ends when all holders have returned the tasks, when one reports a start, or after `withdrawalLimitMs`.
*/
import {type Drop} from '@gentianshift/protocol';
import {type EntryJob} from './entry-job.js';
import {isSilent, type GroupDirectory} from './group-directory.js';

/** Time for the answers of the holders: 20 round trips between data centres, or a busy host's pause. */
const withdrawalLimitMs = 150;
/** A holder that left a withdrawal unanswered gets no new jobs for this long: they would be given up in the same way. */
const lateMs = 1000;
/** One exchange with a holder in another data centre, and the time until a start there is carried out. */
const roundTripMs = 20;

/**
- `returned`: all tasks were returned, and none of them will be started.
- `started`: a task was started; the job goes on.
- `unanswered`: a holder did not answer in time.
- `unreachable`: a holder is silent, or there is no connection to it.
- `interrupted`: a group changed hands, or the connection to its holder broke and was opened again.
- `ended`: the job ended for another reason meanwhile.
*/
export type WithdrawalOutcome =
	| 'returned'
	| 'started'
	| 'unanswered'
	| 'unreachable'
	| 'interrupted'
	| 'ended';

/** The answer to the caller if no task was started. */
export type WithdrawalCause = {reason: string; retryAfterMs: number};

export type WithdrawalsOptions = {
	groups: Pick<GroupDirectory, 'findGroup'>;
	now: () => number;
	/** Sends a message to a holder; false: there is no connection to it. */
	send: (holder: string, message: Drop) => boolean;
	log: (message: string, fields: Record<string, unknown>) => void;
	/** Called once for each withdrawal. */
	onOutcome: (outcome: WithdrawalOutcome) => void;
};

export type Withdrawals = {
	/**
	Withdraws all placed tasks of the job, unless that is under way already. False: a task was started, none is placed, or a
	holder is out of reach.
	*/
	start: (job: EntryJob, cause: WithdrawalCause) => boolean;
	isPending: (job: EntryJob) => boolean;
	/** Whether a holder has not answered within the time limit. */
	isOverdue: (job: EntryJob) => boolean;
	/** Whether the group's holder has left a withdrawal unanswered lately. */
	isLate: (group: string) => boolean;
	/** Ends the job's withdrawal, if one is pending, and returns its cause. */
	end: (
		job: EntryJob,
		outcome: WithdrawalOutcome,
	) => WithdrawalCause | undefined;
};

type Withdrawal = WithdrawalCause & {sentAt: number; groups: Set<string>};

export function createWithdrawals({
	groups,
	now,
	send,
	log,
	onOutcome,
}: WithdrawalsOptions): Withdrawals {
	const pending = new Map<EntryJob, Withdrawal>();
	/** By group: when a withdrawal was last unanswered there. */
	const unansweredAt = new Map<string, number>();

	function finish(
		job: EntryJob,
		outcome: WithdrawalOutcome,
		{sentAt, reason, groups: asked}: Withdrawal,
	): void {
		onOutcome(outcome);
		log('tasks were withdrawn', {
			job: job.request.id,
			outcome,
			reason,
			groups: [...asked],
			tookMs: Math.round(now() - sentAt),
			usefulForMs: Math.round(job.usefulUntil - now()),
		});
	}

	/** Returns whether the holder of the group was sent the withdrawal. */
	function sendTo(group: string, job: EntryJob): boolean {
		const known = groups.findGroup(group);
		const claim = job.claims.get(group);
		if (!known || claim === undefined || isSilent(known, now())) {
			return false;
		}

		const tasks = job.tasks.filter(
			(task) => task.group === group && !task.isDone,
		);
		for (const task of tasks) {
			task.withdrawnPlacement = task.placement;
		}

		return send(known.holder, {
			t: 'drop',
			group,
			job: job.request.id,
			takenAtMs: job.takenAtMs,
			claim: 0,
			withdrawal: {
				token: known.state.token,
				claim,
				tasks: tasks.map(({index, nextAttempt, placement}) => [
					index,
					nextAttempt,
					placement,
				]),
			},
		});
	}

	return {
		start(job, cause) {
			if (pending.has(job)) {
				return true;
			}

			const asked = listPlacedGroups(job);
			if (asked.size === 0 || hasBegun(job)) {
				return false;
			}

			const withdrawal = {...cause, sentAt: now(), groups: asked};
			if (![...asked].every((group) => sendTo(group, job))) {
				finish(job, 'unreachable', withdrawal);
				return false;
			}

			pending.set(job, withdrawal);
			return true;
		},
		isPending: (job) => pending.has(job),
		isOverdue(job) {
			const sentAt = pending.get(job)?.sentAt ?? Infinity;
			return now() - sentAt >= withdrawalLimitMs;
		},
		isLate: (group) => now() - (unansweredAt.get(group) ?? -Infinity) < lateMs,
		end(job, outcome) {
			const withdrawal = pending.get(job);
			if (withdrawal) {
				pending.delete(job);
				if (outcome === 'unanswered') {
					for (const group of listPlacedGroups(job)) {
						unansweredAt.set(group, now());
					}
				}

				finish(job, outcome, withdrawal);
			}

			return withdrawal;
		},
	};
}

/** Whether a task of the job is known to have been started. */
export function hasBegun({isStarted, tasks}: EntryJob): boolean {
	return isStarted || tasks.some(({isDone}) => isDone);
}

/** Whether the job waits at some group and could no longer end while its answer is of use, even if it were started now. */
export function isWaitingInVain(job: EntryJob, now: number): boolean {
	return (
		now + job.estimateMs + roundTripMs >= job.usefulUntil &&
		!hasBegun(job) &&
		listPlacedGroups(job).size > 0
	);
}

/** The groups that have tasks of the job. */
export function listPlacedGroups({tasks}: EntryJob): Set<string> {
	const placed = new Set<string>();
	for (const {group, isDone} of tasks) {
		if (group !== undefined && !isDone) {
			placed.add(group);
		}
	}

	return placed;
}
