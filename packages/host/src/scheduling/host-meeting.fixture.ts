/**
Hosts that find each other by entries in a fake store, over connections without sockets. Its calls are
answered in the next turn of the loop; time passes as the test has it pass.
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
import {Directory} from '../directory.js';
import {createIdentity} from '../identity.js';
import {createHostPresence} from './host-presence.js';

const hash = await loadHash();
/** More turns than any chain of calls that starts at once takes. */
const turns = 40;
const stepMs = 10;

export type StoreCall = {
	host: string;
	kind: 'list' | 'stale list' | 'lease' | 'renew' | 'write';
};

export type FakeStoreFaults = {
	isRefused: (call: StoreCall) => boolean;
	/** Carried out, and not answered. */
	isUnanswered: (call: StoreCall) => boolean;
	/** Turns of the loop until the answer. */
	countTurns: (call: StoreCall) => number;
};

export type FakeStore = {
	faults: FakeStoreFaults;
	calls: StoreCall[];
	/** The entry of a host that the store has dropped. */
	dropEntry: (host: string) => void;
	/** From now on reads that may be stale give what is there now. */
	freezeStaleReads: () => void;
	connect: (host: string) => CoordinationStore;
};

const lost: StoreFailure = {code: 'unknown-outcome', message: 'no answer'};
const refused: StoreFailure = {code: 'unavailable', message: 'status 503'};

export function createFakeStore(): FakeStore {
	const entries = new Map<string, StoreItem>();
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
		what: StoreCall,
		carryOut: () => Result<T, StoreFailure>,
	): ResultAsync<T, StoreFailure> {
		calls.push(what);
		const isRefused = faults.isRefused(what);
		const result = isRefused ? err(refused) : carryOut();
		const isUnanswered = faults.isUnanswered(what);
		const answer = async (): Promise<Result<T, StoreFailure>> => {
			for (let i = 0; i < faults.countTurns(what); i += 1) {
				await waitTurn();
			}

			return isUnanswered && !isRefused ? err(lost) : result;
		};

		return new ResultAsync(answer());
	}

	return {
		faults,
		calls,
		dropEntry(host) {
			for (const [lease, name] of leases) {
				if (name === host) {
					leases.delete(lease);
				}
			}

			entries.delete(`gentianshift/hosts/${host}`);
		},
		freezeStaleReads() {
			stale = [...entries.values()];
		},
		connect(host) {
			const ports: Partial<CoordinationStore> = {
				readPrefix: (_prefix, {mayBeStale = false} = {}) =>
					call({host, kind: mayBeStale ? 'stale list' : 'list'}, () =>
						ok({
							items: (mayBeStale ? stale : undefined) ?? [...entries.values()],
							revision,
						}),
					),
				commit: ({write = []}) =>
					call({host, kind: 'write'}, () => {
						revision += 1;
						for (const {key, value} of write) {
							entries.set(key, {key, value, revision});
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

export type MeetingHost = {
	name: string;
	start: () => void;
	/** Dark: nobody can connect to it. */
	setDark: (isDark: boolean) => void;
	listLinked: () => string[];
};

export type Meeting = {
	store: FakeStore;
	addHost: (name: string, dataCentre: string) => MeetingHost;
	/** Lets what goes on come to its end, and this much time pass. */
	pass: (ms: number) => Promise<void>;
};

export function openMeeting(context: TestContext): Meeting {
	context.mock.timers.enable({apis: ['setTimeout']});
	const store = createFakeStore();
	const network = new Map<string, Party>();
	return {
		store,
		addHost(name, dataCentre) {
			const party = createParty({name, dataCentre}, {store, network});
			return {
				name,
				start() {
					const ended = new AbortController();
					context.after(() => {
						ended.abort();
					});
					network.set(party.address, party);
					party.presence.start(ended.signal);
					party.directory.start(party.mesh, ended.signal);
				},
				setDark(isDark) {
					if (isDark) {
						network.delete(party.address);
					} else {
						network.set(party.address, party);
					}
				},
				listLinked: () =>
					party.mesh
						.listLinks()
						.map(({hello}) => hello.host)
						.toSorted(),
			};
		},
		async pass(ms) {
			await waitTurns();
			for (let passed = 0; passed < ms; passed += stepMs) {
				context.mock.timers.tick(stepMs);
				await waitTurns();
			}
		},
	};
}

async function waitTurns(): Promise<void> {
	for (let i = 0; i < turns; i += 1) {
		await waitTurn();
	}
}

type Party = {
	address: string;
	hello: Link['hello'];
	directory: Directory;
	presence: ReturnType<typeof createHostPresence>;
	mesh: Mesh;
};

function createParty(
	host: {name: string; dataCentre: string},
	{store, network}: {store: FakeStore; network: Map<string, Party>},
): Party {
	const address = `127.0.0.1:${7000 + nextPort}`;
	nextPort += 1;
	const identity = createIdentity({host});
	const presence = createHostPresence({
		self: {...host, role: 'entry', address, state: 'live'},
		store: store.connect(host.name),
		random: () => 0.5,
		onEntered() {
			void directory.readListAgain();
		},
		log() {
			// Not of interest here.
		},
	});
	const directory = new Directory({
		identity,
		address,
		seeds: [],
		hostList: presence,
		hash,
		random: () => 0.5,
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

/** Connects to each peer that there is, in the next turn of the loop. */
function createFakeMesh({
	key,
	hello,
	network,
}: {
	key: string;
	hello: Link['hello'];
	network: Map<string, Party>;
}): Mesh {
	const links = new Map<string, Link>();
	let wanted: readonly PeerAddress[] = [];

	async function dial(peer: PeerAddress): Promise<void> {
		await waitTurn();
		const party = network.get(peer.address);
		const peerKey = `${peer.dataCentre}_${peer.host}`;
		const isWanted = wanted.some(({address}) => address === peer.address);
		if (!party || !isWanted || links.has(peerKey)) {
			return;
		}

		const link: Link = {
			key: peerKey,
			hello: party.hello,
			send(message) {
				if (message.t === 'hosts') {
					setImmediate(() => {
						party.directory.receiveHosts(message);
					});
				}
			},
		};
		links.set(peerKey, link);
		party.directory.markSession({
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
			// Hosts know no seeds here.
		},
	};
	return mesh as Mesh;
}
