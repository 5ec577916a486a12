/**
The executors of a group, each with one session. A session is opened when the store lists the executor and no other
group's holder has one, and closed when the executor is no longer listed, or belongs to another group, and nothing runs
there. When a later process of the executor answers or registers under the same id, the session is replaced by one
with that process.
*/
import {createAnswerTimes} from './answer-times.js';
import {compareIncarnations} from './compare-incarnations.js';
import {
	ExecutorSession,
	type Inheritance,
	type SessionPorts,
} from './executor-session.js';
import {type Executor} from './executor.js';
import {makeProcessToken} from './fencing-token.js';
import {createRunIndex} from './run-index.js';
import {formatTaskKey, type Run} from './run.js';
import {
	createUnansweredStarts,
	type UnansweredStarts,
} from './unanswered-starts.js';

export type ExecutorSet = {
	readonly sessions: ReadonlyMap<string, ExecutorSession>;
	/**
	Sets the group's executors as the store lists them now: opens sessions for new ones, stops all runs on unlisted
	ones. `foreign`: executors of other groups. What this scheduler runs there is left to end.
	*/
	setListed: (
		executors: readonly Executor[],
		foreign: readonly Executor[],
	) => void;
	/** Opens sessions with listed executors that another group's holder has released. */
	openAwaited: () => void;
	/** Executors of other groups with which there still is a session. */
	listReleasing: () => string[];
	/** Sessions of listed executors that may be sent a start now. */
	listOpen: () => ExecutorSession[];
	/** The labels of listed executors, each once. */
	listLabels: () => string[];
	/**
	Every executor has reported what runs there or is gone, and there is at least one. False from when one has moved to
	another group without having reported: an earlier holder's run may go on there.
	*/
	hasAllReported: () => boolean;
	/** Whether an executor has started again after `time`, and its present process has not reported. */
	hasUnreportedRestart: (time: number) => boolean;
	/** Whether an executor has moved to another group without having reported. */
	hasLeftUnreported: () => boolean;
	/** A run of the task on any of the executors, including one that is being stopped. */
	findRun: (task: {
		job: string;
		index: number;
	}) => {run: Run; session: ExecutorSession} | undefined;
	/** The session with that process of an executor (`ExecutorSession.incarnation`). */
	findIncarnation: (name: string) => ExecutorSession | undefined;
	/**
	Executors on which runs may go on that a successor can't see if its list lacks them: those that are not listed any more, and those
	of `unconfirmed` where tasks run or may still be started.
	*/
	listUsed: (unconfirmed: readonly string[]) => string[];
	/** Whether a task of the job runs on any of the executors; a run that is being stopped counts. */
	hasRunOfJob: (job: string) => boolean;
	/** Sessions with runs, or ends of runs, that an earlier holder may have started and no entry has claimed. */
	listUnclaimed: () => ExecutorSession[];
	/** Closes the sessions of unlisted executors without runs; to be called periodically. */
	closeUnlisted: (now: number) => void;
	closeAll: () => void;
};

