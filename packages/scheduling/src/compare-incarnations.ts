/**
Tells processes of an executor apart that have the same id.
*/

/**
How a process that started at `bornMs` relates to the known one. `unknown`: one of the two start times is not stated, and
the id alone tells processes apart.
*/
export function compareIncarnations(
	bornMs: number | undefined,
	knownBornMs: number | undefined,
): 'earlier' | 'same' | 'later' | 'unknown' {
	if (bornMs === undefined || knownBornMs === undefined) {
		return 'unknown';
	}

	if (bornMs === knownBornMs) {
		return 'same';
	}

	return bornMs < knownBornMs ? 'earlier' : 'later';
}
