/**
The executors as the store lists them, read again and again: often by the holder of a group, which
must see one that drains or comes within two seconds; rarely and cheaply by the others, which need
a list to begin with when they take a group over while the store is away.

A watch is no help here: every heartbeat of every executor would wake it.
*/
import {type Executor} from '@gentianshift/scheduling';
import {waitFor} from '../timers.js';
import {type ExecutorSource} from './surroundings.js';

/** A holder's pause: a third of the two seconds within which a draining executor must be known. */
const holderEveryMs = 600;
/** What others have may be this old when they take over, and is then read at once. */
const standbyEveryMs = 3000;
/** Pause after a read that failed. */
const retryMs = 250;

export type ExecutorLists = {
	list: () => readonly Executor[];
	start: (signal: AbortSignal) => void;
	/** Reads now: this host takes a group over. */
	refresh: () => void;
};

export function createExecutorLists({
	source,
	isHolder,
	onList,
	random,
	log,
}: {
	source: ExecutorSource;
	isHolder: () => boolean;
	onList: (executors: readonly Executor[]) => void;
	random: () => number;
	log: (message: string, fields: Record<string, unknown>) => void;
}): ExecutorLists {
	let executors: readonly Executor[] = [];
	let wake = new AbortController();

	async function read(): Promise<boolean> {
		const found = await source.list({mayBeStale: !isHolder()});
		if (found.isErr()) {
			log('executors can not be listed', {
				code: found.error.code,
				reason: found.error.message,
			});
			return false;
		}

		executors = found.value;
		onList(executors);
		return true;
	}

	async function repeatReads(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const isRead = await read();
			const everyMs = isHolder() ? holderEveryMs : standbyEveryMs;
			const pauseMs = (isRead ? everyMs : retryMs) * (0.75 + random() / 2);
			wake = new AbortController();
			await waitFor(pauseMs, AbortSignal.any([signal, wake.signal]));
		}
	}

	return {
		list: () => executors,
		start(signal) {
			void repeatReads(signal);
		},
		refresh() {
			wake.abort();
		},
	};
}
