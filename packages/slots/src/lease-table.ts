/**
A borrower's leases: one for each target and data centre where it has demand or holds slots.
*/
import {Lease} from './lease.js';

export type LeaseKey = {target: string; dataCentre: string};

type Entry = LeaseKey & {lease: Lease};

export class LeaseTable {
	readonly #entries = new Map<string, Entry>();

	get(leaseKey: LeaseKey): Lease | undefined {
		return this.#entries.get(formatLeaseKey(leaseKey))?.lease;
	}

	open(leaseKey: LeaseKey, keeper: string | undefined): Lease {
		const lease = new Lease();
		lease.changeKeeper(keeper);
		this.#entries.set(formatLeaseKey(leaseKey), {...leaseKey, lease});
		return lease;
	}

	list(): Entry[] {
		return [...this.#entries.values()];
	}

	/** Leases of a target that one keeper grants: usually one. */
	listByKeeper(keeper: string, target: string): Entry[] {
		return this.list().filter(
			(entry) => entry.lease.keeper === keeper && entry.target === target,
		);
	}

	delete(leaseKey: LeaseKey): void {
		this.#entries.delete(formatLeaseKey(leaseKey));
	}
}

export function formatLeaseKey({target, dataCentre}: LeaseKey): string {
	return `${target}/${dataCentre}`;
}
