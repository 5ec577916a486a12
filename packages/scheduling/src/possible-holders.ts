/**
Which hosts may hold a group without this host knowing.

A holder that is replaced learns of it from its successor at once, if they are connected. So what a holder confirms holds as long as it
has a connection to every host of its data centre; whether this host has one does not matter. A host that starts with a hundred others
would otherwise doubt all groups until it is connected to the last of them.
*/
import {getDataCentre, isSilent, type KnownGroup} from './group-directory.js';

/** `unlinked`: hosts to which this one has no connection; a host's key begins with its data centre. */
export function listPossibleHolders(
	unlinked: readonly string[],
	groups: readonly KnownGroup[],
	now: number,
): string[] {
	const possible = new Set<string>();
	const vouching = new Map<string, KnownGroup[]>();
	for (const known of groups) {
		const {unreachable} = known.state;
		if (unreachable !== undefined && !isSilent(known, now)) {
			const dataCentre = getDataCentre(known.state);
			const others = vouching.get(dataCentre) ?? [];
			vouching.set(dataCentre, [...others, known]);
			for (const host of unreachable) {
				possible.add(host);
			}
		}
	}

	for (const host of unlinked) {
		if (!hasAllVouchers(vouching.get(parseDataCentre(host)) ?? [])) {
			possible.add(host);
		}
	}

	return [...possible];
}

/** Whether these holders speak for each group of their data centre: a host may hold one that has not told its state yet. */
function hasAllVouchers(vouching: readonly KnownGroup[]): boolean {
	const counts = vouching.map(({state: {layout}}) => layout?.count ?? 1);
	return vouching.length > 0 && vouching.length >= Math.max(...counts);
}

function parseDataCentre(host: string): string {
	return host.slice(0, host.indexOf('_'));
}
