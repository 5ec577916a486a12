/**
Chooses the executor for the next task.
*/
import {type ExecutorState} from './executor-health.js';

/** Minimum success rate used for an executor: prevents division by zero. */
const minReliability = 0.1;

/** Whether a slot of the executor may be lent now. */
export function hasFreeSlot(executor: ExecutorState, now: number): boolean {
	if (executor.isLeaving) {
		return false;
	}

	return executor.isEjected
		? executor.busy === 0 && now >= executor.probeAt
		: executor.busy < Math.min(executor.slotLimit, executor.slots);
}

/**
Returns an ejected executor that is due for a probe, else the executor with the lowest load relative to
its speed and reliability; undefined if no slot is free. When work doesn't fill all executors, this
spreads it so that no task queues at an executor, and prefers those that end tasks soonest.
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
	if (executor.isEjected) {
		return 0;
	}

	const reliability = Math.max(minReliability, 1 - executor.failureRate);
	return (
		((executor.busy + 1) * executor.slowRatio) / (executor.slots * reliability)
	);
}
