/**
Buffers slots to be returned to their keepers, so that one message returns many slots.
*/
import {type SlotOutcome} from '@gentianshift/decisions';
import {type MessageOf} from '@gentianshift/protocol';
import {formatLeaseKey, type LeaseKey} from './lease-table.js';

/**
Time in milliseconds that releases are buffered while no tasks are queued at the keeper. The last tasks
of a job end over hundreds of milliseconds, and without buffering each would cost a message. A job
that arrives in this time gets the buffered slots later by at most this time, a twentieth of a task.
*/
const bufferMs = 10;

type BufferedRelease = {leaseKey: LeaseKey; message: MessageOf<'release'>};

export class ReleaseBuffer {
	readonly #send: (leaseKey: LeaseKey, message: MessageOf<'release'>) => void;
	#buffered = new Map<string, BufferedRelease>();
	#isFlushScheduled = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(
		send: (leaseKey: LeaseKey, message: MessageOf<'release'>) => void,
	) {
		this.#send = send;
	}

	/** Buffers a slot. If tasks are queued at the keeper, the buffer is sent at the end of this event loop turn. */
	add(
		{target, dataCentre}: LeaseKey,
		{slot, hasQueuedTasks}: {slot: number; hasQueuedTasks: boolean},
		outcome: SlotOutcome,
	): void {
		const leaseKey = {target, dataCentre};
		const key = formatLeaseKey(leaseKey);
		const release = this.#buffered.get(key) ?? {
			leaseKey,
			message: {t: 'release', target, slots: []},
		};
		release.message.slots.push({slot, ...outcome});
		this.#buffered.set(key, release);
		this.#schedule(hasQueuedTasks);
	}

	/** Sends all buffered releases, in one message for each keeper. */
	flush(): void {
		this.stop();
		this.#isFlushScheduled = false;
		const buffered = this.#buffered;
		this.#buffered = new Map();
		for (const {leaseKey, message} of buffered.values()) {
			this.#send(leaseKey, message);
		}
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#schedule(hasQueuedTasks: boolean): void {
		if (hasQueuedTasks && !this.#isFlushScheduled) {
			this.#isFlushScheduled = true;
			setImmediate(() => {
				this.flush();
			});
		}

		this.#timer ??= setTimeout(() => {
			this.flush();
		}, bufferMs);
	}
}
