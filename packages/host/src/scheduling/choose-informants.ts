/**
Which hosts a holder asks for executors' registrations that it can't read from the store itself.

Holders of other groups that reach the store have a current list in any case. The others are asked in turn: hosts of the holder's
data centre were told of changes by its predecessor, hosts elsewhere may reach the store.
*/
import {isSilent, type KnownGroup} from '@gentianshift/scheduling';

export type Informant = {key: string; isNear: boolean};

/** A holder whose own list is this old is asked only in turn, like other hosts; milliseconds. */
const currentStoreAgeMs = 1500;
const mostHolders = 2;
/** How many others are asked at a time, if a current holder is asked as well or not. */
const others = {
	besideHolders: {near: 1, far: 1},
	alone: {near: 2, far: 4},
};

/**
Keys of the hosts to ask now.

@example
chooseInformants(links, {groups: groups.list(), round: 0, now});
*/
export function chooseInformants(
	informants: readonly Informant[],
	{
		groups,
		round,
		now,
	}: {
		groups: readonly KnownGroup[];
		/** Number of this choice, by which the hosts take turns. */
		round: number;
		/** This host's clock, milliseconds. */
		now: number;
	},
): string[] {
	const currentHolders = new Set(
		groups
			.filter(
				(group) =>
					group.state.storeAgeMs < currentStoreAgeMs && !isSilent(group, now),
			)
			.map(({holder}) => holder),
	);
	const holders = pickInTurn(
		informants.filter(({key}) => currentHolders.has(key)),
		mostHolders,
		round,
	);
	const rest = informants.filter(({key}) => !currentHolders.has(key));
	const {near, far} = holders.length > 0 ? others.besideHolders : others.alone;
	return [
		...holders,
		...pickInTurn(
			rest.filter(({isNear}) => isNear),
			near,
			round,
		),
		...pickInTurn(
			rest.filter(({isNear}) => !isNear),
			far,
			round,
		),
	].map(({key}) => key);
}

/** `count` of the items, others in each round until all have been picked. */
function pickInTurn<T>(items: readonly T[], count: number, round: number): T[] {
	const picked = Math.min(count, items.length);
	return Array.from(
		{length: picked},
		(_, i) => items[(round * picked + i) % items.length]!,
	);
}
