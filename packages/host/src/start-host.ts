/**
One entry host: the packages wired together, started, and stopped in the planned way.
*/
import {randomBytes} from 'node:crypto';
import {startApi} from '@gentianshift/api';
import {createResourceTable} from '@gentianshift/configuration';
import {ExecutorPools} from '@gentianshift/executors';
import {createGenerations, NameRegister, Owner, Router, type SlotHandlers, type SlotSource} from '@gentianshift/jobs';
import {loadHash} from '@gentianshift/membership';
import {createHostList, createKeyValue, createResourceStore} from '@gentianshift/platform';
import {Mesh, type Message} from '@gentianshift/protocol';
import {type Executor} from '@gentianshift/resources';
import {type HostSettings} from '@gentianshift/settings';
import {SlotExchange} from '@gentianshift/slots';
import {createLogger, createMetrics, createTracer} from '@gentianshift/telemetry';
import {Configuration} from './configuration.js';
import {Directory} from './directory.js';
import {createIdentity, readNow, readWallNow} from './identity.js';
import {createJobEvents} from './job-events.js';
import {createMeter} from './meter.js';
import {createNamePort} from './names.js';
import {createOperatorPort, type HostStatus} from './operators.js';
import {ResourceLookup} from './resource-lookup.js';
import {RunEstimates} from './run-estimates.js';
import {createTraces} from './traces.js';
import {repeat, waitFor} from './timers.js';

/** Limit on one call to the platform: it answers in milliseconds when it works. */
const platformTimeoutMs = 1500;
/** How often hosts tell each other their state. */
const statusEveryMs = 1000;
/** How long a stopping host stays readable as "not ready" before it refuses new work. */
const readinessMs = 300;
/** How often a stopping host looks whether its jobs have ended. */
const stopCheckMs = 20;

export type RunningHost = {
	/** Ends in the planned way: jobs in flight finish, within the limit of the settings. */
	stop: () => Promise<void>;
};

export type StartOptions = {
	/** Another source of slots than the keepers': for baselines. */
	createSource?: (
		handlers: SlotHandlers,
		ports: {listExecutors: (target: string) => readonly Executor[]; random: () => number},
	) => SlotSource;
};

