/**
Metrics of one host, in a registry of its own so that several hosts fit into one test process.
*/
import {
	collectDefaultMetrics,
	Counter,
	Gauge,
	Histogram,
	Registry,
} from 'prom-client';

/**
Buckets of durations, seconds: from one round trip (1 ms) to the longest task (minutes),
finest between 50 ms and 1 s, where most tasks lie.
*/
const durationBuckets = [
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 2, 5,
	10, 30, 120,
];

export type Metrics = ReturnType<typeof createMetrics>;

/**
Makes the metrics of one host. The process's own (memory, event loop) cost a timer each 10 ms,
which a host with a fraction of a core does without.

@example
const metrics = createMetrics();
metrics.tasksStarted.inc();
metrics.refusals.inc({code: 'overloaded'});
await metrics.render(); // Prometheus text
*/
export function createMetrics({hasProcessMetrics = true} = {}) {
	const registry = new Registry();
	if (hasProcessMetrics) {
		collectDefaultMetrics({register: registry});
	}

	return {
		...createGroupMetrics(registry),
		...createMessageMetrics(registry),
		...createJobMetrics(registry),
		...createStateMetrics(registry),
		/** Prometheus text of all of them. */
		render: async (): Promise<string> => registry.metrics(),
		contentType: registry.contentType,
	};
}

/** What goes over the wires. */
function createMessageMetrics(registry: Registry) {
	const registers = [registry];
	return {
		messages: new Counter({
			name: 'gentianshift_messages_total',
			help: 'Messages between hosts, by direction (in, out) and kind.',
			labelNames: ['direction', 'kind'] as const,
			registers,
		}),
		bytes: new Counter({
			name: 'gentianshift_bytes_total',
			help: 'Bytes sent and received, by direction (in, out) and link.',
			labelNames: ['direction', 'link'] as const,
			registers,
		}),
		executorRequests: new Counter({
			name: 'gentianshift_executor_requests_total',
			help: 'Requests to executors, by outcome: done, failed, unknown, refused, unreachable.',
			labelNames: ['outcome'] as const,
			registers,
		}),
		platformCalls: new Counter({
			name: 'gentianshift_platform_calls_total',
			help: 'Calls of the platform, a waiting watch counted as one, by kind.',
			labelNames: ['kind'] as const,
			registers,
		}),
		exceptions: new Counter({
			name: 'gentianshift_exceptions_total',
			help: 'Unexpected exceptions that cost no more than the work that threw, by work. Each is a fault of the program.',
			labelNames: ['work'] as const,
			registers,
		}),
		badFrames: new Counter({
			name: 'gentianshift_bad_frames_total',
			help: 'Frames of peers that were oversized, garbage or against the schema.',
			registers,
		}),
		wasted: new Counter({
			name: 'gentianshift_wasted_total',
			help: 'Messages that carried no needed step, by reason.',
			labelNames: ['reason'] as const,
			registers,
		}),
		spansDropped: new Counter({
			name: 'gentianshift_spans_dropped_total',
			help: 'Spans dropped because the collector was dead or slow.',
			registers,
		}),
	};
}

/** What becomes of jobs and tasks. */
function createJobMetrics(registry: Registry) {
	const registers = [registry];
	return {
		tasksStarted: new Counter({
			name: 'gentianshift_tasks_started_total',
			help: 'Tasks whose request was sent to an executor.',
			registers,
		}),
		jobs: new Counter({
			name: 'gentianshift_jobs_total',
			help: 'Jobs ended at their owner, by outcome.',
			labelNames: ['outcome'] as const,
			registers,
		}),
		refusals: new Counter({
			name: 'gentianshift_refusals_total',
			help: 'Refusals sent to callers, by code.',
			labelNames: ['code'] as const,
			registers,
		}),
		failures: new Counter({
			name: 'gentianshift_job_failures_total',
			help: 'Jobs whose callers were told that they failed, by reason.',
			labelNames: ['reason'] as const,
			registers,
		}),
		lateAnswers: new Counter({
			name: 'gentianshift_late_answers_total',
			help: 'Answers of executors that came after their job had ended; dropped.',
			registers,
		}),
		jobSeconds: new Histogram({
			name: 'gentianshift_job_seconds',
			help: 'Time from submission to the whole answer at the owner.',
			labelNames: ['service'] as const,
			buckets: durationBuckets,
			registers,
		}),
		slotWaitSeconds: new Histogram({
			name: 'gentianshift_slot_wait_seconds',
			help: 'Time from submission to the first slot of the job.',
			labelNames: ['service'] as const,
			buckets: durationBuckets,
			registers,
		}),
		taskSeconds: new Histogram({
			name: 'gentianshift_task_seconds',
			help: 'Time of one request to an executor.',
			labelNames: ['service'] as const,
			buckets: durationBuckets,
			registers,
		}),
	};
}

