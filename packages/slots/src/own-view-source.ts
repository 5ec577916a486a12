/**
A source of slots for a host on its own: it knows only its own requests and picks an executor by
a function passed in. The baseline that the keepers are measured against, and the thin first
version of the dispatcher.
*/
import {type SlotOutcome} from '@gentianshift/decisions';
import {
	type JobDemand,
	type SlotHandlers,
	type SlotSource,
	type UsableSlot,
} from '@gentianshift/jobs';
import {type Executor} from '@gentianshift/resources';

/** An executor with this host's own requests under way there. */
export type ExecutorView = {executor: Executor; outstanding: number};

/** Picks where the next task goes, among executors with a free slot by this host's own count. */
export type PickExecutor = (
	views: readonly ExecutorView[],
	random: () => number,
) => ExecutorView | undefined;

/** Pause before a task goes out again after an executor refused it, milliseconds. */
const refusedPauseMs = 5;

export type OwnViewOptions = {
	pick: PickExecutor;
	/** Uniform in [0, 1). */
	random: () => number;
	/** Executors of a target that take work now. */
	listExecutors: (target: string) => readonly Executor[];
};

/** Picks any executor with a free slot. */
export function pickRandom(
	views: readonly ExecutorView[],
	random: () => number,
): ExecutorView | undefined {
	return views[Math.floor(random() * views.length)];
}

/** Of two random executors, the one with fewer own requests relative to its slots. */
export function pickLeastOfTwo(
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

export function createOwnViewSource(
	options: OwnViewOptions,
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

	function schedulePass(pauseMs: number): void {
		if (isScheduled) {
			return;
		}

		isScheduled = true;
		setTimeout(() => {
			isScheduled = false;
			grantAll();
		}, pauseMs);
	}

	function listFree(target: string): ExecutorView[] {
		return options
			.listExecutors(target)
			.map((executor) => ({executor, outstanding: countOutstanding(executor)}))
			.filter((view) => view.outstanding < view.executor.slots);
	}

	/** First come, first served. */
	function grantAll(): void {
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
				// The job could not use it.
				return;
			}
		}
	}

	function createSlot(executor: Executor, target: string): UsableSlot {
		return {
			executor,
			isUsable: () => options.listExecutors(target).includes(executor),
			keep: () => false,
			release(outcome: SlotOutcome) {
				changeOutstanding(executor, -1);
				schedulePass(outcome.result === 'refused' ? refusedPauseMs : 0);
			},
		};
	}

	return {
		demandSlots(demand) {
			waiting.set(demand.job, demand);
			schedulePass(0);
		},
		withdrawDemand(job) {
			waiting.delete(job);
		},
	};
}
