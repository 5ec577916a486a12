/**
The two roles of a scheduling host: the entry, which accepts its callers' jobs, and, while this host
holds the group of its data centre, the group's scheduler. Connections, clocks and lists are passed
in.
*/
import {
	createCrashRecords,
	createGroupDirectory,
	createRunTimes,
	createSuccession,
	EntryJobs,
	parseProcessId,
	stateIntervalMs,
	type CoordinationStore,
	type Entry,
	type EntryJob,
	type EntryPeers,
	type EntryPorts,
	type ExecutorControl,
	type GroupDirectory,
	type JobAnswer,
	type JobRequest,
	type WithdrawalOutcome,
} from '@gentianshift/scheduling';
import {type GroupState, type Link, type Message} from '@gentianshift/protocol';
import {type Evacuations} from './evacuations.js';
import {type ExecutorLists} from './executor-lists.js';
import {GroupHolding} from './group-holding.js';
import {choosePingInterval, createSilenceWatch} from './ping-intervals.js';
import {measureStoreAge} from './store-age.js';

export type HostRolesOptions = {
	dataCentre: string;
	/** `<data centre>_<host>`. */
	key: string;
	/** This process: `<key>.<incarnation>`. */
	processId: string;
	store: CoordinationStore;
	control: ExecutorControl;
	executors: Pick<ExecutorLists, 'list' | 'refresh' | 'isComplete' | 'isFresh'>;
	evacuations: Pick<Evacuations, 'getPermission' | 'isEvacuated'>;
	peers: Peers;
	getLeaseId: () => number | undefined;
	now: () => number;
	/** Like `now`, but includes the time for which this machine was suspended. */
	readBootTime: () => number;
	/** Milliseconds since 1970. */
	readWallClock: () => number;
	/** Uniform in [0, 1). */
	random: () => number;
	wait: (ms: number, signal?: AbortSignal) => Promise<void>;
	/** Runs work after the current event-loop callback has ended. */
	defer: (work: () => void) => void;
	/** Called for each job, before its caller is answered. */
	onAnswer: (job: EntryJob, answer: JobAnswer, tookMs: number) => void;
	/** Called once for each withdrawal of a job's tasks. */
	onWithdrawal: (outcome: WithdrawalOutcome) => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

/** The other hosts, as far as they are known and connected. */
export type Peers = {
	listLinks: () => readonly Link[];
	/** Includes hosts to which there is no connection at the moment. */
	listKeys: () => readonly string[];
	findLink: (key: string) => Link | undefined;
	/** Incarnations of that host whose processes are connected to this one. */
	listIncarnations: (key: string) => readonly string[];
	/** Hosts that could hold the group of this data centre, the preferred one first. */
	listCandidates: () => readonly string[];
	/** Processor cores that a host may use. */
	getCores: (key: string) => number;
};

/** So many hosts take a group over before the others try. */
const firstInLine = 3;
/** The takeover order changes only when hosts come or go. */
const idlenessCheckIntervalMs = 1000;
/** A stronger host has to be there for seconds before it is asked, so it is looked for no more often than this. */
const successorCheckIntervalMs = 500;

export class HostRoles {
	readonly groups: GroupDirectory;
	readonly crashes = createCrashRecords();
	readonly entry: EntryJobs;
	readonly holding: GroupHolding;
	/** Set when the host stops: it then takes no role any more. */
	isStopping = false;
	readonly #options: HostRolesOptions;
	readonly #runTimes = createRunTimes();
	readonly #succession = createSuccession();
	readonly #watchSilence = createSilenceWatch();
	/** The entry on the scheduler's own host. */
	readonly #localEntry: Entry;
	/** A host with more cores that is asked to take the group over. */
	#successor: string | undefined;
	#successorChosenAt = -Infinity;
	#idlenessCheckedAt = -Infinity;
	#isFirstInLine = true;
	#stateSentAt = 0;
	/** Whether the state that was last sent was of a group whose executors have all answered. */
	#isReadyStateSent = false;

	constructor(options: HostRolesOptions) {
		this.#options = options;
		this.groups = createGroupDirectory({
			isEvacuated: options.evacuations.isEvacuated,
		});
		this.holding = this.#createHolding();
		this.entry = new EntryJobs({
			self: options.processId,
			peers: this.#createEntryPeers(),
			home: options.dataCentre,
			now: options.now,
			readWallClock: options.readWallClock,
			random: options.random,
			groups: this.groups,
			runTimes: this.#runTimes,
			crashes: this.crashes,
			send: (holder, message) => this.#sendToHolder(holder, message),
			log: options.log,
			onAnswer: options.onAnswer,
			onWithdrawal: options.onWithdrawal,
		});
		this.#localEntry = {
			key: options.processId,
			send: (message) => {
				options.defer(() => {
					this.entry.receive(options.key, message);
				});
			},
		};
	}

	/** Interval between pings to this peer, milliseconds. */
	choosePingInterval(peer: string): number {
		return choosePingInterval(peer, {
			dataCentre: this.#options.dataCentre,
			isHolder: this.holding.scheduler !== undefined,
			groups: this.groups.list(),
			hasTasksIn: (group) => this.entry.hasTasksIn(group),
			now: this.#options.now(),
		});
	}

	/** Whether a group's holder has fallen silent since the last call. */
	hasNewSilence(): boolean {
		return this.#watchSilence(this.groups.list(), this.#options.now());
	}

	/** Whether this host has no job, holds no group, and is not among the first to take one over. */
	isIdle(): boolean {
		const now = this.#options.now();
		if (now - this.#idlenessCheckedAt > idlenessCheckIntervalMs) {
			const {key, peers} = this.#options;
			const rank = peers.listCandidates().indexOf(key);
			this.#idlenessCheckedAt = now;
			this.#isFirstInLine = rank !== -1 && rank < firstInLine;
		}

		return (
			!this.#isFirstInLine &&
			this.entry.size === 0 &&
			this.holding.scheduler === undefined
		);
	}

	/** Returns a function to call when the caller has disconnected. */
	submit(
		request: JobRequest,
		onAnswer: (answer: JobAnswer) => void,
	): () => void {
		this.#refreshOwnState();
		return this.entry.submit(request, onAnswer);
	}

	/** Acts on time limits that have passed; to be called about every 50 ms. */
	update(): void {
		this.holding.update();
		this.#updateSuccessor();
		// Answers the state of the previous update, before the state is refreshed. After a pause of
		// this process, the disconnections of callers that left meanwhile are then read before
		// their jobs' claims are renewed.
		this.entry.renewClaims(this.#options.dataCentre);
		this.#refreshOwnState();
		this.entry.update();
		if (this.#options.now() - this.#stateSentAt >= stateIntervalMs) {
			this.sendState();
		}
	}

	/** To be called when data centres were evacuated or taken back. */
	applyEvacuations(): void {
		// Entries learn first that the group has no room, and then get back what waited there.
		this.#refreshOwnState();
		this.sendState();
		this.holding.scheduler?.applyStartPermission();

		this.entry.placeWaitingJobs();
	}

	/**
	Sends the state of the group that this host holds, or has just given up, to all connected hosts.
	*/
	sendState(): void {
		const state = this.#findStateToSend();
		if (state) {
			this.#stateSentAt = this.#options.now();
			this.#isReadyStateSent = this.holding.scheduler?.isReady ?? false;
			this.sendToPeers(state);
		}
	}

	/**
	Sends the state to one host that has just been connected: it may have treated the group as
	unreachable since its previous connection broke.
	*/
	sendStateTo(peer: Pick<Link, 'send'>): void {
		const state = this.#findStateToSend();
		if (state) {
			peer.send(state);
		}
	}

	sendToPeers(message: Message): void {
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
		const {dataCentre, key, processId, store, now, peers, executors, control} =
			this.#options;
		const {evacuations} = this.#options;
		return new GroupHolding({
			group: dataCentre,
			hostKey: key,
			processId,
			isProcessGone: (id) => this.#isProcessGone(id),
			store,
			groups: this.groups,
			now,
			listCandidates: peers.listCandidates,
			hasPeers: () => peers.listLinks().length > 0,
			getLeaseId: this.#options.getLeaseId,
			listExecutors: () => executors.list(),
			refreshExecutors: async () => executors.refresh(),
			ports: {
				wait: this.#options.wait,
				readBootTime: this.#options.readBootTime,
				control,
				runTimes: this.#runTimes,
				crashes: this.crashes,
				onChange: () => {
					this.#sendFirstReadyState();
				},
				takeCapacityElsewhere: (cpu, tasks) =>
					this.groups.takeElsewhere({home: dataCentre, cpu, tasks}, now()),
				getStartPermission: () => evacuations.getPermission(dataCentre),
				isListComplete: () => executors.isComplete(),
				isListFresh: () => executors.isFresh(),
				listPeers: peers.listKeys,
				isLeaving: () => this.isStopping,
				getSuccessor: () => this.#successor,
				getStoreAgeMs: () => measureStoreAge(store, now()),
			},
			onChange: () => {
				this.sendState();
				this.entry.sendGroupTasks(dataCentre);
			},
			log: this.#options.log,
		});
	}

	/**
	Whether that process is known to have ended: its host is connected to this one, but only as
	other incarnations.
	*/
	#isProcessGone(processId: string): boolean {
		const {host, incarnation} = parseProcessId(processId);
		const incarnations = this.#options.peers.listIncarnations(host);
		return incarnations.length > 0 && !incarnations.includes(incarnation);
	}

	/**
	Chooses the stronger host that the holder asks to take its group; the request is a field of the
	group's state.
	*/
	#updateSuccessor(): void {
		const {dataCentre, key, peers, now, log} = this.#options;
		const isChosen = now() - this.#successorChosenAt < successorCheckIntervalMs;
		if (isChosen && this.holding.scheduler) {
			return;
		}

		this.#successorChosenAt = now();
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
		const [strongest] = peers.listCandidates();
		const candidate =
			strongest === undefined
				? undefined
				: {key: strongest, cores: peers.getCores(strongest)};
		return this.#succession.choose(candidate, {
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

	/** Lets the entry on this host see the scheduler's current free capacity. */
	#refreshOwnState(): void {
		const state = this.#describeOwnGroup();
		if (state) {
			this.groups.update(this.#options.key, state, this.#options.now());
		}
	}

	#findStateToSend(): GroupState | undefined {
		const known = this.groups.findGroup(this.#options.dataCentre);
		const isOwn = known?.holder === this.#options.key;
		return this.#describeOwnGroup() ?? (isOwn ? known.state : undefined);
	}

	#describeOwnGroup(): GroupState | undefined {
		const state = this.holding.scheduler?.describeState();
		return state && {...state, unreachable: this.#listUnreachableNear()};
	}

	/** Hosts of this data centre to which there is no connection. */
	#listUnreachableNear(): string[] {
		const {dataCentre, peers} = this.#options;
		return peers
			.listKeys()
			.filter(
				(key) =>
					key.startsWith(`${dataCentre}_`) && peers.findLink(key) === undefined,
			);
	}

	/**
	Sends the state as soon as all executors have answered. A group that has just been taken over
	reports no free capacity until then, and all entries wait for that state, so it must not wait
	for the next regular one.
	*/
	#sendFirstReadyState(): void {
		if (!this.#isReadyStateSent && this.holding.scheduler?.isReady) {
			this.#refreshOwnState();
			this.sendState();
			this.entry.placeWaitingJobs();
		}
	}
}
