/**
The hosts around this one: the platform's list and peers' word made into a view, the mesh of
connections kept to it, and the roles that follow from it.
*/
import {type ResultAsync} from 'neverthrow';
import {
	createHostView,
	pickHolders,
	type CloseCause,
	type Hash64,
	type HostView,
	rankByCores,
	type KnownHost,
} from '@gentianshift/membership';
import {
	formatHostKey,
	type Link,
	type Mesh,
	type MessageOf,
	type Session,
} from '@gentianshift/protocol';
import {type Background} from '@gentianshift/scheduling';
import {readNow, type Identity} from './identity.js';
import {repeatUntilDone, retryPausesMs, waitAround} from './timers.js';

/** Hosts of a data centre that read the platform for the others: one may be dying unseen. */
const readersPerDataCentre = 2;
/** How often a reader reads the platform's list of hosts. */
const listEveryMs = 1000;
/** An unchanged list is passed on no more often than this. */
const passOnEveryMs = 5000;
/** A host that cannot reach its listed peers takes roles after this long all the same, unless told otherwise. */
const defaultSettleLimitMs = 1500;

/** Other lists may be older and lack a host that is being dialled: meeting it takes no longer than this. */
const meetMs = 500;

/** How often the view is looked at anew: a closed connection's grace runs out by time alone. */
const updateEveryMs = 200;
/** Hosts that start together have connected by then, also those of a third of a core. */
const startGraceMs = 1000;
/** A list of this host's own that is younger than this shows that the platform answers here. */
const freshListMs = 3000;

export type DirectoryOptions = {
	identity: Identity;
	address: string;
	/** Processor cores that this host may use; undefined: not known. */
	cores?: number;
	/** Inner addresses greeted while no other host is known. */
	seeds: readonly string[];
	hostList: {fetchHosts: () => ResultAsync<KnownHost[], unknown>};
	hash: Hash64;
	random: () => number;
	background: Background;
	/** Milliseconds after which this host takes roles although it has not reached all listed peers. */
	settleLimitMs?: number;
	/** How often the view is looked at anew once this host has settled; absent: as often as before. */
	settledUpdateMs?: number;
	/** The view changed: roles may have moved. */
	onChange: () => void;
};

type HostsListed = {
	hosts: KnownHost[];
	/** When the list was asked for. */
	at: number;
	/** Lists that were asked for before then do not replace it. */
	keptUntil: number;
};

const noList = {at: -Infinity, keptUntil: -Infinity};

export class Directory {
	readonly view: HostView;
	readonly #options: DirectoryOptions;
	#mesh: Mesh | undefined;
	#signal: AbortSignal | undefined;
	#listed: HostsListed | undefined;
	#isReadingAgain = false;
	readonly #startedAt = readNow();
	/** What each peer last said of itself. */
	readonly #leaving = new Map<string, boolean>();
	#isSettled = false;
	#isUpdateDue = false;
	#isStopping = false;
	#passedOn = '';
	#passedOnAt = 0;

	constructor(options: DirectoryOptions) {
		this.#options = options;
		const {identity, address, cores} = options;
		this.view = createHostView({
			name: identity.host,
			dataCentre: identity.dataCentre,
			role: 'entry',
			address,
			state: 'live',
			cores,
		});
		this.view.markLeaving(identity.key, true);
	}

	/** Connected to what it knows of, or long enough at it to go on with what it has. */
	get isSettled(): boolean {
		return this.#isSettled;
	}

	/** Starts to follow the platform's list, until the signal is aborted. */
	start(mesh: Mesh, signal: AbortSignal): void {
		this.#mesh = mesh;
		this.#signal = signal;
		mesh.setLeaving(true);
		const {random, background, settledUpdateMs = updateEveryMs} = this.#options;
		background.repeat(
			{work: 'list of hosts'},
			async () => {
				await this.#readList();
				await waitAround(listEveryMs, {signal, random});
			},
			{signal},
		);
		background.repeat(
			{work: 'update of hosts'},
			async () => {
				this.#settle();
				this.#update();
				const pauseMs = this.#isSettled ? settledUpdateMs : updateEveryMs;
				await waitAround(pauseMs, {signal, random});
			},
			{signal},
		);
	}

