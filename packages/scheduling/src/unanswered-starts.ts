/**
Starts without an answer whose runs were given up. The executor may still carry them out, seconds later.

An executor was silent until its lease had passed, its tasks were placed elsewhere, and now it answers again. As soon as
it has a lease again, a late start would run beside the task's new run. So before the lease is renewed, each of these
starts is cancelled by a stop of the same attempt. The list outlives the session: an executor whose registration in the
store lapses is dropped, and gets a new session when it is listed again.

A stop makes a late start worthless only at the process that answered the stop. A process that starts later under the
same id knows of neither, and may still carry the start out. So each start without an answer is remembered for as long
as a call can be delayed, also once it is cancelled, and cancelled again at each later process.
*/
import {type RunName} from './executor-control.js';
import {formatTaskKey} from './run.js';

/** How long a start is kept: longer than a call can be delayed on its way to the executor. */
export const lateStartLimitMs = 20_000;

export type UnansweredStarts = {
	readonly isEmpty: boolean;
	add: (start: RunName, now: number) => void;
	/** Remembers a start that was sent at `sentAt`, and whose task is cancelled or stopped by other means. */
	remember: (start: RunName, sentAt: number) => void;
	/** To be called when a later process of the executor answers: all remembered starts are to be cancelled there. */
	restoreAll: () => void;
	/** Nothing is remembered, nor to be cancelled. */
	readonly hasNone: boolean;
	/** Cancels the starts one by one, by `stop`. False: one stop failed; that start and those after it are kept. */
	cancelAll: (stop: (start: RunName) => Promise<boolean>) => Promise<boolean>;
	forgetOld: (now: number) => void;
};

/**
@example
starts.add({job: 'a1', index: 0, attempt: 1}, now);
await starts.cancelAll(async (start) => (await control.stopTask(executor, start)).isOk());
*/
export function createUnansweredStarts(): UnansweredStarts {
	let pending: Array<{start: RunName; at: number}> = [];
	/** By task and attempt. */
	const remembered = new Map<string, {start: RunName; at: number}>();
	let ongoingRound: Promise<boolean> | undefined;

	async function cancelPending(
		stop: (start: RunName) => Promise<boolean>,
	): Promise<boolean> {
		while (pending.length > 0) {
			const first = pending[0]!;
			if (!(await stop(first.start))) {
				return false;
			}

			pending = pending.filter((other) => other !== first);
		}

		return true;
	}

	return {
		get isEmpty() {
			return pending.length === 0;
		},
		add({job, index, attempt}, now) {
			const entry = {start: {job, index, attempt}, at: now};
			pending.push(entry);
			remembered.set(formatStartKey(entry.start), entry);
		},
		remember({job, index, attempt}, sentAt) {
			const start = {job, index, attempt};
			remembered.set(formatStartKey(start), {start, at: sentAt});
		},
		restoreAll() {
			pending = [...remembered.values()];
		},
		get hasNone() {
			return pending.length === 0 && remembered.size === 0;
		},
		/** Reports can arrive faster than stops are answered, so calls made during a round share its result. */
		async cancelAll(stop) {
			ongoingRound ??= cancelPending(stop).finally(() => {
				ongoingRound = undefined;
			});
			return ongoingRound;
		},
		forgetOld(now) {
			pending = pending.filter(({at}) => now - at <= lateStartLimitMs);
			for (const [key, {at}] of remembered) {
				if (now - at > lateStartLimitMs) {
					remembered.delete(key);
				}
			}
		},
	};
}

function formatStartKey(start: RunName): string {
	return `${formatTaskKey(start)}/${start.attempt}`;
}
