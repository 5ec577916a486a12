/**
Job records of this process, by id and by number. They are dropped by generation of their ids.
*/
import {type JobRecord} from './job-record.js';

export class JobTable {
	readonly #byId = new Map<string, JobRecord>();
	readonly #byNumber = new Map<number, JobRecord>();
	readonly #byGeneration = new Map<number, string[]>();
	/** Ended jobs whose answers are kept, in the order in which they ended. */
	readonly #ended = new Set<JobRecord>();
	#lastNumber = 0;

	readonly #maxKeptAnswers: number;

	/** `maxKeptAnswers`: number of ended jobs whose answers are kept for repeated requests. */
	constructor(maxKeptAnswers: number) {
		this.#maxKeptAnswers = maxKeptAnswers;
	}

	/** Jobs not yet ended. */
	get activeJobs(): number {
		return this.#byNumber.size;
	}

	/** Summed over all active jobs on each read, so its cost grows with their number. */
	get queuedTasks(): number {
		let sum = 0;
		for (const record of this.#byNumber.values()) {
			sum += record.queuedTasks;
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

	findById(id: string): JobRecord | undefined {
		return this.#byId.get(id);
	}

	findByNumber(number: number): JobRecord | undefined {
		return this.#byNumber.get(number);
	}

	listActive(): JobRecord[] {
		return [...this.#byNumber.values()];
	}

	/**
	Moves a job to the ended ones. Its record stays until its generation has expired. When more than
	`maxKeptAnswers` jobs have ended, the oldest answer is dropped; requests for it then get the
	problem `answer-dropped`.
	*/
	retire(record: JobRecord): void {
		if (!this.#byNumber.delete(record.number)) {
			return;
		}

		this.#ended.add(record);
		if (this.#ended.size > this.#maxKeptAnswers) {
			const [oldest] = this.#ended;
			this.#ended.delete(oldest!);
			oldest!.dropAnswer();
		}
	}

	/** Drops the records of ended jobs whose generation has expired. */
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
