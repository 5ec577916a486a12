/**
The two roles of a scheduling host: the entry, which accepts its callers' jobs, and the schedulers of
the groups that this host holds in its data centre. Connections, clocks and lists are passed in.
*/
import {
	createCancellations,
	createCancelledJobs,
	createCrashRecords,
	createGroupDirectory,
	createPauseWatch,
	createRunTimes,
	EntryJobs,
	parseProcessId,
	stateIntervalMs,
	type Background,
	type CancelledJobs,
	type Cancellations,
	type CoordinationStore,
	type Entry,
	type EntryJob,
	type EntryPeers,
	type EntryPorts,
	type ExecutorControl,
	type GroupDirectory,
	type GroupScheduler,
	type JobAnswer,
	type JobRequest,
	type PauseWatch,
	type WithdrawalOutcome,
} from '@gentianshift/scheduling';
import {type GroupState, type Link, type Message} from '@gentianshift/protocol';
import {type Evacuations} from './evacuations.js';
import {type ExecutorLists} from './executor-lists.js';
import {GroupHoldings} from './group-holdings.js';
import {createGroupLayouts, type GroupLayouts} from './group-layouts.js';
import {choosePingInterval, createSilenceWatch} from './ping-intervals.js';
import {
	createRegistrationExchange,
	type RegistrationExchange,
} from './registration-exchange.js';
import {measureStoreAge} from './store-age.js';

export type HostRolesOptions = {
	dataCentre: string;
	/** `<data centre>_<host>`. */
	key: string;
	/** This process: `<key>.<incarnation>`. */
	processId: string;
	store: CoordinationStore;
	control: ExecutorControl;
	executors: Pick<
		ExecutorLists,
		| 'list'
		| 'refresh'
		| 'isComplete'
		| 'isFresh'
		| 'listUnconfirmed'
		| 'getRevision'
		| 'measureAge'
		| 'isReadable'
		| 'readCurrent'
		| 'listChangedSince'
		| 'applyTold'
	>;
	evacuations: Pick<Evacuations, 'getPermission' | 'isEvacuated'>;
	peers: Peers;
	getLeaseId: () => number | undefined;
	now: () => number;
	/** Like `now`, but includes the time for which this machine was suspended. */
	readBootTime: () => number;
	/** Milliseconds since 1970. */
	readWallClock: () => number;
	wait: (ms: number, signal?: AbortSignal) => Promise<void>;
	background: Background;
	/** Returns a number from 0 up to 1. */
	random: () => number;
	/** Assigns executors to groups; the same on all hosts. */
	hash: (text: string) => bigint;
	/** Most groups that operators want a data centre to have. */
	maxGroups: number;
	/** Most cancelled jobs that this host remembers; absent: the default of `createCancelledJobs`. */
	maxCancelledJobs?: number;
	/** Calls back once all that this process's accepted connections hold at the time of the call has been read and handled. */
	waitForReads: (onRead: () => void) => void;
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
	/** Hosts that could hold a group of this data centre, the preferred one first. */
	listCandidates: () => readonly string[];
	/** Processor cores that a host may use. */
	getCores: (key: string) => number;
};

/** The takeover order changes only when hosts come or go. */
const idlenessCheckIntervalMs = 1000;

export class HostRoles {
	readonly groups: GroupDirectory;
	readonly crashes = createCrashRecords();
	readonly cancelledJobs: CancelledJobs;
	readonly cancellations: Cancellations;
	readonly entry: EntryJobs;
	readonly pauses: PauseWatch;
	readonly holdings: GroupHoldings;
	readonly layouts: GroupLayouts;
	readonly registrations: RegistrationExchange;
	/** Set when the host stops: it then takes no role any more. */
	isStopping = false;
	readonly #options: HostRolesOptions;
	readonly #runTimes = createRunTimes();
	readonly #watchSilence = createSilenceWatch();
	/** The entry on the scheduler's own host. */
	readonly #localEntry: Entry;
	#idlenessCheckedAt = -Infinity;
	#isFirstInLine = true;
	#stateSentAt = 0;
	/** Groups whose state was sent after all of their executors had answered. */
	readonly #readyStatesSent = new Set<string>();

