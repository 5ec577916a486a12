/**
Buffers slots to be returned to their keepers, so that one message returns many slots.
*/
import {type SlotOutcome} from '@gentianshift/decisions';
import {type MessageOf} from '@gentianshift/protocol';
import {formatPlace, type Place} from './lease-table.js';

/**
Time in milliseconds that releases are buffered while no tasks are queued at the keeper. The last tasks
of a job end over hundreds of milliseconds, and without buffering each would cost a message. A job
that arrives in this time gets the buffered slots later by at most this time, a twentieth of a task.
*/
const gatherMs = 10;

type Gathered = {place: Place; message: MessageOf<'release'>};

export class Releases {
	readonly #send: (place: Place, message: MessageOf<'release'>) => void;
	#gathered = new Map<string, Gathered>();
	#isFlushing = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(send: (place: Place, message: MessageOf<'release'>) => void) {
		this.#send = send;
	}

	/** Buffers a slot. If tasks are queued at the keeper, the buffer is sent at the end of this event loop turn. */
	add(
		{target, dataCentre}: Place,
		{slot, isHungry}: {slot: number; isHungry: boolean},
		outcome: SlotOutcome,
	): void {
		const place = {target, dataCentre};
		const key = formatPlace(place);
		const gathered = this.#gathered.get(key) ?? {
			place,
			message: {t: 'release', target, slots: []},
		};
		gathered.message.slots.push({slot, ...outcome});
		this.#gathered.set(key, gathered);
		this.#schedule(isHungry);
	}

	/** Sends all buffered releases, in one message for each keeper. */
	flush(): void {
		this.stop();
		this.#isFlushing = false;
		const gathered = this.#gathered;
		this.#gathered = new Map();
		for (const {place, message} of gathered.values()) {
			this.#send(place, message);
		}
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
	}

	#schedule(isHungry: boolean): void {
		if (isHungry && !this.#isFlushing) {
			this.#isFlushing = true;
			setImmediate(() => {
				this.flush();
			});
		}

		this.#timer ??= setTimeout(() => {
			this.flush();
		}, gatherMs);
	}
}
