/**
How two hosts bring their tables together: pure answers to messages.

Readers pass each change on as it comes; this exchange repairs what that missed: hosts that were
cut off, started during an outage of the platform, or lost a message. Each host sends its digest
to peers now and then. On a digest that differs:

1. The peer is behind: it gets what changed since its highest revision. The usual case, cheap.
2. This host is behind: it answers with its own digest, and so gets the same.
3. Both know the same highest revision and still differ (one lacks something older): the whole
   list of revisions goes over, the peer answers with what it has newer and asks for what it lacks.

Each message and each answer is bounded; what did not fit goes with a later digest.
*/
import {resourceSchema, type Resource} from '@gentianshift/resources';
import {z} from 'zod';
import {type ResourceTable} from './table.js';

/** Most revisions in one message: about 30 KB. */
export const maxRevisionsPerMessage = 500;

/** Most resources in one message, and the size of their JSON that it stops at, characters. */
export const maxResourcesPerMessage = 200;
export const maxResourceCharacters = 256 * 1024;

/** Most messages of resources in one answer: bounds what one digest can cost. */
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
	`range`: all keys from `first` on and below `end` (empty: no end) that the sender holds, sorted.
	`listed`: the sender asks for these keys only.
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
	return {t: 'config-digest', ...table.digest()};
}

/** Takes a peer's message into the table and returns what to answer that peer. */
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

/** Puts resources into as few messages as their bounds allow; one alone may be larger. */
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
			characters + size <= maxResourceCharacters;
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
	const own = table.digest();
	if (own.hash === hash) {
		return [];
	}

	if (own.revision < revision) {
		return [buildDigest(table)];
	}

	return own.revision > revision
		? buildNewerThan(table, revision)
		: buildAllRevisions(table);
}

/** In the order of revisions, so that a peer which got only a part asks on from there. */
function buildNewerThan(
	table: ResourceTable,
	revision: number,
): ExchangeMessage[] {
	const newer = listEntries(table)
		.filter((entry) => entry.revision > revision)
		.toSorted((a, b) => a.revision - b.revision);
	return buildResourceMessages(newer).slice(0, maxMessagesPerAnswer);
}

function buildAllRevisions(table: ResourceTable): ExchangeMessage[] {
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
				.map((key) => ({key, revision: readRevision(table, key)})),
		});
	}

	return messages;
}

function answerRevisions(
	table: ResourceTable,
	message: RevisionsMessage,
): ExchangeMessage[] {
	const theirs = new Map(
		message.revisions.map(({key, revision}) => [key, revision] as const),
	);
	const newer = listScope(table, message)
		.filter((key) => readRevision(table, key) > (theirs.get(key) ?? 0))
		.map((key) => table.readEntry(key)!);
	const wanted = message.revisions
		.map(({key}) => ({key, revision: readRevision(table, key)}))
		.filter(({key, revision}) => revision < theirs.get(key)!);
	return [
		...buildResourceMessages(newer).slice(0, maxMessagesPerAnswer),
		...buildWanted(wanted),
	];
}

function buildWanted(revisions: KeyRevision[]): ExchangeMessage[] {
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

/** The keys that a peer's list is about. */
function listScope(
	table: ResourceTable,
	{scope, first, end, revisions}: RevisionsMessage,
): string[] {
	if (scope === 'listed') {
		return revisions.map(({key}) => key);
	}

	const keys = table.listKeys();
	return keys.slice(
		findPosition(keys, first),
		end === '' ? undefined : findPosition(keys, end),
	);
}

/**
The index of the first key that is not below the given one. Halving: a list of many thousand
keys comes in parts, and going through the whole table for each would stall the loop.
*/
function findPosition(keys: readonly string[], key: string): number {
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

/** 0: unknown. */
function readRevision(table: ResourceTable, key: string): number {
	return table.readEntry(key)?.revision ?? 0;
}

function listEntries(table: ResourceTable): Resource[] {
	return table.listKeys().map((key) => table.readEntry(key)!);
}
