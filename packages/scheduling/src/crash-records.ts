/**
Records which executors crashed while they ran a task. An executor has a new id after each restart, so a crash
that several hosts report counts once.

A task under which `crashLimit` executors have crashed is condemned: every host gives up its job. An executor
that stays silent until its lease has expired may have crashed or may only be unreachable; which of the two
becomes known seconds later. Until then the silence counts against another start of the task, but does not
condemn it.
*/
import {type TaskCrashes} from '@gentianshift/protocol';
import {formatTaskKey} from './run.js';

/** Number of crashed executors after which a task is not started again. */
export const crashLimit = 2;
/** Callers have stopped resending a job by then. */
const keepMs = 60_000;
/** By then a silent executor has answered again, or its registration in the store has expired. */
const silenceKeepMs = 10_000;
/**
How long a crash or silence that this host noticed is included in its state messages: several messages, and
longer than callers take to resend a job.
*/
const newsMs = 2000;
/** Upper bound on recorded tasks; the one that was changed longest ago is removed first. */
const mostTasks = 2000;
/** Upper bound on the tasks reported in one state message. */
const mostNews = 50;

type TaskName = {job: string; index: number};

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
		now: number,
	) => number | undefined;
	/** Records that the executor is silent and its lease has expired. */
	addSilence: (task: TaskName, executor: string, now: number) => void;
	/** Records that a silent executor has crashed. Returns the tasks for which this crash was new. */
	confirmSilence: (executor: string, now: number) => TaskName[];
	/** Removes the executor from all tasks: it answers under the same id, so it has not crashed. */
	clearExecutor: (executor: string) => void;
	/** Adds what another host has reported. */
	learn: (told: readonly TaskCrashes[], now: number) => void;
	judge: (task: TaskName) => CrashVerdict;
	/** Returns the index of a condemned task of the job, for which the job is given up. */
	findCondemned: (job: string) => number | undefined;
	/** Returns the crashes under one job's tasks; undefined if none is known. */
	listOf: (job: string) => TaskCrashes[] | undefined;
	/**
	Returns the tasks for which this host itself recorded a crash or a silence recently; undefined if there are
	none.
	*/
	listNews: (now: number) => TaskCrashes[] | undefined;
	forgetOld: (now: number) => void;
};

type Entry = {
	task: TaskName;
	crashed: Set<string>;
	/** Silent executors, and since when this host has known that they are silent. */
	silent: Map<string, number>;
	/** When this host last recorded a crash or silence that it noticed itself, not one that another host reported. */
	changedAt: number;
	touchedAt: number;
};

