/**
The state of a keeper: jobs, executors, lent slots and learned run times.
*/
import {ExecutorPool} from './executor-pool.js';
import {type JobState} from './job-state.js';
import {JobTable, type JobView} from './job-table.js';
import {type Demand, type LenderOptions} from './lending.js';
import {estimateRunMs, type RunEstimate} from './run-estimate.js';
import {LentSlotTable} from './lent-slot-table.js';

const defaultQueueTasks = 100_000;
const defaultLeaseMs = 1000;

/**
Without a sample for this long, a learned run time no longer counts as learned. Otherwise an estimate
from a slow period could refuse all jobs, and no task would run to show that the period is over.
*/
const staleEstimateMs = 5000;

/** Waiting jobs are ranked again when a mean run time or the capacity has changed by this factor. */
const rerankFactor = 1.5;

export class KeeperState {
	readonly jobs = new JobTable();
	readonly pool = new ExecutorPool();
	readonly slots: LentSlotTable;
	readonly estimates = new Map<string, RunEstimate>();
	readonly maxWaitingTasks: number;
	readonly leaseMs: number;
	/** Free slots in other data centres; undefined while unknown. */
	remoteFree: number | undefined;
	isRecovering = false;
	/** A task has failed since the executors were last evaluated. */
	hasFailures = false;
	sweptAt = Number.NEGATIVE_INFINITY;
	recalledAt = Number.NEGATIVE_INFINITY;
	/** Jobs were admitted or executors changed: recalls are chosen at once instead of at the next interval. */
	isRecallDue = false;
	/** Mean run time by service with which the waiting jobs were last ranked, milliseconds. */
	readonly #rankedMeanMs = new Map<string, number>();
	#rankedSlots = 0;

	constructor({firstSlot, queueTasks, leaseMs}: LenderOptions) {
		this.slots = new LentSlotTable(firstSlot ?? 1);
		this.maxWaitingTasks = queueTasks ?? defaultQueueTasks;
		this.leaseMs = leaseMs ?? defaultLeaseMs;
	}

	/** Slots available to this keeper's jobs: its own, those lent by other keepers, and those free elsewhere. */
	get capacity(): number {
		return (
			this.pool.capacity + (this.remoteFree ?? 0) + this.jobs.heldElsewhere
		);
	}

	viewJob({service, taskMs}: Demand, now: number): JobView {
		const estimate = this.estimates.get(service) ?? estimateRunMs(taskMs);
		this.estimates.set(service, estimate);
		return {
			now,
			taskMs: estimate.isLearned ? estimate.meanMs : taskMs,
			slots: this.pool.capacity,
		};
	}

	/** Whether the service's run time is learned and its last sample is recent. */
	isLearned(service: string, now: number): boolean {
		const estimate = this.estimates.get(service);
		const lastAt = estimate?.lastSampleAt ?? Number.NEGATIVE_INFINITY;
		return Boolean(estimate?.isLearned) && now - lastAt < staleEstimateMs;
	}

	/**
	Ranks the waiting jobs again when run times or the capacity have changed much. Declared run times can be
	wrong by ten times; jobs ranked and counted by them would stay ahead of or behind all later ones.
	*/
	updateRanksIfChanged(now: number): void {
		const {capacity} = this.pool;
		let isChanged = isChangedByFactor(capacity, this.#rankedSlots);
		for (const [service, {meanMs}] of this.estimates) {
			isChanged ||= isChangedByFactor(
				meanMs,
				this.#rankedMeanMs.get(service) ?? 0,
			);
		}

		if (!isChanged) {
			return;
		}

		this.#rankedSlots = capacity;
		for (const [service, {meanMs}] of this.estimates) {
			this.#rankedMeanMs.set(service, meanMs);
		}

		this.jobs.updateRanks((demand) => this.viewJob(demand, now));
	}

	/** Removes another data centre's job once its last slot is released. */
	dropForeignIfReleased(job: JobState | undefined): void {
		if (job?.isForeign && job.heldSlots.size === 0) {
			this.jobs.remove(job);
		}
	}
}

function isChangedByFactor(value: number, before: number): boolean {
	return value > before * rerankFactor || value * rerankFactor < before;
}
