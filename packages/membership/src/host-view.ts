/**
The hosts as this one sees them: which to dial, which are live, which are leaving. Without sockets
and without a clock: connection events and times are passed in.

How far each source is trusted:

- A connection that this host dialled and that answers is first-hand: its host is live, whatever any
  list says. A connection that a peer dialled only shows the peer's address, like a peer's list with
  one host; it does not show that the peer can be reached.
- A closed connection may be a brief interruption: its host stays live for `reconnectGraceMs`, so
  that roles don't move away and back. A host whose connection was closed for silence stops being
  live immediately, as the silence has used that time up.
- The platform's list lags and has outages. It names which hosts to dial and which are leaving.
  Being listed makes no host live: a host that died stays listed for a while, and would hold roles
  without anyone receiving anything from it.
- Peers' lists replace the platform's while the platform is down, or for a host that starts then. A
  host passes on only what it knows itself (its connections, and the platform's list as it read it),
  so that a dead host is not kept listed by hosts that repeat each other's lists.
- A host that is leaving, by its own message or by the platform's list, gets no new roles from then
  on. It gives back the roles that it holds in its own time.
*/
import {z} from 'zod';
import {nameSchema} from '@gentianshift/resources';

/**
A host as lists name it. The address of an entry host is the one for connections between hosts,
`ip:port`.
*/
export const knownHostSchema = z.object({
	name: nameSchema,
	dataCentre: nameSchema,
	role: z.enum(['entry', 'worker']),
	address: z.string().max(64),
	state: z.enum(['live', 'leaving']),
	/** Processor cores that the host may use; a fraction on small hosts. */
	cores: z.number().positive().optional(),
});

export type KnownHost = z.infer<typeof knownHostSchema>;

/** Why a connection ended; `silent`: nothing arrived from the peer within the heartbeat's limit. */
export type CloseCause = 'closed' | 'silent';

export type HostView = {
	/** Replaces the previous list of the platform. */
	applyPlatformList: (hosts: readonly KnownHost[]) => void;
	/** What a peer knows itself: its list, or its hello on a connection that it dialled. */
	applyPeerList: (hosts: readonly KnownHost[], now: number) => void;
	/**
	A host has answered on a connection that this host dialled; `address` is the one that was
	dialled.
	*/
	markConnected: (host: Omit<KnownHost, 'role' | 'state'>) => void;
	markClosed: (key: string, cause: CloseCause, now: number) => void;
	/** The host itself has said that it is leaving, or no longer is. */
	markLeaving: (key: string, isLeaving: boolean) => void;
	/** Entry hosts of all data centres that this host should be connected to, without this host. */
	listPeers: (now: number) => KnownHost[];
	/**
	Keys of live entry hosts that may hold a role, sorted; includes this host unless it is leaving.
	*/
	listEligible: (dataCentre: string, now: number) => string[];
	isLive: (key: string, now: number) => boolean;
	/** Cores that the host may use, by its own word or else the platform's list; 1 if neither says. */
	getCores: (key: string) => number;
	/** Keys of hosts of this one's data centre that the platform lists, with more cores than this one. */
	listStrongerListed: () => string[];
	/** The most cores that any known host may use. */
	getMostCores: () => number;
	/**
	Whether the platform's list has the worker as leaving; `ip`: an IP of one of its executors, with
	or without a port.
	*/
	isWorkerLeaving: (ip: string) => boolean;
	/** What this host knows itself, to be sent to its peers. */
	exportHosts: () => KnownHost[];
};

/** To connect again after a brief interruption takes a dial of 100 to 200 ms and a hello. */
export const reconnectGraceMs = 500;

/**
How long this host still dials a host that only peers name, or that was connected before. Longer
than a restart, so that hosts find each other again while the platform is down.
*/
export const forgetAfterMs = 60_000;

/** Hosts whose settings name no share of the processor count as equal. */
const defaultCores = 1;

type ContactedHost = {
	host: KnownHost;
	isConnected: boolean;
	closed?: {cause: CloseCause; at: number};
	isLeaving: boolean;
};

type ReportedHost = {host: KnownHost; at: number};

/** The host's name in maps and in job ids: `<data centre>_<host>`. */
export function formatHostKey({
	dataCentre,
	name,
}: Pick<KnownHost, 'dataCentre' | 'name'>): string {
	return `${dataCentre}_${name}`;
}

export function createHostView(self: KnownHost): HostView {
	return new TrackedHosts(self);
}

class TrackedHosts implements HostView {
	readonly #self: KnownHost;
	readonly #selfKey: string;
	/** Entry hosts of the platform's last list. */
	#listedHosts = new Map<string, KnownHost>();
	#leavingWorkers = new Set<string>();
	readonly #reportedHosts = new Map<string, ReportedHost>();
	readonly #contactedHosts = new Map<string, ContactedHost>();
	#isLeaving = false;
	#mostCores: number;

	constructor(self: KnownHost) {
		this.#mostCores = self.cores ?? defaultCores;
		this.#self = self;
		this.#selfKey = formatHostKey(self);
	}

