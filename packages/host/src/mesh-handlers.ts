/**
Hands each message between hosts to the part it is for.
*/
import {type Router} from '@gentianshift/jobs';
import {
	type Hello,
	type Link,
	type MeshHandlers,
	type Message,
	type Session,
} from '@gentianshift/protocol';
import {type Background} from '@gentianshift/scheduling';
import {type SlotExchange} from '@gentianshift/slots';
import {type Logger} from '@gentianshift/telemetry';
import {type Configuration} from './configuration.js';
import {type Directory} from './directory.js';
import {type StatusBoard} from './status-board.js';

/** Sessions by who dialled: an owner is one incarnation of a host. */
export class OwnerSessions {
	readonly #sessions = new Map<string, Session>();

	add(session: Session): void {
		this.#sessions.set(formatOwnerId(session), session);
	}

	/** False when the owner has another session by now. */
	remove(session: Session): boolean {
		const ownerId = formatOwnerId(session);
		return (
			this.#sessions.get(ownerId) === session && this.#sessions.delete(ownerId)
		);
	}

	send(ownerId: string, message: Message): boolean {
		const session = this.#sessions.get(ownerId);
		session?.send(message);
		return session !== undefined;
	}
}

export type MeshParts = {
	configuration: Configuration;
	directory: Directory;
	/** The heartbeat: what is told then costs no frame of its own. */
	onBeat: () => void;
	/** Where a peer is dialled. */
	findAddress: (key: string) => string;
	logger: Logger;
	background: Background;
	/** Made after the mesh, which it needs. */
	getRouter: () => Router;
	sessions: OwnerSessions;
	slots: SlotExchange;
	statuses: StatusBoard;
};

export function createMeshHandlers({
	configuration,
	directory,
	onBeat,
	findAddress,
	logger,
	background,
	getRouter,
	sessions,
	slots,
	statuses,
}: MeshParts): MeshHandlers {
	return {
		onHeartbeat: onBeat,
		onLinkUp(link) {
			logger.info({peer: link.key}, 'link up');
			directory.markLinkUp(link, findAddress(link.key));
			slots.resetKeeper(link.key);
		},
		onLinkDown(link, reason) {
			logger.warn({peer: link.key, reason}, 'link down');
			statuses.forget(link.key);
			getRouter().handleLinkDown(link.key);
			directory.markLinkDown(link, reason);
			slots.resetKeeper(link.key);
		},
		onReply(link, message) {
			receiveReply(link, message);
		},
		onSessionUp(session) {
			sessions.add(session);
			slots.recordOwner(formatOwnerId(session), session.key);
			directory.markSession(session);
		},
		onSessionDown(session) {
			if (sessions.remove(session)) {
				slots.dropOwner(formatOwnerId(session), session.key);
			}
		},
		onRequest(session, message) {
			receiveRequest(session, message);
		},
		onLeaving(key, isLeaving) {
			directory.markLeaving(key, isLeaving);
		},
	};

	function receiveReply(link: Link, message: Message): void {
		if (message.t === 'answer') {
			getRouter().receiveAnswer(message);
		} else if (message.t.startsWith('config-')) {
			configuration.receive(message, (answer) => {
				link.send(answer);
			});
		} else {
			const {dataCentre} = link.hello;
			slots.receiveReply(
				{ownerId: formatOwnerId(link), hostKey: link.key, dataCentre},
				message,
			);
		}
	}

	function receiveRequest(session: Session, message: Message): void {
		switch (message.t) {
			case 'forward': {
				background.run({work: message.t, peer: session.key}, async () =>
					getRouter().serveForward(session, message),
				);

				break;
			}

			case 'hosts': {
				directory.receiveHosts(message);

				break;
			}

			case 'host-status': {
				statuses.receive(session.key, message);

				break;
			}

			default: {
				if (message.t.startsWith('config-')) {
					configuration.receive(message, (answer) => {
						session.send(answer);
					});
				} else {
					slots.receiveRequest(
						{ownerId: formatOwnerId(session), hostKey: session.key},
						message,
					);
				}
			}
		}
	}
}

function formatOwnerId({key, hello}: {key: string; hello: Hello}): string {
	return `${key}.${hello.incarnation}`;
}