	/**
	Reads the list besides the usual rounds, whoever reads for the data centre, until it is answered: this host's entry
	was just written, and who entered shortly before knows nothing of it.
	*/
	async readListAgain(): Promise<void> {
		const signal = this.#signal;
		if (!signal || this.#isReadingAgain) {
			return;
		}

		this.#isReadingAgain = true;
		await repeatUntilDone(async () => this.#fetchList(meetMs), {
			pausesMs: retryPausesMs,
			signal,
			random: this.#options.random,
		});
		this.#isReadingAgain = false;
	}

	/** From now on this host takes no role. */
	startStopping(): void {
		this.#isStopping = true;
		this.view.markLeaving(this.#options.identity.key, true);
		this.#mesh?.setLeaving(true);
		this.#update();
	}

	/** The hosts that hold a role in a data centre, by this host's view. */
	listHolders(role: string, dataCentre: string, count = 1): string[] {
		return pickHolders(
			this.view.listEligible(dataCentre, readNow()),
			role,
			count,
			this.#options.hash,
		);
	}

	/**
	All hosts that could hold a role in this data centre, those with more processor first. Right after the start listed hosts with
	more processor than this one count although they have yet to connect: after a loss of power they start at the same time, and a
	small host that went before them would be too slow for the callers that return then.
	*/
	listStrongest(role: string): string[] {
		const {dataCentre} = this.#options.identity;
		const isStarting = readNow() - this.#startedAt < startGraceMs;
		const keys = new Set([
			...this.listHolders(role, dataCentre, Infinity),
			...(isStarting ? this.view.listStrongerListed() : []),
		]);
		return rankByCores([...keys], (key) => this.view.getCores(key));
	}

	isReader(): boolean {
		const {key, dataCentre} = this.#options.identity;
		return this.listHolders(
			'reader',
			dataCentre,
			readersPerDataCentre,
		).includes(key);
	}

	/** Live entry hosts, this one included. */
	countLive(): number {
		return 1 + (this.#mesh?.listLinks().length ?? 0);
	}

	markLinkUp(link: Link, address: string): void {
		this.#leaving.delete(link.key);
		this.view.markConnected({
			name: link.hello.host,
			dataCentre: link.hello.dataCentre,
			address,
			cores: link.hello.cores,
		});
		if (this.isReader() || !this.#hasFreshList()) {
			this.#tellHosts(link);
		}

		// Looked at now, not with the next round: while no host has settled, no role is taken.
		this.#settle();
		this.#update();
	}

	markLinkDown(link: Link, reason: string): void {
		this.#leaving.delete(link.key);
		const cause: CloseCause = reason === 'silent' ? 'silent' : 'closed';
		this.view.markClosed(link.key, cause, readNow());
		this.#update();
	}

	/** A host that dials this one is worth dialling, when no list tells a better address. */
	markSession(session: Session): void {
		const {host: name, dataCentre, address} = session.hello;
		const isKnown = this.view
			.listPeers(readNow())
			.some((peer) => peerKey(peer) === session.key);
		if (!isKnown) {
			this.view.applyPeerList(
				[{name, dataCentre, role: 'entry', address, state: 'live'}],
				readNow(),
			);
			this.#update();
		}
	}

	/** Comes with each heartbeat: most of the time it is no news. */
	markLeaving(key: string, isLeaving: boolean): void {
		if (this.#leaving.get(key) === isLeaving) {
			return;
		}

		this.#leaving.set(key, isLeaving);
		this.view.markLeaving(key, isLeaving);
		// Whom to dial does not depend on it.
		this.#options.onChange();
	}

	/** What a peer of this data centre knows. */
	receiveHosts(message: MessageOf<'hosts'>): void {
		const now = readNow();
		this.view.applyPeerList(message.known, now);
		if (message.listed) {
			this.#takeList(message.listed, now - (message.listedAgeMs ?? Infinity));
		}

		this.#update();
	}

	/** Readers read for all; a host that knows no list yet reads for itself. */
	async #readList(): Promise<void> {
		const isFirst = this.#listed === undefined;
		if (!isFirst && !this.isReader()) {
			return;
		}

		if (this.view.listPeers(readNow()).length === 0) {
			this.#sendGreetings();
		}

		await this.#fetchList();
	}

	/** False: the list was not answered. */
	async #fetchList(keptMs = 0): Promise<boolean> {
		const askedAt = readNow();
		const hosts = await this.#options.hostList.fetchHosts();
		if (hosts.isOk() && this.#takeList(hosts.value, askedAt, keptMs)) {
			this.#update();
			this.#passOn();
		}

		return hosts.isOk();
	}

	/** For a host that starts while the platform is down, at an address that nobody knows yet. */
	#sendGreetings(): void {
		for (const seed of this.#options.seeds) {
			if (seed !== this.#options.address) {
				this.#mesh?.sendGreeting(seed);
			}
		}
	}

	/** False: one that is in force goes before it. */
	#takeList(hosts: KnownHost[], at: number, keptMs = 0): boolean {
		const {at: since, keptUntil} = this.#listed ?? noList;
		if (at < (keptMs > 0 ? since : keptUntil)) {
			return false;
		}

		this.#listed = {hosts, at, keptUntil: at + keptMs};
		this.view.applyPlatformList(hosts);
		return true;
	}

	#passOn(): void {
		const text = JSON.stringify(this.#listed?.hosts);
		const now = readNow();
		if (text === this.#passedOn && now - this.#passedOnAt < passOnEveryMs) {
			return;
		}

		this.#passedOn = text;
		this.#passedOnAt = now;
		for (const link of this.#mesh?.listLinks() ?? []) {
			this.#tellHosts(link);
		}
	}

	/**
	Whether this host has read the platform's list itself of late. While hosts can, the readers tell a host that
	joins; if all of them did, each would parse the whole list once for every other host at a start of all.
	*/
	#hasFreshList(): boolean {
		return readNow() - (this.#listed?.at ?? -Infinity) < freshListMs;
	}

	/** Addresses are told within a data centre only: between two they may differ by the side one is on. */
	#tellHosts(link: Link): void {
		if (link.hello.dataCentre !== this.#options.identity.dataCentre) {
			return;
		}

		link.send({
			t: 'hosts',
			known: this.view.exportHosts(),
			listed: this.#listed?.hosts,
			listedAgeMs: this.#listed && readNow() - this.#listed.at,
		});
	}

	#settle(): void {
		if (this.#isSettled || this.#isStopping) {
			return;
		}

		const {settleLimitMs = defaultSettleLimitMs} = this.#options;
		const waited = readNow() - this.#startedAt;
		const peers = this.view.listPeers(readNow());
		const isLinked =
			this.#listed !== undefined &&
			peers.every((peer) => this.#mesh?.findLink(peerKey(peer)));
		if (isLinked || waited > settleLimitMs) {
			this.#isSettled = true;
			this.view.markLeaving(this.#options.identity.key, false);
			this.#mesh?.setLeaving(false);
		}
	}

	/** At once for the first change of an event-loop turn, and once more at its end for all others. */
	#update(): void {
		this.#options.onChange();
		if (this.#isUpdateDue) {
			return;
		}

		this.#isUpdateDue = true;
		this.#setPeers();
		setImmediate(() => {
			this.#isUpdateDue = false;
			this.#setPeers();
		});
	}

	#setPeers(): void {
		const peers = this.view.listPeers(readNow());
		this.#mesh?.setPeers(
			peers.map(({name, dataCentre, address}) => ({
				host: name,
				dataCentre,
				address,
			})),
		);
	}
}

function peerKey({
	name,
	dataCentre,
}: {
	name: string;
	dataCentre: string;
}): string {
	return formatHostKey({dataCentre, host: name});
}
