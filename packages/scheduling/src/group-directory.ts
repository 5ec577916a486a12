/**
What a host knows about each group: its holder (the host whose scheduler runs the group's executors at present), since when the holder
has been silent, and how much free capacity the group has.
*/
import {type GroupState} from '@gentianshift/protocol';
import {type OpenGroup} from './place-job.js';
import {countFits, takeFits} from './free-capacity.js';
import {stateLateMs, stateStaleMs} from './timing.js';

export type KnownGroup = {
	state: GroupState;
	/** Key of the host that holds the group. */
	holder: string;
	/** When the holder's last state arrived; set to an earlier time if its connection has broken since. */
	lastHeardAt: number;
	/** When this host received the state, which is later than the holder sent it. */
	receivedAt: number;
	/** Free thousandths of a core of each executor, less the tasks sent there since the state arrived. */
	free: number[];
};

export type GroupDirectory = {
	/** Stores a holder's state unless a newer one is known; returns whether the group's holder or its token has changed. */
	update: (holder: string, state: GroupState, now: number) => boolean;
	findGroup: (group: string) => KnownGroup | undefined;
	list: () => KnownGroup[];
	/** Subtracts tasks sent to a group from its free capacity, until its next state arrives. */
	takeCapacity: (group: string, cpu: number, tasks: number) => void;
	/**
	Reserves free capacity for tasks of that size in groups other than `group`, those of its data centre first; returns
	for how many tasks.
	*/
	takeElsewhere: (
		request: {group: string; dataCentre: string; cpu: number; tasks: number},
		now: number,
	) => number;
	/**
	The groups in which new tasks may be placed, with their free capacity and load. A holder that has just died or is cut off is
	silent for some tenths of a second before it counts as gone. Tasks sent to it in that time come back too late for jobs with short objectives. So a group
	from which states are missing is listed with no free capacity, and is used only if no other group has any.
	*/
	listOpen: (now: number) => OpenGroup[];
	/** Whether groups are known, and the data centres of all of them are evacuated: no task can be placed anywhere. */
	areAllEvacuated: () => boolean;
	/** One line of text about each group, for the log. */
	describe: (now: number) => string[];
	/** The connection to a holder broke: its groups count as silent unless its next state arrives within half of the usual time. */
	markDoubtful: (holder: string, now: number) => void;
};

/** The data centre of the group's executors. Hosts of an earlier build have one group a data centre, of the same name. */
export function getDataCentre({
	dataCentre,
	group,
}: Pick<GroupState, 'dataCentre' | 'group'>): string {
	return dataCentre ?? group;
}

export function isSilent({lastHeardAt}: KnownGroup, now: number): boolean {
	return now - lastHeardAt > stateStaleMs;
}

/**
Whether the state is from an earlier holder, or was overtaken by a newer state on a newer connection. Should two hosts ever have the
same token, all hosts regard the same one of them as the holder, and the other gives the group up.
*/
function isOutdated(
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

export type GroupDirectoryOptions = {
	/** Whether no task may be started in this data centre; absent: that is not known of any. */
	isEvacuated?: (group: string) => boolean;
};

export function createGroupDirectory({
	isEvacuated = () => false,
}: GroupDirectoryOptions = {}): GroupDirectory {
	const groups = new Map<string, KnownGroup>();
	const directory: GroupDirectory = {
		update(holder, state, now) {
			const known = groups.get(state.group);
			if (known && isOutdated(holder, state, known)) {
				return false;
			}

			const isNew =
				known?.state.token !== state.token || known.holder !== holder;
			groups.set(state.group, {
				state,
				holder,
				lastHeardAt: now,
				receivedAt: now,
				free: [...state.free],
			});
			return isNew;
		},
		findGroup: (group) => groups.get(group),
		list: () => [...groups.values()],
		takeCapacity(group, cpu, tasks) {
			const known = groups.get(group);
			if (known) {
				known.free = takeFits(known.free, cpu, tasks);
			}
		},
		takeElsewhere({group: own, dataCentre, cpu, tasks}, now) {
			const others = directory
				.listOpen(now)
				.filter(({group}) => group !== own)
				.toSorted(
					(a, b) =>
						Number(b.dataCentre === dataCentre) -
						Number(a.dataCentre === dataCentre),
				);
			let taken = 0;
			for (const {group, free} of others) {
				const fits = Math.min(tasks - taken, countFits(free, cpu));
				directory.takeCapacity(group, cpu, fits);
				taken += fits;
			}

			return taken;
		},
		listOpen: (now) =>
			[...groups.values()]
				.filter(
					(known) =>
						!isSilent(known, now) &&
						!known.state.isReleased &&
						!isEvacuated(getDataCentre(known.state)) &&
						known.state.capacity > 0,
				)
				.map(({state, free, lastHeardAt}) => ({
					group: state.group,
					dataCentre: getDataCentre(state),
					free: now - lastHeardAt > stateLateMs ? [] : free,
					capacity: state.capacity,
					backlog: state.backlog,
					lateBacklog: state.lateBacklog,
					running: state.running,
					finished: state.finished,
					labels: state.labels,
				})),
		areAllEvacuated: () =>
			groups.size > 0 &&
			[...groups.values()].every(({state}) =>
				isEvacuated(getDataCentre(state)),
			),
		describe: (now) =>
			[...groups.values()].map(({state, holder, lastHeardAt, free}) => {
				const ageMs = Math.round(now - lastHeardAt);
				const released = state.isReleased ? ' released' : '';
				const evacuated = isEvacuated(getDataCentre(state)) ? ' evacuated' : '';
				return `${state.group}: ${holder} token ${state.token}${released}${evacuated}, last state ${ageMs} ms ago, ${free.length} executors open, capacity ${state.capacity}`;
			}),
		markDoubtful(holder, now) {
			for (const known of groups.values()) {
				if (known.holder === holder) {
					known.lastHeardAt = Math.min(
						known.lastHeardAt,
						now - stateStaleMs / 2,
					);
				}
			}
		},
	};
	return directory;
}
