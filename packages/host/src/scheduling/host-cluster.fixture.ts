/**
Hosts that discover each other by registrations in a fake store, over connections without sockets.
The store's calls are answered in the next turn of the event loop; the test advances the time.
*/
import {setImmediate as waitTurn} from 'node:timers/promises';
import {type TestContext} from 'node:test';
import {ResultAsync, err, ok, type Result} from 'neverthrow';
import {loadHash} from '@gentianshift/membership';
import {type Link, type Mesh, type PeerAddress} from '@gentianshift/protocol';
import {
	type CoordinationStore,
	type StoreFailure,
	type StoreItem,
} from '@gentianshift/scheduling';
import {createStrictBackground} from '@gentianshift/scheduling/fixtures';
import {Directory} from '../directory.js';
import {createIdentity} from '../identity.js';
import {createHostPresence} from './host-presence.js';

const hash = await loadHash();
/** More turns of the event loop than any chain of calls that starts at once takes. */
const turnsPerWait = 40;
const stepMs = 10;

export type StoreCall = {
	host: string;
	kind: 'list' | 'stale list' | 'lease' | 'renew' | 'write';
};

export type FakeStoreFaults = {
	isRefused: (call: StoreCall) => boolean;
	/** The call takes effect, but its answer is lost. */
	isUnanswered: (call: StoreCall) => boolean;
	/** Turns of the event loop until the answer. */
	countTurns: (call: StoreCall) => number;
};

export type FakeStore = {
	faults: FakeStoreFaults;
	calls: StoreCall[];
	/** Drops the host's lease and registration, as a store does that loses them. */
	dropRegistration: (host: string) => void;
	/** From now on, reads that may be stale return the present registrations. */
	freezeStaleReads: () => void;
	connect: (host: string) => CoordinationStore;
};

const lostAnswer: StoreFailure = {
	code: 'unknown-outcome',
	message: 'no answer',
};
const refusedCall: StoreFailure = {code: 'unavailable', message: 'status 503'};

export function createFakeStore(): FakeStore {
	const registrations = new Map<string, StoreItem>();
	const leases = new Map<number, string>();
	const calls: StoreCall[] = [];
	const faults: FakeStoreFaults = {
		isRefused: () => false,
		isUnanswered: () => false,
		countTurns: () => 1,
	};
	let stale: StoreItem[] | undefined;
	let revision = 0;

	function call<T>(
		storeCall: StoreCall,
		execute: () => Result<T, StoreFailure>,
	): ResultAsync<T, StoreFailure> {
		calls.push(storeCall);
		const isRefused = faults.isRefused(storeCall);
		const result = isRefused ? err(refusedCall) : execute();
		const isUnanswered = faults.isUnanswered(storeCall);
		const answer = async (): Promise<Result<T, StoreFailure>> => {
			for (let i = 0; i < faults.countTurns(storeCall); i += 1) {
				await waitTurn();
			}

			return isUnanswered && !isRefused ? err(lostAnswer) : result;
		};

		return new ResultAsync(answer());
	}

	return {
		faults,
		calls,
		dropRegistration(host) {
			for (const [lease, name] of leases) {
				if (name === host) {
					leases.delete(lease);
				}
			}

			registrations.delete(`gentianshift/hosts/${host}`);
		},
		freezeStaleReads() {
			stale = [...registrations.values()];
		},
		connect(host) {
			const ports: Partial<CoordinationStore> = {
				readPrefix: (_prefix, {mayBeStale = false} = {}) =>
					call({host, kind: mayBeStale ? 'stale list' : 'list'}, () =>
						ok({
							items: (mayBeStale ? stale : undefined) ?? [
								...registrations.values(),
							],
							revision,
						}),
					),
				commit: ({write = []}) =>
					call({host, kind: 'write'}, () => {
						revision += 1;
						for (const {key, value} of write) {
							registrations.set(key, {key, value, revision});
						}

						return ok({revision});
					}),
				createLease: () =>
					call({host, kind: 'lease'}, () => {
						revision += 1;
						leases.set(revision, host);
						return ok({leaseId: revision});
					}),
				renewLease: (leaseId) =>
					call({host, kind: 'renew'}, () =>
						leases.has(leaseId)
							? ok(undefined)
							: err({code: 'no-lease' as const, message: 'status 404'}),
					),
			};
			return ports as CoordinationStore;
		},
	};
}

export type ClusterHost = {
	name: string;
	start: () => void;
	/** While unreachable, no host can connect to it. */
	setUnreachable: (isUnreachable: boolean) => void;
	listLinked: () => string[];
};

