/**
The state of one job at its owner, and its transitions. Performs no I/O.
*/
import {createHash} from 'node:crypto';
import {err, ok} from 'neverthrow';
import {
	type JobAnswer,
	type JobReply,
	type JobState,
	type Problem,
	type Ran,
	type Submission,
} from '@gentianshift/resources';
import {createProblem} from './problems.js';

/** States of a task, as stored in `JobRecord.states`. */
export const taskStates = {
	queued: 0,
	started: 1,
	done: 2,
	failed: 3,
	unknown: 4,
} as const;

export type JobRecordOptions = {
	id: string;
	attempt: number;
	/** Number of the job, unique within its owner's process. */
	number: number;
	submission: Submission;
	/** Monotonic milliseconds. */
	submittedAt: number;
	deadlineAt: number;
};

export class JobRecord {
	readonly id: string;
	readonly attempt: number;
	readonly number: number;
	readonly submission: Omit<Submission, 'tasks'>;
	readonly submittedAt: number;
	readonly deadlineAt: number;
	state: JobState = 'queued';
	doneTasks = 0;
	/** Tasks whose request to an executor is in progress. */
	tasksInFlight = 0;
	/** Tasks that were sent to an executor, without those that certainly did not run. */
	startedTasks = 0;
	problem: Problem | undefined;
	readonly taskCount: number;
	readonly bodyHash: string;
	readonly states: Uint8Array;
	#payloads: string[];
	#results: unknown[];
	#queue: number[];
	readonly #endListeners = new Set<() => void>();
	#isAnswerDropped = false;

	constructor(options: JobRecordOptions) {
		const {tasks, ...submission} = options.submission;
		this.id = options.id;
		this.attempt = options.attempt;
		this.number = options.number;
		this.submission = submission;
		this.submittedAt = options.submittedAt;
		this.deadlineAt = options.deadlineAt;
		this.taskCount = tasks.length;
		this.#payloads = tasks.map((task) => JSON.stringify(task));
		this.bodyHash = hashBody(submission, this.#payloads);
		this.states = new Uint8Array(this.taskCount);
		this.#results = Array.from({length: this.taskCount});
		this.#queue = Array.from(
			{length: this.taskCount},
			(_, index) => this.taskCount - 1 - index,
		);
	}

	get isFinal(): boolean {
		return this.state !== 'queued' && this.state !== 'running';
	}

	get queuedTasks(): number {
		return this.#queue.length;
	}

	get remainingTasks(): number {
		return this.taskCount - this.doneTasks;
	}

	/** Whether any task of the job ran, as far as the owner knows. */
	get ran(): Ran {
		if (this.startedTasks === 0) {
			return 'none';
		}

		return this.doneTasks > 0 || this.states.includes(taskStates.failed)
			? 'some'
			: 'unknown';
	}

	/** Removes the next task from the queue and marks it as started; undefined if the queue is empty. */
	takeTask(): {index: number; payload: string} | undefined {
		const index = this.#queue.pop();
		if (index === undefined) {
			return undefined;
		}

		this.states[index] = taskStates.started;
		this.state = 'running';
		this.tasksInFlight += 1;
		this.startedTasks += 1;
		return {index, payload: this.#payloads[index]!};
	}

	/** Returns a task to the queue; only for tasks that certainly did not run. */
	requeueTask(index: number): void {
		this.tasksInFlight -= 1;
		this.startedTasks -= 1;
		this.states[index] = taskStates.queued;
		if (!this.isFinal) {
			this.#queue.push(index);
		}
	}

	/** Stores the result of a task; the last result completes the job. */
	completeTask(index: number, value: unknown): void {
		this.tasksInFlight -= 1;
		this.states[index] = taskStates.done;
		if (this.isFinal) {
			return;
		}

		this.#results[index] = value;
		this.doneTasks += 1;
		if (this.doneTasks === this.taskCount) {
			this.state = 'complete';
			this.#end();
		}
	}

	/** Marks a task as failed, or as unknown: it may have run, but no complete response arrived. */
	markTask(index: number, state: 'failed' | 'unknown'): void {
		this.tasksInFlight -= 1;
		this.states[index] = taskStates[state];
	}

	/** Ends the job with a problem; no further task of it starts. */
	fail(state: 'failed' | 'cancelled' | 'refused', problem: Problem): void {
		if (this.isFinal) {
			return;
		}

		this.state = state;
		this.problem = problem;
		this.#results = [];
		this.#end();
	}

	listTasks(state: keyof typeof taskStates): number[] {
		const wanted = taskStates[state];
		return [...this.states.keys()].filter(
			(index) => this.states[index] === wanted,
		);
	}

	readReply(): JobReply {
		if (this.#isAnswerDropped) {
			return err(
				createProblem(
					'answer-dropped',
					'some',
					'the job completed; its answer is no longer kept',
					{id: this.id},
				),
			);
		}

		return this.problem ? err(this.problem) : ok(this.#readAnswer());
	}

	/** Calls the listener when the job ends; never, if it has already ended. */
	onEnd(listener: () => void): void {
		this.#endListeners.add(listener);
	}

	/** Discards the results of a completed job; later replies are the problem `answer-dropped`. */
	dropAnswer(): void {
		if (this.state === 'complete') {
			this.#isAnswerDropped = true;
			this.#results = [];
		}
	}

	/** Resolves when the job ends, or after `waitMs`, with the job's state at that time. */
	async waitForReply(waitMs: number): Promise<JobReply> {
		if (!this.isFinal && waitMs > 0) {
			await this.#waitForEnd(waitMs);
		}

		return this.readReply();
	}

	async #waitForEnd(waitMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			const end = () => {
				clearTimeout(timer);
				this.#endListeners.delete(end);
				resolve();
			};

			const timer = setTimeout(end, waitMs);
			this.#endListeners.add(end);
		});
	}

	#readAnswer(): JobAnswer {
		const answer = {
			id: this.id,
			state: this.state,
			tasks: this.taskCount,
			done: this.doneTasks,
		};
		return this.state === 'complete'
			? {...answer, results: this.#results}
			: answer;
	}

	#end(): void {
		this.#payloads = [];
		this.#queue = [];
		const listeners = [...this.#endListeners];
		for (const end of listeners) {
			end();
		}
	}
}

/** Hash of a submission, to distinguish a resubmission from another job under the same id. */
export function hashBody(
	submission: Omit<Submission, 'tasks'>,
	payloads: readonly string[],
): string {
	const hash = createHash('sha1');
	hash.update(
		JSON.stringify([
			submission.service,
			submission.team,
			submission.deadlineMs ?? null,
		]),
	);
	for (const payload of payloads) {
		hash.update(payload);
		hash.update('\n');
	}

	return hash.digest('base64');
}
