/**
Which of two copies of a job is to run: the one that its entry accepted later by its wall clock; if both are equal, the one whose
entry has the greater name. Every host that compares two copies gets the same result, so it never happens that both entries give
up their copies, or that both continue.
*/

export type CopyStamp = {
	/** The process of the entry: `<host key>.<incarnation>`. */
	entry: string;
	/** When the entry accepted the job: milliseconds since 1970, by its wall clock. */
	takenAtMs: number;
};

/** Whether `copy` replaces `other`. False when both belong to the same entry process. */
export function isLaterCopy(copy: CopyStamp, other: CopyStamp): boolean {
	if (copy.entry === other.entry) {
		return false;
	}

	return copy.takenAtMs === other.takenAtMs
		? copy.entry > other.entry
		: copy.takenAtMs > other.takenAtMs;
}
