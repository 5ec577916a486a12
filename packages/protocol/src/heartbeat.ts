/**
When a host pings a connection that it dialled, and when a connection counts as silent.

A device between two hosts can lose track of a connection: it stays open and no bytes arrive. Connections that
callers wait for are pinged often. With hundreds of hosts, most connections carry nothing for minutes; pinging all of
them as often costs more processor time than all jobs together, so they are pinged rarely.
*/

/** A connection that callers may wait for is closed when no bytes have arrived on it for this long. */
export const silenceTimeoutMs = 2000;
/** Time that a pong may take beyond the usual, in limits that are told to a peer. */
const pongMarginMs = 200;

export type HeartbeatOptions = {
	/** Interval between pings on a connection that callers may wait for. */
	pingIntervalMs: number;
	/** Longest interval between pings on any connection. */
	longestPingIntervalMs: number;
};

/** What arrived and was sent last on a dialled connection; monotonic milliseconds. */
export type LinkActivity = {
	lastReceivedAt: number;
	/** When the last ping was sent that was not a repeated one; undefined: none was. */
	pingedAt: number | undefined;
};

/** How long this host keeps an accepted connection without received bytes: two pings may be missed. */
export function computeSilenceLimit({
	longestPingIntervalMs,
}: HeartbeatOptions): number {
	return Math.max(silenceTimeoutMs, 2 * longestPingIntervalMs + pongMarginMs);
}

/**
The wanted interval between pings, as far as the peer allows: it keeps silent connections for `silenceLimitMs`, as its
hello says.
*/
export function computePingInterval(
	wantedMs: number,
	{pingIntervalMs, longestPingIntervalMs}: HeartbeatOptions,
	silenceLimitMs = silenceTimeoutMs,
): number {
	const allowedMs = (silenceLimitMs - pongMarginMs) / 2;
	return Math.max(
		pingIntervalMs,
		Math.min(wantedMs, longestPingIntervalMs, allowedMs),
	);
}

export function isPingDue(
	{lastReceivedAt}: LinkActivity,
	intervalMs: number,
	now: number,
): boolean {
	return now - lastReceivedAt >= intervalMs;
}

/** When the first ping was sent that no bytes have followed; undefined: none waits for its answer. */
export function findUnansweredPing({
	lastReceivedAt,
	pingedAt,
}: LinkActivity): number | undefined {
	return pingedAt !== undefined && lastReceivedAt <= pingedAt
		? pingedAt
		: undefined;
}

/** Whether a ping has gone unanswered for so long that the connection counts as silent. */
export function isPongOverdue(
	activity: LinkActivity,
	{pingIntervalMs}: HeartbeatOptions,
	now: number,
): boolean {
	const pingedAt = findUnansweredPing(activity);
	return (
		pingedAt !== undefined && now - pingedAt > silenceTimeoutMs - pingIntervalMs
	);
}
