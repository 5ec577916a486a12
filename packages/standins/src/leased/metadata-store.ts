/**
Stand-in of the users' platform's metadata store: keys with revisions, conditional changes,
leases, waiting watches, and the faults that it is known for. Written after its published protocol.
*/
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {
	startJsonServer,
	type JsonReply,
	type JsonRequest,
	type JsonServer,
} from './json-server.js';

type Item = {
	key: string;
	value: string;
	revision: number;
	created: number;
	lease_id: number;
};

type StoreEvent = Item | {key: string; revision: number; deleted: true};

const changeSchema = z.object({
	expected_revision: z
		.array(z.object({key: z.string(), revision: z.number()}))
		.default([]),
	write: z
		.array(
			z.object({
				key: z.string(),
				value: z.string(),
				lease_id: z.number().default(0),
			}),
		)
		.default([]),
	remove: z.array(z.string()).default([]),
});

const leaseSchema = z.object({ttl_ms: z.number()});

/** Longest list in one answer. */
const pageSize = 500;
const pollMs = 5;

export type StoreFaults = {
	/** Answers 503 to all, or to calls from these IPs. */
	busy: boolean | Set<string>;
	/** Gives no answer. */
	isSilent: boolean;
	/** Added to each answer, milliseconds. */
	delayMs: number;
	/** Changes are made and not answered. */
	losesAnswers: boolean;
	/** Watches hear nothing. */
	areWatchesDeaf: boolean;
};

type IsRefused = (request: JsonRequest) => boolean;

const isNeverRefused: IsRefused = () => false;

type PresentValue = (key: string, value: string, caller: string) => string;

const keepValue: PresentValue = (_key, value) => value;

export class MetadataStore {
	readonly faults: StoreFaults = {
		busy: false,
		isSilent: false,
		delayMs: 0,
		losesAnswers: false,
		areWatchesDeaf: false,
	};

	/** What a caller, by its IP, reads in place of a key's value; for hosts behind relays. */
	presentValue: PresentValue = keepValue;

	/** Calls that get 503. */
	isRefused: IsRefused = isNeverRefused;

	/** Calls by path, for those that count them. */
	readonly calls = new Map<string, number>();
	#revision = 1;
	#nextLease = 1;
	readonly #items = new Map<string, Item>();
	#history: StoreEvent[] = [];
	#oldest = 0;
	readonly #leases = new Map<number, {ttlMs: number; endsAt: number}>();
	#server: JsonServer | undefined;

