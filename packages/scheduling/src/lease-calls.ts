/**
When the calls that extend an executor's lease were carried out, at the latest. An executor shortens each lease to a maximum of
its own clock, so this bounds the lease also where another process than the known one, with another clock, has answered.
*/
import {clockSlackMs, longestLeaseMs} from './timing.js';
import {lateStartLimitMs} from './unanswered-starts.js';

export type LeaseCalls = {
	/** A call that extends the lease was answered, whatever the answer says. */
	noteAnswered: (now: number) => void;
	/** A call that extends the lease had no answer: it may be carried out later, and extend the lease once more. */
	noteUnanswered: (now: number) => void;
	/** The lease has passed at each process that may have answered one of the calls. */
	hasPassedEverywhere: (now: number) => boolean;
};

/**
@example
const calls = createLeaseCalls();
calls.noteAnswered(100);
calls.hasPassedEverywhere(1100); // false
calls.hasPassedEverywhere(1200); // true
*/
export function createLeaseCalls(): LeaseCalls {
	let answeredAt = -Infinity;
	let unansweredAt: number[] = [];
	return {
		noteAnswered(now) {
			answeredAt = now;
		},
		noteUnanswered(now) {
			unansweredAt.push(now);
		},
		hasPassedEverywhere(now) {
			unansweredAt = unansweredAt.filter((at) => now - at <= lateStartLimitMs);
			const leases = 1 + unansweredAt.length;
			return now > answeredAt + leases * (longestLeaseMs + clockSlackMs);
		},
	};
}
