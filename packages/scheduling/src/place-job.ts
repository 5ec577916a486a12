/**
Which groups a job's tasks go to, and whether the job is refused at once.

For wide jobs on thin groups, and for one data centre that is fuller than the others: tasks go
where they can start now, the entry's own data centre first, and only what finds no room anywhere
waits, where the wait is shortest. Work is shifted before it is refused. A job is refused only
when the shortest wait anywhere would end it too late to be of use to its caller.
*/
import {countFits, takeFits} from './room.js';

export type GroupRoom = {
	group: string;
	/** Free thousandths of a core of each open executor. */
	free: readonly number[];
	capacity: number;
	/** Waiting work by priority, thousandths of a core times milliseconds. */
	backlog: readonly number[];
};

export type SpreadRequest = {
	count: number;
	cpu: number;
	priority: number;
	estimateMs: number;
	/** The entry's own data centre. */
	home: string;
	/** The job is of no use if it ends later than this from now. */
	limitMs: number;
};

export type Spread =
	| {type: 'placed'; shares: Map<string, number>}
	| {type: 'refused'; retryAfterMs: number; waitMs: number};

/** How long work of a priority waits at a group, milliseconds: what goes before it, over what the group does at once. */
export function estimateWaitMs(
	{free, capacity, backlog}: GroupRoom,
	{cpu, priority, estimateMs}: SpreadRequest,
): number {
	if (countFits(free, cpu) > 0) {
		return 0;
	}

	if (capacity <= 0) {
		return Infinity;
	}

	let ahead = 0;
	for (let level = 0; level <= priority && level < backlog.length; level += 1) {
		ahead += backlog[level]!;
	}

	// Something of about this size ends, on average, after half of its time.
	return ahead / capacity + estimateMs / 2;
}

export function placeJob(
	rooms: readonly GroupRoom[],
	request: SpreadRequest,
): Spread {
	const shares = new Map<string, number>();
	const ranked = rankRooms(rooms, request);
	let left = request.count;
	for (const room of ranked) {
		const fits = Math.min(left, countFits(room.free, request.cpu));
		if (fits > 0) {
			shares.set(room.group, fits);
			left -= fits;
		}
	}

	if (left === 0) {
		return {type: 'placed', shares};
	}

	const waits = ranked
		.map((room) => ({
			room,
			waitMs: estimateWaitMs(
				{
					...room,
					free: takeFits(room.free, request.cpu, shares.get(room.group) ?? 0),
				},
				request,
			),
		}))
		.toSorted((a, b) => a.waitMs - b.waitMs);
	const shortest = waits[0];
	if (!shortest || shortest.waitMs + request.estimateMs > request.limitMs) {
		const waitMs = shortest?.waitMs ?? Infinity;
		return {type: 'refused', waitMs, retryAfterMs: waitMs};
	}

	setWaitingShares(shares, waits, left);
	return {type: 'placed', shares};
}

/** Own data centre first, then the emptiest. */
function rankRooms(
	rooms: readonly GroupRoom[],
	{home, cpu}: SpreadRequest,
): GroupRoom[] {
	return rooms.toSorted((a, b) => {
		const homeFirst = Number(b.group === home) - Number(a.group === home);
		return homeFirst === 0
			? countFits(b.free, cpu) - countFits(a.free, cpu)
			: homeFirst;
	});
}

/** What waits goes to all groups in proportion to what they do at once, the shortest wait first. */
function setWaitingShares(
	shares: Map<string, number>,
	waits: ReadonlyArray<{room: GroupRoom; waitMs: number}>,
	tasks: number,
): void {
	const usable = waits.filter(
		({waitMs}) => waitMs <= waits[0]!.waitMs * 1.5 + 1,
	);
	const capacity = usable.reduce((sum, {room}) => sum + room.capacity, 0);
	let left = tasks;
	for (const {room} of usable) {
		const share = Math.min(
			left,
			Math.ceil((tasks * room.capacity) / Math.max(1, capacity)),
		);
		shares.set(room.group, (shares.get(room.group) ?? 0) + share);
		left -= share;
	}
}
