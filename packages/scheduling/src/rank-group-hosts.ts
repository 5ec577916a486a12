/**
Which hosts hold the groups of a data centre, and in which order others take each group over.

Scheduling a group takes much of a host's processor, so groups are spread over hosts by their cores. Every host
computes the same assignment from the same list of hosts.
*/

export type GroupHost = {
	key: string;
	/** Processor cores that the host may use. */
	cores: number;
};

/**
Assigns each group to the host that then has the most cores for each of its groups. Returns each group's order of
takeover: the host that it is assigned to, then the hosts with the most cores for one group more. `hosts`: in their
order of preference among hosts of equal strength.

@example
rankGroupHosts(['mieres', 'mieres--2'], [{key: 'a', cores: 1}, {key: 'b', cores: 1}, {key: 'c', cores: 0.2}]);
// mieres: a, b, c; mieres--2: b, a, c
*/
export function rankGroupHosts(
	groups: readonly string[],
	hosts: readonly GroupHost[],
): Map<string, string[]> {
	const held = new Map(hosts.map(({key}) => [key, 0]));
	const assigned = new Map<string, GroupHost>();
	for (const group of groups) {
		const [first] = rankByCoresPerGroup(hosts, held);
		if (first) {
			assigned.set(group, first);
			held.set(first.key, held.get(first.key)! + 1);
		}
	}

	return new Map(
		groups.map((group) => {
			const first = assigned.get(group);
			const others = hosts.filter(({key}) => key !== first?.key);
			const order = rankByCoresPerGroup(others, held).map(({key}) => key);
			return [group, first ? [first.key, ...order] : order];
		}),
	);
}

/** The cores that a host has for each of its groups if it holds so many of them. */
export function computeCoresPerGroup(cores: number, groups: number): number {
	return cores / Math.max(1, groups);
}

function rankByCoresPerGroup(
	hosts: readonly GroupHost[],
	held: ReadonlyMap<string, number>,
): GroupHost[] {
	return hosts.toSorted(
		(a, b) =>
			computeCoresPerGroup(b.cores, held.get(b.key)! + 1) -
			computeCoresPerGroup(a.cores, held.get(a.key)! + 1),
	);
}
