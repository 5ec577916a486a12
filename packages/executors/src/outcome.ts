/**
How a request to an executor ended, and above all whether the task may have run.
*/

/**
- `done`: answered 2xx, whole.
- `failed`: answered with another status: it ran and failed.
- `refused`: the executor's explicit "not run" (503 with `Gentianshift-Not-Run: true`).
- `unreachable`: no connection was made, so no byte of the request was written.
- `withheld`: the slot could not be used any more when the request was about to be written; no byte was.
- `unknown`: bytes may have been written and no whole answer came; it may have run.

Only `refused`, `unreachable` and `withheld` may be placed again.
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
	/** Milliseconds after which the task counts as lost and its connection is destroyed. */
	limitMs: number;
	/** Milliseconds until the answer is of no use to the caller any more; told to the executor. */
	deadlineMs: number;
	traceparent?: string;
	/** Asked right before the request is written: it may have waited for a connection since it was sent. */
	isUsable: () => boolean;
};
