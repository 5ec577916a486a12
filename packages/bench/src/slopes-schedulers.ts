/**
What a group's scheduler costs, by executors, waiting jobs and the size of jobs: processor time a task
from its start to its end, the state that it tells, and memory a job.
*/
import process from 'node:process';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {ok, okAsync, ResultAsync, type Result} from 'neverthrow';
import {encodeFrame, type Ends, type Part} from '@gentianshift/protocol';
import {
	createCrashRecords,
	createRunTimes,
	GroupScheduler,
	singleGroupLayout,
	type CallFailure,
	type Entry,
	type Executor,
	type ExecutorControl,
	type LeaseReply,
	type RunEnd,
	type RunName,
} from '@gentianshift/scheduling';
import {createStrictBackground} from '@gentianshift/scheduling/fixtures';
import {measureMemory, measureSeries, type Series} from './slope-series.js';

type Size = {executors: number; jobs: number; tasks: number};

/** A data centre of today's users with a short queue; one size is varied at a time. */
const usual: Size = {executors: 11, jobs: 10, tasks: 4};

const executorCpu = 32_000;
/** Two tasks fit. */
const taskCpu = 14_000;
const tasksEach = 2;
const taskMs = 200;
const steps = 1500;
const updateEveryMs = 50;
/** One entry hands everything over under one claim. */
const claim = 1;
/** Longer than any run of this measurement. */
const longMs = 1e9;

type FakeExecutor = {
	active: RunName[];
	ended: RunEnd[];
	sequence: number;
	answer?: (reply: Result<LeaseReply, CallFailure>) => void;
};

/** Executors that answer at once and end a run when they are told to. */
class InstantExecutors {
	readonly control: ExecutorControl;
	readonly #fakes = new Map<string, FakeExecutor>();
	readonly #started: Array<{executor: string; run: RunName}> = [];

	constructor(private readonly now: () => number) {
		this.control = {
			startTask: ({id}, {job, index, attempt}) => {
				const run = {job, index, attempt};
				this.#find(id).active.push(run);
				this.#started.push({executor: id, run});
				return okAsync({clockMs: this.now()});
			},
			stopTask: () => okAsync({clockMs: this.now()}),
			renewLease: ({id}, {acknowledged, waitMs}) => {
				const fake = this.#find(id);
				fake.ended = fake.ended.filter(({sequence}) => sequence > acknowledged);
				return fake.ended.length > 0 || waitMs === 0
					? okAsync(this.#report(fake))
					: new ResultAsync(
							new Promise((resolve) => {
								fake.answer = resolve;
							}),
						);
			},
			forgetExecutor() {
				// Nothing is kept open.
			},
		};
	}

	/** The run that was started first ends. */
	endOldest(): void {
		const next = this.#started.shift();
		if (!next) {
			return;
		}

		const fake = this.#find(next.executor);
		fake.active = fake.active.filter((run) => run !== next.run);
		fake.sequence += 1;
		fake.ended.push({...next.run, sequence: fake.sequence, outcome: 'done'});
		const {answer} = fake;
		fake.answer = undefined;
		answer?.(ok(this.#report(fake)));
	}

	#report({active, ended}: FakeExecutor): LeaseReply {
		return {
			clockMs: this.now(),
			running: [...active],
			ended: [...ended],
			hasMoreEnds: false,
		};
	}

	#find(id: string): FakeExecutor {
		let fake = this.#fakes.get(id);
		if (!fake) {
			fake = {active: [], ended: [], sequence: 0};
			this.#fakes.set(id, fake);
		}

		return fake;
	}
}

/** A scheduler whose executors are all busy, with jobs waiting and more coming as others end. */
class BusyScheduler {
	readonly scheduler: GroupScheduler;
	readonly #size: Size;
	readonly #executors: InstantExecutors;
	readonly #entry: Entry;
	readonly #left = new Map<string, number>();
	#now = 0;
	#updatedAt = 0;
	#job = 0;

	constructor(size: Size) {
		this.#size = size;
		const readNow = () => this.#now;
		this.#executors = new InstantExecutors(readNow);
		this.#entry = {
			key: 'mieres_m1.a1',
			send: (message) => {
				if (message.t === 'ends') {
					this.#receiveEnds(message);
				}
			},
		};
		this.scheduler = new GroupScheduler({
			group: 'mieres',
			dataCentre: 'mieres',
			getLayout: () => singleGroupLayout,
			hasRunsOutside: false,
			isHeldElsewhere: () => false,
			token: 1,
			now: readNow,
			readBootTime: readNow,
			wait: async () => nextTurn(),
			background: createStrictBackground(),
			control: this.#executors.control,
			runTimes: createRunTimes(),
			crashes: createCrashRecords(),
			cancelledJobs: {findAge: () => undefined},
			onFenced: doNothing,
			onChange: doNothing,
			takeCapacityElsewhere: () => 0,
			getStartPermission: () => 'granted',
			isListComplete: () => true,
			isListFresh: () => true,
			listUnconfirmed: () => [],
			listPeers: () => [],
			isLeaving: () => false,
			getSuccessor: () => undefined,
			getStoreAgeMs: () => 0,
			log: doNothing,
		});
		this.scheduler.setExecutors(
			Array.from({length: size.executors}, (_, i) => makeExecutor(i)),
		);
	}

