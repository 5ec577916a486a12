/**
Which hosts may hold a group without this host knowing.

A holder that is replaced learns of it from its successor at once, if they are connected. So what a holder confirms holds as long as it
has a connection to every host of its data centre; whether this host has one does not matter. A host that starts with a hundred others
would otherwise doubt all groups until it is connected to the last of them.
*/
import {isSilent, type KnownGroup} from './group-directory.js';

/** `unlinked`: hosts to which this one has no connection; a host's key begins with its data centre. */
export function listPossibleHolders(
	unlinked: readonly string[],
	groups: readonly KnownGroup[],
	now: number,
): string[] {
	const possible = new Set<string>();
	const vouchedFor = new Set<string>();
	for (const known of groups) {
		const {group, unreachable} = known.state;
		if (unreachable !== undefined && !isSilent(known, now)) {
			vouchedFor.add(group);
			for (const host of unreachable) {
				possible.add(host);
			}
		}
	}

	for (const host of unlinked) {
		if (!vouchedFor.has(getDataCentre(host))) {
			possible.add(host);
		}
	}

	return [...possible];
}

function getDataCentre(host: string): string {
	return host.slice(0, host.indexOf('_'));
}
