/**
Which entry's copy of a job counts at a scheduler, when the job's caller may have sent it to several.

What goes wrong: a caller's connection is reset while its request is on the way, and its HTTP library sends the request again at once
over a new connection, to another entry. The first entry has not read of the reset yet, and both hand the same tasks to
schedulers: one task runs twice at a time. So the second entry has its job confirmed by every scheduler before it places
tasks. Each of them stops what it has of other copies, answers when nothing of the job runs, and starts no other copy
that reaches it later.
*/
import {type Replace} from '@gentianshift/protocol';
import {type Entry} from './group-job.js';

export type CopyPorts = {
	now: () => number;
	/** A task of the job runs here, or may under an earlier holder of the group. */
	mayRun: (job: string) => boolean;
	/** Stops what an entry other than this one has of the job. */
	dropOthers: (job: string, entry: Entry) => void;
};

export type JobCopies = {
	replace: (entry: Entry, message: Replace) => void;
	/** Another entry has a later copy of the job. */
	isReplaced: (job: string, entry: Entry) => boolean;
	/** The entry's copy has ended. */
	release: (job: string, entry: Entry) => void;
	/** Answers the entries whose jobs no longer run in another copy; to be called when runs have ended. */
	answerSettled: () => void;
	forgetOld: () => void;
};

type Copy = {
	entry: Entry;
	arrivedAtMs: number;
	/** Its caller no longer waits from then on; this host's clock. */
	endsAt: number;
	isAnswered: boolean;
};

export function createJobCopies({
	now,
	mayRun,
	dropOthers,
}: CopyPorts): JobCopies {
	const copies = new Map<string, Copy>();
	const unanswered = new Set<string>();

	function find(job: string): Copy | undefined {
		const copy = copies.get(job);
		return copy && copy.endsAt > now() ? copy : undefined;
	}

	function answer(job: string, copy: Copy): void {
		copy.isAnswered = true;
		copy.entry.send({t: 'replaced', job, isRefused: false});
	}

	function answerIfSettled(job: string): void {
		const copy = find(job);
		if (!copy || copy.isAnswered) {
			unanswered.delete(job);
		} else if (!mayRun(job)) {
			unanswered.delete(job);
			answer(job, copy);
		}
	}

	return {
		replace(entry, {job, arrivedAtMs, timeLeftMs}) {
			const known = find(job);
			const copy = {
				entry,
				arrivedAtMs,
				endsAt: now() + timeLeftMs,
				isAnswered: false,
			};
			if (known && isLater(known, copy)) {
				entry.send({t: 'replaced', job, isRefused: true});
				return;
			}

			copies.set(job, copy);
			unanswered.add(job);
			dropOthers(job, entry);
			answerIfSettled(job);
		},
		isReplaced(job, entry) {
			const copy = find(job);
			return copy !== undefined && copy.entry.key !== entry.key;
		},
		release(job, entry) {
			if (copies.get(job)?.entry.key === entry.key) {
				copies.delete(job);
			}
		},
		answerSettled() {
			for (const job of unanswered) {
				answerIfSettled(job);
			}
		},
		forgetOld() {
			for (const [job, {endsAt}] of copies) {
				if (endsAt <= now()) {
					copies.delete(job);
				}
			}
		},
	};
}

/** The same order at all schedulers: two entries that replace one another's copy must not both be confirmed. */
function isLater(known: Copy, copy: Copy): boolean {
	if (known.entry.key === copy.entry.key) {
		return false;
	}

	return known.arrivedAtMs === copy.arrivedAtMs
		? known.entry.key > copy.entry.key
		: known.arrivedAtMs > copy.arrivedAtMs;
}
