/**
Holders of groups whose connection broke: what they had started may still run.

What goes wrong: the process that dies is a job's entry and the holder of a group in one, or the entry dies while the holder can't be reached.
The caller sends the job again at once, and nobody is left who knows that tasks of it run under leases that have just been renewed.
*/
import {type TokenRange} from '@gentianshift/protocol';
import {joinPlaces, type CopyPlace} from './copy-check.js';
import {isSilent, type GroupDirectory} from './group-directory.js';
import {clockSlackMs, orphanLimitMs} from './timing.js';

/** A caller whose connection broke has sent its request again by then. */
const resendLimitMs = 300;
/** By then a connection that broke is back, where the host lives and is in reach. */
const redialLimitMs = 100;

type Loss = {
	host: string;
	incarnation: string;
	at: number;
	/** Groups that could not be reached from then on. */
	places: CopyPlace[];
};

export type LostHolders = {
	/** The connection to a host's process broke; `at`: when that host was last there for sure. */
	markBroken: (host: string, incarnation: string, at: number) => void;
	/** A connection to the host is back; another process than before does not know what the former one started. */
	markBack: (host: string, incarnation: string) => void;
	/** There may be a connection in a moment. */
	isRedialled: (host: string, now: number) => boolean;
	/** The group's holder is lost, and not in a moment's time back. */
	isLost: (group: string, now: number) => boolean;
	/** Where lost hosts may have had tasks of a job that came at that time. */
	listPlaces: (arrivedAt: number) => CopyPlace[];
	/** Likewise in groups that others know to have a later holder, by its token: the one that is known here can't tell. */
	listOutdated: (
		tokens: ReadonlyArray<[group: string, token: number]>,
		arrivedAt: number,
	) => CopyPlace[];
	/** Where a lost host may have had tasks of a job that came at that time; undefined: not in this group. */
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

	/** Where lost hosts may have had tasks of a job that came at that time. */
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