export async function startHost(settings: HostSettings, options: StartOptions = {}): Promise<RunningHost> {
	const identity = createIdentity(settings);
	const {dataCentre} = identity;
	const random = Math.random;
	const logger = createLogger({level: settings.log.level, host: identity.host, dataCentre});
	const metrics = createMetrics();
	const tracer = createTracer(createTraces(settings.traces), {
		host: identity.host,
		dataCentre,
		onDrop(count) {
			metrics.spansDropped.inc(count);
		},
	});
	const onCall = (kind: string) => {
		metrics.platformCalls.inc({kind});
	};

	const hash = await loadHash();
	const {prefix} = settings.platform;
	const keyValue = createKeyValue({url: settings.platform.keyValue, timeoutMs: platformTimeoutMs, onCall});
	const hostList = createHostList({url: settings.platform.hostList, timeoutMs: platformTimeoutMs, onCall});
	const store = createResourceStore({keyValue, prefix: `${prefix}resources/`, delay: waitFor});
	const table = createResourceTable(hash);
	const ended = new AbortController();
	const stopping = new AbortController();
	const statuses = new Map<string, HostStatus>();

	const directory = new Directory({
		identity,
		address: settings.addresses.inner,
		seeds: settings.peers.seeds,
		hostList,
		hash,
		random,
		onChange() {
			slots.refresh();
		},
	});
	const lookup = new ResourceLookup(table, address => directory.view.isWorkerLeaving(address));
	const configuration = new Configuration({
		table,
		store,
		isReader: () => directory.isReader(),
		listLinks: () => mesh.listLinks(),
		random,
		onReaderState(state) {
			logger.debug({state}, 'reader of the configuration');
		},
	});
	table.subscribe(() => {
		metrics.configRevision.set(table.digest().revision);
		slots.refresh();
	});

	const slots = new SlotExchange({
		listTargets: () => (directory.isSettled ? lookup.listTargetsIn(dataCentre) : []),
		ports: {
			hostKey: identity.key,
			ownerId: identity.ownerId,
			dataCentre,
			now: readNow,
			random,
			sendToHost: (hostKey, message) => sendVia(mesh.findLink(hostKey), message),
			sendToOwner: (ownerId, message) => sendVia(sessionsByOwner.get(ownerId), message),
			findKeeper: (target, place) => directory.listHolders(`keeper/${target}`, place)[0],
			listExecutors: (target, place) => lookup.listExecutors(target, place),
			listDataCentres: target => lookup.listDataCentres(target),
			findActive: (target, name) => lookup.findActive(target, name),
			isLeaving: (target, executor) => lookup.isLeaving(target, executor),
			listShares: target => lookup.listShares(target, dataCentre),
			listPeers: () => mesh.listLinks().map(({key}) => key),
			countWasted(reason, count = 1) {
				metrics.wasted.inc({reason}, count);
			},
		},
	});

	const sessionsByOwner = new Map<string, {send: (message: Message) => void}>();
	const mesh = new Mesh({
		self: {
			dataCentre,
			host: identity.host,
			incarnation: identity.incarnation,
			address: settings.addresses.inner,
		},
		source: settings.addresses.source,
		random,
		meter: createMeter(metrics),
		handlers: {
			onLinkUp(link) {
				logger.info({peer: link.key}, 'link up');
				directory.markLinkUp(link, mesh.findAddress(link.key)!);
				slots.resetKeeper(link.key);
			},
			onLinkDown(link, reason) {
				logger.warn({peer: link.key, reason}, 'link down');
				statuses.delete(link.key);
				router.dropLink(link.key);
				directory.markLinkDown(link, reason);
				slots.resetKeeper(link.key);
			},
			onReply(link, message) {
				if (message.t === 'answer') {
					router.receiveAnswer(message);
				} else if (message.t.startsWith('config-')) {
					configuration.receive(message, answer => {
						link.send(answer);
					});
				} else {
					const {dataCentre: place, incarnation} = link.hello;
					const sender = {ownerId: `${link.key}.${incarnation}`, hostKey: link.key, dataCentre: place};
					slots.receiveReply(sender, message);
				}
			},
			onSessionUp(session) {
				sessionsByOwner.set(`${session.key}.${session.hello.incarnation}`, session);
				directory.markSession(session);
			},
			onSessionDown(session) {
				const ownerId = `${session.key}.${session.hello.incarnation}`;
				if (sessionsByOwner.get(ownerId) === session) {
					sessionsByOwner.delete(ownerId);
					slots.dropOwner(ownerId, session.key);
				}
			},
			onRequest(session, message) {
				if (message.t === 'forward') {
					void router.serveForward(session, message);
				} else if (message.t === 'hosts') {
					directory.receiveHosts(message);
				} else if (message.t === 'host-status') {
					const {t, ...status} = message;
					statuses.set(session.key, status);
				} else if (message.t.startsWith('config-')) {
					configuration.receive(message, answer => {
						session.send(answer);
					});
				} else {
					slots.receiveRequest(
						{ownerId: `${session.key}.${session.hello.incarnation}`, hostKey: session.key},
						message,
					);
				}
			},
			onLeaving(key, isLeaving) {
				directory.markLeaving(key, isLeaving);
			},
		},
	});

	const generations = createGenerations({
		self: {dataCentre, host: identity.host, incarnation: identity.incarnation},
		lengthMs: settings.generations.lengthMs,
		now: readNow,
	});
	const pools = new ExecutorPools({
		source: settings.addresses.source,
		countHosts: () => directory.countLive(),
	});
	const estimates = new RunEstimates();
	const owner = new Owner({
		generations,
		limits: settings.limits,
		now: readNow,
		findService: name => lookup.findService(name),
		hasTeam: name => lookup.hasTeam(name),
		canServe: target => lookup.listActive(target).length > 0,
		estimateTaskMs: (service, declaredMs) => estimates.estimateMs(service, declaredMs),
		learnRunMs(service, runMs) {
			estimates.learn(service, runMs);
		},
		sendTask(executor, request, onEnd) {
			pools.sendTask(executor, request, onEnd);
		},
		createSlotSource: handlers =>
			options.createSource?.(handlers, {listExecutors: target => lookup.listActive(target), random}) ??
			slots.createSource(handlers),
		events: createJobEvents(metrics, tracer),
	});
	const router = new Router({
		generations,
		owner,
		names: new NameRegister({
			port: createNamePort(keyValue, `${prefix}claims/`, settings.limits.claimsPerSecond),
			generations,
			now: readNow,
			wallNow: readWallNow,
		}),
		findService: name => lookup.findService(name),
		findLink: key => mesh.findLink(key),
		createRandom: () => randomBytes(8).toString('hex'),
	});

	function readStatus(): HostStatus {
		return {
			revision: table.digest().revision,
			isStopping: stopping.signal.aborted,
			activeJobs: owner.activeJobs,
			queuedTasks: owner.queuedTasks,
			keepers: slots.listKeepers().map(({target, state}) => ({
				target,
				free: state.free,
				slots: state.slots,
				queuedTasks: state.queuedTasks,
				leaving: state.leaving,
			})),
		};
	}

	function tellStatus(): void {
		const status = readStatus();
		statuses.set(identity.key, status);
		metrics.queueTasks.set(status.queuedTasks);
		for (const {target, free} of status.keepers) {
			metrics.slotsFree.set({target}, free);
		}

		for (const link of mesh.listLinks()) {
			link.send({t: 'host-status', ...status});
		}
	}

	await mesh.start();
	directory.start(mesh, ended.signal);
	configuration.start(ended.signal);
	void repeat(tellStatus, {everyMs: statusEveryMs, signal: ended.signal, random});
	const api = await startApi({
		address: settings.addresses.callers,
		callers: {
			getIssuer: () => router.getIssuer(),
			submitJob: async request => router.submitJob(request),
			queryJob: async request => router.queryJob(request),
			cancelJob: async request => router.cancelJob(request),
			watchJob: request => router.watchJob(request),
		},
		operators: createOperatorPort({
			table,
			store,
			listStatus: () => statuses,
			listHosts: () => directory.view.exportHosts(),
			stopping: stopping.signal,
		}),
		health: {
			isReady: () => !stopping.signal.aborted && directory.isSettled && configuration.isLoaded,
			renderMetrics: async () => metrics.render(),
		},
		limits: {bodyBytes: settings.limits.bodyBytes},
	});
	logger.info({callers: settings.addresses.callers, inner: settings.addresses.inner}, 'serving');

	async function stop(): Promise<void> {
		logger.info('stopping');
		const limitAt = readNow() + settings.stop.limitMs;
		stopping.abort();
		directory.startStopping();
		await waitFor(readinessMs);
		owner.startStopping();
		while (owner.activeJobs > 0 && readNow() < limitAt) {
			await waitFor(stopCheckMs);
		}

		owner.abandonJobs();
		await api.stop({graceMs: Math.max(1000, limitAt - readNow())});
		ended.abort();
		slots.stop();
		await mesh.stop();
		await pools.destroy();
		await Promise.all([keyValue.close(), hostList.close(), tracer.shutdown()]);
		logger.info('stopped');
	}

	return {stop};
}

function sendVia(connection: {send: (message: Message) => void} | undefined, message: Message): boolean {
	connection?.send(message);
	return connection !== undefined;
}
