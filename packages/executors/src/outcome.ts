/**
Outcomes of requests to executors. They tell whether the task may have run.
*/

/**
- `done`: a complete 2xx response arrived.
- `failed`: a response with another status, or with malformed JSON, arrived: the task ran and failed.
- `refused`: the executor answered that it did not run the task (503 with `Gentianshift-Not-Run: true`).
- `unreachable`: no connection was made, so no byte of the request was written.
- `withheld`: the slot had become unusable by the time the request was to be written; nothing was written.
- `unknown`: bytes may have been written and no complete response arrived: the task may have run.

Only tasks that ended as `refused`, `unreachable` or `withheld` may be sent again.
*/
export type TaskOutcome =
	| {result: 'done'; value: unknown; runMs: number}
	| {result: 'failed'; status: number; detail: string; runMs: number}
	| {result: 'refused'; runMs: number}
	| {result: 'unreachable'; detail: string; runMs: number}
	| {result: 'withheld'; runMs: number}
	| {result: 'unknown'; detail: string; runMs: number};

export type TaskRequest = {
	/** `<job id>/<index>`. */
	taskId: string;
	path: string;
	/** JSON text. */
	payload: string;
	/**
	Time-out of the request, milliseconds. When it passes, the connection is destroyed and the
	task counts as lost.
	*/
	limitMs: number;
	/** Milliseconds until the caller can no longer use the answer; sent to the executor in a header. */
	deadlineMs: number;
	traceparent?: string;
	/** Called right before the request is written, since the request may have waited for a connection. */
	isUsable: () => boolean;
};
