/**
Makes sure, before an entry places a job's tasks, that no copy of the job runs that the caller may have sent to another entry.

Only a request that is the first one on its connection can follow a copy so closely that both would run: a caller sends a
job again at once when a connection breaks under its request, and over a new one. Every group in reach is asked. One that is not
is not waited for: a data centre that is cut off must not hold up what is served elsewhere.
*/
import {type Replace} from '@gentianshift/protocol';
import {type EntryJob} from './entry-job.js';
import {isSilent, type GroupDirectory} from './group-directory.js';

export type ReplacementPorts = {
	groups: GroupDirectory;
	/** Milliseconds since 1970. */
	readWallClock: () => number;
	send: (holder: string, message: Replace) => void;
};

export type CopyReplacement = {
	/** The job's tasks may be placed. Asks the groups when it is called for the job first. */
	isOver: (job: EntryJob, now: number) => boolean;
	/** A holder's answer: it runs no other copy. */
	receiveAnswer: (job: EntryJob, holder: string) => void;
	/** The group has another holder, or the connection to it is back. */
	askAgain: (job: EntryJob, group: string, now: number) => void;
};

export function createCopyReplacement({
	groups,
	readWallClock,
	send,
}: ReplacementPorts): CopyReplacement {
	function ask(job: EntryJob, group: string, now: number): void {
		const holder = groups.findGroup(group)?.holder;
		if (holder !== undefined) {
			send(holder, {
				t: 'replace',
				job: job.request.id,
				arrivedAtMs: readWallClock() - (now - job.arrivedAt),
				timeLeftMs: job.endsAt - now,
			});
		}
	}

	function start(job: EntryJob, now: number): Set<string> {
		const inReach = groups
			.list()
			.filter((known) => !isSilent(known, now))
			.map(({state}) => state.group);
		const unanswered = new Set(inReach);
		job.unreplacedAt = unanswered;
		for (const group of inReach) {
			ask(job, group, now);
		}

		return unanswered;
	}

	return {
		isOver(job, now) {
			if (job.request.requestsBefore > 0) {
				return true;
			}

			const unanswered = job.unreplacedAt ?? start(job, now);
			for (const group of unanswered) {
				const known = groups.findGroup(group);
				if (!known || isSilent(known, now)) {
					unanswered.delete(group);
				}
			}

			return unanswered.size === 0;
		},
		receiveAnswer(job, holder) {
			for (const group of job.unreplacedAt ?? []) {
				if (groups.findGroup(group)?.holder === holder) {
					job.unreplacedAt?.delete(group);
				}
			}
		},
		askAgain(job, group, now) {
			if (job.unreplacedAt) {
				ask(job, group, now);
			}
		},
	};
}
