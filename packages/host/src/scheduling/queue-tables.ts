/**
The operators' configuration at this host: read and watched in the store, and passed between hosts.

Every host watches the store itself and announces each new version's number to peers, which ask for
the text only if their own watch does not bring it. So a host that can't reach the store, or whose
watch has gone silent, gets the version from a host that has it. If each host sent the text to each
other one, a large configuration would fill the links of all hosts at each change. A version is never
replaced by a lower one.
*/
import {type QueueTable} from '@gentianshift/scheduling';
import {type MessageOf} from '@gentianshift/protocol';
import {waitFor} from '../timers.js';
import {
	type ConfigurationRead,
	type QueueTableSource,
} from './host-dependencies.js';

/**
How long one watch waits. A watch that has gone silent is noticed no sooner, so this stays under the
two seconds within which a change must be in force also on hosts that no peer informs.
*/
const watchWaitMs = 1500;
/** Pause after a call that failed. */
const retryPauseMs = 200;
/**
How long a host whose watch works waits for it to bring a version that a peer has announced, before
it asks for the text.
*/
const ownWatchLimitMs = 100;
/** A peer that was asked for the text has not answered by then, and the next one is asked. */
const askAgainMs = 300;
/** Peers that are remembered as having a version; one of them is reachable in all likelihood. */
const maxAnnouncers = 4;
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
	isKnownService: (service: string) => boolean;
	/**
	Whether executors of the service refuse tasks that exceed their capacity; false while that is
	not known.
	*/
	isCapacityEnforcingService: (service: string) => boolean;
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
	sendVersion: (send: (message: MessageOf<'queue-table'>) => void) => void;
};

export type QueueTablesOptions = {
	source: QueueTableSource;
	/** Sends to the connected hosts that pass versions on. */
	sendToPeers: (message: MessageOf<'queue-table'>) => void;
	random: () => number;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export function createQueueTables({
	source,
	sendToPeers,
	random,
	log,
}: QueueTablesOptions): QueueTables {
	let table: QueueTable | undefined;
	let tableText = '';
	const knownServices = new Set<string>();
	let watchRevision = 0;
	const firstTableController = new AbortController();
	let firstTableWait: Promise<void> | undefined;
	/** The last call of the store's watch succeeded. */
	let isWatching = false;
	let isAsking = false;
	/** Requests to peers that have announced a version that this host lacks, the oldest first. */
	let announcers: Array<{version: number; ask: () => void}> = [];

	function getVersion(): number {
		return table?.version ?? 0;
	}

	/** Asks one announcer after another until a version as high as theirs is in force. */
	async function askAnnouncers(): Promise<void> {
		isAsking = true;
		if (isWatching) {
			await waitFor(ownWatchLimitMs);
		}

		for (;;) {
			announcers = announcers.filter(({version}) => version > getVersion());
			const next = announcers.shift();
			if (!next) {
				break;
			}

			next.ask();
			await waitFor(askAgainMs);
		}

		isAsking = false;
	}

	function applyText(newText: string, origin: string): boolean {
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
		tableText = newText;
		for (const service of [
			...table.services,
			...table.queues.map((queue) => queue.service),
		]) {
			knownServices.add(service);
		}

		firstTableController.abort();
		return true;
	}

	function applyRead(read: ConfigurationRead): void {
		// Earlier history is not needed again, and the store soon discards it.
		watchRevision = Math.max(watchRevision, read.revision);
		if (read.text !== undefined && applyText(read.text, 'store')) {
			sendToPeers({t: 'queue-table', version: getVersion()});
		}
	}

	function receiveNewer(
		{version, text}: MessageOf<'queue-table'>,
		answer: (message: MessageOf<'queue-table'>) => void,
	): void {
		if (text !== undefined) {
			if (applyText(text, 'peer')) {
				sendToPeers({t: 'queue-table', version: getVersion()});
			}

			return;
		}

		const ask = () => {
			answer({t: 'queue-table', version: getVersion(), isAsked: true});
		};

		announcers = [...announcers, {version, ask}].slice(-maxAnnouncers);
		if (!isAsking) {
			void askAnnouncers();
		}
	}

	async function watchStore(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const result = await (isWatching
				? source.watch(watchRevision, watchWaitMs)
				: source.read());
			if (result.isOk()) {
				applyRead(result.value);
				isWatching = watchRevision > 0;
			} else {
				log('configuration can not be read', {
					code: result.error.code,
					reason: result.error.message,
				});
				isWatching = false;
			}

			if (!isWatching) {
				await waitFor(retryPauseMs * (0.5 + random()), signal);
			}
		}
	}

	return {
		getTable: () => table,
		isKnownService: (service) =>
			table === undefined || knownServices.has(service),
		isCapacityEnforcingService: (service) =>
			table?.capacityEnforcingServices.includes(service) ?? false,
		async waitForTable() {
			await firstTableWait;
			return table;
		},
		start(signal) {
			firstTableWait = waitFor(
				firstTableLimitMs,
				AbortSignal.any([signal, firstTableController.signal]),
			);
			void watchStore(signal);
		},
		receive(message, answer) {
			if (message.isAsked) {
				if (table) {
					answer({t: 'queue-table', version: getVersion(), text: tableText});
				}
			} else if (message.version > getVersion()) {
				receiveNewer(message, answer);
			}
		},
		sendVersion(send) {
			if (table) {
				send({t: 'queue-table', version: table.version});
			}
		},
	};
}
