/**
The operators' configuration at this host: followed in the store, and passed between hosts.

Every host watches the store for itself and tells its peers each new version. So a host that the
store does not serve, or whose watch has gone silent, has the version as soon as any host it
reaches. A version never gives way to a lower one.
*/
import {type QueueTable} from '@gentianshift/scheduling';
import {type MessageOf} from '@gentianshift/protocol';
import {waitFor} from '../timers.js';
import {type ConfigurationRead, type QueueTableSource} from './surroundings.js';

/**
One watch waits this long. A watch that has gone silent is noticed no sooner, so it stays under
the two seconds in which a change has to be in force for hosts that no peer tells.
*/
const watchWaitMs = 1500;
/** Pause after a call that failed. */
const retryMs = 200;
/**
Requests that come before the first configuration wait for it until this long after the start: the
store answers in some milliseconds, and a call that is lost is made again within this time.
*/
const firstTableLimitMs = 1000;

export type QueueTables = {
	/** Undefined: none is known yet. */
	getTable: () => QueueTable | undefined;
	/**
	Whether the configuration names the service, or did before: runs of one that was taken away end in peace. True while no
	configuration is known.
	*/
	isNamedService: (service: string) => boolean;
	/** Whether executors of the service refuse what their capacity doesn't hold; false while that is not known. */
	isGuardedService: (service: string) => boolean;
	/** The table as soon as one is in force; undefined at once when the host has waited long enough. */
	waitForTable: () => Promise<QueueTable | undefined>;
	start: (signal: AbortSignal) => void;
	/** A peer's version, or its question for ours. */
	receive: (
		message: MessageOf<'queue-table'>,
		answer: (message: MessageOf<'queue-table'>) => void,
	) => void;
	/** Tells a new peer which version this host has. */
	tell: (send: (message: MessageOf<'queue-table'>) => void) => void;
};

export type QueueTablesOptions = {
	source: QueueTableSource;
	/** Sends to all peers. */
	tellPeers: (message: MessageOf<'queue-table'>) => void;
	random: () => number;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export function createQueueTables({
	source,
	tellPeers,
	random,
	log,
}: QueueTablesOptions): QueueTables {
	let table: QueueTable | undefined;
	let text = '';
	const services = new Set<string>();
	let revision = 0;
	const firstTable = new AbortController();
	let firstLimit: Promise<void> | undefined;

	function take(newText: string, origin: string): boolean {
		const decoded = source.decode(newText);
		if (decoded.isErr()) {
			log('configuration is not understood', {origin, reason: decoded.error});
			return false;
		}

		if (table && decoded.value.version <= table.version) {
			return false;
		}

		log('configuration in force', {
			origin,
			version: decoded.value.version,
			before: table?.version,
			queues: decoded.value.queues.length,
		});
		table = decoded.value;
		text = newText;
		for (const service of [
			...table.services,
			...table.queues.map((queue) => queue.service),
		]) {
			services.add(service);
		}

		firstTable.abort();
		return true;
	}

	function takeFromStore(read: ConfigurationRead): void {
		// The history before this is not needed again, and the store soon forgets it.
		revision = Math.max(revision, read.revision);
		if (read.text !== undefined && take(read.text, 'store')) {
			tellPeers({t: 'queue-table', version: table!.version, text});
		}
	}

	async function watchStore(signal: AbortSignal): Promise<void> {
		let isWatching = false;
		while (!signal.aborted) {
			const found = await (isWatching
				? source.watch(revision, watchWaitMs)
				: source.read());
			if (found.isOk()) {
				takeFromStore(found.value);
				isWatching = revision > 0;
			} else {
				log('configuration can not be read', {
					code: found.error.code,
					reason: found.error.message,
				});
				isWatching = false;
			}

			if (!isWatching) {
				await waitFor(retryMs * (0.5 + random()), signal);
			}
		}
	}

	return {
		getTable: () => table,
		isNamedService: (service) => table === undefined || services.has(service),
		isGuardedService: (service) =>
			table?.guardedServices.includes(service) ?? false,
		async waitForTable() {
			await firstLimit;
			return table;
		},
		start(signal) {
			firstLimit = waitFor(
				firstTableLimitMs,
				AbortSignal.any([signal, firstTable.signal]),
			);
			void watchStore(signal);
		},
		receive(message, answer) {
			const own = table?.version ?? 0;
			if (message.isAsked && table) {
				answer({t: 'queue-table', version: own, text});
			} else if (message.version > own && message.text === undefined) {
				answer({t: 'queue-table', version: own, isAsked: true});
			} else if (message.text !== undefined) {
				take(message.text, 'peer');
			}
		},
		tell(send) {
			if (table) {
				send({t: 'queue-table', version: table.version});
			}
		},
	};
}
