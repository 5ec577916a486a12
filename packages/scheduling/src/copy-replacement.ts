/**
Makes sure, before an entry places a job's tasks, that no copy of the job runs that the caller may have sent to another entry.

Only a request that is the first one on its connection can follow a copy so closely that both would run: a caller sends a
job again at once when a connection breaks under its request, and over a new one. Every group in reach is asked. One that is not
is not waited for: a data centre that is cut off must not hold up what is served elsewhere.
*/
import {type Replace} from '@gentianshift/protocol';
import {type EntryJob} from './entry-job.js';
import {isSilent, type GroupDirectory} from './group-directory.js';
import {clockSlackMs, orphanLimitMs} from './timing.js';

export type CopyReplacementPorts = {
	groups: GroupDirectory;
	send: (holder: string, message: Replace) => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export type CopyReplacement = {
	/** Asks all groups in reach; once for each job, and only for one that may be a copy. */
	ask: (job: EntryJob, now: number) => void;
	/** The group has another holder, or the connection to it is back. */
	askAgain: (job: EntryJob, group: string, now: number) => void;
	/** A holder's answer: it runs no other copy. */
	confirm: (job: EntryJob, holder: string) => void;
	/** All groups that were asked and are in reach have answered, or have had the time to end what runs there. */
	isConfirmed: (job: EntryJob, now: number) => boolean;
};

export function createCopyReplacement({
	groups,
	send,
	log,
}: CopyReplacementPorts): CopyReplacement {
	function sendTo(job: EntryJob, group: string, now: number): void {
		const holder = groups.findGroup(group)?.holder;
		if (holder !== undefined) {
			send(holder, {
				t: 'replace',
				job: job.request.id,
				at: now,
				takenAtMs: job.takenAtMs,
				timeLeftMs: job.endsAt - now,
			});
		}
	}

	function isInReach(group: string, now: number): boolean {
		const known = groups.findGroup(group);
		return known !== undefined && !isSilent(known, now);
	}

	/** Why the group is not waited for any longer; undefined: it is. */
	function findObstacle(
		job: EntryJob,
		group: string,
		now: number,
	): string | undefined {
		if (!isInReach(group, now)) {
			return 'out of reach';
		}

		return now - (job.copiesAskedAt ?? now) > orphanLimitMs + clockSlackMs
			? 'no answer'
			: undefined;
	}

	return {
		ask(job, now) {
			const isAsked = job.groupsToConfirm !== undefined;
			if (isAsked || job.request.requestsBefore > 0) {
				return;
			}

			const inReach = groups
				.list()
				.map(({state}) => state.group)
				.filter((group) => isInReach(group, now));
			job.groupsToConfirm = new Set(inReach);
			job.copiesAskedAt = now;
			for (const group of inReach) {
				sendTo(job, group, now);
			}
		},
		askAgain(job, group, now) {
			if (!job.groupsToConfirm) {
				return;
			}

			if (job.tasks.every(({placement}) => placement === 0)) {
				job.groupsToConfirm.add(group);
			}

			sendTo(job, group, now);
		},
		confirm({groupsToConfirm}, holder) {
			for (const group of groupsToConfirm ?? []) {
				if (groups.findGroup(group)?.holder === holder) {
					groupsToConfirm?.delete(group);
				}
			}
		},
		isConfirmed(job, now) {
			for (const group of job.groupsToConfirm ?? []) {
				const obstacle = findObstacle(job, group, now);
				if (obstacle !== undefined) {
					job.groupsToConfirm?.delete(group);
					log('a group does not confirm that no other copy runs', {
						job: job.request.id,
						group,
						reason: obstacle,
						waitedMs: Math.round(now - (job.copiesAskedAt ?? now)),
					});
				}
			}

			return (job.groupsToConfirm?.size ?? 0) === 0;
		},
	};
}