	constructor(options: HostRolesOptions) {
		this.#options = options;
		this.groups = createGroupDirectory({
			isEvacuated: options.evacuations.isEvacuated,
		});
		this.cancelledJobs = createCancelledJobs({
			now: options.now,
			maxJobs: options.maxCancelledJobs,
		});
		this.layouts = this.#createLayouts();
		this.holdings = this.#createHoldings();
		this.pauses = createPauseWatch({
			...options,
			onCaughtUp: () => {
				this.#refreshOwnStates();
				this.entry.finishCatchingUp();
			},
		});
		this.entry = new EntryJobs({
			self: options.processId,
			peers: this.#createEntryPeers(),
			home: options.dataCentre,
			now: options.now,
			random: options.random,
			readWallClock: options.readWallClock,
			groups: this.groups,
			runTimes: this.#runTimes,
			crashes: this.crashes,
			cancelledJobs: this.cancelledJobs,
			pauses: this.pauses,
			send: (holder, message) => this.#sendToHolder(holder, message),
			log: options.log,
			onAnswer: options.onAnswer,
			onWithdrawal: options.onWithdrawal,
		});
		this.cancellations = this.#createCancellations();
		this.registrations = this.#createRegistrationExchange();
		this.#localEntry = {
			key: options.processId,
			send: (message) => {
				// The entry and the schedulers of a host learn of a cancelled job at once.
				if (message.t === 'cancel-job') {
					return;
				}

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
			isHolder: this.holdings.isHolder,
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
			this.#idlenessCheckedAt = now;
			this.#isFirstInLine = this.holdings.isFirstInLine();
		}

		return (
			!this.#isFirstInLine && this.entry.size === 0 && !this.holdings.isHolder
		);
	}

	/** Returns a function to call when the caller has disconnected. */
	submit(
		request: JobRequest,
		onAnswer: (answer: JobAnswer) => void,
	): () => void {
		this.#refreshOwnStates();
		return this.entry.submit(request, onAnswer);
	}

	/** Acts on time limits that have passed; to be called about every 50 ms. */
	update(): void {
		this.pauses.markRunning();
		this.holdings.update();
		// Answers the states of the previous update, before they are refreshed. After a pause of
		// this process, the disconnections of callers that left meanwhile are then read before
		// their jobs' claims are renewed.
		for (const group of this.holdings.listHeld()) {
			this.entry.renewClaims(group);
		}

		this.#refreshOwnStates();
		this.entry.update();
		this.cancellations.update();
		if (this.#options.now() - this.#stateSentAt >= stateIntervalMs) {
			this.sendState();
		}
	}

	/** To be called when data centres were evacuated or taken back. */
	applyEvacuations(): void {
		// Entries learn first that the groups have no room, and then get back what waited there.
		this.#refreshOwnStates();
		this.sendState();
		for (const scheduler of this.holdings.schedulers) {
			scheduler.applyStartPermission();
		}

		this.entry.placeWaitingJobs();
	}

	/**
	Sends the states of the groups that this host holds, or has given up, to all connected hosts.
	*/
	sendState(): void {
		this.#stateSentAt = this.#options.now();
		for (const state of this.#listStatesToSend()) {
			this.#markSent(state);
			this.sendToPeers(state);
		}
	}

	/**
	Sends the states to one host that has just been connected: it may have treated the groups as
	unreachable since its previous connection broke.
	*/
	sendStateTo(peer: Pick<Link, 'send'>): void {
		for (const state of this.#listStatesToSend()) {
			peer.send(state);
		}
	}

	/** Handles the state of a group that another host holds. Returns whether the group has another holder or token. */
	receiveState(holder: string, state: GroupState): boolean {
		const isNew = this.groups.update(holder, state, this.#options.now());
		this.layouts.noteState(state);
		const scheduler = this.holdings.findScheduler(state.group);
		scheduler?.noteEarlierHolder(state);
		if (isNew) {
			if (scheduler && scheduler.token < state.token) {
				// The next holder may not list all executors that this one has used.
				this.#options.peers
					.findLink(holder)
					?.send(this.#describeGroup(scheduler));
			}

			this.holdings.releaseIfReplaced(state.group);
			this.entry.sendGroupTasks(state.group);
			this.cancellations.sendPending(holder);
		}

		this.entry.receiveState(state.group);
		return isNew;
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

	#createCancellations(): Cancellations {
		const {key, now, store, peers, log} = this.#options;
		return createCancellations({
			self: key,
			cancelledJobs: this.cancelledJobs,
			groups: this.groups,
			peers: {
				listHosts: peers.listKeys,
				send(host, message) {
					peers.findLink(host)?.send(message);
				},
			},
			now,
			isHolder: () => this.holdings.isHolder,
			getStoreAgeMs: () => measureStoreAge(store, now()),
			endJob: (job, ageMs) => {
				const isHere = this.entry.cancel(job);
				for (const scheduler of this.holdings.schedulers) {
					scheduler.cancelJob(job, ageMs);
				}

				return isHere;
			},
			log,
		});
	}

	#createRegistrationExchange(): RegistrationExchange {
		const {dataCentre, executors, peers, now, background, log} = this.#options;
		return createRegistrationExchange({
			dataCentre,
			lists: executors,
			isHolder: () => this.holdings.isHolder,
			listInformants: () =>
				peers.listLinks().map(({key, hello}) => ({
					key,
					isNear: hello.dataCentre === dataCentre,
				})),
			listGroups: () => this.groups.list(),
			send(host, message) {
				peers.findLink(host)?.send(message);
			},
			now,
			background,
			log,
		});
	}

	#createLayouts(): GroupLayouts {
		const {dataCentre, key, store, now, readWallClock, log} = this.#options;
		return createGroupLayouts({
			dataCentre,
			store,
			groups: this.groups,
			self: key,
			now,
			readWallClock,
			onChange: () => {
				this.holdings.applyLayout();
				this.#refreshOwnStates();
				this.sendState();
			},
			log,
		});
	}

