/**
Which entry's copy of a job counts at a scheduler, when the job's caller may have sent it to several.

What goes wrong: a caller's connection is reset while its request is on the way, and its HTTP library sends the request again at once
over a new connection, to another entry. The first entry has not read of the reset yet, and both hand the same tasks to
schedulers: one task runs twice at a time. So the second entry has its copy confirmed by every scheduler before it places
tasks. Each of them stops what it has of other copies, answers when nothing of the job runs, and starts no other copy
that reaches it later.
*/
import {
	type Replace,
	type TaskCrashes,
	type TokenRange,
} from '@gentianshift/protocol';
import {isLaterCopy, type CopyStamp} from './copy-order.js';
import {type Entry} from './group-job.js';
import {dropStopMs, orphanStopMs} from './timing.js';

export type CopyPorts = {
	now: () => number;
	/** Stops other copies of the job than this one of the entry; true: one came from an earlier holder of the group. */
	dropOthers: (entry: Entry, message: Replace) => boolean;
	/** A task of the job runs here, or may under an earlier holder. `isMoved`: the copy that was dropped came from one. */
	mayRun: (job: string, isMoved: boolean) => boolean;
	/** Executors that crashed under tasks of the job: the later copy would not know of them. */
	listCrashes: (job: string) => TaskCrashes[] | undefined;
};

export type JobCopies = {
	/** `isMoved`: an earlier holder of the group had tasks of another copy. */
	replace: (entry: Entry, message: Replace, isMoved?: boolean) => void;
	/** Another entry has a later copy of the job. */
	isReplaced: (job: string, entry: Entry) => boolean;
	/** The entry's copy has ended, if it was taken by then. */
	release: (job: string, entry: Entry, takenAtMs: number) => void;
	/** The entry is silent: none of its copies holds up another any longer. */
	releaseAll: (entryKey: string) => void;
	/** Answers the entries whose jobs no longer run in another copy; to be called when runs have ended. */
	answerSettled: () => void;
	forgetOld: () => void;
};

type Copy = {
	entry: Entry;
	takenAtMs: number;
	/** It holds up others until then; this host's clock. */
	endsAt: number;
	isMoved: boolean;
	formerTokens: TokenRange | undefined;
};

function toStamp({entry, takenAtMs}: Copy): CopyStamp {
	return {entry: entry.key, takenAtMs};
}

export function createJobCopies({
	now,
	dropOthers,
	mayRun,
	listCrashes,
}: CopyPorts): JobCopies {
	const copies = new Map<string, Copy>();
	/** Jobs whose entries have yet to be answered. */
	const unanswered = new Set<string>();

	function find(job: string): Copy | undefined {
		const copy = copies.get(job);
		return copy && copy.endsAt > now() ? copy : undefined;
	}

	function answer(
		job: string,
		{entry, takenAtMs, formerTokens}: Copy,
		isRefused: boolean,
	): void {
		entry.send({
			t: 'replaced',
			job,
			takenAtMs,
			isRefused,
			formerTokens,
			crashes: listCrashes(job),
		});
	}

	function answerIfSettled(job: string): void {
		const copy = find(job);
		if (copy && mayRun(job, copy.isMoved)) {
			return;
		}

		unanswered.delete(job);
		if (copy) {
			answer(job, copy, false);
		}
	}

	/** What the copy has at other groups may take as long to be stopped. */
	function endSoon(copy: Copy, afterMs: number): void {
		copy.endsAt = Math.min(copy.endsAt, now() + afterMs);
	}

	return {
		replace(entry, message, isMoved = false) {
			const {job, takenAtMs, timeLeftMs, formerTokens} = message;
			const known = find(job);
			const copy: Copy = {
				entry,
				takenAtMs,
				endsAt: now() + timeLeftMs,
				isMoved: isMoved || (known?.isMoved ?? false),
				formerTokens,
			};
			if (known && isLaterCopy(toStamp(known), toStamp(copy))) {
				answer(job, copy, true);
				return;
			}

			copies.set(job, copy);
			unanswered.add(job);
			copy.isMoved = dropOthers(entry, message) || copy.isMoved;
			answerIfSettled(job);
		},
		isReplaced(job, entry) {
			const copy = find(job);
			return copy !== undefined && copy.entry.key !== entry.key;
		},
		release(job, entry, takenAtMs) {
			const copy = copies.get(job);
			if (copy?.entry.key === entry.key && copy.takenAtMs <= takenAtMs) {
				endSoon(copy, dropStopMs);
			}
		},
		releaseAll(entryKey) {
			for (const copy of copies.values()) {
				if (copy.entry.key === entryKey) {
					endSoon(copy, orphanStopMs);
				}
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
