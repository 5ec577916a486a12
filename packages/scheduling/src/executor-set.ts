/**
The executors of a group, each with one session. A session is opened when the store lists the executor and no other
group's holder has one, and closed when the executor is no longer listed, or belongs to another group, and nothing runs
there.
*/
import {createAnswerTimes} from './answer-times.js';
import {ExecutorSession, type SessionPorts} from './executor-session.js';
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
	/** Every executor has reported what runs there or is gone, and there is at least one. */
	hasAllReported: () => boolean;
	/** A run of the task on any of the executors, including one that is being stopped. */
	findRun: (task: {
		job: string;
		index: number;
	}) => {run: Run; session: ExecutorSession} | undefined;
	/** Whether a task of the job runs on any of the executors; a run that is being stopped counts. */
	hasRunOfJob: (job: string) => boolean;
	/** Closes the sessions of unlisted executors without runs; to be called periodically. */
	closeUnlisted: (now: number) => void;
	closeAll: () => void;
};

export function createExecutorSet(
	ports: Omit<SessionPorts, 'unansweredStarts' | 'answerTimes'> & {
		/** Whether another group's holder may still call the executor. */
		isHeldElsewhere: (executor: string) => boolean;
	},
): ExecutorSet {
	const sessions = new Map<string, ExecutorSession>();
	const answerTimes = createAnswerTimes();
	/** By executor id, including executors whose session is closed. */
	const unansweredStarts = new Map<string, UnansweredStarts>();
	let listedIds: ReadonlySet<string> = new Set();
	let foreignIds: ReadonlySet<string> = new Set();
	/** Listed executors that another group's holder has yet to release. */
	let awaited: readonly Executor[] = [];
	let labels: string[] = [];

	function openSession(executor: Executor): void {
		const {id} = executor;
		const starts = unansweredStarts.get(id) ?? createUnansweredStarts();
		unansweredStarts.set(id, starts);
		const session = new ExecutorSession(executor, {
			...ports,
			answerTimes,
			unansweredStarts: starts,
		});
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
		setListed(executors, foreign) {
			listedIds = new Set(executors.map(({id}) => id));
			foreignIds = new Set(foreign.map(({id}) => id));
			labels = [...new Set(executors.flatMap((one) => one.labels ?? []))];
			for (const executor of executors) {
				sessions.get(executor.id)?.update(executor);
			}

			openIfReleased(executors.filter(({id}) => !sessions.has(id)));
			// The next holder would not learn of an unlisted executor, and could start the tasks that run there a
			// second time.
			for (const [id, session] of sessions) {
				if (!listedIds.has(id) && !foreignIds.has(id)) {
					session.stopAll();
				}
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
