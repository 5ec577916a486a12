/**
Makes sure, before an entry places a job's tasks, that no copy of the job runs that the caller may have sent to another entry.

Only a request that is the first one on its connection can follow a copy so closely that both would run: a caller sends a
job again at once when a connection breaks under its request, and over a new one. Every group is asked. Where a holder is out
of reach, or a host that may have replaced it, the other entries are asked as well, and a group is waited for only if a copy was
there: a data centre that is cut off must not hold up what is served elsewhere.
*/
import {type Replace, type Replaced} from '@gentianshift/protocol';
import {createCopyCheck, joinPlaces, type CopyPlace} from './copy-check.js';
import {type CopyRecall} from './copy-recall.js';
import {type EntryJob} from './entry-job.js';
import {isSilent, type GroupDirectory} from './group-directory.js';
import {type LostHolders} from './lost-holders.js';
import {clockSlackMs, orphanLimitMs, stateStaleMs} from './timing.js';

/** Silent for longer than this, a group runs nothing more of what the entries in reach had handed to it. */
const longSilenceMs = stateStaleMs + orphanLimitMs + clockSlackMs;

export type CopyReplacementPorts = {
	groups: GroupDirectory;
	recall: CopyRecall;
	lostHolders: LostHolders;
	send: (holder: string, message: Replace) => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

/** What a job still waits for. */
export type CopyObstacle = {
	reason: string;
	/** No sooner than then; undefined: an answer may come at any time. */
	clearAt?: number;
};

export type CopyReplacement = {
	/**
	Asks the groups where another copy may run; once for each job. `ownPlaces`: where this entry itself had the job before.
	*/
	ask: (job: EntryJob, ownPlaces: readonly CopyPlace[], now: number) => void;
	/** The group has another holder, or the connection to it is back. */
	askAgain: (job: EntryJob, group: string, now: number) => void;
	/** A holder's answer: it runs no other copy. */
	confirm: (
		job: EntryJob,
		holder: string,
		{message, now}: {message: Replaced; now: number},
	) => void;
	/** Another entry has given its copy up, and tasks of it may run there. */
	addPlaces: (job: EntryJob, places: readonly CopyPlace[], now: number) => void;
	/** Where tasks of another copy may run, as far as this job's check has come. */
	findPlace: (
		job: EntryJob,
		group: string,
		now: number,
	) => CopyPlace | undefined;
	/** Undefined: no other copy runs, as far as it can be known. */
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
		return place && now < place.overAt ? place : undefined;
	}

	function sendTo(job: EntryJob, group: string, now: number): void {
		const holder = groups.findGroup(group)?.holder;
		if (holder !== undefined) {
			send(holder, {
				t: 'replace',
				job: job.request.id,
				takenAtMs: job.takenAtMs,
				timeLeftMs: job.endsAt - now,
				formerTokens: findPlace(job, group, now)?.tokens,
			});
		}
	}

	function isInReach(group: string, now: number): boolean {
		const known = groups.findGroup(group);
		return known !== undefined && !isSilent(known, now);
	}

	/** A copy that an entry in reach has handed over may run where no holder can tell. */
	function isDoubtful(now: number): boolean {
		return (
			recall.hasUnknownHosts() ||
			groups
				.list()
				.some(
					(known) =>
						isSilent(known, now) && now - known.heardAt <= longSilenceMs,
				)
		);
	}

	/** Why the group's holder is not waited for any longer; undefined: it is. */
	function findDefect(
		{copyCheck}: EntryJob,
		group: string,
		now: number,
	): string | undefined {
		if (!isInReach(group, now)) {
			return 'out of reach';
		}

		return now - (copyCheck?.askedAt ?? now) > orphanLimitMs + clockSlackMs
			? 'no answer'
			: undefined;
	}

	/** Why the group still holds the job up; undefined: it need not confirm any more. */
	function findGroupObstacle(
		job: EntryJob,
		group: string,
		now: number,
	): CopyObstacle | undefined {
		const place = findPlace(job, group, now);
		if (place) {
			const isReached =
				isInReach(group, now) && !lostHolders.isLost(group, now);
			return {
				reason: 'another copy may still run',
				clearAt: isReached ? undefined : place.overAt,
			};
		}

		const defect = findDefect(job, group, now);
		if (defect === undefined) {
			return {
				reason: 'a group does not say whether another copy runs',
			};
		}

		if (defect === 'no answer') {
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
			reason: defect,
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
		ask(job, ownPlaces, now) {
			const isChecked = job.copyCheck !== undefined;
			const isFirst = job.request.requestsBefore === 0;
			const mayBeCopy = isFirst || ownPlaces.length > 0;
			if (isChecked || !mayBeCopy) {
				return;
			}

			job.copyCheck = createCopyCheck(now);
			for (const {state} of isFirst ? groups.list() : []) {
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
		confirm(job, holder, {message: {formerTokens}, now}) {
			for (const group of job.copyCheck?.groupsToConfirm ?? []) {
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

			if (isDoubtful(now)) {
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
