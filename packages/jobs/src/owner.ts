/**
The jobs that this process owns: accepts them, starts their tasks on granted slots, answers them.

Three rules ensure that a task runs at most once:
- Only this process holds a job's record, and it creates one record per id and generation (a
  refused job gets a new record with its next attempt).
- A task leaves its queue when it is sent. It returns to the queue only on evidence that no byte of
  its request was written, or that the executor refused it.
- The clock, the lease and the deadline are read right before each start, so that a host that was
  paused starts no task on a lease or deadline that expired meanwhile.
*/
import {type SlotOutcome} from '@gentianshift/decisions';
import {type TaskOutcome, type TaskRequest} from '@gentianshift/executors';
import {
	type Executor,
	type JobReply,
	type Problem,
	type ServiceSpec,
	type Submission,
} from '@gentianshift/resources';
import {
	judgeGeneration,
	judgeSubmission,
	type HostState,
	type OwnerLimits,
} from './admission.js';
import {type Generations} from './generations.js';
import {JobRecord} from './job-record.js';
import {JobTable} from './job-table.js';
import {createProblem, type ProblemCode} from './problems.js';
import {
	type SlotHandlers,
	type SlotRefusal,
	type SlotSource,
	type UsableSlot,
} from './slot-source.js';

/** Callbacks for metrics and trace spans. */
export type OwnerCallbacks = {
	onTaskStart: (
		record: JobRecord,
		index: number,
	) => {traceparent?: string; end: (outcome: TaskOutcome) => void};
	onJobStart: (record: JobRecord, traceparent?: string) => void;
	onJobEnd: (record: JobRecord) => void;
	onLateAnswer: (record: JobRecord) => void;
};

export type OwnerOptions = {
	generations: Generations;
	limits: OwnerLimits;
	/** Monotonic milliseconds. */
	now: () => number;
	findService: (name: string) => ServiceSpec | undefined;
	hasTeam: (name: string) => boolean;
	/** Whether the target has an executor that could run a task. */
	canServe: (target: string) => boolean;
	/** Expected run time of one task of the service, milliseconds. */
	estimateTaskMs: (service: string, declaredMs: number) => number;
	addRunTime: (service: string, runMs: number) => void;
	sendTask: (
		executor: Executor,
		request: TaskRequest,
		onEnd: (outcome: TaskOutcome) => void,
	) => void;
	createSlotSource: (handlers: SlotHandlers) => SlotSource;
	events: OwnerCallbacks;
};

export type OwnedSubmission = {
	id: string;
	attempt: number;
	/** Generation of the id; for a name claimed in the platform's service, the generation at its claim. */
	generation: number;
	submission: Submission;
	traceparent?: string;
};

/** Minimum retry delay for a job that got no slot before its deadline, or before this host stopped. */
const unstartedRetryMs = 200;

export class Owner {
	readonly #table: JobTable;
	readonly #slots: SlotSource;
	readonly #options: OwnerOptions;
	#isStopping = false;

