/**
All that a keeper knows: jobs, executors, lent slots and learned run times.
*/
import {ExecutorPool} from './executor-pool.js';
import {type JobState} from './job-state.js';
import {JobTable, type JobView} from './job-table.js';
import {type Demand, type LenderOptions} from './lending.js';
import {estimateRunMs, type RunEstimate} from './run-estimate.js';
import {SlotBook} from './slot-book.js';

const defaultQueueTasks = 100_000;
const defaultLeaseMs = 1000;

/**
Without a sample for this long a learned run time is doubted: after a slow spell it could refuse
all that comes, and then nothing would ever show that the spell is over.
*/
const staleEstimateMs = 5000;

/** Waiting jobs are ranked anew when a run time or the capacity has changed by this factor. */
const rerankFactor = 1.5;

export class KeeperState {
	readonly jobs = new JobTable();
	readonly pool = new ExecutorPool();
	readonly slots: SlotBook;
	readonly estimates = new Map<string, RunEstimate>();
	readonly queueTasks: number;
	readonly leaseMs: number;
	/** Undefined: not told. */
	remoteFree: number | undefined;
	isRecovering = false;
	/** A task failed since executors were judged. */
	hasFailures = false;
	sweptAt = Number.NEGATIVE_INFINITY;
	recalledAt = Number.NEGATIVE_INFINITY;
	/** Jobs came in, or executors changed: slots may have to be called back at once. */
	hasNews = false;
	/** What the waiting jobs' order was worked out from. */
	readonly #rankedBy = new Map<string, number>();
	#rankedSlots = 0;

	constructor({firstSlot, queueTasks, leaseMs}: LenderOptions) {
		this.slots = new SlotBook(firstSlot ?? 1);
		this.queueTasks = queueTasks ?? defaultQueueTasks;
		this.leaseMs = leaseMs ?? defaultLeaseMs;
	}

	/** Slots for jobs of here: of this keeper, lent by others, and known to be free elsewhere. */
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

	/** Whether the service's run time may be relied on. */
	isLearned(service: string, now: number): boolean {
		const estimate = this.estimates.get(service);
		const lastAt = estimate?.lastSampleAt ?? Number.NEGATIVE_INFINITY;
		return Boolean(estimate?.isLearned) && now - lastAt < staleEstimateMs;
	}

	/**
	Ranks waiting jobs anew when run times turned out otherwise. For declarations wrong by ten
	times: jobs ranked and counted by them would stand before or behind all later ones.
	*/
	rerankIfChanged(now: number): void {
		const {capacity} = this.pool;
		let isChanged = isFarOff(capacity, this.#rankedSlots);
		for (const [service, {meanMs}] of this.estimates) {
			isChanged ||= isFarOff(meanMs, this.#rankedBy.get(service) ?? 0);
		}

		if (!isChanged) {
			return;
		}

		this.#rankedSlots = capacity;
		for (const [service, {meanMs}] of this.estimates) {
			this.#rankedBy.set(service, meanMs);
		}

		this.jobs.rerank((demand) => this.viewJob(demand, now));
	}

	/** Forgets another data centre's job that has given back its last slot. */
	dropIfSpent(job: JobState | undefined): void {
		if (job?.isForeign && job.held.size === 0) {
			this.jobs.remove(job);
		}
	}
}

function isFarOff(value: number, before: number): boolean {
	return value > before * rerankFactor || value * rerankFactor < before;
}
