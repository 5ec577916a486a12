/**
The executors of a group, each with one session. A session is opened when the store lists the executor, and closed
when the executor is no longer listed and nothing runs there. When a later process of the executor answers or registers
under the same id, the session is replaced by one with that process.
*/
import {createAnswerTimes} from './answer-times.js';
import {compareIncarnations} from './compare-incarnations.js';
import {
	ExecutorSession,
	type Inheritance,
	type SessionPorts,
} from './executor-session.js';
import {type Executor} from './executor.js';
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
	/** The session with that process of an executor (`ExecutorSession.incarnation`). */
	findIncarnation: (name: string) => ExecutorSession | undefined;
	/** Whether a task of the job runs on any of the executors; a run that is being stopped counts. */
	hasRunOfJob: (job: string) => boolean;
	/** Closes the sessions of unlisted executors without runs; to be called periodically. */
	closeUnlisted: (now: number) => void;
	closeAll: () => void;
};

export function createExecutorSet(
	ports: Omit<SessionPorts, 'unansweredStarts' | 'answerTimes' | 'onReplaced'>,
): ExecutorSet {
	const sessions = new Map<string, ExecutorSession>();
	const answerTimes = createAnswerTimes();
	/** By executor id, including executors whose session is closed. */
	const unansweredStarts = new Map<string, UnansweredStarts>();
	let listedIds: ReadonlySet<string> = new Set();
	let labels: string[] = [];

	function openSession(executor: Executor, inheritance?: Inheritance): void {
		const {id} = executor;
		const starts = unansweredStarts.get(id) ?? createUnansweredStarts();
		unansweredStarts.set(id, starts);
		if (inheritance) {
			starts.restoreAll();
		}

		const session = new ExecutorSession(
			executor,
			{
				...ports,
				answerTimes,
				unansweredStarts: starts,
				onReplaced: openSession,
			},
			inheritance,
		);
		sessions.set(id, session);
		session.open();
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
		setListed(executors) {
			listedIds = new Set(executors.map(({id}) => id));
			labels = [...new Set(executors.flatMap((one) => one.labels ?? []))];
			const restarted: Array<{session: ExecutorSession; executor: Executor}> =
				[];
			for (const executor of executors) {
				const session = sessions.get(executor.id);
				if (!session) {
					openSession(executor);
				} else if (
					compareIncarnations(executor.bornMs, session.bornMs) === 'later'
				) {
					restarted.push({session, executor});
				} else {
					session.update(executor);
				}
			}

			// The next holder would not learn of an unlisted executor, and could start the tasks that run there a
			// second time.
			for (const [id, session] of sessions) {
				if (!listedIds.has(id)) {
					session.stopAll();
				}
			}

			// Tasks of the former processes are placed again at once, so the whole list has to be in force by then.
			for (const {session, executor} of restarted) {
				session.replaceBy(executor, 'a later process is registered');
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
			for (const session of sessions.values()) {
				const run = session.runs.get(key);
				if (run) {
					return {run, session};
				}
			}

			return undefined;
		},
		findIncarnation(name) {
			const id = name.replace(/@\d+$/v, '');
			const session = sessions.get(name) ?? sessions.get(id);
			return session?.incarnation === name ? session : undefined;
		},
		hasRunOfJob: (id) =>
			[...sessions.values()].some(({runs}) =>
				[...runs.values()].some(({job}) => job === id),
			),
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
