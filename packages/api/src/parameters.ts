/**
Reads numbers out of headers and the query; each out of its range is a finding.
*/
import {err, ok, type Result} from 'neverthrow';
import {
	headers,
	parseJobId,
	type Finding,
	type Problem,
} from '@gentianshift/resources';
import {createProblem} from './problems.js';

/** Milliseconds a caller may ask to wait: the longest deadline of a job. */
const maxWaitMs = 3_600_000;
/** Attempts of one id: far above any caller's patience, and safe as an integer. */
const maxAttempt = 1_000_000;
/** W3C trace context, version 00. A malformed one is left out, as the W3C's page asks. */
const traceparentPattern = /^[\da-f]{2}-[\da-f]{32}-[\da-f]{16}-[\da-f]{2}$/v;

export type JobParameters = {
	id?: string;
	attempt: number;
	waitMs: number;
	traceparent?: string;
};

export type ParameterSource = {
	id?: string;
	getHeader: (name: string) => string | undefined;
	getQuery: (name: string) => string | undefined;
};

/** Reads a job request's parameters; all that are wrong are reported in one problem. */
export function readJobParameters({
	id,
	getHeader,
	getQuery,
}: ParameterSource): Result<JobParameters, Problem> {
	const attempt = readInteger(getHeader(headers.attempt), 1, maxAttempt);
	const waitMs = readInteger(getQuery('wait'), 0, maxWaitMs);
	const findings: Finding[] = [];
	if (attempt === 'bad') {
		findings.push(describeRange(headers.attempt, 1, maxAttempt));
	}

	if (waitMs === 'bad') {
		findings.push(describeRange('wait', 0, maxWaitMs));
	}

	const idError = id === undefined ? undefined : findIdError(id);
	if (idError) {
		return err(createBadParameters([idError, ...findings], true));
	}

	if (attempt === 'bad' || waitMs === 'bad') {
		return err(createBadParameters(findings, id === undefined, id));
	}

	return ok({
		id,
		attempt: attempt ?? 1,
		waitMs: waitMs ?? 0,
		traceparent: readTraceparent(getHeader('traceparent')),
	});
}

export function readTraceparent(text: string | undefined): string | undefined {
	return text !== undefined && traceparentPattern.test(text) ? text : undefined;
}

/** Reads a decimal integer; `bad` when it is none or out of range. */
export function readInteger(
	text: string | undefined,
	min: number,
	max: number,
): number | 'bad' | undefined {
	if (text === undefined) {
		return undefined;
	}

	const value = /^\d{1,16}$/v.test(text) ? Number(text) : Number.NaN;
	return value >= min && value <= max ? value : 'bad';
}

/** A problem of parameters: "none" where no job is named, or by what is no id. */
function createBadParameters(
	findings: Finding[],
	namesNoJob: boolean,
	id?: string,
): Problem {
	return createProblem({
		status: 400,
		code: findings[0]!.code,
		detail: findings.map((finding) => finding.message).join('; '),
		ran: namesNoJob ? 'none' : 'unknown',
		id,
		findings,
	});
}

function findIdError(id: string): Finding | undefined {
	const parsed = parseJobId(id);
	return parsed.isOk() ? undefined : {...parsed.error, place: {path: ['id']}};
}

function describeRange(name: string, min: number, max: number): Finding {
	return {
		code: 'bad-parameter',
		place: {path: [name]},
		message: `${name} is an integer from ${min} to ${max}`,
	};
}
