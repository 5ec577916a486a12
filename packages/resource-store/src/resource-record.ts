/**
How a resource is kept in the platform's store: one key each, its value a JSON record.

A deleted resource keeps its key, with a record whose spec is null. A plain delete of the key
would carry no change id, so an operator whose reply was lost could never learn whether the
delete took effect, and a host that was away could not tell "deleted" from "not yet heard of".
The cost is one small key for each name ever used; `etcdctl del` of it is safe while no change of
that resource is under way.
*/
import {err, ok, type Result} from 'neverthrow';
import {
	formatKey,
	kindSchema,
	nameSchema,
	type Resource,
	type ResourceKey,
} from '@gentianshift/resources';
import {z} from 'zod';
import {type StoreEntry} from './gateway-schemas.js';

/** Changes of one resource that stay findable by id after others replaced them. */
export const maxHistory = 16;

/** The value of a resource's key. */
export const resourceRecordSchema = z.object({
	changeId: z.string(),
	spec: z.unknown().nullable(),
	/** Earlier changes with the revision each made, the latest first. */
	history: z
		.array(z.object({changeId: z.string(), revision: z.number().int()}))
		.default([]),
});

export type ResourceRecord = z.infer<typeof resourceRecordSchema>;

/** A resource as read: its entry's revision and version beside the record. Absent: revision 0. */
export type StoredRecord = {
	revision: number;
	version: number;
	record?: ResourceRecord;
};

export const absentRecord: StoredRecord = {revision: 0, version: 0};

export type MalformedEntry = {code: 'malformed-entry'; key: string};

export function formatStoreKey(prefix: string, key: ResourceKey): string {
	return prefix + formatKey(key);
}

/** Reads a key below the prefix back to kind and name. */
export function parseStoreKey(
	prefix: string,
	key: string,
): Result<ResourceKey, MalformedEntry> {
	const [kindText, nameText, ...rest] = key.slice(prefix.length).split('/');
	const kind = kindSchema.safeParse(kindText);
	const name = nameSchema.safeParse(nameText);
	if (!kind.success || !name.success || rest.length > 0) {
		return err({code: 'malformed-entry', key});
	}

	return ok({kind: kind.data, name: name.data});
}

export function parseRecord(
	entry: StoreEntry,
): Result<StoredRecord, MalformedEntry> {
	const record = parseJson(entry.value);
	if (!record.success) {
		return err({code: 'malformed-entry', key: entry.key});
	}

	return ok({
		revision: entry.modRevision,
		version: entry.version,
		record: record.data,
	});
}

export function parseResource(
	prefix: string,
	entry: StoreEntry,
): Result<Resource, MalformedEntry> {
	return parseStoreKey(prefix, entry.key).andThen((key) =>
		parseRecord(entry).map(({revision, record}) => ({
			...key,
			revision,
			changeId: record!.changeId,
			spec: record!.spec ?? null,
		})),
	);
}

/** The revision that operators know: a deleted resource counts as absent, 0. */
export function getVisibleRevision({revision, record}: StoredRecord): number {
	return record?.spec === null || record === undefined ? 0 : revision;
}

/** The revision that a change made, where the record still knows it. */
export function findChangeRevision(
	{revision, record}: StoredRecord,
	changeId: string,
): number | undefined {
	if (record?.changeId === changeId) {
		return revision;
	}

	return record?.history.find((past) => past.changeId === changeId)?.revision;
}

/** The record that follows a stored one. */
export function buildNextRecord(
	{revision, record}: StoredRecord,
	{changeId, spec}: {changeId: string; spec: unknown},
): ResourceRecord {
	const past = record
		? [{changeId: record.changeId, revision}, ...record.history]
		: [];
	return {changeId, spec: spec ?? null, history: past.slice(0, maxHistory)};
}

/**
Whether the history of `now` reaches back to `base`, so that a change made on top of `base` that
is not in it has not happened, and, being compared with `base`'s revision, never will.
*/
export function coversBase(now: StoredRecord, base: StoredRecord): boolean {
	return now.version > base.version && now.version - base.version <= maxHistory;
}

function parseJson(text: string): z.ZodSafeParseResult<ResourceRecord> {
	try {
		return resourceRecordSchema.safeParse(JSON.parse(text));
	} catch {
		return resourceRecordSchema.safeParse(undefined);
	}
}
