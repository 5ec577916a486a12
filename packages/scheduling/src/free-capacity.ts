/**
The free capacity of an executor: its capacity less what its runs use. Processor time is in thousandths of
a core.
*/
import {type TaskDemand} from '@gentianshift/protocol';

export const noDemand: TaskDemand = {cpu: 0, memoryMb: 0, accelerators: 0};

/** Free capacity of an executor that must get no task: negative, so that not even a demand of zero fits. */
export const noFreeCapacity: TaskDemand = {
	cpu: -1,
	memoryMb: -1,
	accelerators: -1,
};

export function addDemand(a: TaskDemand, b: TaskDemand): TaskDemand {
	return {
		cpu: a.cpu + b.cpu,
		memoryMb: a.memoryMb + b.memoryMb,
		accelerators: a.accelerators + b.accelerators,
	};
}

export function removeDemand(a: TaskDemand, b: TaskDemand): TaskDemand {
	return {
		cpu: a.cpu - b.cpu,
		memoryMb: a.memoryMb - b.memoryMb,
		accelerators: a.accelerators - b.accelerators,
	};
}

export function coversDemand(free: TaskDemand, demand: TaskDemand): boolean {
	return (
		free.cpu >= demand.cpu &&
		free.memoryMb >= demand.memoryMb &&
		free.accelerators >= demand.accelerators
	);
}

/**
How many tasks of the same size fit on executors, given the free processor time of each.

@example
countFits([32_000, 10_000], 14_000); // 2
*/
export function countFits(free: readonly number[], cpu: number): number {
	if (cpu <= 0) {
		return Infinity;
	}

	let fits = 0;
	for (const cpuFree of free) {
		fits += Math.max(0, Math.floor(cpuFree / cpu));
	}

	return fits;
}

/**
Subtracts up to that many tasks from the free processor time, each where most is free, as a scheduler would place
them.
*/
export function takeFits(
	free: readonly number[],
	cpu: number,
	tasks: number,
): number[] {
	const remaining = [...free];
	for (let i = 0; i < tasks; i += 1) {
		let best = 0;
		for (let j = 1; j < remaining.length; j += 1) {
			if (remaining[j]! > remaining[best]!) {
				best = j;
			}
		}

		if ((remaining[best] ?? 0) < cpu) {
			break;
		}

		remaining[best]! -= cpu;
	}

	return remaining;
}
