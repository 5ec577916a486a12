/**
A source of slots that works without keepers: the host counts only its own requests and picks
executors by a function passed in. It is the baseline that keepers are measured against, and was the
minimal first version of the dispatcher.
*/
import {type SlotOutcome} from '@gentianshift/decisions';
import {
	type JobDemand,
	type SlotHandlers,
	type SlotSource,
	type UsableSlot,
} from '@gentianshift/jobs';
import {type Executor} from '@gentianshift/resources';

/** An executor and the number of this host's own unfinished requests to it. */
export type ExecutorView = {executor: Executor; outstanding: number};

/** Picks the executor for the next task, among those with a free slot by this host's own count. */
export type PickExecutor = (
	views: readonly ExecutorView[],
	random: () => number,
) => ExecutorView | undefined;

/** Time in milliseconds before the next slots are granted after an executor has refused a task. */
const refusalPauseMs = 5;

export type LocalViewOptions = {
	pick: PickExecutor;
	/** Uniform in [0, 1). */
	random: () => number;
	/** Executors of a target that accept tasks. */
	listExecutors: (target: string) => readonly Executor[];
};

/** Picks one of the given executors at random, all with the same probability. */
export function pickRandom(
	views: readonly ExecutorView[],
	random: () => number,
): ExecutorView | undefined {
	return views[Math.floor(random() * views.length)];
}

/** Picks two executors at random and returns the one with fewer of this host's requests per slot. */
export function pickLessLoadedOfTwo(
	views: readonly ExecutorView[],
	random: () => number,
): ExecutorView | undefined {
	const first = pickRandom(views, random);
	const second = pickRandom(views, random);
	if (!first || !second) {
		return first;
	}

	const load = (view: ExecutorView) => view.outstanding / view.executor.slots;
	return load(second) < load(first) ? second : first;
}

export function createLocalViewSource(
	options: LocalViewOptions,
	handlers: SlotHandlers,
): SlotSource {
	const outstanding = new Map<string, number>();
	const waiting = new Map<number, JobDemand>();
	let isScheduled = false;

	const countOutstanding = (executor: Executor) =>
		outstanding.get(executor.address) ?? 0;

	function changeOutstanding(executor: Executor, change: number): void {
		outstanding.set(executor.address, countOutstanding(executor) + change);
	}

	function scheduleGrants(pauseMs: number): void {
		if (isScheduled) {
			return;
		}

		isScheduled = true;
		setTimeout(() => {
			isScheduled = false;
			grantFreeSlots();
		}, pauseMs);
	}

	function listFree(target: string): ExecutorView[] {
		return options
			.listExecutors(target)
			.map((executor) => ({executor, outstanding: countOutstanding(executor)}))
			.filter((view) => view.outstanding < view.executor.slots);
	}

	/** Grants free slots to jobs in the order of their first demand. */
	function grantFreeSlots(): void {
		for (const demand of waiting.values()) {
			grantJob(demand);
		}
	}

	function grantJob(demand: JobDemand): void {
		while (waiting.has(demand.job)) {
			const view = options.pick(listFree(demand.target), options.random);
			if (!view) {
				return;
			}

			const before = countOutstanding(view.executor);
			changeOutstanding(view.executor, 1);
			handlers.onSlot(demand.job, createSlot(view.executor, demand.target));
			if (countOutstanding(view.executor) === before) {
				// The job has released the slot unused.
				return;
			}
		}
	}

	function createSlot(executor: Executor, target: string): UsableSlot {
		return {
			executor,
			isUsable: () => options.listExecutors(target).includes(executor),
			endTask: () => false,
			release(outcome: SlotOutcome) {
				changeOutstanding(executor, -1);
				scheduleGrants(outcome.result === 'refused' ? refusalPauseMs : 0);
			},
		};
	}

	return {
		demandSlots(demand) {
			waiting.set(demand.job, demand);
			scheduleGrants(0);
		},
		withdrawDemand(job) {
			waiting.delete(job);
		},
	};
}
