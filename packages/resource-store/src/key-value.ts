/**
The platform's key-value service, as the etcd v3 JSON gateway: range, transaction, lease, watch.
*/
import {type ResultAsync} from 'neverthrow';
import {type PlatformFailure} from './failure.js';
import {
	encodeBase64,
	encodePrefixEnd,
	leaseReplySchema,
	rangeReplySchema,
	txnReplySchema,
	type StoreEntry,
	type TxnReply,
	type TxnRequest,
} from './gateway-schemas.js';
import {createTransport, type TransportOptions} from './transport.js';
import {watchPrefix, type WatchEvent} from './watch.js';

export type RangeReply = {
	/** The store's revision at the time of reading. */
	revision: number;
	entries: StoreEntry[];
};

export type KeyValue = {
	/** All entries under a prefix; only those changed since `minRevision` where given. */
	readRange: (
		prefix: string,
		minRevision?: number,
	) => ResultAsync<RangeReply, PlatformFailure>;
	/** Undefined: no such key. */
	readKey: (
		key: string,
	) => ResultAsync<StoreEntry | undefined, PlatformFailure>;
	commitTxn: (txn: TxnRequest) => ResultAsync<TxnReply, PlatformFailure>;
	/** The id of a new lease: keys put under it are removed when it ends. */
	createLease: (ttlSeconds: number) => ResultAsync<string, PlatformFailure>;
	/** Ends after an `ended` or `compacted` event; leaves reopening to the caller. */
	watchPrefix: (
		prefix: string,
		fromRevision: number,
		signal: AbortSignal,
	) => AsyncGenerator<WatchEvent>;
	close: () => Promise<void>;
};

export type KeyValueOptions = TransportOptions & {
	/**
	A watch without an event or progress notice for this long is ended. The service has to send
	progress at least this often, else a quiet watch is reopened each time: harmless, one call.
	*/
	watchSilenceMs?: number;
};

/** Bound on a watch's silence where none is given, milliseconds. */
const defaultWatchSilenceMs = 5000;

export function createKeyValue(options: KeyValueOptions): KeyValue {
	const transport = createTransport(options);
	const silenceMs = options.watchSilenceMs ?? defaultWatchSilenceMs;

	const callRange = (body: Record<string, string>) =>
		transport.callJson({
			kind: 'range',
			effect: 'read',
			method: 'POST',
			path: '/v3/kv/range',
			body,
			schema: rangeReplySchema,
		});

	return {
		readRange: (prefix, minRevision) =>
			callRange({
				key: encodeBase64(prefix),
				range_end: encodePrefixEnd(prefix),
				...(minRevision !== undefined && {
					min_mod_revision: String(minRevision),
				}),
			}).map(({header, kvs}) => ({revision: header.revision, entries: kvs})),
		readKey: (key) =>
			callRange({key: encodeBase64(key)}).map(({kvs}) => kvs[0]),
		commitTxn: (txn) =>
			transport.callJson({
				kind: 'txn',
				effect: 'write',
				method: 'POST',
				path: '/v3/kv/txn',
				body: txn,
				schema: txnReplySchema,
			}),
		createLease: (ttlSeconds) =>
			transport
				.callJson({
					kind: 'lease',
					effect: 'write',
					method: 'POST',
					path: '/v3/lease/grant',
					body: {TTL: String(ttlSeconds)},
					schema: leaseReplySchema,
				})
				.map(({ID}) => ID),
		watchPrefix: (prefix, fromRevision, signal) =>
			watchPrefix({transport, prefix, fromRevision, signal, silenceMs}),
		close: transport.close,
	};
}
