/**
Slots on their way back to their keepers, gathered so that many travel in one message.
*/
import {type SlotOutcome} from '@gentianshift/decisions';
import {type MessageOf} from '@gentianshift/protocol';
import {formatPlace, type Place} from './lease-book.js';

/**
How long releases are gathered while nothing waits at the keeper, milliseconds. A job's last
tasks end over hundreds of milliseconds, a message each else; a job that comes meanwhile finds
these slots that much later, a twentieth of a task.
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

	/** `isHungry`: work waits at the keeper; the slot goes back with this loop turn. */
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

	/** Sends all that was gathered. */
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
