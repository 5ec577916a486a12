/**
The jobs that this incarnation owns: taken in, started task by task on granted slots, answered.

At most once rests on three things here. A job's record is made once per id and generation, and
only this process holds it. A task leaves its queue when it is sent, and returns only on the
evidence that no byte of it was written or that the executor refused it. The clock, the lease
and the deadline are read right before each start, so that a host that was paused starts nothing
on what lapsed meanwhile.
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
	type AdmissionView,
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

/** What the owner tells of its doings, for metrics and spans. */
export type OwnerEvents = {
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
	/** Whether the target has anything that could ever run a task. */
	canServe: (target: string) => boolean;
	/** What one task of a service is thought to take, milliseconds. */
	estimateTaskMs: (service: string, declaredMs: number) => number;
	learnRunMs: (service: string, runMs: number) => void;
	sendTask: (
		executor: Executor,
		request: TaskRequest,
		onEnd: (outcome: TaskOutcome) => void,
	) => void;
	createSlotSource: (handlers: SlotHandlers) => SlotSource;
	events: OwnerEvents;
};

export type OwnedSubmission = {
	id: string;
	attempt: number;
	/** Of the id; names claimed in the platform's service have the generation of their claim. */
	generation: number;
	submission: Submission;
	traceparent?: string;
};

/** Work that got no slot before its deadline comes back after this at the soonest, milliseconds. */
const leastRetryMs = 200;

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
				this.#useSlot(this.#table.findNumber(job), slot);
			},
			onRefusal: (job, refusal) => {
				this.#refuseByKeeper(this.#table.findNumber(job), refusal);
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

	/** From now on new jobs are refused; those taken in go on. */
	startStopping(): void {
		this.#isStopping = true;
	}

	/** Takes a job in, joins the one under the same id, or refuses. */
	submitJob(request: OwnedSubmission): JobRecord | Problem {
		this.#table.dropExpired(
			(generation) =>
				this.#options.generations.checkGeneration(generation) === 'expired',
		);
		const known = this.#table.findId(request.id);
		if (known) {
			const joined = this.#join(known, request);
			if (joined) {
				return joined;
			}
		}

		const record = this.#createRecord(request);
		const {generations} = this.#options;
		const unusable = judgeGeneration(
			request.id,
			generations.checkGeneration(request.generation),
		);
		if (unusable) {
			return unusable;
		}

		const problem = judgeSubmission(record, this.#viewAdmission(record));
		this.#table.add(record, request.generation);
		if (problem) {
			record.fail('refused', problem);
			this.#end(record);
			return record;
		}

		this.#options.events.onJobStart(record, request.traceparent);
		this.#setDeadline(record);
		this.#demand(record);
		return record;
	}

	findJob(id: string): JobRecord | undefined {
		return this.#table.findId(id);
	}

	/** Ends a job on its caller's wish: nothing more of it starts. */
	cancelJob(record: JobRecord): JobReply {
		this.#fail(record, 'cancelled', 'cancelled', 'cancelled by its caller');
		return record.readReply();
	}

	/** Ends all jobs still under way: the limit of a planned stop has passed. */
	abandonJobs(): void {
		for (const record of this.#table.listActive()) {
			this.#fail(
				record,
				'failed',
				'stopping',
				'the host stopped before the job ended',
			);
		}
	}

	/**
	A resubmission under a known id: the same job is joined; another body is not mixed up with it;
	a refused attempt stays refused, since its caller was told that nothing ran and may rely on it.
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

		const probe = this.#createRecord(request);
		if (probe.bodyHash === known.bodyHash) {
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

	/** What this host knows of its room for the job, for the checks that need no keeper. */
	#viewAdmission({submission}: JobRecord): AdmissionView {
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

	#setDeadline(record: JobRecord): void {
		const timer = setTimeout(
			() => {
				this.#fail(
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

	#demand(record: JobRecord): void {
		const service = this.#options.findService(record.submission.service);
		if (!service || record.isFinal) {
			return;
		}

		this.#slots.demandSlots({
			job: record.number,
			target: service.target,
			service: record.submission.service,
			team: record.submission.team,
			remaining: record.remaining,
			queued: record.queued,
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
			this.#demand(record);
			return;
		}

		if (!this.#startTask(record, slot)) {
			slot.release(unused);
		}
	}

	/** Starts the job's next task on the slot; false when there is none to start. */
	#startTask(record: JobRecord, slot: UsableSlot): boolean {
		const service = this.#options.findService(record.submission.service);
		const leftMs = record.deadlineAt - this.#options.now();
		if (!service || leftMs <= 0) {
			return false;
		}

		const task = record.takeTask();
		if (!task) {
			return false;
		}

		if (record.queued === 0) {
			this.#slots.withdrawDemand(record.number);
		}

		const span = this.#options.events.onTaskStart(record, task.index);
		const request: TaskRequest = {
			taskId: `${record.id}/${task.index}`,
			path: service.path,
			payload: task.payload,
			// Past the job's deadline the executor may run on: the slot is in use until it answers.
			limitMs: service.taskLimitMs,
			deadlineMs: Math.min(service.taskLimitMs, leftMs),
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
			record.queued > 0 &&
			outcome.result === 'done' &&
			slot.keep(slotOutcome, {
				remaining: record.remaining,
				queued: record.queued,
			})
		) {
			if (slot.isUsable() && this.#startTask(record, slot)) {
				return;
			}

			slot.release({result: 'unused', runMs: 0});
		} else {
			slot.release(slotOutcome);
		}

		if (!record.isFinal && record.queued > 0) {
			this.#demand(record);
		}
	}

	#settleTask(record: JobRecord, index: number, outcome: TaskOutcome): void {
		switch (outcome.result) {
			case 'done': {
				this.#options.learnRunMs(record.submission.service, outcome.runMs);
				record.completeTask(index, outcome.value);
				if (record.state === 'complete') {
					this.#end(record);
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
				this.#fail(
					record,
					'failed',
					'task-failed',
					`task ${index} failed with status ${outcome.status}`,
				);
				break;
			}

			case 'unknown': {
				record.markTask(index, 'unknown');
				this.#fail(
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
	Ends a job without an answer, at once. Says "none" only if no task was ever sent; the record
	then counts as refused, so that a late copy of the submission cannot make it untrue.
	*/
	#fail(
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
				retryAfterMs: isRefusal ? leastRetryMs : undefined,
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
		this.#end(record);
	}

	#refuseByKeeper(record: JobRecord | undefined, refusal: SlotRefusal): void {
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
		this.#end(record);
	}

	#end(record: JobRecord): void {
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
