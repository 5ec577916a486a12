/**
One host that schedules tasks on executors under leases. Connects its roles, its connections to
other hosts, and its lists of hosts, executors and queues.
*/
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {loadHash, type Hash64} from '@gentianshift/membership';
import {
	formatHostKey,
	Mesh,
	type Link,
	type MessageOf,
	type PeerAddress,
} from '@gentianshift/protocol';
import {
	createBackground,
	type Background,
	type CancellationOutcome,
	type EntryJob,
	type GroupScheduler,
	type JobAnswer,
	type JobRequest,
	type QueueTable,
} from '@gentianshift/scheduling';
import {type Metrics} from '@gentianshift/telemetry';
import {createBootClock} from '../boot-clock.js';
import {Directory} from '../directory.js';
import {createIdentity} from '../identity.js';
import {createMeter} from '../meter.js';
import {waitFor, waitForReads} from '../timers.js';
import {rankDial} from './dial-order.js';
import {createEvacuations, type Evacuations} from './evacuations.js';
import {createExecutorLists, type ExecutorLists} from './executor-lists.js';
import {createHostPresence, type HostPresence} from './host-presence.js';
import {HostRoles} from './host-roles.js';
import {createOperatorWatch, type OperatorWatch} from './operator-watch.js';
import {pingIntervals} from './ping-intervals.js';
import {createQueueTables, type QueueTables} from './queue-tables.js';
import {createSchedulingHandlers} from './scheduling-handlers.js';
import {
	recordAnswer,
	recordWithdrawal,
	setGauges,
	wrapControl,
	type GroupGauges,
} from './scheduling-metrics.js';
import {measureStoreAge} from './store-age.js';
import {type HostDependencies} from './host-dependencies.js';
import {createWorkMeter} from './work-meter.js';

/** Interval of the check for time limits that have passed: a tenth of the shortest one. */
const updateIntervalMs = 50;
/** The same at a host without jobs, which others go before in taking a group over. */
const idleUpdateIntervalMs = 100;
/**
How long a starting host waits for connections to all listed hosts before it takes a role. After all
hosts have lost power some start later than others, and the first ones must not wait for them. If
two hosts take the group at once, the store lets only one of them have it.
*/
const settleLimitMs = 250;
/** Roles are worked out when they are asked for; this only forgets hosts that are long gone. */
const settledUpdateMs = 1000;
/** Name of the role that holds the group of a data centre, as input of rendezvous hashing. */
const schedulerRole = 'scheduler';
/**
Longest wait at shutdown for another host to take the group over, which that host's state message
shows. Without a successor this host stops all the same.
*/
const handoverLimitMs = 2000;
const handoverCheckMs = 20;
/** How often the log says what this process's time went into: rare enough to cost nothing. */
const usageLogIntervalMs = 10_000;
const thousandthsPerCore = 1000;
/** More than any data centre of the size to design for needs. */
const defaultMaxGroups = 16;
const msPerSecond = 1000;
const microsecondsPerSecond = 1e6;

export type SchedulingHostOptions = {
	host: {name: string; dataCentre: string};
	/** `ip:port` of connections between hosts. */
	address: string;
	/** Local IP of outgoing connections. */
	source: string;
	/** Addresses that are sent a greeting while no other host is known. */
	seeds: readonly string[];
	/** Processor cores that this host may use; undefined: not known. */
	cores?: number;
	/** Most groups that the executors of a data centre are divided into; absent: as many as its hosts can hold. */
	maxGroups?: number;
	/** Most cancelled jobs that this host remembers; absent: the default of `createCancelledJobs`. */
	maxCancelledJobs?: number;
	dependencies: HostDependencies;
	metrics: Metrics;
	log: (message: string, fields: Record<string, unknown>) => void;
};

export type SchedulingHost = {
	/** Returns a function to call when the caller has disconnected. */
	submit: (
		request: JobRequest,
		onAnswer: (answer: JobAnswer) => void,
	) => () => void;
	/** Cancels a job on all hosts, for a caller that waits for `timeLeftMs`. */
	cancel: (id: string, timeLeftMs: number) => Promise<CancellationOutcome>;
	getTable: () => QueueTable | undefined;
	/**
	Soon after the start: resolves as soon as a table is in force. Undefined: there is none for now.
	*/
	waitForTable: () => Promise<QueueTable | undefined>;
	countPending: (queue: string) => number;
	/**
	Callers' connections that have waited for up to `waitedMs` are accepted from now on: some of their callers may have left and
	submitted their jobs elsewhere.
	*/
	acceptConnections: (waitedMs: number) => void;
	/** Number of jobs that have not been answered yet. */
	countJobs: () => number;
	/** Number of their tasks, done or not. */
	countTasks: () => number;
	/** Metrics in Prometheus text format. */
	exportMetrics: () => Promise<string>;
	/**
	Whether this host can answer callers: it has a configuration, a group takes tasks or all data
	centres are evacuated, and it is not stopping.
	*/
	isReady: () => boolean;
	/**
	From now on this host takes no role, and another host is to take its group over. Resolves when
	that has happened, or after two seconds.
	*/
	startStopping: () => Promise<void>;
	/** Answers all jobs that have not ended: callers learn that they can't count on this host any more. */
	giveUpJobs: () => void;
	stop: () => Promise<void>;
};

