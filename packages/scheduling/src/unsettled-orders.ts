/**
Starts without an answer whose runs were given up: an executor may carry them out yet, seconds later.

What goes wrong: the executor was silent until its lease had passed, its tasks were placed elsewhere, and now it
answers again. A late start would run beside the task's new run as soon as the executor has a lease again. So before
that each of these starts is made worthless by a stop of the same attempt. They outlive the session: an
executor whose entry in the store lapses is dropped and comes back as if it were new.
*/
import {type RunName} from './executor-control.js';

/** Longer than an order is held up on its way. */
const lateOrderLimitMs = 20_000;

export type UnsettledOrders = {
	readonly isEmpty: boolean;
	add: (start: RunName, now: number) => void;
	/** Stops each of them; false: one could not be stopped, and all that are left are kept. */
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
		/** Reports come faster than stops are answered: all of them share one round. */
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
