/**
Room on an executor: what its capacity leaves beside the runs that count against it.
*/
import {type TaskDemand} from '@gentianshift/protocol';

export const noDemand: TaskDemand = {cpu: 0, memoryMb: 0, accelerators: 0};

/** Of an executor that may be given nothing: less than any demand. */
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
How many tasks of one size fit on executors with this much processor free each.

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

/** Takes that many tasks' processor off the list, fullest room first, as a scheduler would. */
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