/** Starts a host; resolves when it accepts connections of other hosts. */
export async function startSchedulingHost(
	options: SchedulingHostOptions,
): Promise<SchedulingHost> {
	const host = new Host(options, await loadHash());
	await host.start();
	return host;
}

class Host implements SchedulingHost {
	readonly #options: SchedulingHostOptions;
	readonly #identity;
	readonly #background: Background;
	readonly #presence: HostPresence;
	readonly #directory: Directory;
	readonly #tables: QueueTables;
	readonly #evacuations: Evacuations;
	readonly #operatorWatch: OperatorWatch;
	readonly #executors: ExecutorLists;
	readonly #roles: HostRoles;
	readonly #mesh: Mesh;
	readonly #work = createWorkMeter(readNow);
	readonly #hash: Hash64;
	readonly #stopController = new AbortController();
	#timer: NodeJS.Timeout | undefined;
	#usageTimer: NodeJS.Timeout | undefined;
	#isStopped = false;

	constructor(options: SchedulingHostOptions, hash: Hash64) {
		this.#options = options;
		this.#hash = hash;
		this.#identity = createIdentity({host: options.host});
		const {log, dependencies, address} = options;
		const {random} = Math;
		const background = createBackground({
			now: readNow,
			wait: waitFor,
			log,
			onException({work}) {
				options.metrics.exceptions.inc({work});
			},
		});
		this.#background = background;
		this.#presence = createHostPresence({
			self: {
				...options.host,
				role: 'entry',
				address,
				state: 'live',
				cores: options.cores,
			},
			store: dependencies.store,
			random,
			background,
			onRegistered: () => {
				background.run({work: 'list of hosts'}, async () =>
					this.#directory.readListAgain(),
				);
			},
			log,
		});
		this.#directory = new Directory({
			identity: this.#identity,
			address,
			cores: options.cores,
			seeds: options.seeds,
			hostList: this.#presence,
			hash,
			random,
			background,
			settleLimitMs,
			settledUpdateMs,
			onChange() {
				// Roles are checked with each update.
			},
		});
		this.#tables = createQueueTables({
			decode: dependencies.operators.decode,
			isWatching: () => this.#operatorWatch.isWatching(),
			sendToPeers: (message) => {
				this.#publishToNear(message);
			},
			background,
			log,
		});
		this.#evacuations = createEvacuations({
			onChange: () => {
				this.#publishToNear({
					t: 'queue-table',
					version: this.#tables.getVersion(),
					evacuations: this.#evacuations.getList(),
				});
				this.#roles.applyEvacuations();
			},
			wait: waitFor,
			background,
			log,
		});
		this.#operatorWatch = createOperatorWatch({
			source: dependencies.operators,
			onRead: (read) => {
				this.#evacuations.applyRead(read);
				this.#applyConfiguration(read.configuration);
			},
			onChange: (change) => {
				this.#evacuations.applyChange(change);
				this.#applyConfiguration(change.configuration);
			},
			wait: waitFor,
			random,
			background,
			log,
		});
		this.#executors = createExecutorLists({
			source: dependencies.executors,
			isHolder: () => this.#roles.holdings.isHolder,
			isKnownService: (service) => this.#tables.isKnownService(service),
			isCapacityEnforcingService: (service) =>
				this.#tables.isCapacityEnforcingService(service),
			onList: (list) => {
				this.#work.measure('executor list', () => {
					this.#roles.holdings.setExecutors(list);
				});
			},
			onRead: (isRead) => {
				this.#roles.registrations.noteRead(isRead);
			},
			now: readNow,
			wait: waitFor,
			random,
			background,
			log,
		});
		this.#roles = this.#createRoles();
		this.#mesh = this.#createMesh();
	}

	async start(): Promise<void> {
		const {signal} = this.#stopController;
		await this.#mesh.start();
		this.#presence.start(signal);
		this.#directory.start(this.#mesh, signal);
		this.#tables.start(signal);
		this.#evacuations.start(signal);
		this.#operatorWatch.start(signal);
		this.#executors.start(signal);
		this.#scheduleUpdate();
		this.#usageTimer = setInterval(() => {
			this.#reportUsage();
		}, usageLogIntervalMs);
	}

	submit(
		request: JobRequest,
		onAnswer: (answer: JobAnswer) => void,
	): () => void {
		return this.#work.measure('submit', () =>
			this.#roles.submit(request, onAnswer),
		);
	}

	async cancel(id: string, timeLeftMs: number): Promise<CancellationOutcome> {
		return new Promise((resolve) => {
			this.#work.measure('cancel', () => {
				this.#roles.cancellations.cancel(id, timeLeftMs, resolve);
			});
		});
	}

	getTable(): QueueTable | undefined {
		return this.#tables.getTable();
	}

	async waitForTable(): Promise<QueueTable | undefined> {
		return this.#tables.waitForTable();
	}

	countPending(queue: string): number {
		return this.#roles.entry.countPending(queue);
	}

	acceptConnections(waitedMs: number): void {
		this.#roles.pauses.markUnaccepted(waitedMs);
	}

	countJobs(): number {
		return this.#roles.entry.size;
	}

	countTasks(): number {
		return this.#roles.entry.taskCount;
	}

	isReady(): boolean {
		const {groups, isStopping} = this.#roles;
		// While every data centre is evacuated a host is as healthy as before, and refuses jobs at once.
		const canAnswer =
			groups.listOpen(readNow()).length > 0 || groups.areAllEvacuated();
		return !isStopping && this.getTable() !== undefined && canAnswer;
	}

	async exportMetrics(): Promise<string> {
		const {holdings, layouts} = this.#roles;
		setGauges(this.#options.metrics, {
			groups: holdings.schedulers.map((scheduler) => describeGauges(scheduler)),
			layout: layouts.get(),
			storeAgeMs: measureStoreAge(this.#options.dependencies.store, readNow()),
			crashesBlamed: this.#roles.crashes.blamedCount,
			evacuatedDataCentres: this.#evacuations.list(),
			jobs: this.#roles.entry.size,
			cancelledJobs: this.#roles.cancelledJobs.size,
			cpuSeconds: measureCpuSeconds(),
			work: this.#work.list(),
		});
		return this.#options.metrics.render();
	}

	async startStopping(): Promise<void> {
		this.#roles.isStopping = true;
		this.#directory.startStopping();
		this.#roles.sendState();
		const limitAt = readNow() + handoverLimitMs;
		while (this.#roles.holdings.isHolder && readNow() < limitAt) {
			await waitFor(handoverCheckMs);
		}
	}

	giveUpJobs(): void {
		this.#roles.entry.giveUpAll('this host is stopping');
		this.#roles.cancellations.giveUpAll();
	}

	async stop(): Promise<void> {
		this.#roles.holdings.stop();
		this.#roles.sendState();
		this.#isStopped = true;
		clearTimeout(this.#timer);
		clearInterval(this.#usageTimer);
		this.#stopController.abort();
		await this.#presence.end();
		await this.#mesh.stop();
		await this.#options.dependencies.store.close();
	}

	/** `tookMs`: how long the last update took; the interval is counted from its start. */
	#scheduleUpdate(tookMs = 0): void {
		const intervalMs = this.#roles.isIdle()
			? idleUpdateIntervalMs
			: updateIntervalMs;
		this.#timer = setTimeout(
			() => {
				const startedAt = readNow();
				this.#background.run({work: 'update'}, () => {
					this.#work.measure('update', () => {
						this.#roles.update();
					});
				});
				if (!this.#isStopped) {
					this.#scheduleUpdate(readNow() - startedAt);
				}
			},
			Math.max(0, intervalMs - tookMs),
		);
	}

	#applyConfiguration(text: string | undefined): void {
		if (text !== undefined) {
			this.#tables.applyText(text);
		}
	}

	#publishToNear(message: MessageOf<'queue-table'>): void {
		for (const link of this.#mesh.listLinks()) {
			if (this.#isAnnouncedTo(link)) {
				link.send(message);
			}
		}
	}

	/**
	Whether the peer is told of a new version of the configuration and of evacuations: hosts of this
	data centre, and the holders elsewhere, which pass them on in theirs.
	*/
	#isAnnouncedTo({key, hello}: Link): boolean {
		return (
			hello.dataCentre === this.#options.host.dataCentre ||
			this.#roles.groups.list().some(({holder}) => holder === key)
		);
	}

	#rankDial(peer: PeerAddress): number {
		const {view} = this.#directory;
		const {groups, holdings} = this.#roles;
		const key = formatHostKey(peer);
		return rankDial(
			{
				isNear: peer.dataCentre === this.#options.host.dataCentre,
				isHolder: groups.list().some(({holder}) => holder === key),
				cores: view.getCores(key),
			},
			{
				own: {
					isHolder: holdings.isHolder,
					cores: view.getCores(this.#identity.key),
				},
				mostCores: view.getMostCores(),
			},
		);
	}

	#reportUsage(): void {
		const work = [...this.#work.list()].map(([cause, {seconds, count}]) => [
			cause,
			{ms: Math.round(seconds * msPerSecond), count},
		]);
		this.#options.log('processor time', {
			cpuMs: Math.round(measureCpuSeconds() * msPerSecond),
			work: Object.fromEntries(work) as Record<string, unknown>,
			peers: this.#mesh.listPeers().length,
			jobs: this.#roles.entry.size,
		});
	}

	#createRoles(): HostRoles {
		const {dependencies, log, host, metrics} = this.#options;
		const {key, ownerId} = this.#identity;
		const {view} = this.#directory;
		return new HostRoles({
			dataCentre: host.dataCentre,
			key,
			processId: ownerId,
			store: dependencies.store,
			control: wrapControl(dependencies.control, metrics),
			executors: this.#executors,
			evacuations: this.#evacuations,
			peers: {
				listLinks: () => this.#mesh.listLinks(),
				listKeys: () => this.#mesh.listPeers(),
				findLink: (peer) => this.#mesh.findLink(peer),
				listIncarnations: (peer) => this.#mesh.listIncarnations(peer),
				listCandidates: () => this.#directory.listStrongest(schedulerRole),
				getCores: (peer) => view.getCores(peer),
			},
			getLeaseId: () => this.#presence.getLeaseId(),
			now: readNow,
			readBootTime: createBootClock({
				readSteadyClock: readNow,
				readWallClock: Date.now,
			}),
			readWallClock: Date.now,
			wait: waitFor,
			background: this.#background,
			random: Math.random,
			hash: this.#hash,
			maxGroups: this.#options.maxGroups ?? defaultMaxGroups,
			maxCancelledJobs: this.#options.maxCancelledJobs,
			waitForReads,
			defer(work) {
				setImmediate(work);
			},
			onAnswer: (job, answer, tookMs) => {
				this.#reportAnswer(job, answer, tookMs);
			},
			onWithdrawal(outcome) {
				recordWithdrawal(metrics, outcome);
			},
			log,
		});
	}

	#reportAnswer(job: EntryJob, answer: JobAnswer, tookMs: number): void {
		const {log, metrics} = this.#options;
		const {arrivedAt, firstStartReportedAt} = job;
		recordAnswer(metrics, job, answer, tookMs);
		log('job answered', {
			job: job.request.id,
			queue: job.request.queue.name,
			tasks: job.tasks.length,
			requestsBefore: job.request.requestsBefore,
			unreadMs: Math.round(job.unreadMs),
			tookMs: Math.round(tookMs),
			firstStartMs:
				firstStartReportedAt === undefined
					? undefined
					: Math.round(firstStartReportedAt - arrivedAt),
			objectiveMs: Math.round(job.dueAt - arrivedAt),
			timeLeftMs: Math.round(job.callerDeadlineAt - arrivedAt),
			...answer,
		});
	}

	#createMesh(): Mesh {
		const {dataCentre, host, incarnation} = this.#identity;
		const {address, cores, source, metrics, log} = this.#options;
		return new Mesh({
			self: {dataCentre, host, incarnation, address, cores},
			localAddress: source,
			random: Math.random,
			meter: createMeter(metrics),
			pingIntervalMs: pingIntervals.awaitedMs,
			longestPingIntervalMs: pingIntervals.idleMs,
			choosePingInterval: (key) => this.#roles.choosePingInterval(key),
			rankDial: (peer) => this.#rankDial(peer),
			isPingUrgent: () => this.#roles.hasNewSilence(),
			isToldLeavingAtOnce: (peer) => peer.dataCentre === dataCentre,
			handlers: createSchedulingHandlers({
				work: this.#work,
				background: this.#background,
				directory: this.#directory,
				roles: this.#roles,
				tables: this.#tables,
				evacuations: this.#evacuations,
				isAnnouncedTo: (link) => this.#isAnnouncedTo(link),
				findAddress: (key) => this.#mesh.findAddress(key) ?? '',
				now: readNow,
				log,
			}),
		});
	}
}

function describeGauges(scheduler: GroupScheduler): GroupGauges {
	const {group, token, backlog, lateBacklog, releasing} =
		scheduler.describeState();
	const {open, all} = scheduler.countExecutors();
	const work = [...backlog, ...lateBacklog].reduce((sum, one) => sum + one, 0);
	return {
		group,
		token,
		openExecutors: open,
		allExecutors: all,
		releasing: releasing?.length ?? 0,
		backlogCoreMs: work / thousandthsPerCore,
	};
}

function measureCpuSeconds(): number {
	const {user, system} = process.cpuUsage();
	return (user + system) / microsecondsPerSecond;
}

/** Monotonic milliseconds. */
function readNow(): number {
	return performance.now();
}
