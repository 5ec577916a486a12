/**
Durations as people write them: `200ms`, `30s`, `5m`, `1h`.
*/

/** Milliseconds in each unit, smallest first. */
const durationUnits: Record<string, number> = {
	ms: 1,
	s: 1000,
	m: 60_000,
	h: 3_600_000,
};

/** Reads a duration as milliseconds; NaN where it is none. */
export function parseDuration(text: string): number {
	return parseWithUnit(text, durationUnits);
}

/** Writes milliseconds in the largest unit that holds them whole: `90000` is `90s`. */
export function formatDuration(ms: number): string {
	const fitting = Object.entries(durationUnits)
		.toReversed()
		.find(([, size]) => ms >= size && ms % size === 0);
	return fitting ? `${ms / fitting[1]}${fitting[0]}` : `${ms}ms`;
}

/** Reads a whole number with one of the units; NaN where it is none. */
export function parseWithUnit(
	text: string,
	units: Record<string, number>,
): number {
	const match = /^(\d{1,12})([A-Za-z]+)$/v.exec(text);
	const unit = Object.hasOwn(units, match?.[2] ?? '')
		? units[match![2]!]!
		: Number.NaN;
	return Number(match?.[1]) * unit;
}
