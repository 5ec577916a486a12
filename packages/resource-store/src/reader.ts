/**
Keeps a table up to date with the store: a snapshot, then a watch, and after any failure again,
each host at its own random moment.
*/
import {type Resource} from '@gentianshift/resources';
import {type ResourceStore} from './resource-store.js';

/** Where the reader stands; `revision` is how far it has seen the store. */
export type ReaderState =
	| {state: 'reading'}
	| {state: 'watching'; revision: number}
	| {state: 'waiting'; reason: string; waitMs: number};

/** What the reader fills: the configuration package's resource table is one. */
export type ResourceSink = {
	apply: (resource: Resource) => unknown;
	applySnapshot: (resources: Resource[], storeRevision: number) => unknown;
};

export type ReaderOptions = {
	store: Pick<ResourceStore, 'readAll' | 'readChanges' | 'watchAll'>;
	table: ResourceSink;
	signal: AbortSignal;
	onState?: (state: ReaderState) => void;
	/** In [0, 1). */
	random: () => number;
	/** Resolves after so many milliseconds, or when the signal is aborted. */
	delay: (ms: number, signal: AbortSignal) => Promise<void>;
	/** Time between looks for changes that the watch should have brought. */
	checkMs?: number;
};

/** First bound of the random wait after a failure, milliseconds; doubled at each one. */
const firstBackoffMs = 100;

/**
Largest bound of that wait. Without a random wait, all hosts would come back in the same moment
after an outage and push a service of about 2,000 reads a second over again; with a longer one, a
change would not be in force within 3 s of the service's return.
*/
export const maxBackoffMs = 2000;

/**
A watch may go silent although the service works, and its progress notices may be minutes apart.
One read of "what changed since" each second bounds how long a change stays unseen; for two
readers in each of 13 data centres it is 26 reads a second.
*/
export const defaultCheckMs = 1000;

/** Runs until the signal is aborted. */
export async function runReader(options: ReaderOptions): Promise<void> {
	const reader = new Reader(options);
	await reader.run();
}

class Reader {
	/** How far the store has been seen; undefined: a snapshot is needed. */
	#revision: number | undefined;
	/**
	Since the service last did something useful. A watch that merely opens doesn't count: one that
	is closed each time right after opening would be reopened without a pause.
	*/
	#failures = 0;

	readonly #options: ReaderOptions;

	constructor(options: ReaderOptions) {
		this.#options = options;
	}

	async run(): Promise<void> {
		const {signal} = this.#options;
		while (!signal.aborted) {
			const reason = await this.#runOnce();
			if (!signal.aborted) {
				await this.#waitRandomly(reason);
			}
		}
	}

	/** Returns why it ended. */
	async #runOnce(): Promise<string> {
		if (this.#revision === undefined) {
			this.#options.onState?.({state: 'reading'});
			const snapshot = await this.#options.store.readAll();
			if (snapshot.isErr()) {
				return snapshot.error.message;
			}

			const {resources, revision} = snapshot.value;
			this.#options.table.applySnapshot(resources, revision);
			this.#advance(revision);
		}

		return this.#watchWithChecks(this.#revision ?? 0);
	}

	async #watchWithChecks(fromRevision: number): Promise<string> {
		const watch = new AbortController();
		const signal = AbortSignal.any([watch.signal, this.#options.signal]);
		const checks = this.#checkForMissed(signal, () => {
			watch.abort();
		});
		const reason = await this.#watch(fromRevision, signal);
		watch.abort();
		await checks;
		return reason;
	}

	async #watch(fromRevision: number, signal: AbortSignal): Promise<string> {
		const {store, table} = this.#options;
		for await (const event of store.watchAll(fromRevision + 1, signal)) {
			switch (event.type) {
				case 'resource': {
					this.#failures = 0;
					table.apply(event.resource);
					this.#advance(event.resource.revision);
					break;
				}

				case 'opened': {
					this.#reportWatching();
					break;
				}

				case 'progress': {
					this.#failures = 0;
					this.#advance(event.revision);
					break;
				}

				case 'compacted': {
					this.#revision = undefined;
					return `compacted up to ${event.compactRevision}`;
				}

				case 'ended': {
					return event.reason;
				}
			}
		}

		return 'ended';
	}

	/** Ends the watch when a read finds what it should have brought before. */
	async #checkForMissed(
		signal: AbortSignal,
		endWatch: () => void,
	): Promise<void> {
		const {store, table, delay, checkMs = defaultCheckMs} = this.#options;
		while (!signal.aborted) {
			const since = this.#revision;
			await delay(checkMs, signal);
			if (signal.aborted || since === undefined) {
				return;
			}

			const changes = await store.readChanges(this.#revision ?? since);
			if (changes.isErr()) {
				continue;
			}

			this.#failures = 0;
			const {resources} = changes.value;
			for (const resource of resources) {
				table.apply(resource);
			}

			if (resources.some(({revision}) => revision > (this.#revision ?? 0))) {
				endWatch();
			}
		}
	}

	#advance(revision: number): void {
		const isNewer = revision > (this.#revision ?? 0);
		this.#revision = Math.max(this.#revision ?? 0, revision);
		if (isNewer) {
			this.#reportWatching();
		}
	}

	#reportWatching(): void {
		this.#options.onState?.({
			state: 'watching',
			revision: this.#revision ?? 0,
		});
	}

	/** Full jitter: anywhere between nothing and the bound. */
	async #waitRandomly(reason: string): Promise<void> {
		const {random, delay, onState, signal} = this.#options;
		const bound = Math.min(maxBackoffMs, firstBackoffMs * 2 ** this.#failures);
		const waitMs = random() * bound;
		this.#failures++;
		onState?.({state: 'waiting', reason, waitMs});
		await delay(waitMs, signal);
	}
}
