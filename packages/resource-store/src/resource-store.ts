/**
Resources in the platform's store: changed by compare-and-swap, read whole, and watched.
*/
import {type ResultAsync} from 'neverthrow';
import {type Resource, type ResourceKey} from '@gentianshift/resources';
import {createChanger, type ChangeFailure, type Change} from './change.js';
import {type PlatformFailure} from './failure.js';
import {type KeyValue} from './key-value.js';
import {
	absentRecord,
	findChangeRevision,
	formatStoreKey,
	parseRecord,
	parseResource,
	parseStoreKey,
	type StoredRecord,
} from './resource-record.js';
import {type WatchEvent} from './watch.js';

export type Snapshot = {revision: number; resources: Resource[]};

export type ResourceEvent =
	| {type: 'resource'; resource: Resource}
	| Exclude<WatchEvent, {type: 'put'} | {type: 'delete'}>;

/** What is known of a change: `not-found` says nothing of one still on its way. */
export type ChangeState = 'in-force' | 'replaced' | 'not-found';

export type ResourceStore = {
	/** "Accepted" (ok) is said only after the commit is known. */
	changeResource: (change: Change) => ResultAsync<Resource, ChangeFailure>;
	/** Asks about a change whose outcome was unknown. */
	findChange: (
		key: ResourceKey,
		changeId: string,
	) => ResultAsync<ChangeState, PlatformFailure>;
	readAll: () => ResultAsync<Snapshot, PlatformFailure>;
	/** What changed since a revision; deletes made with this store are included. */
	readChanges: (
		sinceRevision: number,
	) => ResultAsync<Snapshot, PlatformFailure>;
	watchAll: (
		fromRevision: number,
		signal: AbortSignal,
	) => AsyncGenerator<ResourceEvent>;
};

export type ResourceStoreOptions = {
	keyValue: KeyValue;
	/** Of all resource keys, ending in "/". */
	prefix: string;
	/** Waits between attempts to settle a lost reply. */
	delay: (ms: number) => Promise<void>;
	/** Told of keys that hold no resource: they are passed over, the rest stays in force. */
	onMalformed?: (key: string) => void;
};

export function createResourceStore({
	keyValue,
	prefix,
	delay,
	onMalformed,
}: ResourceStoreOptions): ResourceStore {
	const readRecord = (
		key: ResourceKey,
	): ResultAsync<StoredRecord, PlatformFailure> =>
		keyValue.readKey(formatStoreKey(prefix, key)).map((entry) =>
			entry
				? parseRecord(entry).unwrapOr({
						revision: entry.modRevision,
						version: entry.version,
					})
				: absentRecord,
		);

	const readSince = (
		minRevision?: number,
	): ResultAsync<Snapshot, PlatformFailure> =>
		keyValue.readRange(prefix, minRevision).map(({revision, entries}) => ({
			revision,
			resources: entries.flatMap((entry) => [
				...readEvent({type: 'put', entry}),
			]),
		}));

	function* readEvent(
		event: Extract<WatchEvent, {type: 'put'} | {type: 'delete'}>,
	): Generator<Resource> {
		const resource =
			event.type === 'put'
				? parseResource(prefix, event.entry)
				: parseStoreKey(prefix, event.key).map((key) => ({
						...key,
						revision: event.modRevision,
						changeId: '',
						spec: null,
					}));
		if (resource.isOk()) {
			yield resource.value;
		} else {
			onMalformed?.(resource.error.key);
		}
	}

	return {
		changeResource: createChanger({keyValue, prefix, readRecord, delay}),
		findChange: (key, changeId) =>
			readRecord(key).map((stored) => describeChange(stored, changeId)),
		readAll: () => readSince(),
		readChanges: (sinceRevision) => readSince(sinceRevision + 1),
		async *watchAll(fromRevision, signal) {
			for await (const event of keyValue.watchPrefix(
				prefix,
				fromRevision,
				signal,
			)) {
				if (event.type === 'put' || event.type === 'delete') {
					for (const resource of readEvent(event)) {
						yield {type: 'resource', resource};
					}
				} else {
					yield event;
				}
			}
		},
	};
}

function describeChange(stored: StoredRecord, changeId: string): ChangeState {
	const revision = findChangeRevision(stored, changeId);
	if (revision === undefined) {
		return 'not-found';
	}

	return revision === stored.revision ? 'in-force' : 'replaced';
}
