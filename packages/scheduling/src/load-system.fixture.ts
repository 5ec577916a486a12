/**
Three data centres under a seeded load, on a virtual clock: entries, schedulers and fake executors, connected
by messages that take one millisecond. Tests look at the answers that callers get, and when.
*/
import {type Draw} from '@gentianshift/standins';
import {type GroupState} from '@gentianshift/protocol';
import {createStrictBackground} from './background.fixture.js';
import {type JobAnswer} from './entry-job.js';
import {EntryJobs} from './entry-jobs.js';
import {createCrashRecords} from './crash-records.js';
import {createFakeExecutors} from './fake-executors.fixture.js';
import {createGroupDirectory, type GroupDirectory} from './group-directory.js';
import {type Entry} from './group-job.js';
import {singleGroupLayout} from './group-layout.js';
import {GroupScheduler} from './group-scheduler.js';
import {type HolderMessage} from './holder-contacts.js';
import {type Queue} from './queue-table.js';
import {createFakePauses} from './pause-watch.fixture.js';
import {createRunTimes, type RunTimes} from './run-times.js';
import {stateIntervalMs} from './timing.js';
import {VirtualClock} from './virtual-clock.fixture.js';

const dataCentres = ['mieres', 'langreo', 'tineo'] as const;
export type DataCentre = (typeof dataCentres)[number];

/** Delay of a message between hosts, one way. */
const linkDelayMs = 1;
/** Delay between a caller and its entry, one way. */
const callerDelayMs = 3;
const updateIntervalMs = 50;
const queueDefaults = {
	host: 'kitchen.example',
	maxAttempts: 3,
	timeoutMs: 5000,
	allowanceMs: 60,
	slackFactor: 1.6,
} as const;

export type JobKind = {
	queue: string;
	service: string;
	priority: number;
	/** Jobs per second in all data centres together, at load 1. */
	perSecond: number;
	meanTasks: number;
	medianRunMs: number;
};

/** A usual mix of the users' three kinds of requests. */
export const usualKinds: readonly JobKind[] = [
	{
		queue: 'menu',
		service: 'meals',
		priority: 0,
		perSecond: 24,
		meanTasks: 8,
		medianRunMs: 60,
	},
	{
		queue: 'stock',
		service: 'meals',
		priority: 0,
		perSecond: 4.4,
		meanTasks: 4,
		medianRunMs: 900,
	},
	{
		queue: 'lunch',
		service: 'meals',
		priority: 0,
		perSecond: 70,
		meanTasks: 2,
		medianRunMs: 200,
	},
];

type PlannedJob = {
	id: string;
	kind: JobKind;
	at: number;
	from: DataCentre;
	taskMs: number[];
	declaredMs: number;
};

export type Outcome = {
	id: string;
	queue: string;
	from: DataCentre;
	at: number;
	answer: JobAnswer['type'];
	/** Why the job was not completed. */
	reason?: string;
	tookMs: number;
	/** The latency objective, computed from the actual run time of the longest task. */
	objectiveMs: number;
};

export type LoadPlan = {
	draw: Draw;
	kinds?: readonly JobKind[];
	spanMs: number;
	/** The load at a time, as a factor of the kind's `perSecond`. */
	getLoad: (at: number, kind: JobKind) => number;
	/** Draws the data centre of a caller; if absent, all are equally likely. */
	drawFrom?: () => DataCentre;
};

/**
Log-normal spread: of a job's number of tasks, of run times between jobs (40%) and between tasks of one job (15%), and
of callers' estimates (half).
*/
const sigmas = {size: 0.6, job: 0.35, task: 0.15, declared: 0.4};
const maxTaskCount = 32;

/** Draws jobs that arrive at random times, in the order of arrival. */
export function planJobs({
	draw,
	kinds = usualKinds,
	spanMs,
	getLoad,
	drawFrom = () => draw.drawOne(dataCentres),
}: LoadPlan): PlannedJob[] {
	const jobs = kinds.flatMap((kind) => {
		const planned: PlannedJob[] = [];
		let at = 0;
		for (;;) {
			at += draw.drawExponential(1000 / (kind.perSecond * getLoad(at, kind)));
			if (at >= spanMs) {
				return planned;
			}

			planned.push(planJob(draw, kind, {at, from: drawFrom()}));
		}
	});
	return jobs.toSorted((a, b) => a.at - b.at);
}

let plannedCount = 0;

function planJob(
	draw: Draw,
	kind: JobKind,
	origin: Pick<PlannedJob, 'at' | 'from'>,
): PlannedJob {
	plannedCount += 1;
	const medianTasks = kind.meanTasks * Math.exp(-(sigmas.size ** 2) / 2);
	const count = Math.round(draw.drawLogNormal(medianTasks, sigmas.size));
	const jobMs = draw.drawLogNormal(kind.medianRunMs, sigmas.job);
	return {
		...origin,
		id: `job${plannedCount}`,
		kind,
		taskMs: Array.from(
			{length: Math.min(maxTaskCount, Math.max(1, count))},
			() => draw.drawLogNormal(jobMs, sigmas.task),
		),
		declaredMs: draw.drawLogNormal(jobMs, sigmas.declared),
	};
}

