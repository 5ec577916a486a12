/**
Tells executors' registrations between hosts.

What goes wrong: the store turns a holder away, or is away for all, right after executors have registered that their capacity has
shrunk. The holder, or the next one, goes by the last list that it could read, and starts more on executors that do not guard
their capacity than they hold, although another host has read the newer registration.

So a holder that has read a change tells it to the hosts that may take the group over. One that can't read lists asks other hosts
for what has changed since its own last list. Only changes are told: what differs besides the numbers of a registration.
*/
import {
	type MessageOf,
	type RegistrationNews,
	type RegistrationRequest,
	type ToldRegistration,
} from '@gentianshift/protocol';
import {type Background, type KnownGroup} from '@gentianshift/scheduling';
import {chooseInformants, type Informant} from './choose-informants.js';
import {type ExecutorLists} from './executor-lists.js';

/** A holder without lists asks this often, as often as it would read them; milliseconds. */
const askIntervalMs = 500;
/** A host that is asked, and whose list is older than a holder's would be, reads a current one. */
const currentListMs = 800;
/** No executor needs more; other writers may have written any text. */
const longestLabels = 4000;

type QueueTableMessage = MessageOf<'queue-table'>;
type Send = (message: QueueTableMessage) => void;

export type RegistrationExchange = {
	/** To be called after each read of the list. */
	noteRead: (isRead: boolean) => void;
	/** Handles what a peer tells or asks; `answer` sends to it. */
	receive: (message: QueueTableMessage, answer: Send) => void;
};

export function createRegistrationExchange({
	dataCentre,
	lists,
	isHolder,
	listInformants,
	listGroups,
	send,
	now,
	background,
	log,
}: {
	/** That of this host. */
	dataCentre: string;
	lists: Pick<
		ExecutorLists,
		| 'getRevision'
		| 'measureAge'
		| 'isReadable'
		| 'listChangedSince'
		| 'applyTold'
		| 'readCurrent'
	>;
	isHolder: () => boolean;
	/** The hosts that this one is connected to. */
	listInformants: () => readonly Informant[];
	/** Groups of which this host knows a holder. */
	listGroups: () => readonly KnownGroup[];
	send: (host: string, message: QueueTableMessage) => void;
	now: () => number;
	background: Pick<Background, 'run'>;
	log: (message: string, fields: Record<string, unknown>) => void;
}): RegistrationExchange {
	/** The store's revision up to which this host has read, or was told, all changes. */
	let knownUpTo = 0;
	/** That of this host's list when it last told the changes in it. */
	let toldUpTo: number | undefined;
	let askedAt = -Infinity;
	let round = 0;
	/** A list is being read for another host. */
	let isReading = false;

	function tellChanges(): void {
		const revision = lists.getRevision();
		if (toldUpTo !== undefined) {
			const registrations = listTellable(dataCentre, toldUpTo);
			const near = listInformants().filter(({isNear}) => isNear);
			if (registrations.length > 0) {
				for (const {key} of near) {
					send(key, makeMessage({registrations}));
				}
			}
		}

		toldUpTo = revision;
	}

	function askOthers(): void {
		if (now() - askedAt < askIntervalMs) {
			return;
		}

		askedAt = now();
		const hosts = chooseInformants(listInformants(), {
			groups: listGroups(),
			round,
			now: now(),
		});
		round += 1;
		for (const host of hosts) {
			send(host, {
				t: 'queue-table',
				version: 0,
				registrationRequest: {dataCentre, since: knownUpTo},
			});
		}
	}

	function listTellable(where: string, since: number): ToldRegistration[] {
		return lists
			.listChangedSince(where, since)
			.filter(({labels = []}) => labels.join('').length <= longestLabels);
	}

	function answerRequest(
		{dataCentre: where, since}: RegistrationRequest,
		answer: Send,
	): void {
		let answeredUpTo = since;
		const tell = () => {
			const upTo = lists.getRevision() ?? 0;
			const registrations = listTellable(where, answeredUpTo);
			if (upTo > answeredUpTo || registrations.length > 0) {
				answeredUpTo = Math.max(answeredUpTo, upTo);
				answer(makeMessage({upTo, registrations}));
			}
		};

		tell();
		if (
			!isReading &&
			lists.isReadable() &&
			lists.measureAge() > currentListMs
		) {
			isReading = true;
			background.run({work: 'list of executors for a peer'}, async () => {
				try {
					await lists.readCurrent();
				} finally {
					isReading = false;
				}

				tell();
			});
		}
	}

	function applyNews({upTo = 0, registrations}: RegistrationNews): void {
		knownUpTo = Math.max(knownUpTo, upTo);
		if (registrations.length > 0) {
			log('registrations of executors are told', {
				executors: registrations.map(({id}) => id),
				upTo,
				listAgeMs: Math.round(lists.measureAge()),
			});
			lists.applyTold(registrations);
		}
	}

	return {
		noteRead(isRead) {
			knownUpTo = Math.max(knownUpTo, lists.getRevision() ?? 0);
			if (!isHolder()) {
				toldUpTo = lists.getRevision();
			} else if (isRead) {
				tellChanges();
			} else {
				askOthers();
			}
		},
		receive({registrations, registrationRequest}, answer) {
			if (registrations) {
				applyNews(registrations);
			}

			if (registrationRequest) {
				answerRequest(registrationRequest, answer);
			}
		},
	};
}

function makeMessage(registrations: RegistrationNews): QueueTableMessage {
	return {t: 'queue-table', version: 0, registrations};
}
