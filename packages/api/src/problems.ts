/**
Problems that this layer itself finds. Each says what ran, and says "none" only where that
cannot become false:

- a request that names no job and whose bytes no host takes (malformed JSON, bad UTF-8, a
  schema's finding, a bad header, without an id): every copy of it is refused the same way;
- an id that is no id: no host ever runs a job under it;
- an operator's request and an unknown route outside of `/v1/jobs`: no job is meant.

All else is "unknown". A malformed resubmission may name a job that ran before; a body over
the limit may be accepted by a host with another limit; a request that timed out may be under
way in another copy. What the job's owner knows comes through the port.
*/
import {type Finding, type Problem, type Ran} from '@gentianshift/resources';

/** Titles by status, as HTTP names them. */
const titles: Record<number, string> = {
	400: 'Bad Request',
	404: 'Not Found',
	405: 'Method Not Allowed',
	408: 'Request Timeout',
	409: 'Conflict',
	413: 'Content Too Large',
	431: 'Request Header Fields Too Large',
	500: 'Internal Server Error',
	503: 'Service Unavailable',
};

export type ProblemParts = {
	status: number;
	code: string;
	detail: string;
	ran: Ran;
	id?: string;
	findings?: Finding[];
	retryAfterMs?: number;
};

export function createProblem(parts: ProblemParts): Problem {
	return {
		type: 'about:blank',
		title: titles[parts.status] ?? 'Error',
		...parts,
	};
}

/** What can be said of a request that no host takes: an id may have run before. */
export function judgeRan(id: string | undefined): Ran {
	return id === undefined ? 'none' : 'unknown';
}
