/**
Metrics and spans of jobs: one trace id from the caller's request, over the job and its wait for
a slot, to each request to an executor.
*/
import {type JobRecord, type OwnerCallbacks} from '@gentianshift/jobs';
import {type Metrics, type Span, type Tracer} from '@gentianshift/telemetry';
import {readNow} from './identity.js';

type JobSpans = {job: Span; wait: Span | undefined};

export function createJobEvents(
	metrics: Metrics,
	tracer: Tracer,
): OwnerCallbacks {
	const spans = new Map<JobRecord, JobSpans>();

	function endWait(record: JobRecord): void {
		const open = spans.get(record);
		if (open?.wait) {
			open.wait.end();
			open.wait = undefined;
			metrics.slotWaitSeconds.observe(
				{service: record.submission.service},
				(readNow() - record.submittedAt) / 1000,
			);
		}
	}

	return {
		onJobStart(record, traceparent) {
			const attributes = {
				service: record.submission.service,
				team: record.submission.team,
				tasks: record.taskCount,
			};
			const job = tracer.startSpan('job', {traceparent, attributes});
			spans.set(record, {
				job,
				wait: tracer.startSpan('wait for a slot', {
					traceparent: job.traceparent,
				}),
			});
		},
		onTaskStart(record, index) {
			endWait(record);
			metrics.tasksStarted.inc();
			const span = tracer.startSpan('request to an executor', {
				traceparent: spans.get(record)?.job.traceparent,
				attributes: {index},
			});
			return {
				traceparent: span.traceparent,
				end(outcome) {
					metrics.executorRequests.inc({outcome: outcome.result});
					metrics.taskSeconds.observe(
						{service: record.submission.service},
						outcome.runMs / 1000,
					);
					span.end(
						outcome.result === 'done' ? undefined : {error: outcome.result},
					);
				},
			};
		},
		onJobEnd(record) {
			endWait(record);
			spans
				.get(record)
				?.job.end(
					record.state === 'complete'
						? undefined
						: {error: record.problem?.code ?? record.state},
				);
			spans.delete(record);
			metrics.jobs.inc({outcome: record.state});
			if (record.state === 'complete') {
				metrics.jobSeconds.observe(
					{service: record.submission.service},
					(readNow() - record.submittedAt) / 1000,
				);
			}

			if (record.problem?.ran === 'none') {
				metrics.refusals.inc({code: record.problem.code});
			} else if (record.startedTasks > 0 && record.state !== 'complete') {
				metrics.wasted.inc(
					{reason: 'start-of-failed-job'},
					record.startedTasks,
				);
			}
		},
		onLateAnswer() {
			metrics.lateAnswers.inc();
		},
	};
}
