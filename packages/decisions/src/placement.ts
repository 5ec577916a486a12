/**
Which executor gets the next task.
*/
import {type ExecutorState} from './executor-health.js';

/** Least share of its tasks that an executor is credited with ending well: no division by zero. */
const leastReliability = 0.1;

/** Whether a slot of the executor may be lent now. */
export function hasFreeSlot(executor: ExecutorState, now: number): boolean {
	if (executor.isLeaving) {
		return false;
	}

	return executor.isShutOut
		? executor.busy === 0 && now >= executor.probeAt
		: executor.busy < Math.min(executor.limit, executor.slots);
}

/**
The executor for the next task: a probe that is due, else the fewest busy slots for its speed and
reliability. For work that doesn't fill all executors: spreading it keeps each one's queue at
none, and leans to those that end tasks soonest.
*/
export function pickExecutor(
	executors: readonly ExecutorState[],
	now: number,
): ExecutorState | undefined {
	let best: ExecutorState | undefined;
	let bestLoad = Number.POSITIVE_INFINITY;
	for (const executor of executors) {
		if (hasFreeSlot(executor, now)) {
			const load = measureLoad(executor);
			if (load < bestLoad) {
				best = executor;
				bestLoad = load;
			}
		}
	}

	return best;
}

function measureLoad(executor: ExecutorState): number {
	if (executor.isShutOut) {
		return 0;
	}

	const reliability = Math.max(leastReliability, 1 - executor.failureRate);
	return (
		((executor.busy + 1) * executor.slowRatio) / (executor.slots * reliability)
	);
}