export function createExecutorSet(
	ports: Omit<
		SessionPorts,
		'unansweredStarts' | 'answerTimes' | 'runIndex' | 'onReplaced'
	> & {
		/** Whether another group's holder may still call the executor. */
		isHeldElsewhere: (executor: string) => boolean;
	},
): ExecutorSet {
	const sessions = new Map<string, ExecutorSession>();
	const answerTimes = createAnswerTimes();
	const runIndex = createRunIndex<ExecutorSession>();
	/** By executor id, including executors whose session is closed. */
	const unansweredStarts = new Map<string, UnansweredStarts>();
	/**
	By executor id: how many sessions with stated start times were opened after the first. Kept for as long as the group is held:
	an executor that has seen a higher token refuses all calls with a lower one.
	*/
	const restartCounts = new Map<string, number>();
	let listedIds: ReadonlySet<string> = new Set();
	let foreignIds: ReadonlySet<string> = new Set();
	/** Listed executors that another group's holder has yet to release. */
	let awaited: readonly Executor[] = [];
	let labels: string[] = [];
	let hasLeftUnreported = false;

	function openSession(executor: Executor, inheritance?: Inheritance): void {
		const {id} = executor;
		const formerStarts = unansweredStarts.get(id);
		const starts = formerStarts ?? createUnansweredStarts();
		unansweredStarts.set(id, starts);
		// Of an executor whose registration had lapsed, this may be a later process.
		starts.restoreAll();
		if (formerStarts && executor.bornMs !== undefined) {
			restartCounts.set(id, (restartCounts.get(id) ?? 0) + 1);
		}

		const restartCount = restartCounts.get(id) ?? 0;
		const session = new ExecutorSession(
			executor,
			{
				...ports,
				getToken: () => makeProcessToken(ports.getToken(), restartCount),
				answerTimes,
				unansweredStarts: starts,
				runIndex,
				onReplaced: openSession,
			},
			inheritance,
		);
		sessions.set(id, session);
		session.open();
	}

	function openIfReleased(executors: readonly Executor[]): void {
		awaited = executors.filter(({id}) => ports.isHeldElsewhere(id));
		const held = new Set(awaited);
		for (const executor of executors) {
			if (!held.has(executor)) {
				openSession(executor);
			}
		}
	}

	/** Lists open sessions that may have runs of the job. */
	function listSessionsOf(job: string): ExecutorSession[] {
		return [...runIndex.listSessions(job)].filter(
			(session) => sessions.get(session.id) === session,
		);
	}

	function forgetOldStarts(now: number): void {
		for (const [id, starts] of unansweredStarts) {
			starts.forgetOld(now);
			if (starts.hasNone && !sessions.has(id)) {
				unansweredStarts.delete(id);
			}
		}
	}

	return {
		sessions,
		setListed(executors, foreign) {
			listedIds = new Set(executors.map(({id}) => id));
			foreignIds = new Set(foreign.map(({id}) => id));
			labels = [...new Set(executors.flatMap((one) => one.labels ?? []))];
			const restarted: Array<{session: ExecutorSession; executor: Executor}> =
				[];
			for (const executor of executors) {
				const session = sessions.get(executor.id);
				if (
					session &&
					compareIncarnations(executor.bornMs, session.bornMs) === 'later'
				) {
					restarted.push({session, executor});
				} else {
					session?.update(executor);
				}
			}

			openIfReleased(executors.filter(({id}) => !sessions.has(id)));
			// The next holder would not learn of an unlisted executor, and could start the tasks that run there a
			// second time.
			for (const [id, session] of sessions) {
				if (!listedIds.has(id) && !foreignIds.has(id)) {
					session.stopAll();
				}
			}

			// Tasks of the former processes are placed again at once, so the whole list has to be in force by then, and none of
			// these processes may be used.
			for (const {session} of restarted) {
				session.isGone = true;
			}

			for (const {session, executor} of restarted) {
				session.replaceBy(executor, 'a later process is registered');
			}
		},
		openAwaited() {
			if (awaited.length > 0) {
				openIfReleased(awaited);
			}
		},
		listReleasing: () =>
			[...sessions.keys()].filter((id) => foreignIds.has(id)),
		listOpen: () =>
			[...sessions.values()].filter(
				({id, isOpen}) => isOpen && listedIds.has(id),
			),
		listLabels: () => labels,
		hasAllReported: () =>
			sessions.size > 0 &&
			!hasLeftUnreported &&
			[...sessions.values()].every(
				({hasReported, isGone}) => hasReported || isGone,
			),
		hasUnreportedRestart: (time) =>
			[...sessions.values()].some((session) =>
				session.hasNotReportedSince(time),
			),
		hasLeftUnreported: () => hasLeftUnreported,
		findRun(task) {
			const key = formatTaskKey(task);
			const found = listSessionsOf(task.job).filter(({runs}) => runs.has(key));
			// A task can have two runs here, one of them started late by an earlier holder: the session opened first goes first.
			const session =
				found.length > 1
					? [...sessions.values()].find((one) => found.includes(one))
					: found[0];
			const run = session?.runs.get(key);
			return session && run && {run, session};
		},
		listUsed(unconfirmed) {
			const unconfirmedIds = new Set(unconfirmed);
			return [...sessions.values()]
				.filter(({id, runs, isOpen}) =>
					runs.size > 0
						? unconfirmedIds.has(id) || !listedIds.has(id)
						: unconfirmedIds.has(id) && isOpen,
				)
				.map(({id}) => id);
		},
		hasRunOfJob: (id) =>
			listSessionsOf(id).some(({runs}) =>
				[...runs.values()].some(({job}) => job === id),
			),
		listUnclaimed() {
			const {unclaimed} = runIndex;
			for (const session of unclaimed) {
				if (!session.hasUnclaimedRuns) {
					unclaimed.delete(session);
				}
			}

			return unclaimed.size === 0
				? []
				: [...sessions.values()].filter((one) => unclaimed.has(one));
		},
		findIncarnation(name) {
			const id = name.replace(/@\d+$/v, '');
			const session = sessions.get(name) ?? sessions.get(id);
			return session?.incarnation === name ? session : undefined;
		},
		closeUnlisted(now) {
			for (const [id, session] of sessions) {
				if (!listedIds.has(id) && session.runs.size === 0) {
					hasLeftUnreported ||=
						foreignIds.has(id) && !session.hasReported && !session.isGone;
					sessions.delete(id);
					session.close();
				}
			}

			forgetOldStarts(now);
		},
		closeAll() {
			for (const session of sessions.values()) {
				session.close();
			}
		},
	};
}
