/**
What lending and borrowing need of this host, gathered from its parts.
*/
import {type Mesh} from '@gentianshift/protocol';
import {type SlotPorts} from '@gentianshift/slots';
import {type Metrics} from '@gentianshift/telemetry';
import {type Directory} from './directory.js';
import {readNow, type Identity} from './identity.js';
import {type OwnerSessions} from './mesh-handlers.js';
import {type ResourceLookup} from './resource-lookup.js';

export type SlotParts = {
	identity: Identity;
	random: () => number;
	/** Made after the slots, whose messages it carries. */
	getMesh: () => Mesh;
	sessions: OwnerSessions;
	directory: Directory;
	lookup: ResourceLookup;
	metrics: Metrics;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export function createSlotPorts({
	identity,
	random,
	getMesh,
	sessions,
	directory,
	lookup,
	metrics,
	log,
}: SlotParts): SlotPorts {
	const {key, ownerId, dataCentre} = identity;
	return {
		hostKey: key,
		ownerId,
		dataCentre,
		now: readNow,
		random,
		sendToHost(hostKey, message) {
			const link = getMesh().findLink(hostKey);
			link?.send(message);
			return link !== undefined;
		},
		sendToOwner: (owner, message) => sessions.send(owner, message),
		findKeeper: (target, place) =>
			directory.listHolders(`keeper/${target}`, place)[0],
		listExecutors: (target, place) => lookup.listExecutors(target, place),
		listDataCentres: (target) => lookup.listDataCentres(target),
		findActiveExecutor: (target, name) => lookup.findActive(target, name),
		isLeaving: (target, executor) => lookup.isLeaving(target, executor),
		listShares: (target) => lookup.listShares(target, dataCentre),
		listPeerHosts: () =>
			getMesh()
				.listLinks()
				.map((link) => link.key),
		log,
		countWasted(reason, count = 1) {
			metrics.wasted.inc({reason}, count);
		},
	};
}
