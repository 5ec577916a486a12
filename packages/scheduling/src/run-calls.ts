/**
Sends starts and stops to one executor.

A call or its answer may be lost, and the executor may still carry the call out seconds later. If the task
has been placed again meanwhile, two runs of it overlap. So a call without an answer is not taken to have
failed: a stop of the same attempt is sent until it is answered, which also makes a late start ineffective.
*/
import {type Result} from 'neverthrow';
import {type AnswerTimes} from './answer-times.js';
import {type Background} from './background.js';
import {type CallFailure, type ExecutorControl} from './executor-control.js';
import {type Executor} from './executor.js';
import {type Run} from './run.js';
import {dropStopLimitMs} from './timing.js';

/** Delay before a failed call is repeated. */
export const callRetryMs = 25;

export type RunCallPorts = {
	now: () => number;
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	background: Background;
	control: ExecutorControl;
	getToken: () => number;
	getExecutor: () => Executor;
	answerTimes: AnswerTimes;
	/** Extends the lease and returns its new end on the executor's clock; undefined: the lease can't be extended. */
	extendLease: () => number | undefined;
	/** Whether the run is not over yet. */
	isCurrent: (run: Run) => boolean;
	/** Once aborted, no further call is made. */
	signal: AbortSignal;
	onClockReading: (clockMs: number) => void;
	onFailure: (failure: CallFailure, call: 'start' | 'stop') => void;
	/** A start had no answer: it may be carried out later, also if the run is known to be over. */
	onUnanswered: (run: Run) => void;
	/** A stop was answered: the run is over, and the executor lists how it ended. */
	onStopped: () => void;
	/** It is proved that the run never began. */
	onUnstarted: (run: Run, outcome: 'unstarted' | 'refused') => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export type RunCalls = {
	start: (run: Run, spec: string) => void;
	/** Stops the run; `stopBy`: when it has to be over, on this host's clock. */
	stop: (run: Run, stopBy: number) => void;
};

export function createRunCalls(ports: RunCallPorts): RunCalls {
	const {now, wait, control, getToken, getExecutor, isCurrent, signal, log} =
		ports;
	const {answerTimes, background} = ports;

	async function sendStart(run: Run, spec: string): Promise<void> {
		const {job, index, attempt} = run;
		const leaseUntilMs = ports.extendLease();
		if (leaseUntilMs === undefined) {
			log('start not sent: the lease can not be extended', {
				executor: getExecutor().id,
				job,
				task: index,
				attempt,
			});
			ports.onUnstarted(run, 'unstarted');
			return;
		}

		const sentAt = now();
		const reply = await control.startTask(getExecutor(), {
			job,
			index,
			attempt,
			spec,
			leaseUntilMs,
			token: getToken(),
			answerTimeoutMs: answerTimes.getTimeoutMs(),
		});
		recordAnswerTime(reply, sentAt);
		if (reply.isErr() && reply.error.code === 'unanswered') {
			ports.onUnanswered(run);
		}

		if (!isCurrent(run)) {
			return;
		}

		if (reply.isErr()) {
			handleStartFailure(run, reply.error);
			return;
		}

		ports.onClockReading(reply.value.clockMs);
		run.acceptedAt = now();
		run.acceptedBornMs = reply.value.bornMs;
		run.isConfirmed ??= run.acceptedBornMs !== undefined;
		run.state = run.state === 'starting' ? 'running' : run.state;
	}

	function recordAnswerTime(
		reply: Result<unknown, CallFailure>,
		sentAt: number,
	) {
		if (reply.isErr() && reply.error.code === 'unanswered') {
			answerTimes.recordLoss();
		} else {
			answerTimes.recordAnswer(now() - sentAt);
		}
	}

	function handleStartFailure(run: Run, failure: CallFailure): void {
		log('start came to nothing', {
			executor: getExecutor().id,
			job: run.job,
			task: run.index,
			attempt: run.attempt,
			code: failure.code,
			reason: failure.message,
		});
		if (failure.code === 'unanswered') {
			stop(run, now() + dropStopLimitMs);
			return;
		}

		run.isRefused = true;
		ports.onFailure(failure, 'start');
		if (isCurrent(run)) {
			const isRefused = failure.code === 'no-room';
			ports.onUnstarted(run, isRefused ? 'refused' : 'unstarted');
		}
	}

	function stop(run: Run, stopBy: number): void {
		run.stopBy = Math.min(run.stopBy ?? Infinity, stopBy);
		if (run.state !== 'stopping') {
			run.state = 'stopping';
			repeatStop(run);
		}
	}

	/** Repeats the stop until it is answered or the run has ended otherwise. */
	function repeatStop(run: Run): void {
		background.repeat(
			{work: 'stop of a run', executor: getExecutor().id},
			async () => sendStop(run),
			{
				signal,
				isOver: () => run.stoppedAt !== undefined || !isCurrent(run),
			},
		);
	}

	async function sendStop(run: Run): Promise<void> {
		const {job, index, attempt} = run;
		const sentAt = now();
		const reply = await control.stopTask(getExecutor(), {
			job,
			index,
			attempt,
			token: getToken(),
			answerTimeoutMs: answerTimes.getTimeoutMs(),
		});
		recordAnswerTime(reply, sentAt);
		if (reply.isOk() || reply.error.code === 'outdated') {
			run.stoppedAt = now();
			ports.onStopped();
			return;
		}

		ports.onFailure(reply.error, 'stop');
		await wait(callRetryMs, signal);
	}

	return {
		start(run, spec) {
			background.run(
				{work: 'start of a task', executor: getExecutor().id},
				async () => sendStart(run, spec),
				{
					onException() {
						stop(run, now() + dropStopLimitMs);
					},
				},
			);
		},
		stop,
	};
}
