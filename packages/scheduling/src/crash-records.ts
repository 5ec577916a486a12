/**
Records which executors crashed while they ran a task. The name of an executor stands for one of its processes, so
a crash that several hosts report counts once, and a later crash of the restarted executor counts anew.

A task under which `crashLimit` executors have crashed is condemned: every host gives up its job. If another task
ran beside it each time, that one may be the cause, and one crash more is needed. An executor
that stays silent until its lease has expired may have crashed or may only be unreachable; which of the two
becomes known seconds later. Until then the silence counts against another start of the task, but does not
condemn it.

A crash in a wave (`crash-waves.ts`) is excused: it does not count against the task. At most `maxExcusedCrashes` are,
so that a task which crashes its executors during a wave takes down only so many more.
*/
import {type TaskCrashes} from '@gentianshift/protocol';
import {formatTaskKey} from './run.js';

/** Number of crashed executors after which a task is not started again, if it was alone on one of them. */
export const crashLimit = 2;
/** Likewise for a task that was alone on none of them. */
export const sharedCrashLimit = 3;
/**
Number of crashes of a task that are excused. A sound task rarely loses its executor three times in one wave, as a
run takes far less time than passes between two restarts of an executor.
*/
export const maxExcusedCrashes = 2;
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
- `excused`: executors have crashed under the task, or may have, but only in waves. It may run beside others, on an
  executor that has been up for a while: a further crash would say more about the task there.
- `suspect`: an executor has crashed under the task, or may have.
- `held`: as many executors as condemn the task may have crashed; it is not started until this is known.
- `condemned`: the task is never started again.
*/
export type CrashVerdict =
	'sound' | 'excused' | 'suspect' | 'held' | 'condemned';

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
	/**
	The executor was lost in a wave: its loss does not count against the tasks that ran there, except those for which
	`maxExcusedCrashes` are excused already.
	*/
	ignoreLoss: (executor: string, now: number) => void;
	/** Lists the tasks that ran on the executor when it fell silent. */
	listSilent: (executor: string) => TaskName[];
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
	/** Executors whose crash or silence does not count. */
	excused: Set<string>;
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
			excused: new Set(),
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
		record.excused.delete(executor);
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
			(known.crashed.has(executor) ||
				known.silent.has(executor) ||
				known.excused.has(executor));
		if (isKnown) {
			return undefined;
		}

		const record = refreshRecord(task, now);
		record.silent.set(executor, now);
		return record;
	}

	function listSilent(executor: string): TaskName[] {
		return [...records.values()]
			.filter(({silent}) => silent.has(executor))
			.map(({task}) => task);
	}

	function recordExcuse(record: CrashRecord, executor: string): void {
		record.silent.delete(executor);
		record.alone.delete(executor);
		record.excused.add(executor);
	}

	function addCrash(
		task: TaskName,
		executor: string,
		{now, isAlone}: CrashContext,
	): number | undefined {
		if (records.get(formatTaskKey(task))?.excused.has(executor)) {
			return undefined;
		}

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

	/** The host that noticed the loss decides; a crash that counts at another host goes on counting there. */
	function addReportedExcuse(
		task: TaskName,
		executor: string,
		now: number,
	): void {
		const known = records.get(formatTaskKey(task));
		if (!known?.crashed.has(executor) && !known?.excused.has(executor)) {
			recordExcuse(refreshRecord(task, now), executor);
		}
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
			return listSilent(executor).filter(
				// Whether the task was alone was recorded with the silence.
				(task) => addCrash(task, executor, {now, isAlone: false}) !== undefined,
			);
		},
		ignoreLoss(executor, now) {
			for (const record of records.values()) {
				if (
					record.silent.has(executor) &&
					record.excused.size < maxExcusedCrashes
				) {
					recordExcuse(record, executor);
					record.noticedAt = now;
				}
			}
		},
		listSilent,
		clearExecutor(executor) {
			for (const record of records.values()) {
				record.excused.delete(executor);
				record.crashed.delete(executor);
				record.silent.delete(executor);
				record.alone.delete(executor);
			}
		},
		addReported(reported, now) {
			for (const {job, index, crashed, silent, ...row} of reported) {
				// A host of an earlier build does not say, and condemns a task after two crashes.
				const alone = row.alone ?? [...crashed, ...silent];
				const {excused = []} = row;
				for (const executor of crashed) {
					recordCrash({job, index}, executor, now);
				}

				for (const executor of silent) {
					recordSilence({job, index}, executor, now);
				}

				const record = records.get(formatTaskKey({job, index}));
				for (const executor of alone) {
					if (!record?.excused.has(executor)) {
						record?.alone.add(executor);
					}
				}

				for (const executor of excused) {
					addReportedExcuse({job, index}, executor, now);
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
				const isExcuseOld = now - record.updatedAt > silenceRetentionMs;
				if (isUnused && (record.excused.size === 0 || isExcuseOld)) {
					deleteRecord(key, record);
				} else if (now - record.updatedAt > recordRetentionMs) {
					deleteRecord(key, record);
				}
			}
		},
	};
}

function judgeRecord({
	crashed,
	silent,
	alone,
	excused,
}: CrashRecord): CrashVerdict {
	const limit = alone.size > 0 ? crashLimit : sharedCrashLimit;
	if (crashed.size >= limit) {
		return 'condemned';
	}

	if (crashed.size + silent.size >= limit) {
		return 'held';
	}

	if (crashed.size + silent.size > 0) {
		return 'suspect';
	}

	return excused.size > 0 ? 'excused' : 'sound';
}

function toTaskCrashes(
	records: readonly CrashRecord[],
): TaskCrashes[] | undefined {
	const rows = records
		.filter(
			({crashed, silent, excused}) =>
				crashed.size + silent.size + excused.size > 0,
		)
		.map(({task, crashed, silent, alone, excused}) => ({
			...task,
			crashed: [...crashed],
			silent: [...silent.keys()],
			alone: [...alone],
			...(excused.size > 0 && {excused: [...excused]}),
		}));
	return rows.length > 0 ? rows : undefined;
}
