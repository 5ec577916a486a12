/**
How the executors of a data centre are divided into groups, each with a scheduler of its own.

One scheduler runs on one thread of one host. Where the executors of a data centre take more starts than a host's
processor can send, they are divided into several groups that different hosts hold.
*/

/** The division of one data centre. A layout with a later revision replaces an earlier one. */
export type GroupLayout = {
	/** The store's revision of the layout; 0: none was written, so the data centre has one group. */
	revision: number;
	/** Number of groups. */
	count: number;
	/** Number of groups before; undefined: not stated by the writer. */
	formerCount?: number;
	/** When it was written, Unix time in milliseconds by its writer's clock. */
	changedAtMs: number;
};

export const singleGroupLayout: GroupLayout = {
	revision: 0,
	count: 1,
	changedAtMs: 0,
};

/** Executors whose calls take about half of a core. */
const executorsPerCore = 30;
/** Smaller groups have too few free executors for a job of eight tasks, which would always be split. */
const minExecutorsPerGroup = 8;
/** A host with a smaller share of the strongest host's cores holds no group as long as that one lives. */
const minCoresShare = 0.5;

/** The first group of a data centre has the data centre's name. */
export function formatGroupName(dataCentre: string, number: number): string {
	return number === 1 ? dataCentre : `${dataCentre}--${number}`;
}

/**
@example
listGroupNames('mieres', 2); // ['mieres', 'mieres--2']
*/
export function listGroupNames(dataCentre: string, count: number): string[] {
	return Array.from({length: count}, (_, index) =>
		formatGroupName(dataCentre, index + 1),
	);
}

/** Whether the data centre had no such group before this layout. */
export function isNewGroup(
	group: string,
	dataCentre: string,
	{count, formerCount = count}: GroupLayout,
): boolean {
	return !listGroupNames(dataCentre, formerCount).includes(group);
}

export type GroupCountInput = {
	/** Number of executors of the data centre. */
	executors: number;
	/** Cores that each host of the data centre may use. */
	cores: readonly number[];
	/** The present number of groups. */
	current: number;
	/** An operator's limit. */
	maxGroups: number;
};

/**
How many groups the data centre needs: as many as keep each of them within what one host can carry. The number does not
fall while hosts are away: they come back, and fewer groups would mean that all executors change hands.
*/
export function chooseGroupCount({
	executors,
	cores,
	current,
	maxGroups,
}: GroupCountInput): number {
	const mostCores = Math.max(0, ...cores);
	if (mostCores === 0) {
		return current;
	}

	const strongHosts = cores.filter(
		(own) => own >= mostCores * minCoresShare,
	).length;
	const needed = Math.round(executors / (executorsPerCore * mostCores));
	const wanted = Math.min(
		needed,
		strongHosts,
		Math.floor(executors / minExecutorsPerGroup),
	);
	return Math.max(current, Math.min(maxGroups, wanted));
}

/**
Returns the group that the executor belongs to, by rendezvous hashing: one group more takes its executors evenly from
the others, which exchange none among themselves.
*/
export function chooseExecutorGroup(
	id: string,
	groups: readonly string[],
	hash: (text: string) => bigint,
): string {
	let best = groups[0]!;
	let bestScore = -1n;
	for (const group of groups) {
		const score = hash(`${group}|${id}`);
		if (score > bestScore) {
			best = group;
			bestScore = score;
		}
	}

	return best;
}
