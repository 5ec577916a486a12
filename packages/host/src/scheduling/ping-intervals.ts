/**
How often a host pings each of its peers while nothing arrives from it, that is how late it may notice that the
connection has gone silent.
*/
import {isSilent, type KnownGroup} from '@gentianshift/scheduling';

export const pingIntervals = {
	/** Callers of this host, or its own group, wait for this peer. */
	awaitedMs: 900,
	/** One of the two holds a group. */
	holderMs: 3000,
	/** With a hundred hosts, nearly all connections are of this kind. */
	idleMs: 30_000,
};
/** After a group's holder has fallen silent, all connections are checked for this long as if callers waited for them. */
const suspicionMs = 10_000;

export type PingContext = {
	/** This host's data centre. */
	dataCentre: string;
	/** This host holds the group of its data centre. */
	isHolder: boolean;
	groups: readonly KnownGroup[];
	/** Whether callers of this host wait for tasks in the group. */
	hasTasksIn: (group: string) => boolean;
	/** Monotonic milliseconds. */
	now: number;
};

/** Interval between pings to the peer, milliseconds; `peer` is its key, `<data centre>_<host>`. */
export function choosePingInterval(
	peer: string,
	{dataCentre, isHolder, groups, hasTasksIn, now}: PingContext,
): number {
	const held = groups.filter(({holder}) => holder === peer);
	const isHolderLink = isHolder || held.length > 0;
	const isNear = peer.startsWith(`${dataCentre}_`);
	const isAwaited =
		held.some(({state: {group}}) => hasTasksIn(group)) ||
		(isNear && isHolderLink);
	if (isAwaited || groups.some((known) => isSuspected(known, now))) {
		return pingIntervals.awaitedMs;
	}

	return isHolderLink ? pingIntervals.holderMs : pingIntervals.idleMs;
}

/**
Tells, at each call, whether a group's holder has fallen silent since the call before. Peers are then pinged without
waiting for the next heartbeat: whatever cut the holder off may have cut them off as well.
*/
export function createSilenceWatch(): (
	groups: readonly KnownGroup[],
	now: number,
) => boolean {
	let silentBefore = new Set<string>();
	return (groups, now) => {
		const silent = groups
			.filter((known) => isSuspected(known, now))
			.map(({holder, state: {group, token}}) => `${group} ${token} ${holder}`);
		const hasNew = silent.some((one) => !silentBefore.has(one));
		silentBefore = new Set(silent);
		return hasNew;
	};
}

/** The holder has just fallen silent: any host may be the next one, and others may be out of reach as well. */
function isSuspected(known: KnownGroup, now: number): boolean {
	return isSilent(known, now) && now - known.lastHeardAt < suspicionMs;
}
