/**
The order in which an entry offers a job's tasks to groups: those of its own data centre first, then data centres in
which more of the tasks can start.

Hosts' knowledge of a group's free capacity is up to one state interval old. If all entries chose the group that looks
emptiest, they would fill it within that time while others stay idle. So among the groups of one data centre that can
start the whole job, the first choice is random, in proportion to the number of tasks that each can start.
*/
import {type TaskDemand} from '@gentianshift/protocol';
import {countFits} from './free-capacity.js';
import {type OpenGroup} from './place-job.js';

export type GroupOrderRequest = {
	/** The entry's own data centre. */
	home: string;
	count: number;
	demand: TaskDemand;
};

type RatedGroup = {
	candidate: OpenGroup;
	/** Number of tasks that the group can start now. */
	fits: number;
	/** Random; larger on average with more fits. */
	priority: number;
};

export function rankGroups(
	candidates: readonly OpenGroup[],
	{home, count, demand: {cpu}}: GroupOrderRequest,
	random: () => number,
): OpenGroup[] {
	const byDataCentre = new Map<string, RatedGroup[]>();
	for (const candidate of candidates) {
		const fits = countFits(candidate.free, cpu);
		const groups = byDataCentre.get(candidate.dataCentre) ?? [];
		groups.push({candidate, fits, priority: drawPriority(fits, random)});
		byDataCentre.set(candidate.dataCentre, groups);
	}

	return [...byDataCentre]
		.map(([dataCentre, groups]) => ({
			isHome: dataCentre === home,
			fits: Math.max(...groups.map(({fits}) => fits)),
			groups: groups.toSorted((a, b) => compareGroups(a, b, count)),
		}))
		.toSorted((a, b) => Number(b.isHome) - Number(a.isHome) || b.fits - a.fits)
		.flatMap(({groups}) => groups.map(({candidate}) => candidate));
}

function compareGroups(a: RatedGroup, b: RatedGroup, count: number): number {
	return (
		Number(b.fits >= count) - Number(a.fits >= count) || b.priority - a.priority
	);
}

/** Weighted sampling without replacement: the largest of `random ** (1 / weight)` is drawn with its weight's share. */
function drawPriority(weight: number, random: () => number): number {
	return weight > 0 ? random() ** (1 / weight) : -1;
}
