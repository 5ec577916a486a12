/**
The executors of a group, each with one session. A session is opened when the store lists the executor, and closed
when the executor is no longer listed and nothing runs there.
*/
import {createAnswerTimes} from './answer-times.js';
import {ExecutorSession, type SessionPorts} from './executor-session.js';
import {type Executor} from './executor.js';
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
	ones.
	*/
	setListed: (executors: readonly Executor[]) => void;
	/** Sessions of listed executors that may be sent a start now. */
	listOpen: () => ExecutorSession[];
	/** The labels of listed executors, each once. */
	listLabels: () => string[];
	/** Every executor has reported what runs there or is gone, and there is at least one. */
	hasAllReported: () => boolean;
	/** A run of the task on any of the executors, including one that is being stopped. */
	findRun: (task: {
		job: string;
		index: number;
	}) => {run: Run; session: ExecutorSession} | undefined;
	/** Whether a task of the job runs on any of the executors; a run that is being stopped counts. */
	hasRunOfJob: (job: string) => boolean;
	/** Sessions with runs, or ends of runs, that an earlier holder may have started and no entry has claimed. */
	listUnclaimed: () => ExecutorSession[];
	/** Closes the sessions of unlisted executors without runs; to be called periodically. */
	closeUnlisted: (now: number) => void;
	closeAll: () => void;
};

export function createExecutorSet(
	ports: Omit<SessionPorts, 'unansweredStarts' | 'answerTimes' | 'runIndex'>,
): ExecutorSet {
	const sessions = new Map<string, ExecutorSession>();
	const answerTimes = createAnswerTimes();
	const runIndex = createRunIndex<ExecutorSession>();
	/** By executor id, including executors whose session is closed. */
	const unansweredStarts = new Map<string, UnansweredStarts>();
	let listedIds: ReadonlySet<string> = new Set();
	let labels: string[] = [];

	function openSession(executor: Executor): void {
		const {id} = executor;
		const starts = unansweredStarts.get(id) ?? createUnansweredStarts();
		unansweredStarts.set(id, starts);
		const session = new ExecutorSession(executor, {
			...ports,
			answerTimes,
			unansweredStarts: starts,
			runIndex,
		});
		sessions.set(id, session);
		session.open();
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
			if (starts.isEmpty && !sessions.has(id)) {
				unansweredStarts.delete(id);
			}
		}
	}

	return {
		sessions,
		setListed(executors) {
			listedIds = new Set(executors.map(({id}) => id));
			labels = [...new Set(executors.flatMap((one) => one.labels ?? []))];
			for (const executor of executors) {
				const session = sessions.get(executor.id);
				if (session) {
					session.update(executor);
				} else {
					openSession(executor);
				}
			}

			// The next holder would not learn of an unlisted executor, and could start the tasks that run there a
			// second time.
			for (const [id, session] of sessions) {
				if (!listedIds.has(id)) {
					session.stopAll();
				}
			}
		},
		listOpen: () =>
			[...sessions.values()].filter(
				({id, isOpen}) => isOpen && listedIds.has(id),
			),
		listLabels: () => labels,
		hasAllReported: () =>
			sessions.size > 0 &&
			[...sessions.values()].every(
				({hasReported, isGone}) => hasReported || isGone,
			),
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
		closeUnlisted(now) {
			for (const [id, session] of sessions) {
				if (!listedIds.has(id) && session.runs.size === 0) {
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