	applyPlatformList(hosts: readonly KnownHost[]): void {
		this.#listedHosts = new Map(
			hosts
				.filter(({role}) => role === 'entry')
				.map((host) => [formatHostKey(host), host] as const),
		);
		this.#mostCores = Math.max(
			this.#self.cores ?? defaultCores,
			...hosts.map(({cores = defaultCores}) => cores),
		);
		this.#leavingWorkers = new Set(
			hosts
				.filter(({role, state}) => role === 'worker' && state === 'leaving')
				.map(({address}) => parseIp(address)),
		);
	}

	applyPeerList(hosts: readonly KnownHost[], now: number): void {
		for (const host of hosts) {
			const key = formatHostKey(host);
			if (host.role === 'entry' && key !== this.#selfKey) {
				this.#reportedHosts.set(key, {host, at: now});
			}
		}

		this.#forgetOld(now);
	}

	markConnected(host: Omit<KnownHost, 'role' | 'state'>): void {
		const key = formatHostKey(host);
		this.#contactedHosts.set(key, {
			host: {...host, role: 'entry', state: 'live'},
			isConnected: true,
			isLeaving: this.#contactedHosts.get(key)?.isLeaving ?? false,
		});
	}

	markClosed(key: string, cause: CloseCause, now: number): void {
		const contact = this.#contactedHosts.get(key);
		if (contact) {
			contact.isConnected = false;
			contact.closed = {cause, at: now};
		}
	}

	markLeaving(key: string, isLeaving: boolean): void {
		if (key === this.#selfKey) {
			this.#isLeaving = isLeaving;
			return;
		}

		const contact = this.#contactedHosts.get(key);
		if (contact) {
			contact.isLeaving = isLeaving;
		}
	}

	listPeers(now: number): KnownHost[] {
		this.#forgetOld(now);
		const peers = new Map<string, KnownHost>();
		for (const [key, {host}] of this.#reportedHosts) {
			peers.set(key, host);
		}

		for (const [key, {host, isConnected}] of this.#contactedHosts) {
			if (isConnected || !peers.has(key)) {
				peers.set(key, host);
			}
		}

		// The platform's address is preferred, except to that of a connection that works.
		for (const [key, host] of this.#listedHosts) {
			if (!this.#contactedHosts.get(key)?.isConnected) {
				peers.set(key, host);
			}
		}

		peers.delete(this.#selfKey);
		return [...peers.values()];
	}

	listEligible(dataCentre: string, now: number): string[] {
		const eligible = [...this.#contactedHosts]
			.filter(([, {host}]) => host.dataCentre === dataCentre)
			.map(([key]) => key)
			.filter((key) => this.isLive(key, now) && !this.#isHostLeaving(key));
		if (dataCentre === this.#self.dataCentre && !this.#isSelfLeaving()) {
			eligible.push(this.#selfKey);
		}

		return eligible.toSorted();
	}

	isLive(key: string, now: number): boolean {
		if (key === this.#selfKey) {
			return true;
		}

		const contact = this.#contactedHosts.get(key);
		if (!contact || contact.isConnected) {
			return contact !== undefined;
		}

		const {closed} = contact;
		return closed?.cause === 'closed' && now - closed.at < reconnectGraceMs;
	}

	getCores(key: string): number {
		const host =
			key === this.#selfKey ? this.#self : this.#contactedHosts.get(key)?.host;
		return host?.cores ?? this.#listedHosts.get(key)?.cores ?? defaultCores;
	}

	listStrongerListed(): string[] {
		const {dataCentre, cores: ownCores = defaultCores} = this.#self;
		return [...this.#listedHosts].flatMap(([key, host]) =>
			host.dataCentre === dataCentre && this.getCores(key) > ownCores
				? key
				: [],
		);
	}

	getMostCores(): number {
		return this.#mostCores;
	}

	isWorkerLeaving(ip: string): boolean {
		return this.#leavingWorkers.has(parseIp(ip));
	}

	exportHosts(): KnownHost[] {
		const hosts = new Map(this.#listedHosts);
		for (const [key, {host, isConnected}] of this.#contactedHosts) {
			if (isConnected) {
				hosts.set(key, host);
			}
		}

		hosts.set(this.#selfKey, this.#self);
		return [...hosts].map(([key, host]) => ({
			...host,
			state: this.#isHostLeaving(key) ? 'leaving' : 'live',
		}));
	}

	#isSelfLeaving(): boolean {
		return this.#isLeaving || this.#isListedLeaving(this.#selfKey);
	}

	#isHostLeaving(key: string): boolean {
		if (key === this.#selfKey) {
			return this.#isSelfLeaving();
		}

		const isSelfReported = this.#contactedHosts.get(key)?.isLeaving ?? false;
		return isSelfReported || this.#isListedLeaving(key);
	}

	#isListedLeaving(key: string): boolean {
		return this.#listedHosts.get(key)?.state === 'leaving';
	}

	#forgetOld(now: number): void {
		for (const [key, {at}] of this.#reportedHosts) {
			if (now - at > forgetAfterMs) {
				this.#reportedHosts.delete(key);
			}
		}

		for (const [key, {closed, isConnected}] of this.#contactedHosts) {
			if (!isConnected && closed && now - closed.at > forgetAfterMs) {
				this.#contactedHosts.delete(key);
			}
		}
	}
}

function parseIp(address: string): string {
	return address.split(':', 1)[0]!;
}
