/**
Decides, at a scheduler, which entry's copy of a job may run when the caller may have sent the job to several entries.

The failure prevented here: a caller's connection is reset while its request is in flight, and its HTTP library repeats the request at
once over a new connection to another entry. The first entry has not read the reset yet, so both entries send the same tasks to
schedulers, and one task runs twice at the same time. Therefore the second entry asks every scheduler to confirm its copy
(`replace`) before it places tasks. Each scheduler stops what it has of other copies, answers (`replaced`) once nothing of the job
runs, and starts no other copy that arrives later.
*/
import {
	type Replace,
	type TaskCrashes,
	type TokenRange,
} from '@gentianshift/protocol';
import {isLaterCopy, type CopyStamp} from './copy-order.js';
import {type Entry} from './group-job.js';
import {dropStopLimitMs, orphanStopLimitMs} from './timing.js';

export type CopyPorts = {
	group: string;
	now: () => number;
	/** Stops all copies of the job except this one of the entry; true: one of them came from an earlier holder of the group. */
	dropOthers: (entry: Entry, message: Replace) => boolean;
	/**
	Whether a task of the job runs here, or may run under an earlier holder. `isMoved`: the copy that was stopped came from an
	earlier holder.
	*/
	mayRun: (job: string, isMoved: boolean) => boolean;
	/** Executors that crashed under tasks of the job. They are part of the answer, as the entry of the later copy may not know them. */
	listCrashes: (job: string) => TaskCrashes[] | undefined;
};

export type JobCopies = {
	/**
	Makes the entry's copy replace all others, or refuses it if another entry has a later one. The entry is answered once no other
	copy runs here. `isMoved`: an earlier holder of the group had tasks of another copy.
	*/
	replace: (entry: Entry, message: Replace, isMoved?: boolean) => void;
	/** Whether another entry's copy replaces this entry's copy of the job. */
	isReplaced: (job: string, entry: Entry) => boolean;
	/** The entry's copy has ended, if the entry accepted it no later than `takenAtMs`. */
	endCopy: (job: string, entry: Entry, takenAtMs: number) => void;
	/** The entry is silent: its copies stop blocking others after `orphanStopLimitMs`. */
	endCopiesOf: (entryKey: string) => void;
	/** Answers entries that wait for other copies of their jobs to stop; to be called when runs have ended. */
	answerSettled: () => void;
	forgetOld: () => void;
};

type Copy = {
	entry: Entry;
	takenAtMs: number;
	/** Until then this copy blocks other copies; this host's steady clock. */
	blocksUntil: number;
	isMoved: boolean;
	formerTokens: TokenRange | undefined;
};

function toStamp({entry, takenAtMs}: Copy): CopyStamp {
	return {entry: entry.key, takenAtMs};
}

export function createJobCopies({
	group,
	now,
	dropOthers,
	mayRun,
	listCrashes,
}: CopyPorts): JobCopies {
	const copies = new Map<string, Copy>();
	/** Jobs whose replacement has yet to be answered. */
	const unanswered = new Set<string>();

	function findActive(job: string): Copy | undefined {
		const copy = copies.get(job);
		return copy && copy.blocksUntil > now() ? copy : undefined;
	}

	function answer(
		job: string,
		{entry, takenAtMs, formerTokens}: Copy,
		isRefused: boolean,
	): void {
		entry.send({
			t: 'replaced',
			group,
			job,
			takenAtMs,
			isRefused,
			formerTokens,
			crashes: listCrashes(job),
		});
	}

	function answerIfSettled(job: string): void {
		const copy = findActive(job);
		if (copy && mayRun(job, copy.isMoved)) {
			return;
		}

		unanswered.delete(job);
		if (copy) {
			answer(job, copy, false);
		}
	}

	/** The copy blocks others for at most `afterMs` longer: its runs in other groups may take that long to stop. */
	function endWithin(copy: Copy, afterMs: number): void {
		copy.blocksUntil = Math.min(copy.blocksUntil, now() + afterMs);
	}

	return {
		replace(entry, message, isMoved = false) {
			const {job, takenAtMs, timeLeftMs, formerTokens} = message;
			const known = findActive(job);
			const copy: Copy = {
				entry,
				takenAtMs,
				blocksUntil: now() + timeLeftMs,
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
			const copy = findActive(job);
			return copy !== undefined && copy.entry.key !== entry.key;
		},
		endCopy(job, entry, takenAtMs) {
			const copy = copies.get(job);
			if (copy?.entry.key === entry.key && copy.takenAtMs <= takenAtMs) {
				endWithin(copy, dropStopLimitMs);
			}
		},
		endCopiesOf(entryKey) {
			for (const copy of copies.values()) {
				if (copy.entry.key === entryKey) {
					endWithin(copy, orphanStopLimitMs);
				}
			}
		},
		answerSettled() {
			for (const job of unanswered) {
				answerIfSettled(job);
			}
		},
		forgetOld() {
			for (const [job, {blocksUntil}] of copies) {
				if (blocksUntil <= now()) {
					copies.delete(job);
				}
			}
		},
	};
}
