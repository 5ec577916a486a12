/**
Records which executors crashed while they ran a task. An executor has a new id after each restart, so a crash
that several hosts report counts once.

A task under which `crashLimit` executors have crashed is condemned: every host gives up its job. If another task
ran beside it each time, that one may be the cause, and one crash more is needed. An executor
that stays silent until its lease has expired may have crashed or may only be unreachable; which of the two
becomes known seconds later. Until then the silence counts against another start of the task, but does not
condemn it.
*/
import {type TaskCrashes} from '@gentianshift/protocol';
import {formatTaskKey} from './run.js';

/** Number of crashed executors after which a task is not started again, if it was alone on one of them. */
export const crashLimit = 2;
/** Likewise for a task that was alone on none of them. */
export const sharedCrashLimit = 3;
/** Callers have stopped resending a job by then. */
const recordRetentionMs = 60_000;
/** By then a silent executor has answered again, or its registration in the store has expired. */
const silenceRetentionMs = 10_000;
/**
How long a crash or silence that this host noticed is included in its state messages: several messages, and
longer than callers take to resend a job.
*/
const recentChangeMs = 2000;
/** Upper bound on recorded tasks; the one that was changed longest ago is removed first. */
const maxRecordedTasks = 2000;
/** Upper bound on the tasks reported in one state message. */
const maxReportedTasks = 50;

type TaskName = {job: string; index: number};

type CrashContext = {
	now: number;
	/** Nothing else ran on the executor. */
	isAlone: boolean;
};

/**
- `sound`: no executor is known to have crashed or fallen silent under the task.
- `suspect`: an executor has crashed under the task, or may have.
- `held`: as many executors as condemn the task may have crashed; it is not started until this is known.
- `condemned`: the task is never started again.
*/
export type CrashVerdict = 'sound' | 'suspect' | 'held' | 'condemned';

export type CrashRecords = {
	readonly isEmpty: boolean;
	/** How many crashes this host has blamed on tasks; a crash under several tasks counts once for each. */
	readonly blamedCount: number;
	/** Returns how many executors have crashed under the task, or undefined if this crash was known already. */
	addCrash: (
		task: TaskName,
		executor: string,
		context: CrashContext,
	) => number | undefined;
	/** Records that the executor is silent and its lease has expired. */
	addSilence: (task: TaskName, executor: string, context: CrashContext) => void;
	/** Records that a silent executor has crashed. Returns the tasks for which this crash was new. */
	confirmCrash: (executor: string, now: number) => TaskName[];
	/** Removes the executor from all tasks: it answers under the same id, so it has not crashed. */
	clearExecutor: (executor: string) => void;
	/** Adds what another host has reported. */
	addReported: (reported: readonly TaskCrashes[], now: number) => void;
	judge: (task: TaskName) => CrashVerdict;
	/** Returns the index of a condemned task of the job, for which the job is given up. */
	findCondemnedTask: (job: string) => number | undefined;
	/** Returns the crashes under one job's tasks; undefined if none is known. */
	listByJob: (job: string) => TaskCrashes[] | undefined;
	/**
	Returns the tasks for which this host itself recorded a crash or a silence recently; undefined if there are
	none.
	*/
	listRecent: (now: number) => TaskCrashes[] | undefined;
	forgetOld: (now: number) => void;
};

type CrashRecord = {
	task: TaskName;
	crashed: Set<string>;
	/** Silent executors, and since when this host has known that they are silent. */
	silent: Map<string, number>;
	/** Those of both on which the task was alone. */
	alone: Set<string>;
	/** When this host last recorded a crash or silence that it noticed itself, not one that another host reported. */
	noticedAt: number;
	updatedAt: number;
};