/** Scheduling of executors under leases. */
function createGroupMetrics(registry: Registry) {
	const registers = [registry];
	return {
		executors: new Gauge({
			name: 'gentianshift_group_executors',
			help: 'Executors of the groups that this host schedules: open (they take tasks), all, and releasing (they belong to another group, and runs have yet to end there).',
			labelNames: ['group', 'state'] as const,
			registers,
		}),
		groupToken: new Gauge({
			name: 'gentianshift_group_token',
			help: 'Fencing tokens of the groups that this host schedules.',
			labelNames: ['group'] as const,
			registers,
		}),
		groupBacklog: new Gauge({
			name: 'gentianshift_group_backlog_core_seconds',
			help: 'Work that waits at this host for room on executors.',
			labelNames: ['group'] as const,
			registers,
		}),
		groupCount: new Gauge({
			name: 'gentianshift_groups',
			help: 'Number of groups into which the executors of this data centre are divided.',
			registers,
		}),
		storeAgeSeconds: new Gauge({
			name: 'gentianshift_store_age_seconds',
			help: 'Time since the store last answered this host.',
			registers,
		}),
		crashesBlamed: new Gauge({
			name: 'gentianshift_crashes_blamed',
			help: 'Crashes of executors that this host has blamed on tasks since its start, each task counted.',
			registers,
		}),
		evacuated: new Gauge({
			name: 'gentianshift_evacuated',
			help: 'Data centres that this host knows to be evacuated: 1 for each.',
			labelNames: ['data_centre'],
			registers,
		}),
		entryJobs: new Gauge({
			name: 'gentianshift_entry_jobs',
			help: 'Jobs of callers at this host that have no answer yet.',
			registers,
		}),
		cancelledJobs: new Gauge({
			name: 'gentianshift_cancelled_jobs',
			help: 'Cancelled jobs that this host remembers, so that no request for them is carried out.',
			registers,
		}),
		cpuSeconds: new Gauge({
			name: 'gentianshift_cpu_seconds',
			help: 'Processor time of this process since its start.',
			registers,
		}),
		workSeconds: new Gauge({
			name: 'gentianshift_work_seconds',
			help: 'Time of this thread by cause: a kind of received message, or a step of the host. The rest is in libraries, the runtime and calls to executors and store.',
			labelNames: ['cause'] as const,
			registers,
		}),
		workCount: new Gauge({
			name: 'gentianshift_work_count',
			help: 'How often each cause of work occurred.',
			labelNames: ['cause'] as const,
			registers,
		}),
		withdrawals: new Counter({
			name: 'gentianshift_withdrawals_total',
			help: 'Withdrawals of waiting tasks by outcome: returned (nothing ran), started, unanswered, unreachable, interrupted, ended.',
			labelNames: ['outcome'] as const,
			registers,
		}),
		executorCalls: new Counter({
			name: 'gentianshift_executor_calls_total',
			help: 'Calls to executors by kind (start, stop, renew) and outcome.',
			labelNames: ['kind', 'outcome'] as const,
			registers,
		}),
	};
}

/** What a host holds now. */
function createStateMetrics(registry: Registry) {
	const registers = [registry];
	return {
		queueTasks: new Gauge({
			name: 'gentianshift_queue_tasks',
			help: 'Tasks waiting for a slot at this host.',
			registers,
		}),
		slotsFree: new Gauge({
			name: 'gentianshift_slots_free',
			help: 'Slots that this host keeps and nobody borrows, by target.',
			labelNames: ['target'] as const,
			registers,
		}),
		configRevision: new Gauge({
			name: 'gentianshift_config_revision',
			help: 'Highest configuration revision in force at this host.',
			registers,
		}),
	};
}
