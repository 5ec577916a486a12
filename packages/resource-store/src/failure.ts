/**
What can go wrong between a host and the platform, sorted by what may have taken effect: the
caller of a write has to know that before it says anything to its own caller.
*/

/** When to come back after the platform could not be reached, milliseconds: a short outage's length. */
export const platformRetryMs = 2000;

/**
- `unavailable`: nothing can have taken effect (connection refused, or the call was a read).
- `unknown-outcome`: the request may have taken effect; its reply was lost or says nothing.
- `rejected`: the service understood the request and did not carry it out.
*/
export type PlatformFailure =
	| {code: 'unavailable'; message: string; retryAfterMs: number}
	| {code: 'unknown-outcome'; message: string; retryAfterMs: number}
	| {code: 'rejected'; status: number; message: string};

/** Whether a call could change anything at the service. */
export type CallEffect = 'read' | 'write';

/** Errors that come before a byte of the request was written. */
const connectCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

/** Status from which an answer says that the service failed, not that it declined. */
const firstServerError = 500;

/** Sorts an error thrown by the HTTP client. */
export function classifyError(
	error: unknown,
	effect: CallEffect,
): PlatformFailure {
	const {code, message} = error as {code?: string; message?: string};
	const isBeforeSending = code !== undefined && connectCodes.has(code);
	return describeFailure(
		effect === 'read' || isBeforeSending,
		`${code ?? 'error'}: ${message ?? String(error)}`,
	);
}

/** Sorts an answer other than 2xx: a failing leader may still have committed the write. */
export function classifyStatus(
	status: number,
	message: string,
	effect: CallEffect,
): PlatformFailure {
	if (status < firstServerError) {
		return {code: 'rejected', status, message};
	}

	return describeFailure(effect === 'read', `status ${status}: ${message}`);
}

function describeFailure(
	isHarmless: boolean,
	message: string,
): PlatformFailure {
	return {
		code: isHarmless ? 'unavailable' : 'unknown-outcome',
		message,
		retryAfterMs: platformRetryMs,
	};
}