/**
@example
records.addCrash({job: 'a1', index: 0}, 'i-1', {now, isAlone: true}); // 1
records.judge({job: 'a1', index: 0}); // 'suspect'
*/
export function createCrashRecords(): CrashRecords {
	const records = new Map<string, CrashRecord>();
	/** Keys of each job's recorded tasks. */
	const taskKeysByJob = new Map<string, Set<string>>();
	let blamedCount = 0;

	function deleteRecord(key: string, {task: {job}}: CrashRecord): void {
		records.delete(key);
		const keys = taskKeysByJob.get(job);
		keys?.delete(key);
		if (keys?.size === 0) {
			taskKeysByJob.delete(job);
		}
	}

	function deleteOldestBeyondLimit(): void {
		const [oldest] = records;
		if (oldest && records.size > maxRecordedTasks) {
			deleteRecord(...oldest);
		}
	}

	/** Returns the task's record, created if it is missing, as the most recently changed one. */
	function refreshRecord({job, index}: TaskName, now: number): CrashRecord {
		const key = formatTaskKey({job, index});
		const record: CrashRecord = records.get(key) ?? {
			task: {job, index},
			crashed: new Set(),
			silent: new Map(),
			alone: new Set(),
			noticedAt: -Infinity,
			updatedAt: now,
		};
		record.updatedAt = now;
		records.delete(key);
		records.set(key, record);
		const keys = taskKeysByJob.get(job) ?? new Set();
		keys.add(key);
		taskKeysByJob.set(job, keys);
		deleteOldestBeyondLimit();
		return record;
	}

	/** Returns the record, or undefined if the crash was known already. */
	function recordCrash(
		task: TaskName,
		executor: string,
		now: number,
	): CrashRecord | undefined {
		if (records.get(formatTaskKey(task))?.crashed.has(executor)) {
			return undefined;
		}

		const record = refreshRecord(task, now);
		record.silent.delete(executor);
		record.crashed.add(executor);
		return record;
	}

	/**
	A silence that is known keeps its time: reports repeated by other hosts must not prolong it beyond its end
	on the host that noticed it.
	*/
	function recordSilence(
		task: TaskName,
		executor: string,
		now: number,
	): CrashRecord | undefined {
		const known = records.get(formatTaskKey(task));
		const isKnown =
			known !== undefined &&
			(known.crashed.has(executor) || known.silent.has(executor));
		if (isKnown) {
			return undefined;
		}

		const record = refreshRecord(task, now);
		record.silent.set(executor, now);
		return record;
	}

	function addCrash(
		task: TaskName,
		executor: string,
		{now, isAlone}: CrashContext,
	): number | undefined {
		const record = recordCrash(task, executor, now);
		if (record) {
			if (isAlone) {
				record.alone.add(executor);
			}

			record.noticedAt = now;
			blamedCount += 1;
		}

		return record?.crashed.size;
	}

	return {
		get isEmpty() {
			return records.size === 0;
		},
		get blamedCount() {
			return blamedCount;
		},
		addCrash,
		addSilence(task, executor, {now, isAlone}) {
			const record = recordSilence(task, executor, now);
			if (record) {
				if (isAlone) {
					record.alone.add(executor);
				}

				record.noticedAt = now;
			}
		},
		confirmCrash(executor, now) {
			const tasks = [...records.values()]
				.filter(({silent}) => silent.has(executor))
				.map(({task}) => task);
			return tasks.filter(
				// Whether the task was alone was recorded with the silence.
				(task) => addCrash(task, executor, {now, isAlone: false}) !== undefined,
			);
		},
		clearExecutor(executor) {
			for (const record of records.values()) {
				record.crashed.delete(executor);
				record.silent.delete(executor);
				record.alone.delete(executor);
			}
		},
		addReported(reported, now) {
			for (const {job, index, crashed, silent, ...row} of reported) {
				// A host of an earlier build does not say, and condemns a task after two crashes.
				const alone = row.alone ?? [...crashed, ...silent];
				for (const executor of crashed) {
					recordCrash({job, index}, executor, now);
				}

				for (const executor of silent) {
					recordSilence({job, index}, executor, now);
				}

				for (const executor of alone) {
					records.get(formatTaskKey({job, index}))?.alone.add(executor);
				}
			}
		},
		judge(task) {
			const record = records.get(formatTaskKey(task));
			return record ? judgeRecord(record) : 'sound';
		},
		findCondemnedTask(job) {
			for (const key of taskKeysByJob.get(job) ?? []) {
				const record = records.get(key)!;
				if (judgeRecord(record) === 'condemned') {
					return record.task.index;
				}
			}

			return undefined;
		},
		listByJob(job) {
			const keys = [...(taskKeysByJob.get(job) ?? [])];
			return toTaskCrashes(keys.map((key) => records.get(key)!));
		},
		listRecent(now) {
			if (records.size === 0) {
				return undefined;
			}

			const recent = [...records.values()].filter(
				({noticedAt}) => now - noticedAt <= recentChangeMs,
			);
			return toTaskCrashes(recent.slice(-maxReportedTasks));
		},
		forgetOld(now) {
			for (const [key, record] of records) {
				for (const [executor, at] of record.silent) {
					if (now - at > silenceRetentionMs) {
						record.silent.delete(executor);
					}
				}

				const isUnused = record.crashed.size + record.silent.size === 0;
				if (isUnused || now - record.updatedAt > recordRetentionMs) {
					deleteRecord(key, record);
				}
			}
		},
	};
}

function judgeRecord({crashed, silent, alone}: CrashRecord): CrashVerdict {
	const limit = alone.size > 0 ? crashLimit : sharedCrashLimit;
	if (crashed.size >= limit) {
		return 'condemned';
	}

	if (crashed.size + silent.size >= limit) {
		return 'held';
	}

	return crashed.size + silent.size > 0 ? 'suspect' : 'sound';
}

function toTaskCrashes(
	records: readonly CrashRecord[],
): TaskCrashes[] | undefined {
	const rows = records
		.filter(({crashed, silent}) => crashed.size + silent.size > 0)
		.map(({task, crashed, silent, alone}) => ({
			...task,
			crashed: [...crashed],
			silent: [...silent.keys()],
			alone: [...alone],
		}));
	return rows.length > 0 ? rows : undefined;
}