	constructor(options: OwnerOptions) {
		this.#options = options;
		this.#table = new JobTable(options.limits.records);
		this.#slots = options.createSlotSource({
			onSlot: (job, slot) => {
				this.#useSlot(this.#table.findByNumber(job), slot);
			},
			onRefusal: (job, refusal) => {
				this.#handleRefusal(this.#table.findByNumber(job), refusal);
			},
		});
	}

	/** Jobs not yet ended. */
	get activeJobs(): number {
		return this.#table.activeJobs;
	}

	get queuedTasks(): number {
		return this.#table.queuedTasks;
	}

	/** Refuses new jobs from now on; accepted jobs continue. */
	startStopping(): void {
		this.#isStopping = true;
	}

	/**
	Accepts a job, or returns the one already known under the same id, or refuses. A refusal is
	either a record in state `refused` or a problem.
	*/
	submitJob(request: OwnedSubmission): JobRecord | Problem {
		this.#table.dropExpired(
			(generation) =>
				this.#options.generations.checkGeneration(generation) === 'expired',
		);
		const known = this.#table.findById(request.id);
		if (known) {
			const joined = this.#join(known, request);
			if (joined) {
				return joined;
			}
		}

		const record = this.#createRecord(request);
		const {generations} = this.#options;
		const generationProblem = judgeGeneration(
			request.id,
			generations.checkGeneration(request.generation),
		);
		if (generationProblem) {
			return generationProblem;
		}

		const problem = judgeSubmission(record, this.#getHostState(record));
		this.#table.add(record, request.generation);
		if (problem) {
			record.fail('refused', problem);
			this.#endJob(record);
			return record;
		}

		this.#options.events.onJobStart(record, request.traceparent);
		this.#startDeadlineTimer(record);
		this.#updateDemand(record);
		return record;
	}

	findJob(id: string): JobRecord | undefined {
		return this.#table.findById(id);
	}

	/** Ends a job at its caller's request; no further task of it starts. */
	cancelJob(record: JobRecord): JobReply {
		this.#failJob(record, 'cancelled', 'cancelled', 'cancelled by its caller');
		return record.readReply();
	}

	/** Ends all active jobs, when the time limit of a planned stop has passed. */
	abandonJobs(): void {
		for (const record of this.#table.listActive()) {
			this.#failJob(
				record,
				'failed',
				'stopping',
				'the host stopped before the job ended',
			);
		}
	}

	/**
	Handles a submission under a known id. The same body joins the known job; another body is a
	problem. A refused attempt stays refused, since its caller may rely on the answer that nothing
	ran. Returns undefined for a later attempt of a refused job, which starts as a new job.
	*/
	#join(
		known: JobRecord,
		request: OwnedSubmission,
	): JobRecord | Problem | undefined {
		const isRefusal = known.state === 'refused';
		if (isRefusal && request.attempt > known.attempt) {
			return undefined;
		}

		if (isRefusal) {
			return known;
		}

		const resubmission = this.#createRecord(request);
		if (resubmission.bodyHash === known.bodyHash) {
			return known;
		}

		return createProblem(
			'id-in-use',
			'unknown',
			'the id was submitted before with another body',
			{id: request.id},
		);
	}

	#createRecord(request: OwnedSubmission): JobRecord {
		const now = this.#options.now();
		const service = this.#options.findService(request.submission.service);
		return new JobRecord({
			id: request.id,
			attempt: request.attempt,
			number: this.#table.takeNumber(),
			submission: request.submission,
			submittedAt: now,
			deadlineAt:
				now + (request.submission.deadlineMs ?? service?.deadlineMs ?? 0),
		});
	}

	/** This host's state for `judgeSubmission`. */
	#getHostState({submission}: JobRecord): HostState {
		const {findService, hasTeam, canServe, limits} = this.#options;
		const service = findService(submission.service);
		return {
			service,
			hasTeam: hasTeam(submission.team),
			canServe: service !== undefined && canServe(service.target),
			isStopping: this.#isStopping,
			limits,
			activeJobs: this.#table.activeJobs,
			queuedTasks: this.#table.queuedTasks,
		};
	}

	#startDeadlineTimer(record: JobRecord): void {
		const timer = setTimeout(
			() => {
				this.#failJob(
					record,
					'failed',
					'deadline',
					'the deadline passed before all tasks were done',
				);
			},
			Math.max(1, record.deadlineAt - this.#options.now()),
		);
		record.onEnd(() => {
			clearTimeout(timer);
		});
	}

	#updateDemand(record: JobRecord): void {
		const service = this.#options.findService(record.submission.service);
		if (!service || record.isFinal) {
			return;
		}

		this.#slots.demandSlots({
			job: record.number,
			target: service.target,
			service: record.submission.service,
			team: record.submission.team,
			remaining: record.remainingTasks,
			queued: record.queuedTasks,
			taskMs: this.#options.estimateTaskMs(
				record.submission.service,
				service.taskMs,
			),
			hasStarted: record.startedTasks > 0,
			deadlineAt: record.deadlineAt,
			submittedAt: record.submittedAt,
		});
	}

	#useSlot(record: JobRecord | undefined, slot: UsableSlot): void {
		const unused: SlotOutcome = {result: 'unused', runMs: 0};
		if (!record || record.isFinal) {
			slot.release(unused);
			return;
		}

		if (!slot.isUsable()) {
			slot.release(unused);
			this.#updateDemand(record);
			return;
		}

		if (!this.#startTask(record, slot)) {
			slot.release(unused);
		}
	}

	/**
	Starts the job's next task on the slot; returns false if no task is queued or the deadline has
	passed.
	*/
	#startTask(record: JobRecord, slot: UsableSlot): boolean {
		const service = this.#options.findService(record.submission.service);
		const remainingMs = record.deadlineAt - this.#options.now();
		if (!service || remainingMs <= 0) {
			return false;
		}

		const task = record.takeTask();
		if (!task) {
			return false;
		}

		if (record.queuedTasks === 0) {
			this.#slots.withdrawDemand(record.number);
		}

		const span = this.#options.events.onTaskStart(record, task.index);
		const request: TaskRequest = {
			taskId: `${record.id}/${task.index}`,
			path: service.path,
			payload: task.payload,
			// Not cut to the job's deadline: the executor may still run the task then, and its slot is
			// in use until it answers.
			limitMs: service.taskLimitMs,
			deadlineMs: Math.min(service.taskLimitMs, remainingMs),
			traceparent: span.traceparent,
			isUsable: slot.isUsable,
		};
		this.#options.sendTask(slot.executor, request, (outcome) => {
			span.end(outcome);
			this.#endTask(record, task.index, slot, outcome);
		});
		return true;
	}

	#endTask(
		record: JobRecord,
		index: number,
		slot: UsableSlot,
		outcome: TaskOutcome,
	): void {
		const slotOutcome = toSlotOutcome(outcome);
		if (record.isFinal) {
			this.#options.events.onLateAnswer(record);
		}

		this.#settleTask(record, index, outcome);
		if (
			!record.isFinal &&
			record.queuedTasks > 0 &&
			outcome.result === 'done' &&
			slot.endTask(slotOutcome, {
				remaining: record.remainingTasks,
				queued: record.queuedTasks,
			})
		) {
			if (slot.isUsable() && this.#startTask(record, slot)) {
				return;
			}

			slot.release({result: 'unused', runMs: 0});
		} else {
			slot.release(slotOutcome);
		}

		if (!record.isFinal && record.queuedTasks > 0) {
			this.#updateDemand(record);
		}
	}

	#settleTask(record: JobRecord, index: number, outcome: TaskOutcome): void {
		switch (outcome.result) {
			case 'done': {
				this.#options.addRunTime(record.submission.service, outcome.runMs);
				record.completeTask(index, outcome.value);
				if (record.state === 'complete') {
					this.#endJob(record);
				}

				break;
			}

			case 'refused':
			case 'unreachable':
			case 'withheld': {
				record.requeueTask(index);
				break;
			}

			case 'failed': {
				record.markTask(index, 'failed');
				this.#failJob(
					record,
					'failed',
					'task-failed',
					`task ${index} failed with status ${outcome.status}`,
				);
				break;
			}

			case 'unknown': {
				record.markTask(index, 'unknown');
				this.#failJob(
					record,
					'failed',
					'task-unknown',
					`task ${index} may have run: ${outcome.detail}`,
				);
				break;
			}
		}
	}

	/**
	Ends a job with a problem. The problem says `ran: 'none'` only if no task can have run. A job that
	failed so is recorded as refused: a delayed copy of the submission then can't start it and make
	that answer false.
	*/
	#failJob(
		record: JobRecord,
		state: 'failed' | 'cancelled',
		code: ProblemCode,
		detail: string,
	): void {
		if (record.isFinal) {
			return;
		}

		const {ran} = record;
		const isRefusal = ran === 'none' && state === 'failed';
		record.fail(
			isRefusal ? 'refused' : state,
			createProblem(code, ran, detail, {
				id: record.id,
				retryAfterMs: isRefusal ? unstartedRetryMs : undefined,
				...(ran === 'none'
					? {}
					: {
							tasksDone: record.listTasks('done'),
							tasksUnknown: [
								...record.listTasks('started'),
								...record.listTasks('unknown'),
							],
						}),
			}),
		);
		this.#endJob(record);
	}

	#handleRefusal(record: JobRecord | undefined, refusal: SlotRefusal): void {
		if (!record || record.isFinal || record.startedTasks > 0) {
			return;
		}

		const problem = createProblem(
			refusal.code,
			'none',
			'refused by the keeper of the slots before anything ran',
			{
				id: record.id,
				retryAfterMs: refusal.retryAfterMs,
			},
		);
		record.fail('refused', problem);
		this.#endJob(record);
	}

	#endJob(record: JobRecord): void {
		this.#slots.withdrawDemand(record.number);
		this.#table.retire(record);
		this.#options.events.onJobEnd(record);
	}
}

function toSlotOutcome(outcome: TaskOutcome): SlotOutcome {
	const {result, runMs} = outcome;
	switch (result) {
		case 'unreachable': {
			return {result: 'refused', runMs};
		}

		case 'withheld': {
			return {result: 'unused', runMs: 0};
		}

		default: {
			return {result, runMs};
		}
	}
}