	/** Listens; gives its address. */
	async start(ip: string): Promise<string> {
		this.#server = await startJsonServer(ip, async (request) =>
			this.#answer(request),
		);
		return this.#server.address;
	}

	async stop(): Promise<void> {
		await this.#server?.close();
	}

	/** Writes as the operator, or as an executor that registers itself. */
	put(key: string, value: unknown): void {
		this.#write(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
	}

	remove(key: string): void {
		if (this.#items.delete(key)) {
			this.#revision += 1;
			this.#history.push({key, revision: this.#revision, deleted: true});
		}
	}

	/** Keys under a prefix, as text. */
	list(prefix: string): Array<{key: string; value: string}> {
		this.#dropLeases();
		return [...this.#items.values()]
			.filter(({key}) => key.startsWith(prefix))
			.map(({key, value}) => ({
				key,
				value: Buffer.from(value, 'base64').toString('utf8'),
			}));
	}

	/** Forgets what has been; watches from before get 410. */
	dropHistory(): void {
		this.#history = [];
		this.#oldest = this.#revision;
	}

	/** Takes all leases and their keys away; no call shows it. */
	takeLeases(): void {
		for (const id of this.#leases.keys()) {
			this.#leases.delete(id);
			this.#removeLeased(id);
		}
	}

	async #answer(request: JsonRequest): Promise<JsonReply> {
		const {faults} = this;
		this.calls.set(request.path, (this.calls.get(request.path) ?? 0) + 1);
		if (faults.isSilent) {
			return undefined;
		}

		const isBusy =
			faults.busy === true ||
			(faults.busy instanceof Set && faults.busy.has(request.caller));
		if (isBusy || this.isRefused(request)) {
			return {status: 503};
		}

		if (faults.delayMs > 0) {
			await delay(faults.delayMs);
		}

		this.#dropLeases();
		const reply = await this.#carryOut(request);
		return faults.losesAnswers && request.method !== 'GET' ? undefined : reply;
	}

	async #carryOut({
		method,
		path,
		query,
		body,
		caller,
	}: JsonRequest): Promise<JsonReply> {
		if (path === '/v1/kv-key') {
			return this.#readKey(query.get('key') ?? '');
		}

		if (path === '/v1/kv-range') {
			return this.#readRange(
				query.get('prefix') ?? '',
				query.get('after') ?? '',
				caller,
			);
		}

		if (path === '/v1/kv-watch') {
			return this.#watch(query);
		}

		if (path === '/v1/kv-txn' && method === 'POST') {
			return this.#change(changeSchema.parse(body));
		}

		if (path === '/v1/kv-lease' && method === 'POST') {
			return this.#grantLease(leaseSchema.parse(body).ttl_ms);
		}

		const id = Number(path.split('/').at(-1));
		if (path.startsWith('/v1/kv-keep/')) {
			return this.#renewLease(id);
		}

		return this.#endLease(id);
	}

	#readKey(key: string): JsonReply {
		const item = this.#items.get(key);
		return item
			? {status: 200, body: {...item, at: this.#revision}}
			: {status: 404, body: {at: this.#revision}};
	}

	#present(item: Item, caller: string): Item {
		const value = Buffer.from(item.value, 'base64').toString('utf8');
		const presented = this.presentValue(item.key, value, caller);
		return {...item, value: Buffer.from(presented).toString('base64')};
	}

	#readRange(prefix: string, after: string, caller: string): JsonReply {
		const found = [...this.#items.values()]
			.filter(({key}) => key.startsWith(prefix) && key > after)
			.toSorted((a, b) => (a.key < b.key ? -1 : 1));
		return {
			status: 200,
			body: {
				items: found
					.slice(0, pageSize)
					.map((item) => this.#present(item, caller)),
				has_more: found.length > pageSize,
				at: this.#revision,
			},
		};
	}

	async #watch(query: URLSearchParams): Promise<JsonReply> {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const endsAt = performance.now() + Number(query.get('wait_ms'));
		while (performance.now() < endsAt) {
			if (after < this.#oldest) {
				return {status: 410};
			}

			const events = this.#history.filter(
				({key, revision}) => revision > after && key.startsWith(prefix),
			);
			if (events.length > 0 && !this.faults.areWatchesDeaf) {
				return {status: 200, body: {events, at: this.#revision}};
			}

			await delay(pollMs);
		}

		return {status: 200, body: {events: [], at: Math.max(after, this.#oldest)}};
	}

	#change({
		expected_revision: expected,
		write,
		remove,
	}: z.infer<typeof changeSchema>): JsonReply {
		const isAsExpected = expected.every(
			({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision,
		);
		if (!isAsExpected) {
			return {status: 412, body: {items: []}};
		}

		const isLeased = write.every(
			({lease_id: id}) => id === 0 || this.#leases.has(id),
		);
		if (!isLeased) {
			return {status: 404};
		}

		for (const {key, value, lease_id: leaseId} of write) {
			this.#write(key, value, leaseId);
		}

		for (const key of remove) {
			this.remove(key);
		}

		return {status: 200, body: {revision: this.#revision}};
	}

	#write(key: string, value: string, leaseId: number): void {
		this.#revision += 1;
		const item: Item = {
			key,
			value,
			revision: this.#revision,
			created: this.#items.get(key)?.created ?? this.#revision,
			lease_id: leaseId,
		};
		this.#items.set(key, item);
		this.#history.push(item);
	}

	#grantLease(ttlMs: number): JsonReply {
		const id = this.#nextLease;
		this.#nextLease += 1;
		this.#leases.set(id, {ttlMs, endsAt: performance.now() + ttlMs});
		return {status: 200, body: {lease_id: id, ttl_ms: ttlMs}};
	}

	#renewLease(id: number): JsonReply {
		const lease = this.#leases.get(id);
		if (!lease) {
			return {status: 404};
		}

		lease.endsAt = performance.now() + lease.ttlMs;
		return {status: 200, body: {ttl_ms: lease.ttlMs}};
	}

	#endLease(id: number): JsonReply {
		const isKnown = this.#leases.delete(id);
		this.#removeLeased(id);
		return {status: isKnown ? 200 : 404};
	}

	#dropLeases(): void {
		for (const [id, {endsAt}] of this.#leases) {
			if (performance.now() > endsAt) {
				this.#leases.delete(id);
				this.#removeLeased(id);
			}
		}
	}

	#removeLeased(id: number): void {
		for (const item of this.#items.values()) {
			if (item.lease_id === id) {
				this.remove(item.key);
			}
		}
	}
}