export type Cluster = {
	store: FakeStore;
	addHost: (name: string, dataCentre: string) => ClusterHost;
	/** Lets pending work end, and advances the time by so many milliseconds. */
	passTime: (ms: number) => Promise<void>;
};

export function openCluster(context: TestContext): Cluster {
	context.mock.timers.enable({apis: ['setTimeout']});
	const store = createFakeStore();
	const network = new Map<string, FakeHost>();
	return {
		store,
		addHost(name, dataCentre) {
			const fakeHost = createFakeHost({name, dataCentre}, {store, network});
			return {
				name,
				start() {
					const ended = new AbortController();
					context.after(() => {
						ended.abort();
					});
					network.set(fakeHost.address, fakeHost);
					fakeHost.presence.start(ended.signal);
					fakeHost.directory.start(fakeHost.mesh, ended.signal);
				},
				setUnreachable(isUnreachable) {
					if (isUnreachable) {
						network.delete(fakeHost.address);
					} else {
						network.set(fakeHost.address, fakeHost);
					}
				},
				listLinked: () =>
					fakeHost.mesh
						.listLinks()
						.map(({hello}) => hello.host)
						.toSorted(),
			};
		},
		async passTime(ms) {
			await waitTurns();
			for (let passed = 0; passed < ms; passed += stepMs) {
				context.mock.timers.tick(stepMs);
				await waitTurns();
			}
		},
	};
}

async function waitTurns(): Promise<void> {
	for (let i = 0; i < turnsPerWait; i += 1) {
		await waitTurn();
	}
}

type FakeHost = {
	address: string;
	hello: Link['hello'];
	directory: Directory;
	presence: ReturnType<typeof createHostPresence>;
	mesh: Mesh;
};

function createFakeHost(
	host: {name: string; dataCentre: string},
	{store, network}: {store: FakeStore; network: Map<string, FakeHost>},
): FakeHost {
	const address = `127.0.0.1:${7000 + nextPort}`;
	nextPort += 1;
	const identity = createIdentity({host});
	const background = createStrictBackground();
	const presence = createHostPresence({
		self: {...host, role: 'entry', address, state: 'live'},
		store: store.connect(host.name),
		random: () => 0.5,
		background,
		onRegistered() {
			void directory.readListAgain();
		},
		log() {
			// Not read.
		},
	});
	const directory = new Directory({
		identity,
		address,
		seeds: [],
		hostList: presence,
		hash,
		random: () => 0.5,
		background,
		onChange() {
			// Not of interest here.
		},
	});
	const hello: Link['hello'] = {
		t: 'hello',
		version: 1,
		dataCentre: host.dataCentre,
		host: host.name,
		incarnation: identity.incarnation,
		address,
		isLeaving: false,
	};
	const mesh = createFakeMesh({key: identity.key, hello, network});
	return {address, hello, directory, presence, mesh};
}

let nextPort = 0;

/** Connects to each reachable peer in the next turn of the event loop. */
function createFakeMesh({
	key,
	hello,
	network,
}: {
	key: string;
	hello: Link['hello'];
	network: Map<string, FakeHost>;
}): Mesh {
	const links = new Map<string, Link>();
	let wanted: readonly PeerAddress[] = [];

	async function dial(peer: PeerAddress): Promise<void> {
		await waitTurn();
		const fakeHost = network.get(peer.address);
		const peerKey = `${peer.dataCentre}_${peer.host}`;
		const isWanted = wanted.some(({address}) => address === peer.address);
		if (!fakeHost || !isWanted || links.has(peerKey)) {
			return;
		}

		const link: Link = {
			key: peerKey,
			hello: fakeHost.hello,
			send(message) {
				if (message.t === 'hosts') {
					setImmediate(() => {
						fakeHost.directory.receiveHosts(message);
					});
				}
			},
		};
		links.set(peerKey, link);
		fakeHost.directory.markSession({
			key,
			hello,
			send() {
				// Nothing is answered here.
			},
		});
		network.get(hello.address)?.directory.markLinkUp(link, peer.address);
	}

	const mesh: Pick<
		Mesh,
		'setPeers' | 'listLinks' | 'findLink' | 'setLeaving' | 'sendGreeting'
	> = {
		setPeers(peers) {
			wanted = peers;
			for (const peer of peers) {
				void dial(peer);
			}
		},
		listLinks: () => [...links.values()],
		findLink: (peerKey) => links.get(peerKey),
		setLeaving() {
			// Not of interest here.
		},
		sendGreeting() {
			// Hosts have no seeds here.
		},
	};
	return mesh as Mesh;
}
