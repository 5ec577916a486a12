/**
Makes sure, before an entry places a job's tasks, that no other copy of the job runs: the caller may have sent it to another entry.

Only the first request on a connection can follow another copy so closely that both would run: when a connection breaks under a
request, the caller repeats the request at once over a new connection. A request that lay unread while this host was paused may be
older than another copy, whichever request of its connection it is. For both the entry asks every group to stop other copies and to
confirm that. If a holder is unreachable, or a host that may have replaced it, the entry also asks the other entries, and waits for
that group only if a copy was there. Otherwise a data centre that is cut off would hold up jobs that are served elsewhere.
*/
import {type Replace, type Replaced} from '@gentianshift/protocol';
import {createCopyCheck, joinPlaces, type CopyPlace} from './copy-check.js';
import {type CopyRecall} from './copy-recall.js';
import {type EntryJob} from './entry-job.js';
import {isSilent, type GroupDirectory} from './group-directory.js';
import {type LostHolders} from './lost-holders.js';
import {clockSlackMs, longSilenceMs, orphanLimitMs} from './timing.js';

export type CopyReplacementPorts = {
	groups: GroupDirectory;
	recall: CopyRecall;
	lostHolders: LostHolders;
	send: (holder: string, message: Replace) => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

/** Why a job can't be placed yet. */
export type CopyObstacle = {
	reason: string;
	/** Earliest time at which the obstacle can be gone; undefined: an answer may remove it at any time. */
	earliestClearAt?: number;
};

export type CopyReplacement = {
	/**
	Asks the groups in which another copy may run to confirm that none does; once for each job. `ownPlaces`: where tasks of the job
	may still run from an earlier submission to this entry.
	*/
	askGroups: (
		job: EntryJob,
		ownPlaces: readonly CopyPlace[],
		now: number,
	) => void;
	/** The group has a new holder, or the connection to its holder is back: asks the holder again. */
	askAgain: (job: EntryJob, group: string, now: number) => void;
	/** A holder's answer: its group runs no other copy of the job. */
	recordConfirmation: (
		job: EntryJob,
		holder: string,
		{message, now}: {message: Replaced; now: number},
	) => void;
	/** Another entry has given up its copy, of which tasks may still run in these places: waits for their groups as well. */
	addPlaces: (job: EntryJob, places: readonly CopyPlace[], now: number) => void;
	/** Where in the group tasks of another copy may run; undefined: nowhere, or the group need not confirm any more. */
	findPlace: (
		job: EntryJob,
		group: string,
		now: number,
	) => CopyPlace | undefined;
	/** Why the job can't be placed yet; undefined: no other copy runs, as far as that can be known. */
	findObstacle: (job: EntryJob, now: number) => CopyObstacle | undefined;
};

export function createCopyReplacement({
	groups,
	recall,
	lostHolders,
	send,
	log,
}: CopyReplacementPorts): CopyReplacement {
	function findPlace(
		{copyCheck, arrivedAt}: EntryJob,
		group: string,
		now: number,
	): CopyPlace | undefined {
		const place = joinPlaces(
			copyCheck?.places.get(group),
			lostHolders.findPlace(group, arrivedAt),
		);
		return place && now < place.stoppedBy ? place : undefined;
	}

	function sendTo(job: EntryJob, group: string, now: number): void {
		const holder = groups.findGroup(group)?.holder;
		if (holder !== undefined) {
			send(holder, {
				t: 'replace',
				group,
				job: job.request.id,
				takenAtMs: job.takenAtMs,
				...(job.unreadMs > 0 && {isDelayed: true}),
				timeLeftMs: job.callerDeadlineAt - now,
				formerTokens: findPlace(job, group, now)?.tokens,
			});
		}
	}

	function isReachable(group: string, now: number): boolean {
		const known = groups.findGroup(group);
		return known !== undefined && !isSilent(known, now);
	}

	/** Whether a copy that a reachable entry sent out may run at a holder that can't be asked. */
	function isRecallNeeded(now: number): boolean {
		return (
			recall.hasPossibleHolders() ||
			groups
				.list()
				.some(
					(known) =>
						isSilent(known, now) && now - known.lastHeardAt <= longSilenceMs,
				)
		);
	}

	/** Why the group's holder is no longer waited for; undefined: it still is. */
	function findSkipReason(
		{copyCheck}: EntryJob,
		group: string,
		now: number,
	): string | undefined {
		if (!isReachable(group, now)) {
			return 'out of reach';
		}

		return now - (copyCheck?.askedAt ?? now) > orphanLimitMs + clockSlackMs
			? 'no answer'
			: undefined;
	}

	/** Why the group still delays the job; undefined: it need not confirm any more. */
	function findGroupObstacle(
		job: EntryJob,
		group: string,
		now: number,
	): CopyObstacle | undefined {
		const place = findPlace(job, group, now);
		if (place) {
			const isHolderReachable =
				isReachable(group, now) && !lostHolders.isLost(group, now);
			return {
				reason: 'another copy may still run',
				earliestClearAt: isHolderReachable ? undefined : place.stoppedBy,
			};
		}

		const skipReason = findSkipReason(job, group, now);
		if (skipReason === undefined) {
			return {
				reason: 'a group does not say whether another copy runs',
			};
		}

		if (skipReason === 'no answer') {
			recall.ask(job);
		}

		if (!recall.isAnswered(job)) {
			return {
				reason: 'an entry does not say whether it has a copy',
			};
		}

		log('a group does not confirm that no other copy runs', {
			job: job.request.id,
			group,
			reason: skipReason,
			wasCopyThere: job.copyCheck?.places.has(group),
			waitedMs: Math.round(now - (job.copyCheck?.askedAt ?? now)),
		});
		return undefined;
	}

	function addPlaces(
		job: EntryJob,
		places: readonly CopyPlace[],
		now: number,
	): void {
		for (const place of places) {
			const {group} = place;
			const known = job.copyCheck?.places.get(group);
			job.copyCheck?.places.set(group, joinPlaces(known, place) ?? place);
			job.copyCheck?.groupsToConfirm.add(group);
			sendTo(job, group, now);
		}
	}

	return {
		askGroups(job, ownPlaces, now) {
			const isChecked = job.copyCheck !== undefined;
			const mayBeElsewhere =
				job.request.requestsBefore === 0 || job.unreadMs > 0;
			if (isChecked || !(mayBeElsewhere || ownPlaces.length > 0)) {
				return;
			}

			job.copyCheck = createCopyCheck(now);
			for (const {state} of mayBeElsewhere ? groups.list() : []) {
				job.copyCheck.groupsToConfirm.add(state.group);
				sendTo(job, state.group, now);
			}

			addPlaces(job, ownPlaces, now);
		},
		askAgain(job, group, now) {
			if (!job.copyCheck) {
				return;
			}

			if (job.tasks.every(({placement}) => placement === 0)) {
				job.copyCheck.groupsToConfirm.add(group);
			}

			sendTo(job, group, now);
		},
		recordConfirmation(job, holder, {message, now}) {
			const {formerTokens} = message;
			for (const group of job.copyCheck?.groupsToConfirm ?? []) {
				if (group !== (message.group ?? group)) {
					continue;
				}

				const place = findPlace(job, group, now);
				const isOutdated =
					place !== undefined && (formerTokens?.[1] ?? -1) < place.tokens[1];
				if (groups.findGroup(group)?.holder === holder && !isOutdated) {
					job.copyCheck?.groupsToConfirm.delete(group);
				}
			}
		},
		addPlaces,
		findPlace: (job, group, now) =>
			job.copyCheck?.groupsToConfirm.has(group)
				? findPlace(job, group, now)
				: undefined,
		findObstacle(job, now) {
			const {copyCheck} = job;
			if (copyCheck?.askedAt === undefined) {
				return undefined;
			}

			if (isRecallNeeded(now)) {
				recall.ask(job);
			}

			for (const group of copyCheck.groupsToConfirm) {
				const obstacle = findGroupObstacle(job, group, now);
				if (obstacle) {
					return obstacle;
				}

				copyCheck.groupsToConfirm.delete(group);
			}

			return recall.isAnswered(job)
				? undefined
				: {
						reason: 'an entry does not say whether it has a copy',
					};
		},
	};
}
