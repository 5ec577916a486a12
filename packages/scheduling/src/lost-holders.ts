/**
Tracks holders of groups to which the connection broke: tasks that they started may still run.

The failure prevented here: a process dies that was both a job's entry and a group's holder, or the entry dies while the holder is
unreachable. The caller submits the job again at once, and no reachable host knows that its tasks still run under leases that were
renewed just before.
*/
import {type TokenRange} from '@gentianshift/protocol';
import {joinPlaces, type CopyPlace} from './copy-check.js';
import {isSilent, type GroupDirectory} from './group-directory.js';
import {clockSlackMs, orphanLimitMs} from './timing.js';

/** By then a caller whose connection broke has repeated its request. */
const callerResendLimitMs = 300;
/** By then a broken connection is back, if the host is alive and reachable. */
const reconnectLimitMs = 100;

type LostProcess = {
	host: string;
	incarnation: string;
	/** When the process was last known to be alive. */
	at: number;
	/** Groups that could not be reached at that time: those that the host held, and those whose holders were silent. */
	places: CopyPlace[];
};

export type LostHolders = {
	/** The connection to a host's process broke; `at`: when that process was last known to be alive. */
	markDisconnected: (host: string, incarnation: string, at: number) => void;
	/** A connection to the host is back. Only the same process as before knows what it started, so a new process does not clear the loss. */
	markConnected: (host: string, incarnation: string) => void;
	/** Whether this process has ever been connected to the host. */
	hasMet: (host: string) => boolean;
	/** Whether the connection to the host is still within the time in which it is normally re-established. */
	isReconnecting: (host: string, now: number) => boolean;
	/** Whether the connection to the group's holder broke and was not re-established in time. */
	isLost: (group: string, now: number) => boolean;
	/** Where lost hosts may have had tasks of a job that arrived here at `arrivedAt`. */
	listPlaces: (arrivedAt: number) => CopyPlace[];
	/**
	Likewise in groups whose token, as another entry reports it, is later than the one known here: the holder known here can't
	say whether a copy runs.
	*/
	listSuperseded: (
		tokens: ReadonlyArray<[group: string, token: number]>,
		arrivedAt: number,
	) => CopyPlace[];
	/** Where in the group lost hosts may have had tasks of a job that arrived here at `arrivedAt`; undefined: nowhere. */
	findPlace: (group: string, arrivedAt: number) => CopyPlace | undefined;
};

function makePlace(
	group: string,
	tokens: TokenRange,
	lostAt: number,
): CopyPlace {
	const stoppedBy = lostAt + orphanLimitMs + clockSlackMs;
	return {group, tokens, stoppedBy, isSure: false};
}

export function createLostHolders(
	groups: GroupDirectory,
	startedAt: number,
): LostHolders {
	let lostProcesses: LostProcess[] = [];
	const disconnectedAt = new Map<string, number>();
	const metHosts = new Set<string>();

	function listUnreachable(lostHost: string, at: number): CopyPlace[] {
		return groups
			.list()
			.filter((known) => known.holder === lostHost || isSilent(known, at))
			.map(({state: {group, token}}) => makePlace(group, [token, token], at));
	}

	function listPlaces(arrivedAt: number): CopyPlace[] {
		return lostProcesses.flatMap(({at, places}) =>
			arrivedAt - at <= callerResendLimitMs ? places : [],
		);
	}

	return {
		markDisconnected(host, incarnation, at) {
			disconnectedAt.set(host, at);
			lostProcesses = lostProcesses.filter(({places}) =>
				places.some(({stoppedBy}) => at < stoppedBy),
			);
			lostProcesses.push({
				host,
				incarnation,
				at,
				places: listUnreachable(host, at),
			});
		},
		markConnected(host, incarnation) {
			metHosts.add(host);
			disconnectedAt.delete(host);
			lostProcesses = lostProcesses.filter(
				(lost) => lost.host !== host || lost.incarnation !== incarnation,
			);
		},
		hasMet: (host) => metHosts.has(host),
		isReconnecting: (host, now) =>
			now - (disconnectedAt.get(host) ?? startedAt) <= reconnectLimitMs,
		isLost(group, now) {
			const holder = groups.findGroup(group)?.holder;
			return lostProcesses.some(
				({host, at}) => host === holder && now - at > reconnectLimitMs,
			);
		},
		listPlaces,
		listSuperseded(tokens, arrivedAt) {
			const lostAt = lostProcesses
				.map(({at}) => at)
				.findLast((at) => arrivedAt - at <= callerResendLimitMs);
			return tokens.flatMap(([group, token]) => {
				const known = groups.findGroup(group)?.state.token ?? token;
				return lostAt === undefined || known >= token
					? []
					: makePlace(group, [known, token], lostAt);
			});
		},
		findPlace(group, arrivedAt) {
			let found: CopyPlace | undefined;
			for (const place of listPlaces(arrivedAt)) {
				found = place.group === group ? joinPlaces(found, place) : found;
			}

			return found;
		},
	};
}