/**
@example
records.addCrash({job: 'a1', index: 0}, 'i-1', now); // 1
records.judge({job: 'a1', index: 0}); // 'suspect'
*/
export function createCrashRecords(): CrashRecords {
	const entries = new Map<string, Entry>();
	/** Keys of each job's recorded tasks. */
	const ofJob = new Map<string, Set<string>>();
	let blamedCount = 0;

	function drop(key: string, {task: {job}}: Entry): void {
		entries.delete(key);
		const keys = ofJob.get(job);
		keys?.delete(key);
		if (keys?.size === 0) {
			ofJob.delete(job);
		}
	}

	function dropBeyondLimit(): void {
		const [oldest] = entries;
		if (oldest && entries.size > mostTasks) {
			drop(...oldest);
		}
	}

	/** Returns the task's record, created if it is missing, as the most recently changed one. */
	function openEntry({job, index}: TaskName, now: number): Entry {
		const key = formatTaskKey({job, index});
		const entry: Entry = entries.get(key) ?? {
			task: {job, index},
			crashed: new Set(),
			silent: new Map(),
			changedAt: -Infinity,
			touchedAt: now,
		};
		entry.touchedAt = now;
		entries.delete(key);
		entries.set(key, entry);
		const keys = ofJob.get(job) ?? new Set();
		keys.add(key);
		ofJob.set(job, keys);
		dropBeyondLimit();
		return entry;
	}

	/** Returns the record, or undefined if the crash was known already. */
	function enterCrash(
		task: TaskName,
		executor: string,
		now: number,
	): Entry | undefined {
		if (entries.get(formatTaskKey(task))?.crashed.has(executor)) {
			return undefined;
		}

		const entry = openEntry(task, now);
		entry.silent.delete(executor);
		entry.crashed.add(executor);
		return entry;
	}

	/**
	A silence that is known keeps its time: reports repeated by other hosts must not prolong it beyond its end
	on the host that noticed it.
	*/
	function enterSilence(
		task: TaskName,
		executor: string,
		now: number,
	): Entry | undefined {
		const known = entries.get(formatTaskKey(task));
		const isKnown =
			known !== undefined &&
			(known.crashed.has(executor) || known.silent.has(executor));
		if (isKnown) {
			return undefined;
		}

		const entry = openEntry(task, now);
		entry.silent.set(executor, now);
		return entry;
	}

	function addCrash(
		task: TaskName,
		executor: string,
		now: number,
	): number | undefined {
		const entry = enterCrash(task, executor, now);
		if (entry) {
			entry.changedAt = now;
			blamedCount += 1;
		}

		return entry?.crashed.size;
	}

	return {
		get isEmpty() {
			return entries.size === 0;
		},
		get blamedCount() {
			return blamedCount;
		},
		addCrash,
		addSilence(task, executor, now) {
			const entry = enterSilence(task, executor, now);
			if (entry) {
				entry.changedAt = now;
			}
		},
		confirmSilence(executor, now) {
			const tasks = [...entries.values()]
				.filter(({silent}) => silent.has(executor))
				.map(({task}) => task);
			return tasks.filter(
				(task) => addCrash(task, executor, now) !== undefined,
			);
		},
		clearExecutor(executor) {
			for (const entry of entries.values()) {
				entry.crashed.delete(executor);
				entry.silent.delete(executor);
			}
		},
		learn(told, now) {
			for (const {job, index, crashed, silent} of told) {
				for (const executor of crashed) {
					enterCrash({job, index}, executor, now);
				}

				for (const executor of silent) {
					enterSilence({job, index}, executor, now);
				}
			}
		},
		judge(task) {
			const entry = entries.get(formatTaskKey(task));
			return entry ? judgeEntry(entry) : 'sound';
		},
		findCondemned(job) {
			for (const key of ofJob.get(job) ?? []) {
				const entry = entries.get(key)!;
				if (judgeEntry(entry) === 'condemned') {
					return entry.task.index;
				}
			}

			return undefined;
		},
		listOf(job) {
			const keys = [...(ofJob.get(job) ?? [])];
			return toRows(keys.map((key) => entries.get(key)!));
		},
		listNews(now) {
			if (entries.size === 0) {
				return undefined;
			}

			const news = [...entries.values()].filter(
				({changedAt}) => now - changedAt <= newsMs,
			);
			return toRows(news.slice(-mostNews));
		},
		forgetOld(now) {
			for (const [key, entry] of entries) {
				for (const [executor, at] of entry.silent) {
					if (now - at > silenceKeepMs) {
						entry.silent.delete(executor);
					}
				}

				const isBlank = entry.crashed.size + entry.silent.size === 0;
				if (isBlank || now - entry.touchedAt > keepMs) {
					drop(key, entry);
				}
			}
		},
	};
}

function judgeEntry({crashed, silent}: Entry): CrashVerdict {
	if (crashed.size >= crashLimit) {
		return 'condemned';
	}

	if (crashed.size + silent.size >= crashLimit) {
		return 'held';
	}

	return crashed.size + silent.size > 0 ? 'suspect' : 'sound';
}

function toRows(entries: readonly Entry[]): TaskCrashes[] | undefined {
	const rows = entries
		.filter(({crashed, silent}) => crashed.size + silent.size > 0)
		.map(({task, crashed, silent}) => ({
			...task,
			crashed: [...crashed],
			silent: [...silent.keys()],
		}));
	return rows.length > 0 ? rows : undefined;
}
