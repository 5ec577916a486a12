/**
The resources in force on this host, merged by revision.

Resources arrive in any order, more than once, and late: from the store's snapshot, from a watch,
from peers that were cut off. The one rule that makes all of it safe: a resource is replaced by a
higher revision only. Deleted ones stay as tombstones, since without them an older copy from a
peer would look new and bring the deleted resource back.
*/
import {
	formatKey,
	type Kind,
	type Resource,
	type ResourceKey,
} from '@gentianshift/resources';

/** Hashes text to 64 bits; `h64` of xxhash-wasm, loaded once by the host. */
export type Hash64 = (text: string) => bigint;

/** Sums up which revision of each resource a table holds: equal digests, equal tables. */
export type Digest = {
	/** The highest revision of any resource. */
	revision: number;
	/** 16 hexadecimal digits. */
	hash: string;
};

export type ResourceListener = (
	resource: Resource,
	previous: Resource | undefined,
) => void;

export type ResourceTable = {
	/** Takes a resource if it is newer than the one held; tells whether it was. */
	apply: (resource: Resource) => boolean;
	/** Takes all resources of the store at one revision: what isn't there was deleted before it. */
	applySnapshot: (
		resources: readonly Resource[],
		storeRevision: number,
	) => void;
	/** Undefined: absent or deleted. */
	get: (key: ResourceKey) => Resource | undefined;
	/** Sorted by name, without deleted ones. */
	list: (kind: Kind) => Resource[];
	/** By key, tombstones included. */
	readEntry: (key: string) => Resource | undefined;
	/** All keys, tombstones included, sorted. */
	listKeys: () => string[];
	digest: () => Digest;
	/** Tells of each newer resource, tombstones included; returns what ends it. */
	subscribe: (listener: ResourceListener) => () => void;
};

const digestDigits = 16;

export function createResourceTable(hash64: Hash64): ResourceTable {
	const entries = new Map<string, Resource>();
	const listeners = new Set<ResourceListener>();
	let maxRevision = 0;
	let snapshotRevision = 0;
	// The sum of all entries' hashes: one entry's part is taken out and put in alone.
	let hash = 0n;
	let sortedKeys: string[] | undefined;

	const hashEntry = (key: string, revision: number): bigint =>
		hash64(`${key}@${revision}`);

	/**
	A key that a whole snapshot did not show, at a revision from before it, was deleted in between.
	A host that never held the resource has no tombstone of it, and a peer that was cut off could
	bring it back; the tombstone made here goes to that peer with the next exchange.
	*/
	function correctDeleted(
		resource: Resource,
		previous: Resource | undefined,
	): Resource {
		return previous !== undefined || resource.revision > snapshotRevision
			? resource
			: buildTombstone(resource, snapshotRevision);
	}

	function apply(given: Resource): boolean {
		const key = formatKey(given);
		const previous = entries.get(key);
		const resource = correctDeleted(given, previous);
		if (previous && previous.revision >= resource.revision) {
			return false;
		}

		if (previous) {
			hash = BigInt.asUintN(64, hash - hashEntry(key, previous.revision));
		} else {
			sortedKeys = undefined;
		}

		hash = BigInt.asUintN(64, hash + hashEntry(key, resource.revision));
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
		readEntry: (key) => entries.get(key),
		listKeys() {
			sortedKeys ??= [...entries.keys()].toSorted();
			return sortedKeys;
		},
		digest: () => ({
			revision: maxRevision,
			hash: hash.toString(16).padStart(digestDigits, '0'),
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
