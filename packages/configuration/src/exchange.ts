/**
Anti-entropy between the resource tables of two hosts. This module does no I/O: it computes the answers to messages.

Hosts that read the store forward each change to their peers at once. This exchange repairs what that missed: a host
was partitioned, started during an outage of the platform, or lost a message. Each host periodically sends
its digest to peers. A host that receives a different digest compares the highest revisions:

1. The peer's is lower: answer with the resources of higher revisions. This is the usual case, and cheap.
2. The peer's is higher: answer with this host's digest; the peer then handles it by case 1.
3. They are equal (one side lacks an older resource): answer with the list of all keys and revisions; the
   peer answers with the resources that it has newer, and requests those that it lacks.

Each message and each answer is bounded in size; the rest follows after a later digest.
*/
import {resourceSchema, type Resource} from '@gentianshift/resources';
import {z} from 'zod';
import {type ResourceTable} from './table.js';

/** Most revisions in one message, which is then about 30 KB long. */
export const maxRevisionsPerMessage = 500;

/** Most resources in one message. */
export const maxResourcesPerMessage = 200;

/** Most characters of JSON of the resources in one message; a single larger resource gets a message of its own. */
export const maxResourceCharactersPerMessage = 256 * 1024;

/** Most `config-resources` messages in one answer; bounds the work that one digest can cause. */
export const maxMessagesPerAnswer = 16;

export const digestMessageSchema = z.object({
	t: z.literal('config-digest'),
	revision: z.number().int().min(0),
	hash: z.string().max(16),
});

const keyRevisionSchema = z.object({
	key: z.string().max(128),
	revision: z.number().int().min(0),
});

export const revisionsMessageSchema = z.object({
	t: z.literal('config-revisions'),
	/**
	`range`: `revisions` lists all keys of the sender's table from `first` (inclusive) to `end` (exclusive; empty: no upper
	bound), sorted. The receiver also sends resources of that range that aren't listed.
	`listed`: a request for newer revisions of the listed keys only.
	*/
	scope: z.enum(['range', 'listed']),
	first: z.string().max(128).default(''),
	end: z.string().max(128).default(''),
	revisions: z.array(keyRevisionSchema).max(maxRevisionsPerMessage),
});

export const resourcesMessageSchema = z.object({
	t: z.literal('config-resources'),
	resources: z.array(resourceSchema).max(maxResourcesPerMessage),
});

export const exchangeMessageSchema = z.discriminatedUnion('t', [
	digestMessageSchema,
	revisionsMessageSchema,
	resourcesMessageSchema,
]);

export type ExchangeMessage = z.infer<typeof exchangeMessageSchema>;
type DigestMessage = z.infer<typeof digestMessageSchema>;
type RevisionsMessage = z.infer<typeof revisionsMessageSchema>;
type KeyRevision = z.infer<typeof keyRevisionSchema>;

export function buildDigest(table: ResourceTable): DigestMessage {
	return {t: 'config-digest', ...table.computeDigest()};
}

/** Applies a peer's message to the table and returns the messages to send back to that peer. */
export function answerExchange(
	table: ResourceTable,
	message: ExchangeMessage,
): ExchangeMessage[] {
	switch (message.t) {
		case 'config-digest': {
			return answerDigest(table, message);
		}

		case 'config-revisions': {
			return answerRevisions(table, message);
		}

		case 'config-resources': {
			for (const resource of message.resources) {
				table.apply(resource);
			}

			return [];
		}
	}
}

/** Splits resources, in order, into messages within the bounds; a resource larger than the bound goes alone. */
export function buildResourceMessages(
	resources: readonly Resource[],
): ExchangeMessage[] {
	const messages: Array<z.infer<typeof resourcesMessageSchema>> = [];
	let characters = 0;
	for (const resource of resources) {
		const size = JSON.stringify(resource).length;
		const last = messages.at(-1);
		const fits =
			last !== undefined &&
			last.resources.length < maxResourcesPerMessage &&
			characters + size <= maxResourceCharactersPerMessage;
		if (fits) {
			last.resources.push(resource);
			characters += size;
		} else {
			messages.push({t: 'config-resources', resources: [resource]});
			characters = size;
		}
	}

	return messages;
}

function answerDigest(
	table: ResourceTable,
	{revision, hash}: DigestMessage,
): ExchangeMessage[] {
	const ownDigest = table.computeDigest();
	if (ownDigest.hash === hash) {
		return [];
	}

	if (ownDigest.revision < revision) {
		return [buildDigest(table)];
	}

	return ownDigest.revision > revision
		? buildResourcesNewerThan(table, revision)
		: buildRevisionMessages(table);
}

/** Sorted by revision, so that the highest revision of a peer that got only the first messages says where to continue. */
function buildResourcesNewerThan(
	table: ResourceTable,
	revision: number,
): ExchangeMessage[] {
	const newer = listEntries(table)
		.filter((entry) => entry.revision > revision)
		.toSorted((a, b) => a.revision - b.revision);
	return buildResourceMessages(newer).slice(0, maxMessagesPerAnswer);
}

function buildRevisionMessages(table: ResourceTable): ExchangeMessage[] {
	const keys = table.listKeys();
	const messages: RevisionsMessage[] = [];
	for (let start = 0; start < keys.length; start += maxRevisionsPerMessage) {
		const end = start + maxRevisionsPerMessage;
		messages.push({
			t: 'config-revisions',
			scope: 'range',
			first: start === 0 ? '' : keys[start]!,
			end: keys[end] ?? '',
			revisions: keys
				.slice(start, end)
				.map((key) => ({key, revision: getRevision(table, key)})),
		});
	}

	return messages;
}

function answerRevisions(
	table: ResourceTable,
	message: RevisionsMessage,
): ExchangeMessage[] {
	const peerRevisions = new Map(
		message.revisions.map(({key, revision}) => [key, revision] as const),
	);
	const newer = listKeysInScope(table, message)
		.filter((key) => getRevision(table, key) > (peerRevisions.get(key) ?? 0))
		.map((key) => table.findEntry(key)!);
	const outdated = message.revisions
		.map(({key}) => ({key, revision: getRevision(table, key)}))
		.filter(({key, revision}) => revision < peerRevisions.get(key)!);
	return [
		...buildResourceMessages(newer).slice(0, maxMessagesPerAnswer),
		...buildRevisionRequest(outdated),
	];
}

function buildRevisionRequest(revisions: KeyRevision[]): ExchangeMessage[] {
	return revisions.length === 0
		? []
		: [
				{
					t: 'config-revisions',
					scope: 'listed',
					first: '',
					end: '',
					revisions,
				},
			];
}

/** The keys that a peer's `config-revisions` message covers. */
function listKeysInScope(
	table: ResourceTable,
	{scope, first, end, revisions}: RevisionsMessage,
): string[] {
	if (scope === 'listed') {
		return revisions.map(({key}) => key);
	}

	const keys = table.listKeys();
	return keys.slice(
		findFirstKeyIndex(keys, first),
		end === '' ? undefined : findFirstKeyIndex(keys, end),
	);
}

/**
Index of the first key that is not below the given one, by binary search. A list of many thousand
keys arrives in many messages; a linear scan of the table for each would block the event loop.
*/
function findFirstKeyIndex(keys: readonly string[], key: string): number {
	let low = 0;
	let high = keys.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (keys[middle]! < key) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

/** 0 if the key is unknown. */
function getRevision(table: ResourceTable, key: string): number {
	return table.findEntry(key)?.revision ?? 0;
}

function listEntries(table: ResourceTable): Resource[] {
	return table.listKeys().map((key) => table.findEntry(key)!);
}
