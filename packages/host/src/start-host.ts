/**
One entry host: the packages wired together, started, and stopped in the planned way.
*/
import {randomBytes} from 'node:crypto';
import {startApi} from '@gentianshift/api';
import {
	createResourceTable,
	type ResourceTable,
} from '@gentianshift/configuration';
import {ExecutorPools} from '@gentianshift/executors';
import {
	createGenerations,
	NameRegister,
	Owner,
	Router,
	type SlotHandlers,
	type SlotSource,
} from '@gentianshift/jobs';
import {loadHash, type Hash64} from '@gentianshift/membership';
import {Mesh} from '@gentianshift/protocol';
import {StartError, type Executor} from '@gentianshift/resources';
import {createBackground, type Background} from '@gentianshift/scheduling';
import {type HostSettings} from '@gentianshift/settings';
import {SlotExchange} from '@gentianshift/slots';
import {
	createLogger,
	createMetrics,
	createTracer,
} from '@gentianshift/telemetry';
import {Configuration} from './configuration.js';
import {Directory} from './directory.js';
import {createIdentity, readNow, readWallNow} from './identity.js';
import {createJobEvents} from './job-events.js';
import {createMeshHandlers, OwnerSessions} from './mesh-handlers.js';
import {createMeter} from './meter.js';
import {createNamePort} from './names.js';
import {createOperatorPort} from './operators.js';
import {createPlatform} from './platform.js';
import {ResourceLookup} from './resource-lookup.js';
import {RunEstimates} from './run-estimates.js';
import {createSlotPorts} from './slot-ports.js';
import {StatusBoard, type HostStatus} from './status-board.js';
import {createTraces} from './traces.js';
import {waitFor} from './timers.js';

/** Heartbeats after which hosts tell each other their state. */
const statusEveryBeats = 2;
/** How long a stopping host is readable as "not ready" before it refuses new work. */
const readinessMs = 300;
/** How often a stopping host looks whether its jobs have ended. */
const stopCheckMs = 20;
/** Least time for the last answers to reach their callers. */
const leastGraceMs = 1000;

export type RunningHost = {
	/** Ends in the planned way: jobs in flight finish, within the limit of the settings. */
	stop: () => Promise<void>;
};

export type StartOptions = {
	/** Another source of slots than the keepers': for baselines. */
	createSource?: (
		handlers: SlotHandlers,
		ports: {
			listExecutors: (target: string) => readonly Executor[];
			random: () => number;
		},
	) => SlotSource;
};

/**
Starts a host; resolves when it listens.

@example
const host = await startHost(settings);
process.once('SIGTERM', () => void host.stop());
*/
export async function startHost(
	settings: HostSettings,
	options: StartOptions = {},
): Promise<RunningHost> {
	const host = new Host(settings, {...options, hash: await loadHash()});
	try {
		await host.start();
	} catch (error) {
		const {callers, inner} = settings.addresses;
		const startError: Error = new StartError(
			`cannot serve at ${callers} and ${inner}`,
			{cause: error},
		);
		throw startError;
	}

	return host;
}

class Host implements RunningHost {
	readonly #settings: HostSettings;
	readonly #identity;
	readonly #random = Math.random;
	readonly #logger;
	readonly #metrics = createMetrics();
	readonly #background: Background;
	readonly #tracer;
	readonly #platform;
	readonly #table: ResourceTable;
	readonly #directory: Directory;
	readonly #lookup: ResourceLookup;
	readonly #configuration: Configuration;
	readonly #slots: SlotExchange;
	readonly #statuses: StatusBoard;
	readonly #mesh: Mesh;
	readonly #pools: ExecutorPools;
	readonly #owner: Owner;
	readonly #router: Router;
	/** Aborted when a planned stop begins. */
	readonly #stopping = new AbortController();
	/** Aborted when the last job has ended. */
	readonly #ended = new AbortController();
	#beats = 0;
	#api: Awaited<ReturnType<typeof startApi>> | undefined;

