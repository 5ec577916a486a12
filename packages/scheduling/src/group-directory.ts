/**
What a host knows of the groups: who schedules each, since when it is silent, how much room it has.
*/
import {type GroupState} from '@gentianshift/protocol';
import {type GroupRoom} from './place-job.js';
import {countFits, takeFits} from './room.js';
import {stateDoubtMs, stateStaleMs} from './timing.js';

export type KnownGroup = {
	state: GroupState;
	/** The holder's host. */
	holder: string;
	/** When it last told its state; earlier where its connection has broken since. */
	heardAt: number;
	/** When this host read the state: later than the holder told it. */
	readAt: number;
	/** Free processor, less what was sent there since. */
	free: number[];
};

export type GroupDirectory = {
	/** Takes a holder's word, unless a newer one is known; true when the holder is another, or its token rose. */
	update: (holder: string, state: GroupState, now: number) => boolean;
	findGroup: (group: string) => KnownGroup | undefined;
	list: () => KnownGroup[];
	/** Notes tasks sent to a group, until its next word. */
	take: (group: string, cpu: number, tasks: number) => void;
	/** Takes free room for tasks of that size in other groups than this one; gives for how many. */
	takeElsewhere: (
		request: {home: string; cpu: number; tasks: number},
		now: number,
	) => number;
	/**
	Groups that new tasks may go to. A holder that has just died or is cut off is silent for some
	tenths of a second before it counts as gone; tasks sent to it meanwhile come back too late for
	jobs of short objectives. So one whose words are missing offers no free room, and is
	taken only where nobody else has any.
	*/
	listRooms: (now: number) => GroupRoom[];
	/** What is known of each group, for the log. */
	describe: (now: number) => string[];
	/** A holder's connection broke: it is given half of the usual time to be heard again. */
	markDoubtful: (holder: string, now: number) => void;
};

export function isSilent({heardAt}: KnownGroup, now: number): boolean {
	return now - heardAt > stateStaleMs;
}

/**
Told by an earlier holder, or overtaken by a word that came on a newer connection. Should two hosts ever have one token, all take the
same one for the holder, and the other gives way.
*/
function isOlder(
	holder: string,
	state: GroupState,
	known: KnownGroup,
): boolean {
	if (state.token !== known.state.token) {
		return state.token < known.state.token;
	}

	return holder === known.holder
		? state.at < known.state.at
		: holder < known.holder;
}

export function createGroupDirectory(): GroupDirectory {
	const groups = new Map<string, KnownGroup>();
	const directory: GroupDirectory = {
		update(holder, state, now) {
			const known = groups.get(state.group);
			if (known && isOlder(holder, state, known)) {
				return false;
			}

			const isNew =
				known?.state.token !== state.token || known.holder !== holder;
			groups.set(state.group, {
				state,
				holder,
				heardAt: now,
				readAt: now,
				free: [...state.free],
			});
			return isNew;
		},
		findGroup: (group) => groups.get(group),
		list: () => [...groups.values()],
		take(group, cpu, tasks) {
			const known = groups.get(group);
			if (known) {
				known.free = takeFits(known.free, cpu, tasks);
			}
		},
		takeElsewhere({home, cpu, tasks}, now) {
			let taken = 0;
			for (const {group, free} of directory.listRooms(now)) {
				if (group !== home) {
					const fits = Math.min(tasks - taken, countFits(free, cpu));
					directory.take(group, cpu, fits);
					taken += fits;
				}
			}

			return taken;
		},
		listRooms: (now) =>
			[...groups.values()]
				.filter(
					(known) =>
						!isSilent(known, now) &&
						!known.state.isReleased &&
						known.state.capacity > 0,
				)
				.map(({state, free, heardAt}) => ({
					group: state.group,
					free: now - heardAt > stateDoubtMs ? [] : free,
					capacity: state.capacity,
					backlog: state.backlog,
					lateBacklog: state.lateBacklog,
					running: state.running,
				})),
		describe: (now) =>
			[...groups.values()].map(({state, holder, heardAt, free}) => {
				const ageMs = Math.round(now - heardAt);
				const released = state.isReleased ? ' released' : '';
				return `${state.group}: ${holder} token ${state.token}${released}, told ${ageMs} ms ago, ${free.length} open, capacity ${state.capacity}`;
			}),
		markDoubtful(holder, now) {
			for (const known of groups.values()) {
				if (known.holder === holder) {
					known.heardAt = Math.min(known.heardAt, now - stateStaleMs / 2);
				}
			}
		},
	};
	return directory;
}
