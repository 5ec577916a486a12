/**
Passes each message between scheduling hosts to the component that handles it.
*/
import {
	silentCloseReason,
	type Ends,
	type Link,
	type Message,
	type MessageOf,
	type MeshHandlers,
	type Part,
	type Session,
} from '@gentianshift/protocol';
import {type Background, type Entry} from '@gentianshift/scheduling';
import {type Directory} from '../directory.js';
import {type Evacuations} from './evacuations.js';
import {type HostRoles} from './host-roles.js';
import {type QueueTables} from './queue-tables.js';
import {type WorkMeter} from './work-meter.js';

export type SchedulingHandlersOptions = {
	directory: Pick<
		Directory,
		| 'markLinkUp'
		| 'markLinkDown'
		| 'markSession'
		| 'markLeaving'
		| 'receiveHosts'
	>;
	roles: Pick<
		HostRoles,
		| 'cancellations'
		| 'crashes'
		| 'entry'
		| 'groups'
		| 'holdings'
		| 'registrations'
		| 'sendStateTo'
		| 'receiveState'
	>;
	tables: Pick<QueueTables, 'getVersion' | 'receive'>;
	evacuations: Pick<Evacuations, 'getList' | 'receive'>;
	work: Pick<WorkMeter, 'measure'>;
	background: Pick<Background, 'run'>;
	/** Whether the peer is told of this host's configuration version and evacuations. */
	isAnnouncedTo: (link: Link) => boolean;
	/** The address at which this host dials the peer. */
	findAddress: (key: string) => string;
	now: () => number;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export function createSchedulingHandlers({
	directory,
	roles,
	tables,
	evacuations,
	work,
	background,
	isAnnouncedTo,
	findAddress,
	now,
	log,
}: SchedulingHandlersOptions): MeshHandlers {
	const {cancellations, entry, groups, holdings, registrations} = roles;
	return {
		onHeartbeat() {
			// Nothing is sent with the heartbeat: holders send their state more often.
		},
		onLinkUp(link) {
			log('link up', {peer: link.key});
			handleFrom(link.key, 'link up', () => {
				markLinkUp(link);
			});
		},
		onLinkDown(link, reason, lastReceivedAt) {
			log('link down', {peer: link.key, reason});
			const lastAliveAt = reason === silentCloseReason ? lastReceivedAt : now();
			handleFrom(link.key, 'link down', () => {
				entry.markLinkDown(link.key, link.hello.incarnation, lastAliveAt);
				directory.markLinkDown(link, reason);
			});
		},
		onReply(link, message) {
			handleFrom(link.key, message.t, () => {
				receiveReply(link, message);
			});
		},
		onSessionUp(session) {
			handleFrom(session.key, 'session up', () => {
				directory.markSession(session);
			});
		},
		onSessionDown(session) {
			handleFrom(session.key, 'session down', () => {
				groups.markDoubtful(session.key, now());
			});
		},
		onRequest(session, message) {
			handleFrom(session.key, message.t, () => {
				receiveRequest(session, message);
			});
		},
		onLeaving(key, isLeaving) {
			handleFrom(key, 'leaving', () => {
				directory.markLeaving(key, isLeaving);
			});
		},
	};

	/** An exception costs this message, or this change of a connection. */
	function handleFrom(peer: string, cause: string, handle: () => void): void {
		background.run({work: cause, peer}, () => {
			work.measure(cause, handle);
		});
	}

	function markLinkUp(link: Link): void {
		directory.markLinkUp(link, findAddress(link.key));
		roles.sendStateTo(link);
		cancellations.sendAll(link.key);
		entry.markLinkUp(link.key, link.hello.incarnation);
		entry.sendAfterReconnect(link.key);
		const version = tables.getVersion();
		const list = evacuations.getList();
		if (isAnnouncedTo(link) && (version > 0 || list)) {
			link.send({t: 'queue-table', version, evacuations: list});
		}
	}

	function receiveReply(link: Link, message: Message): void {
		switch (message.t) {
			case 'ends':
			case 'replaced':
			case 'claims-ended': {
				entry.receive(link.key, message);
				break;
			}

			case 'cancel-job': {
				cancellations.receive(message);
				break;
			}

			case 'job-cancelled': {
				cancellations.receiveConfirmation(link.key, message);
				break;
			}

			case 'queue-table': {
				receiveQueueTable(message, link);
				break;
			}

			default:
		}
	}

	function receiveQueueTable(
		message: MessageOf<'queue-table'>,
		peer: Pick<Link, 'send'>,
	): void {
		if (message.evacuations) {
			evacuations.receive(message.evacuations);
		}

		registrations.receive(message, (answer) => {
			peer.send(answer);
		});
		tables.receive(message, (answer) => {
			peer.send(answer);
		});
	}

	function receiveRequest(session: Session, message: Message): void {
		switch (message.t) {
			case 'part':
			case 'replace':
			case 'drop':
			case 'keep': {
				receiveTaskMessage(session, message);
				break;
			}

			case 'group-state': {
				roles.crashes.addReported(message.crashes ?? [], now());
				if (roles.receiveState(session.key, message)) {
					log('group has another holder', {
						group: message.group,
						token: message.token,
						holder: session.key,
					});
				}

				break;
			}

			case 'recall-copy': {
				entry.receiveRecall(session.key, message);
				break;
			}

			case 'copy-recalled': {
				entry.receiveRecalled(message);
				break;
			}

			case 'cancel-job': {
				if (cancellations.receive(message)) {
					session.send({t: 'job-cancelled', job: message.job});
				}

				break;
			}

			case 'queue-table': {
				receiveQueueTable(message, session);
				break;
			}

			case 'hosts': {
				directory.receiveHosts(message);
				break;
			}

			default:
		}
	}

	function receiveTaskMessage(
		session: Session,
		message: Extract<Message, {t: 'part' | 'replace' | 'drop' | 'keep'}>,
	): void {
		const schedulers = holdings.listAddressed(message);
		const from: Entry = {
			key: `${session.key}.${session.hello.incarnation}`,
			send(reply) {
				session.send(reply);
			},
		};
		for (const scheduler of schedulers) {
			scheduler.receive(from, message);
		}

		if (schedulers.length === 0 && message.t === 'part') {
			session.send(makeReleasedReply(message));
		}
	}
}

/** The reply of a host that does not hold the group: it runs none of these tasks. */
function makeReleasedReply({group, job, token, claim, tasks}: Part): Ends {
	return {
		t: 'ends',
		group,
		job,
		token,
		claim,
		isStarted: false,
		ends: tasks.map(([index, , placement]) => ({
			index,
			outcome: 'returned',
			attempt: 0,
			placement,
		})),
		reason: 'released',
	};
}
