import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	computePingInterval,
	computeSilenceLimit,
	findUnansweredPing,
	isPingDue,
	isPongOverdue,
	silenceTimeoutMs,
} from './heartbeat.js';

const options = {pingIntervalMs: 900, longestPingIntervalMs: 10_000};
const ownLimitMs = computeSilenceLimit(options);

/** Pings a minute that a host sends to its peers, of which so many are urgent. */
function countPings(peers: number, urgentPeers: number): number {
	let count = 0;
	for (let peer = 0; peer < peers; peer += 1) {
		const intervalMs = computePingInterval(
			peer < urgentPeers ? 900 : 10_000,
			options,
			ownLimitMs,
		);
		let lastReceivedAt = 0;
		for (let now = 0; now < 60_000; now += 900) {
			if (isPingDue({lastReceivedAt, pingedAt: 0}, intervalMs, now)) {
				lastReceivedAt = now;
				count += 1;
			}
		}
	}

	return count;
}

// Pattern: 97 hosts in five data centres that are all connected, no job under way. When every
// connection was pinged as often, pings took more processor time than all jobs together.
test('97 hosts without jobs send no more pings each than 20 hosts that ping all', () => {
	assert.ok(countPings(96, 5) <= countPings(19, 19));
});

// Guards against callers that wait for a holder behind a dead connection: it is closed as soon as
// before rare pings were introduced.
test('a silent connection that callers wait for is noticed within the time-out', () => {
	const lastReceivedAt = 0;
	const intervalMs = computePingInterval(900, options, ownLimitMs);
	let pingedAt: number | undefined;
	let closedAt: number | undefined;
	for (let now = 0; closedAt === undefined && now < 10_000; now += 180) {
		const activity = {lastReceivedAt, pingedAt};
		if (isPongOverdue(activity, options, now)) {
			closedAt = now;
		}

		if (now % 900 === 0 && isPingDue(activity, intervalMs, now)) {
			pingedAt ??= now;
		}
	}

	assert.ok(closedAt! <= silenceTimeoutMs + 180, `${closedAt} ms`);
});

// A connection that was idle for ten seconds becomes one that callers wait for. Guards against
// closing it before its peer can answer the first ping.
test('a connection that was idle for long stays open until a ping goes unanswered', () => {
	const activity = {lastReceivedAt: 0, pingedAt: undefined};
	assert.equal(isPongOverdue(activity, options, 9900), false);
	const pinged = {lastReceivedAt: 0, pingedAt: 9900};
	assert.equal(isPongOverdue(pinged, options, 10_900), false);
	assert.equal(isPongOverdue(pinged, options, 11_100), true);
	const answered = {lastReceivedAt: 9910, pingedAt: 9900};
	assert.equal(isPongOverdue(answered, options, 12_000), false);
});

// A host of an earlier version closes a connection after two seconds without a byte. Guards against
// connections that break again and again while versions are mixed.
test('a peer that does not say how long it waits is pinged often enough for two seconds', () => {
	assert.equal(computePingInterval(10_000, options), 900);
	assert.equal(computePingInterval(10_000, options, ownLimitMs), 10_000);
	assert.equal(computePingInterval(10_000, options, 5000), 2400);
});

// A host resumes after a pause. Guards against closing all its idle connections, whose last pings
// were answered long ago, as if those pings still waited for their answers.
test('a ping whose answer has arrived is not waited for any more', () => {
	assert.equal(
		findUnansweredPing({lastReceivedAt: 9910, pingedAt: 9900}),
		undefined,
	);
	assert.equal(
		findUnansweredPing({lastReceivedAt: 9000, pingedAt: 9900}),
		9900,
	);
	assert.equal(
		findUnansweredPing({lastReceivedAt: 0, pingedAt: undefined}),
		undefined,
	);
});
