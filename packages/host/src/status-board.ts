/**
The live state of all hosts, as each tells the others: for operators who ask any one of them.
*/
import {type Link, type MessageOf} from '@gentianshift/protocol';

export type HostStatus = Omit<MessageOf<'host-status'>, 't'>;

export class StatusBoard {
	readonly #statuses = new Map<string, HostStatus>();
	readonly #selfKey: string;
	readonly #readOwn: () => HostStatus;

	constructor(selfKey: string, readOwn: () => HostStatus) {
		this.#selfKey = selfKey;
		this.#readOwn = readOwn;
	}

	/** By host key. */
	listAll(): ReadonlyMap<string, HostStatus> {
		return this.#statuses;
	}

	receive(hostKey: string, {t, ...status}: MessageOf<'host-status'>): void {
		this.#statuses.set(hostKey, status);
	}

	forget(hostKey: string): void {
		this.#statuses.delete(hostKey);
	}

	/** Reads this host's state and tells it to its peers. */
	tell(links: readonly Link[]): HostStatus {
		const status = this.#readOwn();
		this.#statuses.set(this.#selfKey, status);
		for (const link of links) {
			link.send({t: 'host-status', ...status});
		}

		return status;
	}
}
