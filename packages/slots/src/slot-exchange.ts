/**
Both sides of slot lending on this host: the keepers of those targets for which this host has the role,
and the host's own borrower. Messages between the two are delivered directly, without a connection.
*/
import {type SlotHandlers, type SlotSource} from '@gentianshift/jobs';
import {type Message} from '@gentianshift/protocol';
import {Borrower} from './borrower.js';
import {Keeper} from './keeper.js';
import {type SlotPorts} from './ports.js';

export type SlotExchangeOptions = {
	ports: SlotPorts;
	/** Targets that have executors in this host's data centre. */
	listTargets: () => readonly string[];
};

export class SlotExchange {
	readonly #ports: SlotPorts;
	readonly #listTargets: () => readonly string[];
	readonly #keepers = new Map<string, Keeper>();
	#borrower: Borrower | undefined;

	constructor({ports, listTargets}: SlotExchangeOptions) {
		this.#listTargets = listTargets;
		this.#ports = {
			...ports,
			sendToHost: (hostKey, message) =>
				hostKey === ports.hostKey
					? this.#deliverToSelf(message)
					: ports.sendToHost(hostKey, message),
			sendToOwner: (ownerId, message) =>
				ownerId === ports.ownerId
					? this.#replyToSelf(message)
					: ports.sendToOwner(ownerId, message),
		};
	}

	createSource(handlers: SlotHandlers): SlotSource {
		this.#borrower = new Borrower(this.#ports, handlers);
		return this.#borrower;
	}

	/** Must be called when hosts or resources have changed: starts and stops keepers to match this host's roles. */
	refresh(): void {
		const {dataCentre, findKeeper, hostKey} = this.#ports;
		const ownTargets = new Set(
			this.#listTargets().filter(
				(target) => findKeeper(target, dataCentre) === hostKey,
			),
		);
		for (const [target, keeper] of this.#keepers) {
			if (ownTargets.has(target)) {
				keeper.refreshResources();
			} else {
				keeper.stop();
				this.#keepers.delete(target);
			}
		}

		for (const target of ownTargets) {
			if (!this.#keepers.has(target)) {
				this.#keepers.set(target, new Keeper(target, this.#ports));
			}
		}

		this.#borrower?.refreshKeepers();
	}

	/** Handles a message from the side that opened a session. Returns false when the message doesn't belong to this package. */
	receiveRequest(
		sender: {ownerId: string; hostKey: string},
		message: Message,
	): boolean {
		if (message.t === 'ask-held') {
			this.#answerHeld(sender.ownerId, message.target, message.dataCentre);
			return true;
		}

		if (!('target' in message) || typeof message.target !== 'string') {
			return false;
		}

		const keeper = this.#keepers.get(message.target);
		if (keeper) {
			receiveAsKeeper(keeper, sender.ownerId, message);
		}

		return true;
	}

	/** Handles a message from the host that this host has dialled. Returns false when the message doesn't belong to this package. */
	receiveReply(
		sender: {ownerId: string; hostKey: string; dataCentre: string},
		message: Message,
	): boolean {
		if (message.t === 'shifted') {
			this.#keepers
				.get(message.target)
				?.receiveShifted(sender.dataCentre, message);
			return true;
		}

		if (message.t === 'held') {
			this.#keepers
				.get(message.target)
				?.receiveHeld(sender.ownerId, sender.hostKey, message);
			return true;
		}

		return (
			this.#borrower !== undefined &&
			receiveAsBorrower(this.#borrower, sender.hostKey, message)
		);
	}

	/** Must be called when a process of a host has opened a session to this host. */
	recordOwner(ownerId: string, hostKey: string): void {
		for (const keeper of this.#keepers.values()) {
			keeper.recordOwner(ownerId, hostKey);
		}
	}

	/** Must be called when a borrower's session has ended. */
	dropOwner(ownerId: string, hostKey: string): void {
		for (const keeper of this.#keepers.values()) {
			keeper.dropOwner(ownerId, hostKey);
		}
	}

	/** Must be called when the link to a host has gone up or down. */
	resetKeeper(hostKey: string): void {
		this.#borrower?.resetKeeper(hostKey);
	}

	/** State of the keepers on this host, to be shown to operators. */
	listKeepers(): Array<{
		target: string;
		state: ReturnType<Keeper['readState']>;
	}> {
		return [...this.#keepers.values()].map((keeper) => ({
			target: keeper.target,
			state: keeper.readState(),
		}));
	}

	stop(): void {
		for (const keeper of this.#keepers.values()) {
			keeper.stop();
		}

		this.#keepers.clear();
		this.#borrower?.stop();
	}

	#answerHeld(ownerId: string, target: string, dataCentre: string): void {
		const slots = this.#borrower?.listHeld({target, dataCentre}) ?? [];
		this.#ports.sendToOwner(ownerId, {t: 'held', target, dataCentre, slots});
	}

	#deliverToSelf(message: Message): boolean {
		const {ownerId, hostKey} = this.#ports;
		return this.receiveRequest({ownerId, hostKey}, message);
	}

	#replyToSelf(message: Message): boolean {
		const {ownerId, hostKey, dataCentre} = this.#ports;
		return this.receiveReply({ownerId, hostKey, dataCentre}, message);
	}
}

function receiveAsKeeper(
	keeper: Keeper,
	ownerId: string,
	message: Message,
): void {
	switch (message.t) {
		case 'demand': {
			keeper.receiveDemand(ownerId, message);
			break;
		}

		case 'withdraw': {
			keeper.receiveWithdraw(ownerId, message);
			break;
		}

		case 'release': {
			keeper.receiveRelease(message);
			break;
		}

		case 'lease': {
			keeper.receiveLease(ownerId, message);
			break;
		}

		case 'shift': {
			keeper.receiveShift(ownerId, message);
			break;
		}

		case 'keeper-state': {
			keeper.receiveState(message);
			break;
		}

		default: {
			break;
		}
	}
}

function receiveAsBorrower(
	borrower: Borrower,
	keeper: string,
	message: Message,
): boolean {
	switch (message.t) {
		case 'grant': {
			borrower.receiveGrant(keeper, message);
			return true;
		}

		case 'refuse': {
			borrower.receiveRefuse(message);
			return true;
		}

		case 'recall': {
			borrower.receiveRecall(message);
			return true;
		}

		case 'hunger': {
			borrower.receiveHunger(keeper, message);
			return true;
		}

		case 'leased': {
			borrower.receiveLeased(keeper, message);
			return true;
		}

		default: {
			return false;
		}
	}
}
