/**
The two roles of a scheduling host, joined: the entry of its callers' jobs, and the scheduler of its
data centre's group while it holds it. Connections, clocks and lists are handed in.
*/
import {
	createCrashRecords,
	createGroupDirectory,
	createRunTimes,
	createSuccession,
	EntryJobs,
	parseProcessId,
	stateEveryMs,
	type CoordinationStore,
	type Entry,
	type EntryJob,
	type EntryPeers,
	type EntryPorts,
	type ExecutorControl,
	type JobAnswer,
	type JobRequest,
} from '@gentianshift/scheduling';
import {type GroupState, type Link, type Message} from '@gentianshift/protocol';
import {type ExecutorLists} from './executor-lists.js';
import {GroupHolding} from './group-holding.js';
import {measureStoreAge} from './store-clock.js';

export type HostRolesOptions = {
	dataCentre: string;
	/** `<data centre>_<host>`. */
	key: string;
	/** This process: `<key>.<incarnation>`. */
	ownerId: string;
	store: CoordinationStore;
	control: ExecutorControl;
	executors: Pick<ExecutorLists, 'list' | 'readNow' | 'isComplete' | 'isFresh'>;
	peers: Peers;
	getLeaseId: () => number | undefined;
	now: () => number;
	/** Like `now`, but counts the time for which this machine was suspended. */
	readBootTime: () => number;
	/** Milliseconds since 1970. */
	readWallClock: () => number;
	wait: (ms: number, signal?: AbortSignal) => Promise<void>;
	/** Runs work once what is going on now is over. */
	defer: (work: () => void) => void;
	/** Called for each job, before its caller is answered. */
	onAnswer: (job: EntryJob, answer: JobAnswer, tookMs: number) => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

/** The other hosts, as far as they are known and connected. */
export type Peers = {
	listLinks: () => readonly Link[];
	/** Also those to which there is no connection now. */
	listKeys: () => readonly string[];
	findLink: (key: string) => Link | undefined;
	/** Processes of that host that are connected to this one. */
	listIncarnations: (key: string) => readonly string[];
	/** Hosts that could hold the group of this data centre, the first choice first. */
	listOrder: () => readonly string[];
	/** Processor cores that a host may use. */
	getCores: (key: string) => number;
};

export class HostRoles {
	readonly groups = createGroupDirectory();
	readonly crashes = createCrashRecords();
	readonly entry: EntryJobs;
	readonly holding: GroupHolding;
	/** From now on this host takes no role. */
	isStopping = false;
	readonly #options: HostRolesOptions;
	readonly #runTimes = createRunTimes();
	readonly #succession = createSuccession();
	/** The entry on the scheduler's own host. */
	readonly #localEntry: Entry;
	/** A stronger host that is asked to take the group over. */
	#successor: string | undefined;
	#toldAt = 0;
	/** The group was last told as one whose executors have all answered. */
	#isToldReady = false;

	constructor(options: HostRolesOptions) {
		this.#options = options;
		this.holding = this.#createHolding();
		this.entry = new EntryJobs({
			self: options.ownerId,
			peers: this.#createEntryPeers(),
			home: options.dataCentre,
			now: options.now,
			readWallClock: options.readWallClock,
			groups: this.groups,
			runTimes: this.#runTimes,
			crashes: this.crashes,
			send: (holder, message) => this.#sendToHolder(holder, message),
			log: options.log,
			onAnswer: options.onAnswer,
		});
		this.#localEntry = {
			key: options.ownerId,
			send: (message) => {
				options.defer(() => {
					this.entry.receive(options.key, message);
				});
			},
		};
	}

	/** Gives what tells that the caller has left. */
	submit(
		request: JobRequest,
		onAnswer: (answer: JobAnswer) => void,
	): () => void {
		this.#refreshOwnState();
		return this.entry.submit(request, onAnswer);
	}

	/** What time alone brings about; to be called each 50 ms or so. */
	update(): void {
		this.holding.update();
		this.#updateSuccessor();
		// What was told before this turn: after a pause, callers that have left since are read before anything is renewed.
		this.entry.answerState(this.#options.dataCentre);
		this.#refreshOwnState();
		this.entry.update();
		if (this.#options.now() - this.#toldAt >= stateEveryMs) {
			this.tellState();
		}
	}

	/** Tells all hosts the state of the group that this host holds, or has just given up. */
	tellState(): void {
		const state = this.#findStateToTell();
		if (state) {
			this.#toldAt = this.#options.now();
			this.#isToldReady = this.holding.scheduler?.isReady ?? false;
			this.tellPeers(state);
		}
	}

	/** Tells one host, to which a connection has just been made: it may count the group as out of reach since the last one broke. */
	tellStateTo(peer: Pick<Link, 'send'>): void {
		const state = this.#findStateToTell();
		if (state) {
			peer.send(state);
		}
	}

	tellPeers(message: Message): void {
		for (const link of this.#options.peers.listLinks()) {
			link.send(message);
		}
	}

	#createEntryPeers(): EntryPeers {
		const {listKeys, findLink} = this.#options.peers;
		return {
			listHosts: listKeys,
			isLinked: (host) => findLink(host) !== undefined,
			send(host, message) {
				const link = findLink(host);
				link?.send(message);
				return link !== undefined;
			},
		};
	}

	#createHolding(): GroupHolding {
		const {dataCentre, key, ownerId, store, now, peers, executors, control} =
			this.#options;
		return new GroupHolding({
			group: dataCentre,
			self: key,
			selfId: ownerId,
			isOver: (processId) => this.#isOver(processId),
			store,
			groups: this.groups,
			now,
			listOrder: peers.listOrder,
			hasPeers: () => peers.listLinks().length > 0,
			getLeaseId: this.#options.getLeaseId,
			listExecutors: () => executors.list(),
			readExecutors: async () => executors.readNow(),
			ports: {
				wait: this.#options.wait,
				readBootTime: this.#options.readBootTime,
				control,
				runTimes: this.#runTimes,
				crashes: this.crashes,
				onChange: () => {
					this.#tellFirstRoom();
				},
				takeElsewhere: (cpu, tasks) =>
					this.groups.takeElsewhere({home: dataCentre, cpu, tasks}, now()),
				isListComplete: () => executors.isComplete(),
				isListFresh: () => executors.isFresh(),
				listPeers: peers.listKeys,
				isLeaving: () => this.isStopping,
				getSuccessor: () => this.#successor,
				getStoreAgeMs: () => measureStoreAge(store, now()),
			},
			onChange: () => {
				this.tellState();
				this.entry.handOver(dataCentre);
			},
			log: this.#options.log,
		});
	}

	/** That host speaks to this one as another incarnation: the one named is gone. */
	#isOver(processId: string): boolean {
		const {host, incarnation} = parseProcessId(processId);
		const incarnations = this.#options.peers.listIncarnations(host);
		return incarnations.length > 0 && !incarnations.includes(incarnation);
	}

	/** A holder asks a stronger host to take its group; told with the group's state. */
	#updateSuccessor(): void {
		const {dataCentre, key, peers, log} = this.#options;
		const successor = this.holding.scheduler && this.#chooseSuccessor();
		if (successor !== undefined && successor !== this.#successor) {
			log('a stronger host is asked to take the group', {
				group: dataCentre,
				successor,
				cores: peers.getCores(successor),
				ownCores: peers.getCores(key),
			});
		}

		this.#successor = successor;
	}

	#chooseSuccessor(): string | undefined {
		const {key, peers, now} = this.#options;
		const [strongest] = peers.listOrder();
		const contender =
			strongest === undefined
				? undefined
				: {key: strongest, cores: peers.getCores(strongest)};
		return this.#succession.choose(contender, {
			ownCores: peers.getCores(key),
			now: now(),
		});
	}

	#sendToHolder(
		holder: string,
		message: Parameters<EntryPorts['send']>[1],
	): boolean {
		if (holder !== this.#options.key) {
			const link = this.#options.peers.findLink(holder);
			link?.send(message);
			return link !== undefined;
		}

		const {scheduler} = this.holding;
		if (!scheduler) {
			return false;
		}

		scheduler.receive(this.#localEntry, message);
		return true;
	}

	/** The entry on the same host sees the scheduler's room as it is now. */
	#refreshOwnState(): void {
		const state = this.#describeOwn();
		if (state) {
			this.groups.update(this.#options.key, state, this.#options.now());
		}
	}

	#findStateToTell(): GroupState | undefined {
		const known = this.groups.findGroup(this.#options.dataCentre);
		const isOwn = known?.holder === this.#options.key;
		return this.#describeOwn() ?? (isOwn ? known.state : undefined);
	}

	#describeOwn(): GroupState | undefined {
		return this.holding.scheduler?.describeState();
	}

	/**
	A group that has just been taken has no room until its executors have answered. All entries wait
	for that word, so it does not wait for the next round.
	*/
	#tellFirstRoom(): void {
		if (!this.#isToldReady && this.holding.scheduler?.isReady) {
			this.#refreshOwnState();
			this.tellState();
			this.entry.placeWaiting();
		}
	}
}
