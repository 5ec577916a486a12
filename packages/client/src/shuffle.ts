/**
Random order, for spreading load. Not for ids.
*/

/** Shuffles in place (Fisher-Yates) and returns the same array. */
export function shuffleInPlace<T>(items: T[]): T[] {
	for (let i = items.length - 1; i > 0; i--) {
		const j = Math.floor(Math.random() * (i + 1));
		[items[i], items[j]] = [items[j]!, items[i]!];
	}

	return items;
}
