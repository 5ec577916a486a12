/**
How long executors' answers take, and so when one that has not come counts as lost.

For executors that leave some orders unanswered: each lost one holds a task, or the word of its end, until it is noticed. Counted from
the answers that come, the bound is short while they come at once, and grows when this host or the way there is slow.
*/
import {orderTimeoutMs} from './timing.js';

/** Shorter than a busy host's pause it would call answers lost that lie unread. */
const leastLimitMs = 40;
/** Weights of one more answer in the mean and in the deviation, as for the retransmission of TCP. */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviations = 4;
/** So many calls in a row without an answer are no chance: the bound grows until one comes. */
const lostInRow = 3;

export type AnswerTimes = {
	note: (tookMs: number) => void;
	/** A call had no answer within the bound. */
	noteLost: () => void;
	/** Milliseconds after which an answer counts as lost. */
	getLimitMs: () => number;
};

/**
@example
const times = createAnswerTimes();
times.note(2);
times.getLimitMs(); // 40: never less
*/
export function createAnswerTimes(): AnswerTimes {
	let mean: number | undefined;
	let deviation = 0;
	let lost = 0;
	return {
		note(tookMs) {
			lost = 0;
			const error = tookMs - (mean ?? tookMs);
			mean = (mean ?? tookMs) + meanWeight * error;
			deviation += deviationWeight * (Math.abs(error) - deviation);
		},
		noteLost() {
			lost += 1;
		},
		getLimitMs() {
			if (mean === undefined || lost >= lostInRow) {
				return orderTimeoutMs;
			}

			const limit = mean + deviations * deviation;
			return Math.min(orderTimeoutMs, Math.max(leastLimitMs, limit));
		},
	};
}
