/**
Room on an executor: its capacity less what its runs use.
*/
import {type TaskDemand} from '@gentianshift/protocol';

export const noDemand: TaskDemand = {cpu: 0, memoryMb: 0, accelerators: 0};

/** The free room of an executor that must get no task: negative, so that not even a demand of zero fits. */
export const noRoom: TaskDemand = {cpu: -1, memoryMb: -1, accelerators: -1};

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

export function hasRoom(free: TaskDemand, demand: TaskDemand): boolean {
	return (
		free.cpu >= demand.cpu &&
		free.memoryMb >= demand.memoryMb &&
		free.accelerators >= demand.accelerators
	);
}

/**
How many tasks of the same size fit on executors, given the free processor of each; all in thousandths of a core.

@example
countFits([32_000, 10_000], 14_000); // 2
*/
export function countFits(free: readonly number[], cpu: number): number {
	if (cpu <= 0) {
		return Infinity;
	}

	let fits = 0;
	for (const room of free) {
		fits += Math.max(0, Math.floor(room / cpu));
	}

	return fits;
}

/**
Subtracts up to that many tasks from the free processor, each where most is free, as a scheduler would place them.
*/
export function takeFits(
	free: readonly number[],
	cpu: number,
	tasks: number,
): number[] {
	const left = [...free];
	for (let i = 0; i < tasks; i += 1) {
		let best = 0;
		for (let j = 1; j < left.length; j += 1) {
			if (left[j]! > left[best]!) {
				best = j;
			}
		}

		if ((left[best] ?? 0) < cpu) {
			break;
		}

		left[best]! -= cpu;
	}

	return left;
}
