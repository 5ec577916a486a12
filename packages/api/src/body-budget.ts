/**
Memory for bodies that are being read, all requests together.

What goes wrong: thousands of callers (or one in malice) send the largest legal body at once, or
most of one and then nothing. Each is within its limit; together they fill the host's memory and
it dies with all its jobs. One would notice by the resident memory just before. Here what a body
holds beyond a small share of its own is taken from one budget, and a body that finds none left
is refused. Usual submissions stay within their share, so such a flood does not lock them out.
*/

/** Bytes each body may hold without asking: a job of 1,700 tasks of 150 bytes. */
const ownShareBytes = 256 * 1024;
/** Bodies of the largest legal size that may be read at once. */
const largestAtOnce = 8;

export type BodyLease = {
	/** Notes that the body has grown; false when there is no memory left for it. */
	extend: (totalBytes: number) => boolean;
	/** Gives all of it back. */
	release: () => void;
};

/** Makes the budget of one host, whose bodies are at most `limit` bytes each. */
export function createBodyBudget(limit: number) {
	let leftBytes = limit * largestAtOnce;
	return {
		openLease(): BodyLease {
			let takenBytes = 0;
			return {
				extend(totalBytes) {
					const more = Math.max(0, totalBytes - ownShareBytes) - takenBytes;
					if (more > leftBytes) {
						return false;
					}

					leftBytes -= more;
					takenBytes += more;
					return true;
				},
				release() {
					leftBytes += takenBytes;
					takenBytes = 0;
				},
			};
		},
	};
}

export type BodyBudget = ReturnType<typeof createBodyBudget>;
