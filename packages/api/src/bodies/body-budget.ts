/**
Memory for request bodies that are being read, all requests together. When it is used up, the body that holds the most of it is
refused, so that a flood of large bodies, or of bodies that stop short of their end, does not lock out ordinary ones.
*/

export type BodyLease = {
	/** Notes how many bytes the body holds now. `false`: it was refused, now or before. */
	resize: (bytes: number) => boolean;
	/** Gives all of it back. */
	release: () => void;
};

export type BodyBudget = {
	/** `onRefused` is called when the body has to give its memory back. */
	openLease: (onRefused: () => void) => BodyLease;
};

type Holding = {bytes: number; onRefused: () => void};

/** Makes a budget of so many bytes. */
export function createBodyBudget(maxBytes: number): BodyBudget {
	const holdings = new Set<Holding>();
	let usedBytes = 0;

	function remove(holding: Holding): void {
		if (holdings.delete(holding)) {
			usedBytes -= holding.bytes;
		}
	}

	/** Of bodies of the same size the one that asks for more is refused: the others are nearer to their end. */
	function findLargest(asking: Holding): Holding {
		let largest = asking;
		for (const holding of holdings) {
			if (holding.bytes > largest.bytes) {
				largest = holding;
			}
		}

		return largest;
	}

	return {
		openLease(onRefused) {
			const holding: Holding = {bytes: 0, onRefused};
			holdings.add(holding);
			return {
				resize(bytes) {
					if (!holdings.has(holding)) {
						return false;
					}

					usedBytes += bytes - holding.bytes;
					holding.bytes = bytes;
					while (usedBytes > maxBytes) {
						const largest = findLargest(holding);
						remove(largest);
						largest.onRefused();
					}

					return holdings.has(holding);
				},
				release() {
					remove(holding);
				},
			};
		},
	};
}
