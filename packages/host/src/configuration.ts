/**
Keeps the resources in force on this host up to date: as a reader from the platform's store, as
any host from its peers.

What goes wrong: the store is down or cut off, or this host started during its outage. Peers
notice by digests that they hold other revisions and bring each other up to the newest one that
any of them has. A resource is never replaced by an older revision.
*/
import {
	answerExchange,
	buildDigest,
	buildResourceMessages,
	exchangeMessageSchema,
	type ResourceTable,
} from '@gentianshift/configuration';
import {runReader, type ResourceStore} from '@gentianshift/resource-store';
import {type Link, type Message} from '@gentianshift/protocol';
import {type Resource} from '@gentianshift/resources';
import {type Background} from '@gentianshift/scheduling';
import {repeat, waitFor} from './timers.js';

/** Peers that digests are compared with each time; chosen at random, so that news spreads to all. */
const digestPeers = 2;
/** How often a host looks whether it is a reader. */
const roleEveryMs = 200;

export type ConfigurationOptions = {
	table: ResourceTable;
	store: ResourceStore;
	isReader: () => boolean;
	dataCentre: string;
	listLinks: () => Link[];
	random: () => number;
	background: Background;
	onReaderState: (state: string) => void;
};

export class Configuration {
	readonly #options: ConfigurationOptions;
	#isLoaded = false;
	#isFromPeer = false;
	#batch: Resource[] = [];

	constructor(options: ConfigurationOptions) {
		this.#options = options;
		options.table.subscribe((resource) => {
			this.#isLoaded = true;
			this.#pushOn(resource);
		});
	}

	/** Whether this host has any configuration to go by. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	start(signal: AbortSignal): void {
		this.#options.background.repeat(
			{work: 'reading the configuration'},
			async () => this.#followRole(signal),
			{signal},
		);
	}

	/** A peer's message; `send` answers it on the same connection. */
	receive(message: Message, send: (message: Message) => void): void {
		const parsed = exchangeMessageSchema.safeParse(message);
		if (!parsed.success) {
			return;
		}

		const {data} = parsed;
		// A peer that holds the same has nothing to tell: this host knows what there is to know.
		this.#isLoaded ||=
			data.t === 'config-digest' &&
			data.hash === this.#options.table.computeDigest().hash;
		this.#isFromPeer = true;
		const answers = answerExchange(this.#options.table, data);
		this.#isFromPeer = false;
		for (const answer of answers) {
			send(answer);
		}
	}

	/** Called with each heartbeat: a peer that holds other revisions is found within a few. */
	compareDigests(): void {
		const links = [...this.#options.listLinks()];
		for (let i = 0; i < digestPeers && links.length > 0; i++) {
			const at = Math.floor(this.#options.random() * links.length);
			const [link] = links.splice(at, 1);
			link!.send(buildDigest(this.#options.table));
		}
	}

	/** Reads the store while this host holds the reader's role. */
	async #followRole(signal: AbortSignal): Promise<void> {
		if (this.#options.isReader()) {
			await this.#readWhileHolder(signal);
		}

		await waitFor(roleEveryMs, signal);
	}

	async #readWhileHolder(signal: AbortSignal): Promise<void> {
		const {store, table, random, onReaderState, isReader} = this.#options;
		const role = new AbortController();
		const watchRole = repeat(
			() => {
				if (!isReader()) {
					role.abort();
				}
			},
			{
				everyMs: roleEveryMs,
				signal: AbortSignal.any([signal, role.signal]),
				random,
			},
		);
		await runReader({
			store,
			table,
			signal: AbortSignal.any([signal, role.signal]),
			onState: (state) => {
				this.#isLoaded ||= state.state === 'watching';
				onReaderState(state.state);
			},
			random,
			delay: waitFor,
		});
		role.abort();
		await watchRole;
	}

	/**
	What came from the store or an operator goes to the data centre's peers at once, in one message
	a loop turn. Other data centres have readers of their own; a cut-off one hears by digests.
	*/
	#pushOn(resource: Resource): void {
		if (this.#isFromPeer) {
			return;
		}

		if (this.#batch.length === 0) {
			setImmediate(() => {
				const batch = this.#batch;
				this.#batch = [];
				this.#push(batch);
			});
		}

		this.#batch.push(resource);
	}

	#push(resources: readonly Resource[]): void {
		const messages = buildResourceMessages(resources);
		const {listLinks, dataCentre} = this.#options;
		const near = listLinks().filter(
			({hello}) => hello.dataCentre === dataCentre,
		);
		for (const link of near) {
			for (const message of messages) {
				link.send(message);
			}
		}
	}
}