	constructor(settings: HostSettings, options: StartOptions & {hash: Hash64}) {
		const {name: host, dataCentre} = settings.host;
		this.#settings = settings;
		this.#identity = createIdentity(settings);
		this.#logger = createLogger({level: settings.log.level, host, dataCentre});
		this.#background = createBackground({
			now: readNow,
			wait: waitFor,
			log: (message, fields) => {
				this.#logger.error(fields, message);
			},
			onException: ({work}) => {
				this.#metrics.exceptions.inc({work});
			},
		});
		this.#tracer = createTracer(createTraces(settings.traces), {
			host,
			dataCentre,
			onDrop: (count) => {
				this.#metrics.spansDropped.inc(count);
			},
		});
		this.#platform = createPlatform(settings, (kind) => {
			this.#metrics.platformCalls.inc({kind});
		});
		this.#table = createResourceTable(options.hash);
		this.#directory = this.#createDirectory(options.hash);
		this.#lookup = new ResourceLookup(this.#table, (address) =>
			this.#directory.view.isWorkerLeaving(address),
		);
		this.#configuration = this.#createConfiguration();
		const sessions = new OwnerSessions();
		this.#slots = this.#createSlots(sessions);
		this.#statuses = new StatusBoard(this.#identity.key, () =>
			this.#readStatus(),
		);
		this.#mesh = this.#createMesh(sessions);
		this.#pools = new ExecutorPools({
			source: settings.addresses.source,
			countHosts: () => this.#directory.countLive(),
		});
		const generations = createGenerations({
			self: {dataCentre, host, incarnation: this.#identity.incarnation},
			generationMs: settings.generations.lengthMs,
			now: readNow,
		});
		this.#owner = this.#createOwner(generations, options.createSource);
		this.#router = this.#createRouter(generations);
		this.#table.subscribe(() => {
			this.#metrics.configRevision.set(this.#table.computeDigest().revision);
			this.#slots.refresh();
		});
	}

	async start(): Promise<void> {
		const {signal} = this.#ended;
		await this.#mesh.start();
		this.#directory.start(this.#mesh, signal);
		this.#configuration.start(signal);
		this.#api = await this.#startApi();
		this.#logger.info(this.#settings.addresses, 'serving');
	}

	async stop(): Promise<void> {
		this.#logger.info('stopping');
		const limitAt = readNow() + this.#settings.stop.limitMs;
		this.#stopping.abort();
		this.#directory.startStopping();
		await waitFor(readinessMs);
		this.#owner.startStopping();
		while (this.#owner.activeJobs > 0 && readNow() < limitAt) {
			await waitFor(stopCheckMs);
		}

		this.#owner.abandonJobs();
		await this.#api?.stop({
			graceMs: Math.max(leastGraceMs, limitAt - readNow()),
		});
		this.#ended.abort();
		this.#slots.stop();
		await this.#mesh.stop();
		// Tasks of jobs that have been answered may still run: they are let end, within the limit.
		await this.#endTasks(limitAt);
		await Promise.all([this.#platform.close(), this.#tracer.shutdown()]);
		this.#logger.info('stopped');
	}

	/** Lets tasks end until the limit, then cuts off those that run on. */
	async #endTasks(limitAt: number): Promise<void> {
		const closed = new AbortController();
		const closing = this.#pools.close().then(() => {
			closed.abort();
		});
		await waitFor(Math.max(0, limitAt - readNow()), closed.signal);
		await this.#pools.destroy();
		await closing;
	}

	#createDirectory(hash: Hash64): Directory {
		return new Directory({
			identity: this.#identity,
			address: this.#settings.addresses.inner,
			seeds: this.#settings.peers.seeds,
			hostList: this.#platform.hostList,
			hash,
			random: this.#random,
			background: this.#background,
			onChange: () => {
				this.#slots.refresh();
			},
		});
	}

	#createConfiguration(): Configuration {
		return new Configuration({
			table: this.#table,
			store: this.#platform.store,
			isReader: () => this.#directory.isReader(),
			dataCentre: this.#identity.dataCentre,
			listLinks: () => this.#mesh.listLinks(),
			random: this.#random,
			background: this.#background,
			onReaderState: (state) => {
				this.#logger.debug({state}, 'reader of the configuration');
			},
		});
	}

	#createSlots(sessions: OwnerSessions): SlotExchange {
		const {dataCentre} = this.#identity;
		return new SlotExchange({
			listTargets: () =>
				this.#directory.isSettled ? this.#lookup.listTargetsIn(dataCentre) : [],
			ports: createSlotPorts({
				identity: this.#identity,
				random: this.#random,
				getMesh: () => this.#mesh,
				sessions,
				directory: this.#directory,
				lookup: this.#lookup,
				metrics: this.#metrics,
				log: (message, fields) => {
					this.#logger.info(fields, message);
				},
			}),
		});
	}

	#createMesh(sessions: OwnerSessions): Mesh {
		const {dataCentre, host, incarnation} = this.#identity;
		const {inner, source} = this.#settings.addresses;
		return new Mesh({
			self: {dataCentre, host, incarnation, address: inner},
			localAddress: source,
			random: this.#random,
			meter: createMeter(this.#metrics),
			handlers: createMeshHandlers({
				configuration: this.#configuration,
				directory: this.#directory,
				onBeat: () => {
					this.#beat();
				},
				findAddress: (key) => this.#mesh.findAddress(key) ?? '',
				logger: this.#logger,
				background: this.#background,
				getRouter: () => this.#router,
				sessions,
				slots: this.#slots,
				statuses: this.#statuses,
			}),
		});
	}

	#createOwner(
		generations: ReturnType<typeof createGenerations>,
		createSource: StartOptions['createSource'],
	): Owner {
		const estimates = new RunEstimates();
		const listExecutors = (target: string) => this.#lookup.listActive(target);
		return new Owner({
			generations,
			limits: this.#settings.limits,
			now: readNow,
			findService: (name) => this.#lookup.findService(name),
			hasTeam: (name) => this.#lookup.hasTeam(name),
			canServe: (target) => listExecutors(target).length > 0,
			estimateTaskMs: (service, declaredMs) =>
				estimates.estimateMs(service, declaredMs),
			addRunTime: (service, runMs) => {
				const declaredMs = this.#lookup.findService(service)?.taskMs ?? runMs;
				estimates.learn(service, runMs, declaredMs);
			},
			sendTask: (executor, request, onEnd) => {
				this.#pools.sendTask(executor, request, onEnd);
			},
			createSlotSource: (handlers) =>
				createSource?.(handlers, {listExecutors, random: this.#random}) ??
				this.#slots.createSource(handlers),
			events: createJobEvents(this.#metrics, this.#tracer),
		});
	}

	#createRouter(generations: ReturnType<typeof createGenerations>): Router {
		const {platform, limits} = this.#settings;
		const names = createNamePort(
			this.#platform.keyValue,
			`${platform.prefix}claims/`,
			limits.claimsPerSecond,
		);
		return new Router({
			generations,
			owner: this.#owner,
			names: new NameRegister({
				port: names,
				generations,
				now: readNow,
				wallNow: readWallNow,
			}),
			findService: (name) => this.#lookup.findService(name),
			findLink: (key) => this.#mesh.findLink(key),
			startSpan: (name, traceparent) => {
				const span = this.#tracer.startSpan(name, {traceparent});
				return {
					traceparent: span.traceparent,
					end(error) {
						span.end({error});
					},
				};
			},
			createRandomHex: () => randomBytes(8).toString('hex'),
		});
	}

	async #startApi() {
		const router = this.#router;
		return startApi({
			address: this.#settings.addresses.callers,
			callers: {
				getIssuer: () => router.getIssuer(),
				submitJob: async (request) => router.submitJob(request),
				queryJob: async (request) => router.queryJob(request),
				cancelJob: async (request) => router.cancelJob(request),
				watchJob: (request) => router.watchJob(request),
			},
			operators: createOperatorPort({
				table: this.#table,
				store: this.#platform.store,
				listStatus: () => this.#statuses.listAll(),
				listHosts: () => this.#directory.view.exportHosts(),
				stopping: this.#stopping.signal,
			}),
			health: {
				isReady: () => this.#isReady(),
				renderMetrics: async () => this.#metrics.render(),
			},
			limits: {bodyBytes: this.#settings.limits.bodyBytes},
		});
	}

	#isReady(): boolean {
		return (
			!this.#stopping.signal.aborted &&
			this.#directory.isSettled &&
			this.#configuration.isLoaded
		);
	}

	#readStatus(): HostStatus {
		return {
			revision: this.#table.computeDigest().revision,
			isStopping: this.#stopping.signal.aborted,
			activeJobs: this.#owner.activeJobs,
			queuedTasks: this.#owner.queuedTasks,
			keepers: this.#slots.listKeepers().map(({target, state}) => ({
				target,
				free: state.free,
				slots: state.slots,
				queuedTasks: state.queuedTasks,
				leaving: state.leaving,
			})),
		};
	}

	#beat(): void {
		this.#beats += 1;
		this.#configuration.compareDigests();
		if (this.#beats % statusEveryBeats === 0) {
			this.#tellStatus();
		}
	}

	#tellStatus(): void {
		const {queuedTasks, keepers} = this.#statuses.tell(this.#mesh.listLinks());
		this.#metrics.queueTasks.set(queuedTasks);
		for (const {target, free} of keepers) {
			this.#metrics.slotsFree.set({target}, free);
		}
	}
}
