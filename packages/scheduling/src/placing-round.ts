/**
What one round over the waiting jobs has found out already.

For long queues at saturation: each end of a task starts a round, and a queue of a hundred jobs that
each look through all executors take a good part of a small host's core. Within a round room only shrinks, so where there is none for
one job there is none for another that needs as much.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {isFree, type Candidate} from './place-task.js';

export type PlacingRound<C extends Candidate> = {
	candidates: readonly C[];
	/** Of all candidates, thousandths of a core. */
	capacityCpu: number;
	now: number;
	/** Whether an executor that may take a task now has the room for it. */
	hasRoomFor: (service: string, demand: TaskDemand) => boolean;
	/** Takes room in other groups; gives for how many tasks. */
	takeElsewhere: (cpu: number, tasks: number) => number;
};

export function createPlacingRound<C extends Candidate>(
	candidates: readonly C[],
	now: number,
	takeElsewhere: (cpu: number, tasks: number) => number,
): PlacingRound<C> {
	/** Of each service, the demand that found no room last. */
	const refused = new Map<string, TaskDemand>();
	/** Processor for which other groups have no room. */
	let refusedElsewhere = Infinity;
	return {
		candidates,
		capacityCpu: candidates.reduce((sum, {capacity}) => sum + capacity.cpu, 0),
		now,
		hasRoomFor(service, demand) {
			const known = refused.get(service);
			if (known && isAsLarge(demand, known)) {
				return false;
			}

			const task = {service, demand};
			const hasRoom = candidates.some((one) => isFree(one, task, now));
			if (!hasRoom) {
				refused.set(service, demand);
			}

			return hasRoom;
		},
		takeElsewhere(cpu, tasks) {
			if (cpu >= refusedElsewhere) {
				return 0;
			}

			const taken = takeElsewhere(cpu, tasks);
			if (taken === 0) {
				refusedElsewhere = cpu;
			}

			return taken;
		},
	};
}

function isAsLarge(demand: TaskDemand, other: TaskDemand): boolean {
	return (
		demand.cpu >= other.cpu &&
		demand.memoryMb >= other.memoryMb &&
		demand.accelerators >= other.accelerators
	);
}
