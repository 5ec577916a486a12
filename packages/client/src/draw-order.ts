/**
Random order, for spreading load. Not for ids.
*/

/** Returns the items in random order (Fisher-Yates). */
export function drawOrder<T>(items: Iterable<T>): T[] {
	const drawn = [...items];
	for (let i = drawn.length - 1; i > 0; i--) {
		const j = Math.floor(Math.random() * (i + 1));
		[drawn[i], drawn[j]] = [drawn[j]!, drawn[i]!];
	}

	return drawn;
}
