/**
A borrower's leases: one for each target and data centre where it has demand or holds slots.
*/
import {Lease} from './lease.js';

export type Place = {target: string; dataCentre: string};

type Entry = Place & {lease: Lease};

export class LeaseBook {
	readonly #entries = new Map<string, Entry>();

	get(place: Place): Lease | undefined {
		return this.#entries.get(formatPlace(place))?.lease;
	}

	open(place: Place, keeper: string | undefined): Lease {
		const lease = new Lease();
		lease.changeKeeper(keeper);
		this.#entries.set(formatPlace(place), {...place, lease});
		return lease;
	}

	list(): Entry[] {
		return [...this.#entries.values()];
	}

	/** Leases of a target that one keeper grants: usually one. */
	listWith(keeper: string, target: string): Entry[] {
		return this.list().filter(
			(entry) => entry.lease.keeper === keeper && entry.target === target,
		);
	}

	delete(place: Place): void {
		this.#entries.delete(formatPlace(place));
	}
}

export function formatPlace({target, dataCentre}: Place): string {
	return `${target}/${dataCentre}`;
}
