/**
Which of two copies of a job counts: the one that was taken later by its entry's time of day, then by the entry's name. Everybody
who compares two copies comes to the same result, so that two entries never both give way, or both go on.
*/

export type CopyStamp = {
	/** The process of the entry: `<host key>.<incarnation>`. */
	entry: string;
	/** Milliseconds since 1970, by the entry's clock. */
	takenAtMs: number;
};

/** Whether the first copy goes before the second, which is another entry's. */
export function isLaterCopy(copy: CopyStamp, other: CopyStamp): boolean {
	if (copy.entry === other.entry) {
		return false;
	}

	return copy.takenAtMs === other.takenAtMs
		? copy.entry > other.entry
		: copy.takenAtMs > other.takenAtMs;
}