export type LoadSystem = ReturnType<typeof createLoadSystem>;

/**
Executors are assigned to the services in turn. Every third one has capacity for three tasks of the usual size, the
others for two.
*/
export function createLoadSystem({
	executorsEach = 11,
	services = ['meals'],
	getRestartMs,
	findCrashMs,
	lateHolders = {},
}: {
	executorsEach?: number;
	services?: readonly string[];
	/** How long a crashed executor is down. Until it is back, the former process stays listed. */
	getRestartMs?: () => number;
	/** How long after its start a task crashes its executor; undefined: it does not. */
	findCrashMs?: (task: {job: string; index: number}) => number | undefined;
	/** How late the holders of these groups handle messages, milliseconds. */
	lateHolders?: Partial<Record<DataCentre, number>>;
} = {}) {
	const clock = new VirtualClock();
	const taskMs = new Map<string, number[]>();
	const evacuated = new Set<string>();
	const groups = dataCentres.map((name) =>
		createGroup(clock, {
			name,
			executorsEach,
			services,
			taskMs,
			evacuated,
			getRestartMs,
			findCrashMs,
		}),
	);
	const entries = new Map<DataCentre, EntryJobs>();
	for (const group of groups) {
		entries.set(
			group.name,
			createEntryJobs(clock, group, {groups, lateHolders}),
		);
	}

	return {clock, groups, taskMs, entries, evacuated};
}

type Group = ReturnType<typeof createGroup>;

function createGroup(
	clock: VirtualClock,
	{
		name,
		executorsEach,
		services,
		taskMs,
		evacuated,
		getRestartMs,
		findCrashMs,
	}: {
		name: DataCentre;
		executorsEach: number;
		services: readonly string[];
		taskMs: ReadonlyMap<string, number[]>;
		evacuated: ReadonlySet<string>;
		getRestartMs: (() => number) | undefined;
		findCrashMs:
			((task: {job: string; index: number}) => number | undefined) | undefined;
	},
) {
	const directory = createGroupDirectory({
		isEvacuated: (group) => evacuated.has(group),
	});
	const runTimes = createRunTimes();
	const crashes = createCrashRecords();
	const executors = createFakeExecutors(clock, {
		count: executorsEach,
		taskMs: ({job, index}) => taskMs.get(job)![index]!,
		getRestartMs,
		findCrashMs,
		onCrash(former, next) {
			clock.schedule(getRestartMs?.() ?? 0, () => {
				listed = listed.map((one) => (one.id === former.id ? next : one));
				scheduler.setExecutors(listed);
			});
		},
	});
	let listed = executors.fakes.map((fake, i) => {
		const cpu = i % 3 === 0 ? 48_000 : 32_000;
		fake.executor = {
			...fake.executor,
			id: `${name}-${fake.executor.id}`,
			dataCentre: name,
			service: services[i % services.length]!,
			capacity: {...fake.executor.capacity, cpu},
		};
		return fake.executor;
	});
	const scheduler = new GroupScheduler({
		group: name,
		dataCentre: name,
		getLayout: () => singleGroupLayout,
		hasRunsOutside: false,
		isHeldElsewhere: () => false,
		token: 1,
		now: () => clock.now,
		readBootTime: () => clock.now,
		wait: clock.wait,
		background: createStrictBackground(),
		control: executors.control,
		runTimes,
		crashes,
		cancelledJobs: {findAge: () => undefined},
		onFenced: doNothing,
		onChange: doNothing,
		takeCapacityElsewhere: (cpu, tasks) =>
			directory.takeElsewhere(
				{group: name, dataCentre: name, cpu, tasks},
				clock.now,
			),
		getStartPermission: () => (evacuated.has(name) ? 'evacuated' : 'granted'),
		isListComplete: () => true,
		isListFresh: () => true,
		listUnconfirmed: () => [],
		listPeers: () => [],
		isLeaving: () => false,
		getSuccessor: () => undefined,
		getStoreAgeMs: () => 0,
		log: doNothing,
	});
	scheduler.setExecutors(listed);
	return {name, directory, runTimes, crashes, executors, scheduler};
}

