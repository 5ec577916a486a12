/**
Notices that this process was paused, and that its connections hold what arrived meanwhile.

The failure prevented here: a caller leaves during a pause and submits its job again at another host. The connection of its first request
then holds the request and, behind it, the close. An entry that acts on the request before it has read the close starts tasks that
run elsewhere by now.
*/

/** Shorter pauses leave more than half of the 1,300 ms after which callers submit their jobs again. */
export const longPauseMs = 500;
/** Connections that wait to be accepted when a pause ends are accepted within this time: the event loop accepts one in each pass. */
export const acceptLimitMs = 1000;

export type PauseWatchPorts = {
	/** Milliseconds; also counts the time for which this machine was suspended. */
	readBootTime: () => number;
	/** Calls back once all that this process's accepted connections hold at the time of the call has been read and handled. */
	waitForReads: (onRead: () => void) => void;
	/** All that the accepted connections held after a pause has been read. */
	onCaughtUp: () => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export type PauseWatch = {
	/** The event loop runs; to be called at least each 100 ms, by a timer. */
	markRunning: () => void;
	/** Connections that have waited to be accepted for up to `ms` are accepted from now on. */
	markUnaccepted: (ms: number) => void;
	/** Whether this process has yet to read what its connections held after a pause. */
	isCatchingUp: () => boolean;
	/**
	Longest time for which a request that is read now may have lain unread, milliseconds; 0: no pause delayed it. `requestsBefore`:
	number of earlier requests on its connection.
	*/
	measureUnreadMs: (requestsBefore: number) => number;
};

export function createPauseWatch({
	readBootTime,
	waitForReads,
	onCaughtUp,
	log,
}: PauseWatchPorts): PauseWatch {
	let ranAt = readBootTime();
	/** Start of the pause that this process is catching up with, or of the first of several. */
	let pausedSince: number | undefined;
	/** The same for connections that have yet to be accepted, and until when some may be. */
	let unaccepted = {since: ranAt, until: ranAt};
	let pauseCount = 0;

	function markUnaccepted(since: number): void {
		const now = readBootTime();
		unaccepted = {
			since: now < unaccepted.until ? Math.min(unaccepted.since, since) : since,
			until: now + acceptLimitMs,
		};
	}

	function startCatchingUp(since: number): void {
		pauseCount += 1;
		const pause = pauseCount;
		pausedSince = Math.min(pausedSince ?? since, since);
		waitForReads(() => {
			// After a later pause, its own reads have to end.
			if (pause === pauseCount) {
				pausedSince = undefined;
				onCaughtUp();
			}
		});
	}

	function checkPause(): void {
		const now = readBootTime();
		const pausedMs = now - ranAt;
		if (pausedMs <= longPauseMs) {
			return;
		}

		const since = ranAt;
		ranAt = now;
		log('requests may have waited while this host was paused', {
			pausedMs: Math.round(pausedMs),
		});
		markUnaccepted(since);
		startCatchingUp(since);
	}

	return {
		markRunning() {
			checkPause();
			ranAt = readBootTime();
		},
		markUnaccepted(ms) {
			markUnaccepted(readBootTime() - ms);
		},
		isCatchingUp() {
			checkPause();
			return pausedSince !== undefined;
		},
		measureUnreadMs(requestsBefore) {
			checkPause();
			const now = readBootTime();
			const mayBeUnaccepted = requestsBefore === 0 && now < unaccepted.until;
			const since = mayBeUnaccepted ? unaccepted.since : (pausedSince ?? now);
			return now - since;
		},
	};
}
