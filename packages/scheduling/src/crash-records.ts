/**
The executors that crashed while a task ran there, by the ids of their lives, so that what several hosts tell of one crash counts once.

A task under which `crashLimit` executors have crashed is condemned: its job is given up everywhere. An executor that is silent until
its lease has passed may have crashed or be out of reach, and which of these is known seconds later. Until then it
counts against a start, so that a task is not tried again meanwhile, but condemns nobody.
*/
import {type TaskCrashes} from '@gentianshift/protocol';
import {formatTaskKey} from './run.js';

/** A task under which so many executors have crashed is not started again. */
export const crashLimit = 2;
/** Callers have given up sending a job again by then. */
const keepMs = 60_000;
/** A silent executor has come back, or its entry in the store has lapsed, by then. */
const silenceKeepMs = 10_000;
/** After a change it is told to all hosts for so long: several states, and more than callers take to come again. */
const newsMs = 2000;
/** Tasks remembered; the one that was changed longest ago goes first. */
const mostTasks = 2000;
/** Tasks told with one state. */
const mostNews = 50;

type TaskName = {job: string; index: number};

/**
- `suspect`: an executor has crashed under it, or may have.
- `held`: too many may have; it is not started until that is known.
- `condemned`: it is never started again.
*/
export type CrashVerdict = 'sound' | 'suspect' | 'held' | 'condemned';

export type CrashRecords = {
	readonly isEmpty: boolean;
	/** Crashes that this host has blamed on tasks, each task counted. */
	readonly blamedCount: number;
	/** Gives how many executors have crashed under the task; undefined: this crash was known. */
	addCrash: (
		task: TaskName,
		executor: string,
		now: number,
	) => number | undefined;
	/** The executor is silent, and its lease has passed. */
	addSilence: (task: TaskName, executor: string, now: number) => void;
	/** A silent executor has crashed; gives the tasks that it was not known of. */
	confirmSilence: (executor: string, now: number) => TaskName[];
	/** The executor answers in the life that was thought over: it has not crashed. */
	clearExecutor: (executor: string) => void;
	/** What another host knows. */
	learn: (told: readonly TaskCrashes[], now: number) => void;
	judge: (task: TaskName) => CrashVerdict;
	/** A task for which the job is given up. */
	findCondemned: (job: string) => number | undefined;
	/** Of one job; undefined: nothing is known. */
	listOf: (job: string) => TaskCrashes[] | undefined;
	/** What was found out here lately; undefined: nothing was. */
	listNews: (now: number) => TaskCrashes[] | undefined;
	forgetOld: (now: number) => void;
};

type Entry = {
	task: TaskName;
	crashed: Set<string>;
	/** Silent executors, and since when each is known to be. */
	silent: Map<string, number>;
	/** When this host, rather than another one that told of it, last changed it. */
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
	/** Keys of each job's tasks. */
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

	/** The task's entry, made the newest one. */
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

	/** Gives the entry if the crash was not known. */
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

	/** Told again by others, a silence does not last longer than where it was noticed. */
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
