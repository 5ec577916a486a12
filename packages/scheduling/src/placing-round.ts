/**
Remembers, during one placing round over the waiting jobs, for which demands no free capacity was found.

Each end of a task starts a round. With long queues, at saturation, a hundred jobs that each search all
executors take a good part of a small host's core. Within a round free capacity only shrinks, so if there is none
for one job, there is none for another that needs as much.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {isAvailable, type ExecutorCandidate} from './place-task.js';

export type PlacingRound<C extends ExecutorCandidate> = {
	candidates: readonly C[];
	/** Capacity of all candidates together, thousandths of a core. */
	capacityCpu: number;
	now: number;
	/** Whether an executor that may take a task now has free capacity for this demand. */
	hasCapacityFor: (service: string, demand: TaskDemand) => boolean;
	/** Whether other groups were found to have no free capacity for tasks of `cpu` thousandths of a core. */
	hasNoneElsewhere: (cpu: number) => boolean;
	/**
	Reserves free capacity in other groups, as far as it is known, for tasks of `cpu` thousandths of a core; returns
	for how many of `tasks`.
	*/
	takeCapacityElsewhere: (cpu: number, tasks: number) => number;
};

export function createPlacingRound<C extends ExecutorCandidate>(
	candidates: readonly C[],
	now: number,
	takeKnownCapacity: (cpu: number, tasks: number) => number,
): PlacingRound<C> {
	/** The last demand of each service for which no free capacity was found. */
	const lastRefused = new Map<string, TaskDemand>();
	/** Least processor demand, in thousandths of a core, for which other groups have no free capacity. */
	let refusedElsewhereCpu = Infinity;

	function hasNoneElsewhere(cpu: number): boolean {
		return cpu >= refusedElsewhereCpu;
	}

	return {
		candidates,
		capacityCpu: candidates.reduce((sum, {capacity}) => sum + capacity.cpu, 0),
		now,
		hasCapacityFor(service, demand) {
			const known = lastRefused.get(service);
			if (known && isAtLeast(demand, known)) {
				return false;
			}

			const task = {service, demand};
			const hasCapacity = candidates.some((one) => isAvailable(one, task, now));
			if (!hasCapacity) {
				lastRefused.set(service, demand);
			}

			return hasCapacity;
		},
		hasNoneElsewhere,
		takeCapacityElsewhere(cpu, tasks) {
			if (hasNoneElsewhere(cpu)) {
				return 0;
			}

			const taken = takeKnownCapacity(cpu, tasks);
			if (taken === 0) {
				refusedElsewhereCpu = cpu;
			}

			return taken;
		},
	};
}

function isAtLeast(demand: TaskDemand, other: TaskDemand): boolean {
	return (
		demand.cpu >= other.cpu &&
		demand.memoryMb >= other.memoryMb &&
		demand.accelerators >= other.accelerators
	);
}
