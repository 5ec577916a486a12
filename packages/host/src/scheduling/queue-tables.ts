/**
The operators' configuration at this host: as the store's watch brings it, and passed between hosts.

Every host watches the store itself and announces each new version's number to peers, which ask for
the text only if their own watch does not bring it. So a host that can't reach the store, or whose
watch has gone silent, gets the version from a host that has it. If each host sent the text to each
other one, a large configuration would fill the links of all hosts at each change. A version is never
replaced by a lower one.
*/
import {type Background, type QueueTable} from '@gentianshift/scheduling';
import {type MessageOf} from '@gentianshift/protocol';
import {waitFor} from '../timers.js';
import {type OperatorSource} from './host-dependencies.js';

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
	/** Handles the configuration as the store holds it. */
	applyText: (text: string) => void;
	/** Handles a peer's version, or its request for this host's version. */
	receive: (
		message: MessageOf<'queue-table'>,
		answer: (message: MessageOf<'queue-table'>) => void,
	) => void;
	/** 0: no configuration is known yet. */
	getVersion: () => number;
};

export type QueueTablesOptions = {
	decode: OperatorSource['decode'];
	/** Whether the watch of the store works, which brings changes sooner than a peer's text does. */
	isWatching: () => boolean;
	/** Sends to the connected hosts that pass versions on. */
	sendToPeers: (message: MessageOf<'queue-table'>) => void;
	background: Background;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export function createQueueTables({
	decode,
	isWatching,
	sendToPeers,
	background,
	log,
}: QueueTablesOptions): QueueTables {
	let table: QueueTable | undefined;
	let tableText = '';
	const knownServices = new Set<string>();
	const firstTableController = new AbortController();
	let firstTableWait: Promise<void> | undefined;
	let isAsking = false;
	/** Requests to peers that have announced a version that this host lacks, the oldest first. */
	let announcers: Array<{version: number; ask: () => void}> = [];

	function getVersion(): number {
		return table?.version ?? 0;
	}

	/** Asks one announcer after another until a version as high as theirs is in force. */
	async function askAnnouncers(): Promise<void> {
		if (isWatching()) {
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
	}

	function startAsking(): void {
		isAsking = true;
		background.run({work: 'asking for the configuration'}, async () => {
			try {
				await askAnnouncers();
			} finally {
				isAsking = false;
			}
		});
	}

	function applyText(newText: string, origin: string): boolean {
		const decoded = decode(newText);
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
			startAsking();
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
		},
		applyText(text) {
			if (applyText(text, 'store')) {
				sendToPeers({t: 'queue-table', version: getVersion()});
			}
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
		getVersion,
	};
}
