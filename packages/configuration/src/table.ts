/**
The resources (configuration) in force on this host, merged by revision.

Resources arrive out of order, repeatedly and late: from snapshots of the store, from its watch, and
from peers that were partitioned. The merge is safe because of one invariant: only a higher revision replaces a
resource. Deleted resources stay as tombstones; without one, an older copy from a peer would count as new and
restore the deleted resource.
*/
import {
	formatKey,
	type Kind,
	type Resource,
	type ResourceKey,
} from '@gentianshift/resources';

/** Hashes text to an unsigned 64-bit integer: `h64` of xxhash-wasm, which the host loads once. */
export type Hash64 = (text: string) => bigint;

/** Identifies the set of keys and revisions in a table: two tables with equal digests hold the same resources. */
export type Digest = {
	/** The highest revision of any resource, tombstones included; 0 in an empty table. */
	revision: number;
	/** 16 hexadecimal digits. */
	hash: string;
};

export type ResourceListener = (
	resource: Resource,
	previous: Resource | undefined,
) => void;

export type ResourceTable = {
	/** Stores the resource if its revision is higher than that of the stored one; returns whether it was stored. */
	apply: (resource: Resource) => boolean;
	/** Applies the full content of the store at `storeRevision`. Stored resources of an earlier revision that are absent from it become tombstones. */
	applySnapshot: (
		resources: readonly Resource[],
		storeRevision: number,
	) => void;
	/** Undefined if the resource is unknown or deleted. */
	get: (key: ResourceKey) => Resource | undefined;
	/** Sorted by name, without tombstones. */
	list: (kind: Kind) => Resource[];
	/** Finds by formatted key, tombstones included. */
	findEntry: (key: string) => Resource | undefined;
	/** All keys, tombstones included, sorted. */
	listKeys: () => string[];
	computeDigest: () => Digest;
	/** Calls the listener for each resource that is stored, tombstones included; returns a function that unsubscribes. */
	subscribe: (listener: ResourceListener) => () => void;
};

const hashDigits = 16;

export function createResourceTable(hash64: Hash64): ResourceTable {
	const entries = new Map<string, Resource>();
	const listeners = new Set<ResourceListener>();
	let maxRevision = 0;
	let snapshotRevision = 0;
	// Sum of all entries' hashes modulo 2^64, so that a changed entry costs one subtraction and one addition.
	let hashSum = 0n;
	let sortedKeys: string[] | undefined;

	const hashEntry = (key: string, revision: number): bigint =>
		hash64(`${key}@${revision}`);

	/**
	Turns a resource into a tombstone if its key is unknown here and its revision isn't above the last
	snapshot's: the snapshot would have shown it, so it was deleted before. A host that never held the resource has no
	tombstone for it, and a peer that was partitioned could restore it; the next exchange sends this tombstone to that peer.
	*/
	function replaceIfDeleted(
		resource: Resource,
		previous: Resource | undefined,
	): Resource {
		return previous !== undefined || resource.revision > snapshotRevision
			? resource
			: buildTombstone(resource, snapshotRevision);
	}

	function apply(received: Resource): boolean {
		const key = formatKey(received);
		const previous = entries.get(key);
		const resource = replaceIfDeleted(received, previous);
		if (previous && previous.revision >= resource.revision) {
			return false;
		}

		if (previous) {
			hashSum = BigInt.asUintN(64, hashSum - hashEntry(key, previous.revision));
		} else {
			sortedKeys = undefined;
		}

		hashSum = BigInt.asUintN(64, hashSum + hashEntry(key, resource.revision));
		entries.set(key, resource);
		maxRevision = Math.max(maxRevision, resource.revision);
		for (const listener of listeners) {
			listener(resource, previous);
		}

		return true;
	}

	function applySnapshot(
		resources: readonly Resource[],
		storeRevision: number,
	): void {
		const present = new Set(resources.map((resource) => formatKey(resource)));
		for (const resource of resources) {
			apply(resource);
		}

		for (const [key, entry] of entries) {
			const isDeleted =
				!present.has(key) &&
				entry.spec !== null &&
				entry.revision < storeRevision;
			if (isDeleted) {
				apply(buildTombstone(entry, storeRevision));
			}
		}

		snapshotRevision = Math.max(snapshotRevision, storeRevision);
	}

	return {
		apply,
		applySnapshot,
		get(key) {
			const entry = entries.get(formatKey(key));
			return entry?.spec === null ? undefined : entry;
		},
		list: (kind) =>
			[...entries.values()]
				.filter((entry) => entry.kind === kind && entry.spec !== null)
				.toSorted((a, b) => (a.name < b.name ? -1 : 1)),
		findEntry: (key) => entries.get(key),
		listKeys() {
			sortedKeys ??= [...entries.keys()].toSorted();
			return sortedKeys;
		},
		computeDigest: () => ({
			revision: maxRevision,
			hash: hashSum.toString(16).padStart(hashDigits, '0'),
		}),
		subscribe(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
}

function buildTombstone({kind, name}: ResourceKey, revision: number): Resource {
	return {kind, name, revision, changeId: '', spec: null};
}