	#createHoldings(): GroupHoldings {
		const {dataCentre, key, processId, store, now, peers, executors} =
			this.#options;
		return new GroupHoldings({
			dataCentre,
			layouts: this.layouts,
			hash: this.#options.hash,
			maxGroups: this.#options.maxGroups,
			hostKey: key,
			processId,
			isProcessGone: (id) => this.#isProcessGone(id),
			store,
			groups: this.groups,
			now,
			background: this.#options.background,
			listCandidates: peers.listCandidates,
			getCores: peers.getCores,
			hasPeers: () => peers.listLinks().length > 0,
			getLeaseId: this.#options.getLeaseId,
			listExecutors: () => executors.list(),
			refreshExecutors: async () => executors.refresh(),
			isListComplete: () => executors.isComplete(),
			ports: (group) => this.#createGroupPorts(group),
			onChange: (group) => {
				this.sendState();
				this.entry.sendGroupTasks(group);
			},
			log: this.#options.log,
		});
	}

	#createGroupPorts(group: string) {
		const {dataCentre, store, now, peers, executors, control, evacuations} =
			this.#options;
		return {
			wait: this.#options.wait,
			background: this.#options.background,
			readBootTime: this.#options.readBootTime,
			control,
			runTimes: this.#runTimes,
			crashes: this.crashes,
			cancelledJobs: this.cancelledJobs,
			onChange: () => {
				this.#sendFirstReadyState(group);
			},
			takeCapacityElsewhere: (cpu: number, tasks: number) =>
				this.groups.takeElsewhere({group, dataCentre, cpu, tasks}, now()),
			getStartPermission: () => evacuations.getPermission(dataCentre),
			isListFresh: () => executors.isFresh(),
			listUnconfirmed: () => executors.listUnconfirmed(),
			listPeers: peers.listKeys,
			isLeaving: () => this.isStopping,
			getStoreAgeMs: () => measureStoreAge(store, now()),
		};
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

	#sendToHolder(
		holder: string,
		message: Parameters<EntryPorts['send']>[1],
	): boolean {
		if (holder !== this.#options.key) {
			const link = this.#options.peers.findLink(holder);
			link?.send(message);
			return link !== undefined;
		}

		const schedulers = this.holdings.listAddressed(message);
		for (const scheduler of schedulers) {
			scheduler.receive(this.#localEntry, message);
		}

		return schedulers.length > 0;
	}

	/** Lets the entry on this host see the schedulers' current free capacity. */
	#refreshOwnStates(): void {
		for (const scheduler of this.holdings.schedulers) {
			const state = this.#describeGroup(scheduler);
			this.groups.update(this.#options.key, state, this.#options.now());
		}
	}

	/** The states of the groups that this host holds, and the last ones of those that it has given up to nobody yet. */
	#listStatesToSend(): GroupState[] {
		const held = this.holdings.schedulers.map((scheduler) =>
			this.#describeGroup(scheduler),
		);
		const heldGroups = new Set(held.map(({group}) => group));
		const givenUp = this.groups
			.list()
			.filter(
				({state, holder}) =>
					holder === this.#options.key && !heldGroups.has(state.group),
			)
			.map(({state}) => state);
		return [...held, ...givenUp];
	}

	#describeGroup(scheduler: GroupScheduler): GroupState {
		return {
			...scheduler.describeState(),
			unreachable: this.#listUnreachableNear(),
		};
	}

	#markSent({group}: GroupState): void {
		if (this.holdings.findScheduler(group)?.isReady) {
			this.#readyStatesSent.add(group);
		} else {
			this.#readyStatesSent.delete(group);
		}
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
	#sendFirstReadyState(group: string): void {
		const isReady = this.holdings.findScheduler(group)?.isReady;
		if (isReady && !this.#readyStatesSent.has(group)) {
			this.#refreshOwnStates();
			this.sendState();
			this.entry.placeWaitingJobs();
		}
	}
}
