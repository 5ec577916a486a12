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
const resendLimitMs = 300;
/** By then a broken connection is back, if the host is alive and reachable. */
const redialLimitMs = 100;

type Loss = {
	host: string;
	incarnation: string;
	/** When the process was last known to be alive. */
	at: number;
	/** Groups that could not be reached at that time: those that the host held, and those whose holders were silent. */
	places: CopyPlace[];
};

export type LostHolders = {
	/** The connection to a host's process broke; `at`: when that process was last known to be alive. */
	markBroken: (host: string, incarnation: string, at: number) => void;
	/** A connection to the host is back. Only the same process as before knows what it started, so a new process does not clear the loss. */
	markBack: (host: string, incarnation: string) => void;
	/** Whether the connection to the host is still within the time in which it is normally re-established. */
	isRedialled: (host: string, now: number) => boolean;
	/** Whether the connection to the group's holder broke and was not re-established in time. */
	isLost: (group: string, now: number) => boolean;
	/** Where lost hosts may have had tasks of a job that arrived here at `arrivedAt`. */
	listPlaces: (arrivedAt: number) => CopyPlace[];
	/**
	Likewise in groups whose token, as another entry reports it, is later than the one known here: the holder known here can't
	tell whether a copy runs.
	*/
	listOutdated: (
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
	const overAt = lostAt + orphanLimitMs + clockSlackMs;
	return {group, tokens, overAt, isSure: false};
}

export function createLostHolders(
	groups: GroupDirectory,
	startedAt: number,
): LostHolders {
	let losses: Loss[] = [];
	const brokenAt = new Map<string, number>();

	function listUnreached(lostHost: string, at: number): CopyPlace[] {
		return groups
			.list()
			.filter((known) => known.holder === lostHost || isSilent(known, at))
			.map(({state: {group, token}}) => makePlace(group, [token, token], at));
	}

	function listPlaces(arrivedAt: number): CopyPlace[] {
		return losses.flatMap(({at, places}) =>
			arrivedAt - at <= resendLimitMs ? places : [],
		);
	}

	return {
		markBroken(host, incarnation, at) {
			brokenAt.set(host, at);
			losses = losses.filter(({places}) =>
				places.some(({overAt}) => at < overAt),
			);
			losses.push({host, incarnation, at, places: listUnreached(host, at)});
		},
		markBack(host, incarnation) {
			brokenAt.delete(host);
			losses = losses.filter(
				(loss) => loss.host !== host || loss.incarnation !== incarnation,
			);
		},
		isRedialled: (host, now) =>
			now - (brokenAt.get(host) ?? startedAt) <= redialLimitMs,
		isLost(group, now) {
			const holder = groups.findGroup(group)?.holder;
			return losses.some(
				({host, at}) => host === holder && now - at > redialLimitMs,
			);
		},
		listPlaces,
		listOutdated(tokens, arrivedAt) {
			const lostAt = losses
				.map(({at}) => at)
				.findLast((at) => arrivedAt - at <= resendLimitMs);
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
