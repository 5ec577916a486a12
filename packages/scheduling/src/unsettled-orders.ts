/**
Starts without an answer whose runs were given up. The executor may still carry them out, seconds later.

An executor was silent until its lease had passed, its tasks were placed elsewhere, and now it answers again. As soon as
it has a lease again, a late start would run beside the task's new run. So before the lease is renewed, each of these
starts is cancelled by a stop of the same attempt. The list outlives the session: an executor whose registration in the
store lapses is dropped, and gets a new session when it is listed again.
*/
import {type RunName} from './executor-control.js';

/** How long a start is kept: longer than a call can be delayed on its way to the executor. */
const lateOrderLimitMs = 20_000;

export type UnsettledOrders = {
	readonly isEmpty: boolean;
	add: (start: RunName, now: number) => void;
	/** Cancels the starts one by one, by `stop`. False: one stop failed; that start and those after it are kept. */
	settle: (stop: (start: RunName) => Promise<boolean>) => Promise<boolean>;
	forgetOld: (now: number) => void;
};

/**
@example
orders.add({job: 'a1', index: 0, attempt: 1}, now);
await orders.settle(async (start) => (await control.stopTask(executor, start)).isOk());
*/
export function createUnsettledOrders(): UnsettledOrders {
	let orders: Array<{start: RunName; at: number}> = [];
	let settling: Promise<boolean> | undefined;

	async function stopAll(
		stop: (start: RunName) => Promise<boolean>,
	): Promise<boolean> {
		while (orders.length > 0) {
			const order = orders[0]!;
			if (!(await stop(order.start))) {
				return false;
			}

			orders = orders.filter((other) => other !== order);
		}

		return true;
	}

	return {
		get isEmpty() {
			return orders.length === 0;
		},
		add({job, index, attempt}, now) {
			orders.push({start: {job, index, attempt}, at: now});
		},
		/** Reports can arrive faster than stops are answered, so calls made during a round share its result. */
		async settle(stop) {
			settling ??= stopAll(stop).finally(() => {
				settling = undefined;
			});
			return settling;
		},
		forgetOld(now) {
			orders = orders.filter(({at}) => now - at <= lateOrderLimitMs);
		},
	};
}