/** Creates the entry on the host that schedules the group of its data centre, and connects it to all schedulers. */
function createEntryJobs(
	clock: VirtualClock,
	home: Group,
	{
		groups,
		lateHolders,
	}: {
		groups: readonly Group[];
		lateHolders: Partial<Record<DataCentre, number>>;
	},
): EntryJobs {
	const {directory, runTimes, crashes, name} = home;
	const entry: EntryJobs = new EntryJobs({
		self: `${name}.p1`,
		peers: {listHosts: () => [], isLinked: () => false, send: () => false},
		home: name,
		now: () => clock.now,
		readWallClock: () => clock.now,
		random: () => 0,
		groups: directory,
		runTimes: runTimes satisfies RunTimes,
		crashes,
		cancelledJobs: {findAge: () => undefined},
		pauses: createFakePauses().pauses,
		send(holder, message) {
			const target = groups.find((group) => group.name === holder)!;
			const delayMs = target === home ? 0 : linkDelayMs;
			const lateMs = lateHolders[target.name] ?? 0;
			clock.schedule(delayMs + lateMs, () => {
				deliver(target, message);
			});
			return true;
		},
		log: doNothing,
		onAnswer: doNothing,
		onWithdrawal: doNothing,
	});

	function deliver(target: Group, message: HolderMessage): void {
		const delayMs = target === home ? 0 : linkDelayMs;
		const caller = {
			key: `${name}.0`,
			send(answer: Parameters<Entry['send']>[0]) {
				clock.schedule(delayMs, () => {
					if (answer.t === 'cancel-job') {
						entry.cancel(answer.job);
					} else {
						entry.receive(target.name, answer);
					}
				});
			},
		};
		target.scheduler.receive(caller, message);
	}

	return entry;
}

/** Evacuates a data centre, or takes it back; all hosts learn of it at once. */
export function setEvacuated(
	{groups, evacuated}: LoadSystem,
	name: DataCentre,
	isEvacuated: boolean,
): void {
	if (isEvacuated) {
		evacuated.add(name);
	} else {
		evacuated.delete(name);
	}

	groups.find((group) => group.name === name)!.scheduler.applyStartPermission();
}

/**
Submits the jobs and runs until all are answered, or the last one's time-out has passed; returns what each caller got.
*/
export async function runJobs(
	system: LoadSystem,
	jobs: readonly PlannedJob[],
): Promise<Outcome[]> {
	const {clock, entries, taskMs} = system;
	const outcomes: Outcome[] = [];
	startTimers(system);
	await clock.run(500);
	const startsAt = clock.now;
	for (const job of jobs) {
		taskMs.set(job.id, job.taskMs);
		clock.schedule(job.at + callerDelayMs, () => {
			entries.get(job.from)!.submit(makeRequest(job), (answer) => {
				outcomes.push(
					describeOutcome(job, answer, clock.now + callerDelayMs - startsAt),
				);
			});
		});
	}

	const limitAt = startsAt + (jobs.at(-1)?.at ?? 0) + queueDefaults.timeoutMs;
	while (outcomes.length < jobs.length && clock.now < limitAt) {
		await clock.run(updateIntervalMs);
	}

	return outcomes;
}

function startTimers({clock, groups, entries}: LoadSystem): void {
	const tick = (): void => {
		for (const group of groups) {
			group.scheduler.update();
			entries.get(group.name)!.renewClaims(group.name);
			publishState(clock, group, [group], 0);
			entries.get(group.name)!.update();
		}

		clock.schedule(updateIntervalMs, tick);
	};

	const publishToOthers = (): void => {
		for (const group of groups) {
			const others = groups.filter((other) => other !== group);
			publishState(clock, group, others, linkDelayMs);
		}

		clock.schedule(stateIntervalMs, publishToOthers);
	};

	clock.schedule(0, tick);
	clock.schedule(0, publishToOthers);
}

function publishState(
	clock: VirtualClock,
	{name, scheduler}: Group,
	listeners: readonly Group[],
	delayMs: number,
): void {
	const state: GroupState = scheduler.describeState();
	clock.schedule(delayMs, () => {
		for (const {directory} of listeners) {
			directory.update(name, state, clock.now);
		}
	});
}

function makeRequest({id, kind, taskMs, declaredMs}: PlannedJob) {
	const queue: Queue = {
		...queueDefaults,
		name: kind.queue,
		prefix: `/${kind.queue}/`,
		service: kind.service,
		priority: kind.priority,
	};
	return {
		id,
		queue,
		spec: '',
		count: taskMs.length,
		demand: {cpu: 14_000, memoryMb: 64, accelerators: 0},
		declaredMs,
		timeLeftMs: queueDefaults.timeoutMs - callerDelayMs,
		requestsBefore: 1,
	};
}

function describeOutcome(
	{id, kind, from, at, taskMs}: PlannedJob,
	answer: JobAnswer,
	endedAt: number,
): Outcome {
	const {slackFactor, allowanceMs} = queueDefaults;
	return {
		id,
		queue: kind.queue,
		from,
		at,
		answer: answer.type,
		reason: 'reason' in answer ? answer.reason : undefined,
		tookMs: endedAt - at,
		objectiveMs: slackFactor * Math.max(...taskMs) + allowanceMs,
	};
}

function doNothing(): void {
	// Not needed by these tests.
}
