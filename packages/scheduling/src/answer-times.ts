/**
Derives the time-out of calls to executors from how long their answers take.

An executor may leave a call unanswered. The task, or the report of its end, is held up until the caller notices the
loss, so the time-out should be short. It is estimated from the answers that do arrive: short while they are fast,
longer while this host or the network is slow.
*/
import {maxCallTimeoutMs} from './timing.js';

/**
A busy host pauses for up to this long. With a shorter time-out, answers received but not yet read would count as
lost.
*/
const minTimeoutMs = 40;
/** Weights of a new sample in the moving mean and deviation, as in TCP's retransmission timer. */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviationFactor = 4;
/**
After this many lost answers in a row the estimate is taken to be too short: the longest time-out applies until one
arrives.
*/
const maxLossesInRow = 3;

export type AnswerTimes = {
	/** A call was answered, or failed, within the time-out. `tookMs`: how long that took. */
	recordAnswer: (tookMs: number) => void;
	/** A call had no answer within the time-out. */
	recordLoss: () => void;
	/** The time-out, milliseconds. */
	getTimeoutMs: () => number;
};

/**
@example
const times = createAnswerTimes();
times.recordAnswer(2);
times.getTimeoutMs(); // 40: the minimum
*/
export function createAnswerTimes(): AnswerTimes {
	let meanMs: number | undefined;
	let deviationMs = 0;
	let lossesInRow = 0;
	return {
		recordAnswer(tookMs) {
			lossesInRow = 0;
			const errorMs = tookMs - (meanMs ?? tookMs);
			meanMs = (meanMs ?? tookMs) + meanWeight * errorMs;
			deviationMs += deviationWeight * (Math.abs(errorMs) - deviationMs);
		},
		recordLoss() {
			lossesInRow += 1;
		},
		getTimeoutMs() {
			if (meanMs === undefined || lossesInRow >= maxLossesInRow) {
				return maxCallTimeoutMs;
			}

			const timeoutMs = meanMs + deviationFactor * deviationMs;
			return Math.min(maxCallTimeoutMs, Math.max(minTimeoutMs, timeoutMs));
		},
	};
}
