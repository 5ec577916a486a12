/**
A token bucket: so many at once, so many a second after that.
*/

export type RateLimit = {
	perSecond: number;
	/** Tokens that may be taken at once after a quiet time. */
	burst: number;
	/** Monotonic, milliseconds. */
	now: () => number;
};

/** Returns a function that takes a token, or tells in how many milliseconds one is there. */
export function createRateLimit({
	perSecond,
	burst,
	now,
}: RateLimit): () => number {
	let tokens = burst;
	let filledAt = now();
	return () => {
		const time = now();
		tokens = Math.min(burst, tokens + ((time - filledAt) / 1000) * perSecond);
		filledAt = time;
		if (tokens >= 1) {
			tokens--;
			return 0;
		}

		return Math.ceil(((1 - tokens) / perSecond) * 1000);
	};
}
