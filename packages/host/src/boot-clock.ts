/**
A clock that counts the time for which the machine was suspended.

What goes wrong: a machine is suspended for some seconds, its steady clock stands still, and after that it takes what others granted it
before for fresh, although they have long given up on it. The time of day goes on meanwhile, so it runs ahead of the steady clock. It also
does so when it is set forward; then this clock is ahead of the true time, and what goes by it ends too early, never too late.
*/

/** Less than any suspension, and more than two clocks drift apart between two looks. */
const leastSuspendedMs = 25;
/** Looks that follow one another more closely tell nothing new. */
const lookEveryMs = 1;

export type BootClockPorts = {
	/** Milliseconds; never goes back. */
	readSteadyClock: () => number;
	/** Milliseconds since 1970. */
	readWallClock: () => number;
};

/**
@example
const readBootTime = createBootClock({readSteadyClock: () => performance.now(), readWallClock: Date.now});
readBootTime(); // milliseconds, the steady clock's and those that it missed
*/
export function createBootClock({
	readSteadyClock,
	readWallClock,
}: BootClockPorts): () => number {
	let lookedAt = readSteadyClock();
	let lead = readWallClock() - lookedAt;
	let missedMs = 0;
	return () => {
		const now = readSteadyClock();
		if (now - lookedAt >= lookEveryMs) {
			const newLead = readWallClock() - now;
			missedMs += newLead - lead > leastSuspendedMs ? newLead - lead : 0;
			lead = newLead;
			lookedAt = now;
		}

		return now + missedMs;
	};
}
