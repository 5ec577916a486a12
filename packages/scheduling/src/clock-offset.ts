/**
When a message was sent, on the receiver's clock, although the two hosts share none.

What goes wrong: a message waits in a connection through a cut and arrives seconds late as if it
were new; work that its sender has long given up would be started. Noticed by comparing the
difference of the two clocks with the least one seen lately on the same connection, which a message
without delay gives. Only lately: a sender's steady clock stands still while its machine is
suspended, and what it sends afterwards would look late for ever.
*/

/** Longer than a silent connection is kept, so that a held-up message always meets an older sample. */
const windowMs = 3000;

export type ClockOffset = {
	/** The moment on the receiver's clock at which a message was sent. */
	toOwnClock: (sentAt: number, now: number) => number;
};

/**
@example
const offset = createClockOffset();
offset.toOwnClock(100, 1100); // 1100: the first message counts as without delay
offset.toOwnClock(200, 1700); // 1200: this one took half a second
*/
export function createClockOffset(): ClockOffset {
	let previous = Infinity;
	let current = Infinity;
	let startedAt = -Infinity;
	return {
		toOwnClock(sentAt, now) {
			if (now - startedAt > windowMs) {
				previous = current;
				current = Infinity;
				startedAt = now;
			}

			current = Math.min(current, now - sentAt);
			return sentAt + Math.min(previous, current);
		},
	};
}
