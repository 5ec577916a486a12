/**
Records of this incarnation's jobs, by id and by number, dropped a generation at a time.
*/
import {type JobRecord} from './job-record.js';

export class JobTable {
	readonly #byId = new Map<string, JobRecord>();
	readonly #byNumber = new Map<number, JobRecord>();
	readonly #byGeneration = new Map<number, string[]>();
	/** In the order of their end. */
	readonly #ended = new Set<JobRecord>();
	#lastNumber = 0;

	readonly #maxEnded: number;

	/** `maxEnded`: whole answers kept for those who ask again. */
	constructor(maxEnded: number) {
		this.#maxEnded = maxEnded;
	}

	/** Jobs not yet ended. */
	get activeJobs(): number {
		return this.#byNumber.size;
	}

	/** Counted anew: there are as many as there are active jobs. */
	get queuedTasks(): number {
		let sum = 0;
		for (const record of this.#byNumber.values()) {
			sum += record.queued;
		}

		return sum;
	}

	takeNumber(): number {
		this.#lastNumber += 1;
		return this.#lastNumber;
	}

	add(record: JobRecord, generation: number): void {
		this.#byId.set(record.id, record);
		this.#byNumber.set(record.number, record);
		const ids = this.#byGeneration.get(generation) ?? [];
		ids.push(record.id);
		this.#byGeneration.set(generation, ids);
	}

	findId(id: string): JobRecord | undefined {
		return this.#byId.get(id);
	}

	findNumber(number: number): JobRecord | undefined {
		return this.#byNumber.get(number);
	}

	listActive(): JobRecord[] {
		return [...this.#byNumber.values()];
	}

	/**
	The job ended. Its record stays until its generation can start nothing more; its answer is
	dropped sooner when there are too many, and whoever asks then is told so.
	*/
	retire(record: JobRecord): void {
		if (!this.#byNumber.delete(record.number)) {
			return;
		}

		this.#ended.add(record);
		if (this.#ended.size > this.#maxEnded) {
			const [oldest] = this.#ended;
			this.#ended.delete(oldest!);
			oldest!.dropAnswer();
		}
	}

	/** Drops ended records of generations under which nothing can start any more. */
	dropExpired(isExpired: (generation: number) => boolean): void {
		for (const [generation, ids] of this.#byGeneration) {
			if (isExpired(generation)) {
				this.#dropGeneration(generation, ids);
			}
		}
	}

	#dropGeneration(generation: number, ids: string[]): void {
		const kept: string[] = [];
		for (const id of ids) {
			const record = this.#byId.get(id);
			if (record && !record.isFinal) {
				kept.push(id);
			} else {
				this.#byId.delete(id);
				this.#ended.delete(record!);
			}
		}

		if (kept.length === 0) {
			this.#byGeneration.delete(generation);
		} else {
			this.#byGeneration.set(generation, kept);
		}
	}
}
