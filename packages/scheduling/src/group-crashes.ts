/**
Records which executors of a group crashed under which tasks, and reports it to the entries of these jobs.
*/
import {type Part} from '@gentianshift/protocol';
import {type CrashRecords} from './crash-records.js';
import {type ExecutorSession} from './executor-session.js';
import {type Entry, type GroupJob} from './group-job.js';
import {type Run} from './run.js';

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
	/** Counts the crash against the task of each of these runs. */
	blameRuns: (executor: string, runs: readonly Run[]) => void;
	/** The executor is silent and the lease of its runs has expired. */
	recordSilence: (executor: string, runs: readonly Run[]) => void;
	/** Adds the crashes that a part lists, and sends its entry the crashes that this host knows of. */
	recordPartCrashes: (entry: Entry, part: Part) => void;
	/** Returns the jobs to give up. Their entries are sent the crashes, and answer the callers on that message. */
	takeCondemnedJobs: (jobs: Iterable<GroupJob>) => GroupJob[];
	hasSuspectRun: (executor: ExecutorSession) => boolean;
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

	return {
		blameRuns(executor, runs) {
			const context = {now: now(), isAlone: runs.length === 1};
			for (const run of runs) {
				const count = crashes.addCrash(run, executor, context);
				if (count !== undefined) {
					log('an executor crashed under a task', {
						executor,
						job: run.job,
						task: run.index,
						attempt: run.attempt,
						queue: findJob(run.job)?.queue,
						crashes: count,
						beside: runs.length - 1,
						group,
						token,
					});
				}
			}

			// Runs that an earlier holder of the group started; that holder reported the silence.
			crashes.confirmCrash(executor, now());
			sendCrashesToEntries(runs);
		},
		recordSilence(executor, runs) {
			const context = {now: now(), isAlone: runs.length === 1};
			for (const run of runs) {
				crashes.addSilence(run, executor, context);
			}

			sendCrashesToEntries(runs);
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
			[...runs.values()].some((run) => crashes.judge(run) !== 'sound'),
	};
}