	/** Fills all executors and the queue. */
	async submitAll(): Promise<void> {
		await nextTurn();
		const {executors, jobs, tasks} = this.#size;
		const busy = Math.ceil((executors * tasksEach) / tasks);
		for (let i = 0; i < busy + jobs; i += 1) {
			this.#submit();
		}

		await nextTurn();
	}

	/** One task ends, is told, and the next one is started. */
	async runStep(): Promise<void> {
		this.#now += taskMs / (this.#size.executors * tasksEach);
		this.#executors.endOldest();
		await nextTurn();
		if (this.#now - this.#updatedAt >= updateEveryMs) {
			this.#updatedAt = this.#now;
			this.scheduler.keepClaims(this.#entry, {
				stateAt: this.#now,
				claims: [claim],
			});
			this.scheduler.update();
		}
	}

	close(): void {
		this.scheduler.close();
	}

	#receiveEnds({job, ends}: Ends): void {
		const left = (this.#left.get(job) ?? 0) - ends.length;
		if (ends.length === 0 || left > 0) {
			this.#left.set(job, left);
			return;
		}

		this.#left.delete(job);
		setImmediate(() => {
			this.#submit();
		});
	}

	#submit(): void {
		this.#job += 1;
		const id = `job${this.#job}`;
		this.#left.set(id, this.#size.tasks);
		this.scheduler.receivePart(
			this.#entry,
			makePart(id, this.#size.tasks, this.#now),
		);
	}
}

function doNothing(): void {
	// Not of interest here.
}

function makeExecutor(i: number): Executor {
	return {
		id: `executor-${i}`,
		address: '127.0.0.1:1',
		dataCentre: 'mieres',
		service: 'meals',
		isDraining: false,
		isCapacityEnforced: true,
		capacity: {cpu: executorCpu, memoryMb: 131_072, accelerators: 0},
		capacityReadAt: 0,
	};
}

function makePart(job: string, tasks: number, now: number): Part {
	return {
		t: 'part',
		job,
		takenAtMs: now,
		token: 1,
		stateAt: now,
		claim,
		queue: 'menu',
		service: 'meals',
		priority: 1,
		maxAttempts: 3,
		spec: 'menu of the day',
		demand: {cpu: taskCpu, memoryMb: 64, accelerators: 0},
		estimateMs: taskMs,
		dueInMs: longMs,
		admitInMs: longMs,
		timeLeftMs: longMs,
		remaining: tasks,
		tasks: Array.from({length: tasks}, (_, index) => [index, 1, 1]),
		shifts: 0,
		isMoved: false,
	};
}

/** Microseconds of processor time a task. */
async function measureTask(size: Size): Promise<number> {
	const busy = new BusyScheduler(size);
	await busy.submitAll();
	const before = process.cpuUsage();
	for (let i = 0; i < steps; i += 1) {
		await busy.runStep();
	}

	const {user, system} = process.cpuUsage(before);
	busy.close();
	return (user + system) / steps;
}

async function measureStateBytes(executors: number): Promise<number> {
	const busy = new BusyScheduler({...usual, executors});
	await busy.submitAll();
	const {length} = encodeFrame([busy.scheduler.describeState()]);
	busy.close();
	return length;
}

function measureJobBytes(jobs: number): number {
	const busy = new BusyScheduler(usual);
	return measureMemory(jobs, () => {
		for (let i = 0; i < jobs; i += 1) {
			busy.scheduler.receivePart(
				{key: 'mieres_m2.a1', send: doNothing},
				makePart(`waiting${i}`, usual.tasks, 0),
			);
		}

		return busy;
	});
}

export async function measureSchedulers(): Promise<Series[]> {
	return [
		await measureSeries(
			{
				name: 'scheduler: us a task',
				by: 'executors',
				sizes: [11, 22, 44, 88],
			},
			async (executors) => measureTask({...usual, executors}),
		),
		await measureSeries(
			{name: 'scheduler: us a task', by: 'waiting jobs', sizes: [10, 40, 160]},
			async (jobs) => measureTask({...usual, jobs}),
		),
		await measureSeries(
			{name: 'scheduler: us a task', by: 'tasks a job', sizes: [2, 8, 32]},
			async (tasks) => measureTask({...usual, tasks}),
		),
		await measureSeries(
			{name: 'scheduler: bytes a state', by: 'executors', sizes: [11, 44, 88]},
			measureStateBytes,
		),
		await measureSeries(
			{name: 'scheduler: bytes a waiting job', by: 'jobs', sizes: [250, 1000]},
			measureJobBytes,
		),
	];
}
