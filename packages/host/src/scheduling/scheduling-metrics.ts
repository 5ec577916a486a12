/**
Metrics of a scheduling host: jobs by outcome, calls to executors, and the host's state when the
metrics are read.
*/
import {ResultAsync, type Result} from 'neverthrow';
import {
	type CallFailure,
	type EntryJob,
	type ExecutorControl,
	type GroupLayout,
	type JobAnswer,
	type WithdrawalOutcome,
} from '@gentianshift/scheduling';
import {type Metrics} from '@gentianshift/telemetry';
import {type WorkRecord} from './work-meter.js';

const msPerSecond = 1000;

/** Counts an answered job by its outcome, and records how long it took. */
export function recordAnswer(
	metrics: Metrics,
	{request: {queue}}: EntryJob,
	answer: JobAnswer,
	tookMs: number,
): void {
	metrics.jobs.inc({outcome: answer.type});
	if (answer.type === 'refused' || answer.type === 'given-up') {
		metrics.refusals.inc({code: answer.reason});
		return;
	}

	if (answer.type === 'failed') {
		metrics.failures.inc({reason: answer.reason});
	}

	metrics.jobSeconds.observe({service: queue.service}, tookMs / msPerSecond);
}

/** Counts a withdrawal of a job's tasks by its outcome. */
export function recordWithdrawal(
	metrics: Metrics,
	outcome: WithdrawalOutcome,
): void {
	metrics.withdrawals.inc({outcome});
}

/** Counts calls to executors by outcome. */
export function wrapControl(
	control: ExecutorControl,
	metrics: Metrics,
): ExecutorControl {
	function countOutcome<T>(
		kind: string,
		call: ResultAsync<T, CallFailure>,
	): ResultAsync<T, CallFailure> {
		return new ResultAsync(waitAndCount(kind, call));
	}

	async function waitAndCount<T>(
		kind: string,
		call: ResultAsync<T, CallFailure>,
	): Promise<Result<T, CallFailure>> {
		const result = await call;
		const outcome = result.isOk() ? 'ok' : result.error.code;
		metrics.executorCalls.inc({kind, outcome});
		return result;
	}

	return {
		startTask: (executor, request) =>
			countOutcome('start', control.startTask(executor, request)),
		stopTask: (executor, request) =>
			countOutcome('stop', control.stopTask(executor, request)),
		renewLease: (executor, request) =>
			countOutcome('renew', control.renewLease(executor, request)),
		forgetExecutor(executor) {
			control.forgetExecutor(executor);
		},
	};
}

export type GroupGauges = {
	group: string;
	token: number;
	openExecutors: number;
	allExecutors: number;
	/** Executors of other groups on which runs have yet to end. */
	releasing: number;
	backlogCoreMs: number;
};

/** The host's state as gauges, set when the metrics are read. */
export type HostGauges = {
	/** The groups that this host holds. */
	groups: readonly GroupGauges[];
	layout: GroupLayout;
	storeAgeMs: number;
	crashesBlamed: number;
	evacuatedDataCentres: readonly string[];
	jobs: number;
	/** Cancelled jobs that are remembered. */
	cancelledJobs: number;
	cpuSeconds: number;
	work: ReadonlyMap<string, WorkRecord>;
};

export function setGauges(metrics: Metrics, gauges: HostGauges): void {
	setGroupGauges(metrics, gauges.groups);
	metrics.groupCount.set(gauges.layout.count);
	metrics.storeAgeSeconds.set(gauges.storeAgeMs / msPerSecond);
	metrics.crashesBlamed.set(gauges.crashesBlamed);
	metrics.evacuated.reset();
	for (const dataCentre of gauges.evacuatedDataCentres) {
		metrics.evacuated.set({data_centre: dataCentre}, 1);
	}

	metrics.entryJobs.set(gauges.jobs);
	metrics.cancelledJobs.set(gauges.cancelledJobs);
	metrics.cpuSeconds.set(gauges.cpuSeconds);
	for (const [cause, {seconds, count}] of gauges.work) {
		metrics.workSeconds.set({cause}, seconds);
		metrics.workCount.set({cause}, count);
	}
}

/** Groups that the host no longer holds have no values. */
function setGroupGauges(
	{executors, groupToken, groupBacklog}: Metrics,
	groups: readonly GroupGauges[],
): void {
	for (const gauge of [executors, groupToken, groupBacklog]) {
		gauge.reset();
	}

	for (const {group, token, backlogCoreMs, ...counts} of groups) {
		executors.set({group, state: 'open'}, counts.openExecutors);
		executors.set({group, state: 'all'}, counts.allExecutors);
		executors.set({group, state: 'releasing'}, counts.releasing);
		groupToken.set({group}, token);
		groupBacklog.set({group}, backlogCoreMs / msPerSecond);
	}
}
