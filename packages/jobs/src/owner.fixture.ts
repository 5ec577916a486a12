/**
An `Owner` whose dependencies are replaced by functions that a test controls.
*/
import {type TaskOutcome, type TaskRequest} from '@gentianshift/executors';
import {
	serviceSpecSchema,
	type Executor,
	type ServiceSpec,
} from '@gentianshift/resources';
import {createGenerations} from './generations.js';
import {JobRecord} from './job-record.js';
import {Owner, type OwnedSubmission} from './owner.js';
import {
	type JobDemand,
	type SlotHandlers,
	type UsableSlot,
} from './slot-source.js';

export type SentTask = {
	request: TaskRequest;
	end: (outcome: TaskOutcome) => void;
};

const executor: Executor = {
	name: 'e1',
	address: '127.0.0.1:1',
	dataCentre: 'mieres',
	slots: 8,
	connections: 60,
	state: 'active',
};

export const doneOutcome = {
	result: 'done',
	value: 'soup',
	runMs: 5,
} as const satisfies TaskOutcome;

export function buildOwner(spec: Partial<ServiceSpec> = {}) {
	const clock = {now: 0};
	const demands: JobDemand[] = [];
	const withdrawn: number[] = [];
	const sent: SentTask[] = [];
	const released: string[] = [];
	let handlers: SlotHandlers | undefined;
	const generations = createGenerations({
		self: {dataCentre: 'mieres', host: 'm1', incarnation: '0123456789abcdef'},
		generationMs: 1000,
		now: () => clock.now,
	});
	const owner = new Owner({
		generations,
		limits: {jobs: 3, queueTasks: 100, records: 10},
		now: () => clock.now,
		findService: (name) =>
			name === 'meals'
				? serviceSpecSchema.parse({target: 'kitchens', ...spec})
				: undefined,
		hasTeam: (name) => name === 'cooks',
		canServe: (target) => target === 'kitchens',
		estimateTaskMs: (_service, declaredMs) => declaredMs,
		addRunTime() {
			// Not tested here.
		},
		sendTask(_executor, request, onEnd) {
			sent.push({request, end: onEnd});
		},
		createSlotSource(givenHandlers) {
			handlers = givenHandlers;
			return {
				demandSlots(demand) {
					demands.push(demand);
				},
				withdrawDemand(job) {
					withdrawn.push(job);
				},
			};
		},
		events: {
			onTaskStart: () => ({
				end() {
					// Not tested here.
				},
			}),
			onJobStart() {
				// Not tested here.
			},
			onJobEnd() {
				// Not tested here.
			},
			onLateAnswer() {
				// Not tested here.
			},
		},
	});

	function submit(
		changes: Partial<OwnedSubmission> & {tasks?: unknown[]} = {},
	): JobRecord {
		const {tasks = ['a', 'b'], ...rest} = changes;
		const record = owner.submitJob({
			id: 'id-1',
			attempt: 1,
			generation: generations.readIssuer().generation,
			submission: {service: 'meals', team: 'cooks', deadlineMs: 60_000, tasks},
			...rest,
		});
		if (!(record instanceof JobRecord)) {
			throw new TypeError(record.code);
		}

		return record;
	}

	/**
	Grants a slot; `isUsable` stands for the state of its lease, `isKept` for the keeper's reply
	after a task.
	*/
	function grant(
		record: JobRecord,
		{isUsable = true, isKept = true} = {},
	): void {
		const slot: UsableSlot = {
			executor,
			isUsable: () => isUsable,
			endTask: () => isKept,
			release(outcome) {
				released.push(outcome.result);
			},
		};
		handlers!.onSlot(record.number, slot);
	}

	return {
		owner,
		clock,
		demands,
		withdrawn,
		sent,
		released,
		submit,
		grant,
		refuse: handlers!.onRefusal,
	};
}
