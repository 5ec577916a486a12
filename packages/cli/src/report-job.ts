/**
Writes a job's answer or problem and picks the exit code, so that scripts can tell "not run"
from "may have run".
*/
import {type Result} from 'neverthrow';
import {type JobAnswer} from '@gentianshift/resources';
import {type ExitCode, exitCodes} from './exit-codes.js';
import {type HostOptions} from './host-options.js';
import {hasEnded} from './jobs.js';
import {type Failure, formatFailure, isProblem} from './replies.js';
import {type Terminal} from './terminal.js';

/** Writes results as a JSON line each, in the order of the tasks, or the whole answer as JSON. */
export function writeJob(
	terminal: Terminal,
	id: string,
	answer: Result<JobAnswer, Failure>,
	output: HostOptions['output'],
): ExitCode {
	if (answer.isErr()) {
		return writeFailure(terminal, id, answer.error, output);
	}

	writeAnswer(terminal, answer.value, output);
	const isGood = !hasEnded(answer.value) || answer.value.state === 'complete';
	return isGood ? exitCodes.ok : exitCodes.failed;
}

/** A job that ended before the cancellation arrived is told as it ended. */
export function writeCancelled(
	terminal: Terminal,
	id: string,
	answer: Result<JobAnswer, Failure>,
	output: HostOptions['output'],
): ExitCode {
	const isCancelled =
		answer.isErr() && isProblem(answer.error)
			? answer.error.code === 'cancelled'
			: answer.isOk() && answer.value.state === 'cancelled';
	const code = writeJob(terminal, id, answer, output);
	return isCancelled ? exitCodes.ok : code;
}

function writeAnswer(
	{writeOut, writeError}: Terminal,
	answer: JobAnswer,
	output: HostOptions['output'],
): void {
	if (output === 'json') {
		writeOut(JSON.stringify(answer));
	} else {
		for (const result of answer.results ?? []) {
			writeOut(JSON.stringify(result));
		}
	}

	writeError(formatState(answer));
}

/** A job's state and how far it is, in one line. */
export function formatState({state, done, tasks}: JobAnswer): string {
	return `${state}: ${done} of ${tasks} tasks done`;
}

function writeFailure(
	{writeOut, writeError}: Terminal,
	id: string,
	failure: Failure,
	output: HostOptions['output'],
): ExitCode {
	if (output === 'json') {
		writeOut(JSON.stringify(failure));
	}

	const code = getJobExitCode(failure);
	const hint =
		code === exitCodes.unknown ? `; ask later: gentianshift job ${id}` : '';
	writeError(`${formatFailure(failure)}${hint}`);
	return code;
}

function getJobExitCode(failure: Failure): ExitCode {
	if (!isProblem(failure)) {
		return failure.code === 'lost' ? exitCodes.unknown : exitCodes.unreachable;
	}

	// The client's own word: no host could be connected to.
	if (failure.code === 'unreachable') {
		return exitCodes.unreachable;
	}

	switch (failure.ran) {
		case 'none': {
			return exitCodes.refused;
		}

		case 'some': {
			return exitCodes.failed;
		}

		case 'unknown': {
			return exitCodes.unknown;
		}
	}
}
