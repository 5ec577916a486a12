/**
What operators have written in the store, read at the start and then watched.

A host that can't reach the store, or whose watch has gone silent, learns of changes from its peers.
*/
import {type Background} from '@gentianshift/scheduling';
import {
	type OperatorChange,
	type OperatorRead,
	type OperatorSource,
} from './host-dependencies.js';

/**
How long one watch waits. A watch that has gone silent is noticed no sooner, so this stays under the
two seconds within which a change must be in force also on hosts that no peer informs.
*/
const watchWaitMs = 1500;
/** Pause after a call that failed. */
const retryPauseMs = 200;

export type OperatorWatch = {
	/** Whether the last call of the store's watch succeeded. */
	isWatching: () => boolean;
	start: (signal: AbortSignal) => void;
};

export type OperatorWatchOptions = {
	source: Pick<OperatorSource, 'read' | 'watch'>;
	/** All that operators have written; replaces what was known before. */
	onRead: (read: OperatorRead) => void;
	/** What operators have changed since the last read or change. */
	onChange: (change: OperatorChange) => void;
	wait: (ms: number, signal: AbortSignal) => Promise<void>;
	random: () => number;
	background: Background;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export function createOperatorWatch({
	source,
	onRead,
	onChange,
	wait,
	random,
	background,
	log,
}: OperatorWatchOptions): OperatorWatch {
	let watchRevision = 0;
	let isWatching = false;

	async function readOnce(): Promise<boolean> {
		const result = await source.read();
		if (result.isErr()) {
			reportFailure(result.error);
			return false;
		}

		watchRevision = Math.max(watchRevision, result.value.revision);
		onRead(result.value);
		return true;
	}

	async function watchOnce(): Promise<boolean> {
		const result = await source.watch(watchRevision, watchWaitMs);
		if (result.isErr()) {
			reportFailure(result.error);
			return false;
		}

		// Earlier history is not needed again, and the store soon discards it.
		watchRevision = Math.max(watchRevision, result.value.revision);
		onChange(result.value);
		return true;
	}

	function reportFailure({code, message}: {code: string; message: string}) {
		log('configuration can not be read', {code, reason: message});
	}

	async function readOrWatch(signal: AbortSignal): Promise<void> {
		const isDone = await (isWatching ? watchOnce() : readOnce());
		isWatching = isDone && watchRevision > 0;
		if (!isWatching) {
			await wait(retryPauseMs * (0.5 + random()), signal);
		}
	}

	return {
		isWatching: () => isWatching,
		start(signal) {
			background.repeat(
				{work: 'watch of the configuration'},
				async () => readOrWatch(signal),
				{
					signal,
					onException() {
						isWatching = false;
					},
				},
			);
		},
	};
}
