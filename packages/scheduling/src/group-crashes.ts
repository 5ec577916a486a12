/**
Records which executors of a group crashed under which tasks, and reports it to the entries of these jobs.
*/
import {type Part} from '@gentianshift/protocol';
import {type CrashRecords} from './crash-records.js';
import {
	isInWave,
	isPastWave,
	steadyUptimeMs,
	type ExecutorLoss,
} from './crash-waves.js';
import {type ExecutorSession} from './executor-session.js';
import {type Entry, type GroupJob} from './group-job.js';
import {formatTaskKey, type Run} from './run.js';

/** Within this time a holder has noticed most executors that were lost together: an idle one is asked each second. */
const settleMs = 1000;

export type GroupCrashPorts = {
	group: string;
	token: number;
	now: () => number;
	/** Shared with the entry on the same host. */
	crashes: CrashRecords;
	findJob: (id: string) => GroupJob | undefined;
	findExecutor: (id: string) => ExecutorSession | undefined;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export type GroupCrashes = {
	/** The executor crashed under these runs: the crash counts against their tasks unless it is part of a wave. */
	recordCrash: (executor: string, runs: readonly Run[]) => void;
	/** The executor is silent and the lease of its runs has expired. */
	recordSilence: (executor: string, runs: readonly Run[]) => void;
	/** The executor has not crashed: it answers again, or its shutdown was planned. */
	clearExecutor: (executor: string) => void;
	/** Counts the crashes that are old enough; `isClosing`: all, as this holder does not see what follows. */
	settleCrashes: (options: {isClosing: boolean}) => void;
	/** Adds the crashes that a part lists, and sends its entry the crashes that this host knows of. */
	recordPartCrashes: (entry: Entry, part: Part) => void;
	/** Returns the jobs to give up. Their entries are sent the crashes, and answer the callers on that message. */
	takeCondemnedJobs: (jobs: Iterable<GroupJob>) => GroupJob[];
	hasSuspectRun: (executor: ExecutorSession) => boolean;
};

type GroupLoss = ExecutorLoss & {
	jobs: Set<string>;
	runs: Map<string, Run>;
	/** Otherwise the executor is silent. */
	isCrash: boolean;
	/** Part of a wave. */
	isExcused: boolean;
	/** The crash has been counted, or excused. */
	isSettled: boolean;
};

export function createGroupCrashes(ports: GroupCrashPorts): GroupCrashes {
	const {group, token, now, crashes, findJob, findExecutor, log} = ports;

	function sendCrashes(
		entry: Entry,
		{id, claim, isStarted}: Pick<GroupJob, 'id' | 'claim' | 'isStarted'>,
	): void {
		const known = crashes.listByJob(id);
		if (known) {
			entry.send({
				t: 'ends',
				group,
				job: id,
				token,
				claim,
				isStarted,
				ends: [],
				crashes: known,
			});
		}
	}

	function sendCrashesToEntries(runs: readonly Run[]): void {
		for (const id of new Set(runs.map(({job}) => job))) {
			const job = findJob(id);
			if (job) {
				sendCrashes(job.entry, job);
			}
		}
	}

	/**
	Whether the executor has no open session here. An entry's report may be older than an executor's return, so
	a crash or silence of an executor with an open session is ignored.
	*/
	function hasNoOpenSession(executor: string): boolean {
		return !findExecutor(executor)?.isOpen;
	}

	/** Recent losses of executors, by name. */
	const losses = new Map<string, GroupLoss>();

	function recordLoss(
		executor: string,
		runs: readonly Run[],
		{isCrash}: {isCrash: boolean},
	): void {
		const silent = crashes.listSilent(executor);
		const isIdle = runs.length === 0 && silent.length === 0;
		const {hasReported = false, reportedAt = Infinity} =
			findExecutor(executor) ?? {};
		// An executor that has not reported to this holder may have had runs that an earlier holder started.
		if (isIdle && !hasReported) {
			return;
		}

		const loss = losses.get(executor) ?? {
			executor,
			at: now(),
			jobs: new Set(),
			runs: new Map(),
			isSteady: now() - reportedAt >= steadyUptimeMs,
			isCrash: false,
			isExcused: false,
			isSettled: false,
		};
		losses.set(executor, loss);
		for (const {job} of [...runs, ...silent]) {
			loss.jobs.add(job);
		}

		const context = {now: now(), isAlone: runs.length === 1};
		for (const run of runs) {
			loss.runs.set(formatTaskKey(run), run);
			crashes.addSilence(run, executor, context);
		}

		if (isCrash) {
			loss.at = loss.isCrash ? loss.at : now();
			loss.isCrash = true;
			loss.isSettled = false;
		}

		ignoreWaves();
		sendCrashesToEntries(runs);
	}

	/** Excuses losses that the newest one has shown to be part of a wave. */
	function ignoreWaves(): void {
		for (const loss of losses.values()) {
			const isNew = !loss.isExcused && !loss.isSettled;
			if (isNew && isInWave(loss, losses.values())) {
				ignoreLoss(loss);
			}
		}
	}

	function ignoreLoss(loss: GroupLoss): void {
		loss.isExcused = true;
		crashes.ignoreLoss(loss.executor, now());
		if (loss.runs.size > 0) {
			log('loss of an executor is blamed on no task: others were lost too', {
				executor: loss.executor,
				jobs: [...loss.jobs],
				lost: losses.size,
				group,
				token,
			});
			sendCrashesToEntries([...loss.runs.values()]);
		}
	}

	/** Counts the crash against all tasks for which it was not excused. */
	function settleCrash(loss: GroupLoss): void {
		const {executor, runs} = loss;
		loss.isSettled = true;
		const context = {now: now(), isAlone: runs.size === 1};
		for (const run of runs.values()) {
			const count = crashes.addCrash(run, executor, context);
			if (count !== undefined) {
				log('an executor crashed under a task', {
					executor,
					job: run.job,
					task: run.index,
					attempt: run.attempt,
					queue: findJob(run.job)?.queue,
					crashes: count,
					beside: runs.size - 1,
					group,
					token,
				});
			}
		}

		// Runs that an earlier holder of the group started; that holder reported the silence.
		crashes.confirmCrash(executor, now());
		sendCrashesToEntries([...runs.values()]);
	}

	return {
		recordCrash(executor, runs) {
			recordLoss(executor, runs, {isCrash: true});
		},
		recordSilence(executor, runs) {
			recordLoss(executor, runs, {isCrash: false});
		},
		clearExecutor(executor) {
			losses.delete(executor);
			crashes.clearExecutor(executor);
		},
		settleCrashes({isClosing}) {
			for (const loss of losses.values()) {
				const isDue =
					isClosing || loss.isExcused || now() - loss.at >= settleMs;
				if (loss.isCrash && !loss.isSettled && isDue) {
					settleCrash(loss);
				}

				if (isPastWave(loss, now())) {
					losses.delete(loss.executor);
				}
			}
		},
		recordPartCrashes(entry, {job, claim, crashes: reported = []}) {
			crashes.addReported(
				reported.map((row) => ({
					...row,
					crashed: row.crashed.filter((id) => hasNoOpenSession(id)),
					silent: row.silent.filter((id) => hasNoOpenSession(id)),
				})),
				now(),
			);
			sendCrashes(entry, {id: job, claim, isStarted: false});
		},
		takeCondemnedJobs(jobs) {
			if (crashes.isEmpty) {
				return [];
			}

			return [...jobs].filter((job) => {
				const task = crashes.findCondemnedTask(job.id);
				if (task === undefined || job.isDropped) {
					return false;
				}

				log('job is given up: executors crashed under its task', {
					job: job.id,
					task,
					queue: job.queue,
					entry: job.entry.key,
					executors: crashes
						.listByJob(job.id)
						?.find(({index}) => index === task)?.crashed,
				});
				sendCrashes(job.entry, job);
				return true;
			});
		},
		hasSuspectRun: ({runs}) =>
			!crashes.isEmpty &&
			[...runs.values()].some((run) => {
				const verdict = crashes.judge(run);
				return verdict !== 'sound' && verdict !== 'excused';
			}),
	};
}
