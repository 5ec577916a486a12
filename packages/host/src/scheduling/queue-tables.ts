/**
The operators' configuration at this host: read and watched in the store, and passed between hosts.

Every host watches the store itself and sends each new version to its peers. So a host that can't
reach the store, or whose watch has gone silent, gets the version as soon as any host that it is
connected to has it. A version is never replaced by a lower one.
*/
import {type QueueTable} from '@gentianshift/scheduling';
import {type MessageOf} from '@gentianshift/protocol';
import {waitFor} from '../timers.js';
import {type ConfigurationRead, type QueueTableSource} from './surroundings.js';

/**
How long one watch waits. A watch that has gone silent is noticed no sooner, so this stays under the
two seconds within which a change must be in force also on hosts that no peer informs.
*/
const watchWaitMs = 1500;
/** Pause after a call that failed. */
const retryMs = 200;
/**
Requests that arrive before the first configuration wait for it until this long after the start. The
store answers within some milliseconds, and a call whose answer is lost is repeated within this
time.
*/
const firstTableLimitMs = 1000;

export type QueueTables = {
	/** Undefined: no configuration is known yet. */
	getTable: () => QueueTable | undefined;
	/**
	Whether the configuration names the service, or an earlier one did: tasks of a removed service
	may run to their end. True while no configuration is known.
	*/
	isNamedService: (service: string) => boolean;
	/**
	Whether executors of the service refuse tasks that exceed their capacity; false while that is
	not known.
	*/
	isGuardedService: (service: string) => boolean;
	/**
	Resolves as soon as a table is in force; with undefined, at once, when the time for the first
	one is over.
	*/
	waitForTable: () => Promise<QueueTable | undefined>;
	start: (signal: AbortSignal) => void;
	/** Handles a peer's version, or its request for this host's version. */
	receive: (
		message: MessageOf<'queue-table'>,
		answer: (message: MessageOf<'queue-table'>) => void,
	) => void;
	/** Sends this host's version number to a new peer. */
	tell: (send: (message: MessageOf<'queue-table'>) => void) => void;
};

export type QueueTablesOptions = {
	source: QueueTableSource;
	/** Sends to all connected hosts. */
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
			log('configuration is not valid', {origin, reason: decoded.error});
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
		// Earlier history is not needed again, and the store soon discards it.
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
