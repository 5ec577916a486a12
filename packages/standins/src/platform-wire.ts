/**
The etcd gateway's requests and replies, as the platform stand-in reads and writes them.
*/
import {Buffer} from 'node:buffer';

export type Entry = {
	key: string;
	value: string;
	create_revision: number;
	mod_revision: number;
	version: number;
	lease: string;
};
export type StoreEvent = {type: 'PUT' | 'DELETE'; kv: Entry};
export type KeyRange = {key: string; range_end?: string};
type CompareTarget = 'mod_revision' | 'create_revision' | 'version';
export type WireCompare = {
	key: string;
	target?: 'MOD' | 'CREATE' | 'VERSION';
	result?: 'EQUAL' | 'GREATER' | 'LESS' | 'NOT_EQUAL';
} & Partial<Record<CompareTarget, string | number>>;
export type WireTxn = {
	compare?: WireCompare[];
	success?: WireOperation[];
	failure?: WireOperation[];
};
export type WireOperation = {
	request_put?: {key: string; value?: string; lease?: string};
	request_range?: KeyRange & {min_mod_revision?: string};
	request_delete_range?: KeyRange;
	request_txn?: WireTxn;
};
export type WireReply = Record<string, unknown>;
/** Thrown for a request that the service refuses; nothing of it took effect. */
export class RefusedRequest extends Error {
	override name = 'RefusedRequest';
}

/** The reply of a range, as on the wire: numbers as strings, an empty list left out. */
export function formatRange(
	header: {revision: string},
	entries: Entry[],
): WireReply {
	return {
		header,
		...(entries.length > 0 && {kvs: entries.map((kv) => formatEntry(kv))}),
		count: String(entries.length),
	};
}

export function formatEntry(entry: Entry): WireReply {
	return Object.fromEntries(
		Object.entries(entry)
			.map(([name, value]) => [name, String(value)] as const)
			.filter(([, value]) => value !== '' && value !== '0'),
	);
}

export function isInRange(key: string, range: KeyRange): boolean {
	if (range.range_end === undefined || range.range_end === '') {
		return key === range.key;
	}

	return (
		compareKeys(key, range.key) >= 0 && compareKeys(key, range.range_end) < 0
	);
}

/** Compares base64 keys by their bytes. */
export function compareKeys(a: string, b: string): number {
	return Buffer.compare(Buffer.from(a, 'base64'), Buffer.from(b, 'base64'));
}
