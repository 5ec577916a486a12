/**
The parts of the etcd v3 JSON gateway that are used: snake_case keys, base64 keys and values,
64-bit numbers as strings; fields with their zero value are left out of replies.
*/
import {Buffer} from 'node:buffer';
import {z} from 'zod';

const int64Schema = z
	.union([z.string(), z.number()])
	.default('0')
	.transform(Number);

const base64Schema = z
	.string()
	.default('')
	.transform((text) => decodeBase64(text));

export const headerSchema = z.object({revision: int64Schema});

const emptyHeader = {revision: 0};

export const keyValueSchema = z
	.object({
		key: base64Schema,
		value: base64Schema,
		mod_revision: int64Schema,
		version: int64Schema,
	})
	.transform(({key, value, mod_revision, version}) => ({
		key,
		value,
		modRevision: mod_revision,
		version,
	}));

/** An entry of the store. `version` counts the writes since the key was created. */
export type StoreEntry = z.infer<typeof keyValueSchema>;

export const rangeReplySchema = z.object({
	header: headerSchema.default(emptyHeader),
	kvs: z.array(keyValueSchema).default([]),
});

const operationReplySchema = z.object({
	response_range: rangeReplySchema.optional(),
	get response_txn() {
		return txnReplySchema.optional();
	},
});

export const txnReplySchema = z.object({
	header: headerSchema.default(emptyHeader),
	succeeded: z.boolean().default(false),
	get responses() {
		return z.array(operationReplySchema).default([]);
	},
});

export type TxnReply = z.infer<typeof txnReplySchema>;

export const leaseReplySchema = z.object({ID: z.string(), TTL: int64Schema});

export const watchLineSchema = z.object({
	result: z.object({
		header: headerSchema.default(emptyHeader),
		created: z.boolean().default(false),
		canceled: z.boolean().default(false),
		compact_revision: int64Schema,
		events: z
			.array(
				z.object({
					type: z.enum(['PUT', 'DELETE']).default('PUT'),
					kv: keyValueSchema,
				}),
			)
			.default([]),
	}),
});

/** Requests of a transaction, as sent. */
export type Compare = {
	key: string;
	target: 'MOD' | 'CREATE';
	result: 'EQUAL';
	mod_revision?: string;
	create_revision?: string;
};
export type Operation =
	| {request_put: {key: string; value: string; lease?: string}}
	| {request_range: {key: string}}
	| {request_txn: TxnRequest};
export type TxnRequest = {
	compare: Compare[];
	success: Operation[];
	failure: Operation[];
};

export function encodeBase64(text: string): string {
	return Buffer.from(text, 'utf8').toString('base64');
}

export function decodeBase64(text: string): string {
	return Buffer.from(text, 'base64').toString('utf8');
}

/** The end of the range that holds each key with this prefix: its last byte raised by one. */
export function encodePrefixEnd(prefix: string): string {
	const bytes = Buffer.from(prefix, 'utf8');
	const last = bytes.length - 1;
	bytes.writeUInt8(bytes.readUInt8(last) + 1, last);
	return bytes.toString('base64');
}
