/**
Simulates a plan of jobs and faults, and reports which invariants were violated.
*/
import {errAsync, ResultAsync} from 'neverthrow';
import {
	type CallFailure,
	type Executor,
	type ExecutorControl,
	type JobAnswer,
	type JobRequest,
	type StartRequest,
} from '@gentianshift/scheduling';
import {
	countStartsAfterCrashes,
	createFakeExecutors,
	findOverloads,
	findOverlaps,
	VirtualClock,
	type BornIn,
	type CallDelay,
	type CallOutcome,
	type FakeCall,
	type FakeExecutors,
} from '@gentianshift/scheduling/fixtures';
import {
	startFault,
	type FaultySystem,
	type CallFault,
	type RestartFault,
	type ShrinkFault,
	registrationTtlMs,
} from './start-fault.fixture.js';
import {findEvacuatedStarts} from './evacuated-starts.fixture.js';
import {findCancelledStarts} from './cancelled-starts.fixture.js';
import {FaultyHost} from './faulty-host.fixture.js';
import {FaultyNetwork} from './faulty-network.fixture.js';
import {LiveClaims} from './live-claims.fixture.js';
import {FaultyStore, type StoreMode} from './faulty-store.fixture.js';
import {
	dataCentres,
	dividedExecutorCounts,
	executorCounts,
	firstProcessClockMs,
	hostCount,
	type FaultPlan,
	type PlannedFault,
	type PlannedJob,
} from './fault-plan.fixture.js';

const hostIdentities = [
	{dataCentre: 'mieres', host: 'm1', wallClockOffsetMs: 0},
	{dataCentre: 'mieres', host: 'm2', wallClockOffsetMs: 40},
	{dataCentre: 'langreo', host: 'l1', wallClockOffsetMs: 3},
	{dataCentre: 'langreo', host: 'l2', wallClockOffsetMs: -20},
] as const;

/** A caller whose connection broke, or whose job was given up, sends the job again to another host after this long. */
const resendDelayMs = 1300;
/** Likewise for faults whose callers send again at once: the delay until the copy is sent over a new connection. */
const immediateResendDelayMs = 9;
/** Time from the start of the hosts until each group has a holder; jobs and faults start only then. */
const startUpMs = 1500;
/** All callers must be answered within this time after the last fault has ended. */
const answerLimitAfterFaultsMs = 9000;
/** Likewise after the last job has arrived. */
const answerLimitAfterJobsMs = 6600;
const callerTimeoutMs = 4000;
/** A caller waits this long for the answer to a cancellation, and repeats it at another host without a confirmation. */
const cancelTimeoutMs = 1500;
/** Time after the first cancellation in which it is repeated. */
const cancelRepeatLimitMs = 6000;
const pollIntervalMs = 20;
const defaultTaskCpu = 14_000;
/** A reduced capacity must be respected after this long: 3000 ms for hosts to be connected again, and 1500 ms for one heartbeat of the executors. */
const capacityGraceMs = 3000 + 1500;
const defaultRestartDelayMs = 2000;
/** A task under which `crashLimit` executors have crashed may be started `maxStartsAfterCrashLimit` more times at most. */
const crashLimit = 3;
const maxStartsAfterCrashLimit = 2;
/** When the first processes of executors started, by their own wall clocks. */
const firstBornMs = 1_764_800_000_000;
/** An executor that has restarted has to be open for starts after this long: one heartbeat, and one read of the list. */
const unusedLimitMs = 1500 + 600;
const openCheckIntervalMs = 50;

const crashReason = 'executors crashed under its task';

type SimulatedJob = PlannedJob & {
	id: string;
	answers: Array<JobAnswer['type']>;
	/** A copy was given up because executors crashed under a task of the job. */
	isBlamed: boolean;
	sendCount: number;
	/** The last copy was sent again at once after its connection broke. */
	isSentAtOnce: boolean;
};

type SentStart = {
	job: string;
	index: number;
	dataCentre: string;
	executor: string;
	at: number;
};

/** The simulated system while a plan runs. */
class Simulation {
	readonly clock = new VirtualClock();
	readonly #claims: LiveClaims;
	readonly #runMsByJob = new Map<string, number>();
	readonly #cpuByJob = new Map<string, number>();
	readonly #crashAfterMsByJob = new Map<string, number>();
	readonly #callFaults = new Set<CallFault>();
	readonly #executorCuts: FaultySystem['executorCuts'] = new Set();
	readonly #comingRestarts = new Set<RestartFault>();
	readonly #unused = new Set<string>();
	#delayedCallCount = 0;
	readonly #storeModes = new Map<FaultyHost, StoreMode>();
	readonly #executors: FakeExecutors;
	readonly #hosts: FaultyHost[] = [];
	readonly #system: FaultySystem;
	readonly #jobs: SimulatedJob[] = [];
	/** Starts that hosts have sent, whatever became of them. */
	readonly #sentStarts: SentStart[] = [];
	/** By job id: when its caller got the confirmation that it is cancelled. */
	readonly #confirmedAt = new Map<string, number>();

	constructor(
		private readonly options: {
			isCapacityEnforced: boolean;
			stopDelayMs: number;
			restartDelayMs: number;
			/** Number of groups of each data centre; undefined: one, with few executors. */
			groups: number | undefined;
			/** Nothing of the plan is a reason not to complete a job. */
			areAllCompleted: boolean;
			/** Executors restart under their ids, and nothing else keeps them from being used. */
			areAllUsed: boolean;
			/** Some callers send their jobs again at once. */
			areSentAtOnce: boolean;
			/** Jobs may be given up for crashes although they crash no executor. */
			mayBeBlamed: boolean;
			hasBorn: boolean;
			bornIn: BornIn;
			isBornRegistered: boolean;
			/** Delays of the calls to executors, in turn; none: calls take no time. */
			callDelays: readonly CallDelay[];
			holdMaxMs: number | undefined;
			isLeaseTakenFromRefused: boolean;
		},
		private readonly log: (line: string) => void,
	) {
		this.#claims = new LiveClaims(this.clock, {
			areCopiesCompared: !this.options.areSentAtOnce,
		});
		this.#executors = this.#createExecutors();
		this.#system = {
			clock: this.clock,
			hosts: this.#hosts,
			network: new FaultyNetwork(this.clock, this.#hosts),
			store: new FaultyStore(
				this.clock,
				this.#executors.executors,
				this.options.isBornRegistered,
			),
			executors: this.#executors,
			storeModes: this.#storeModes,
			callFaults: this.#callFaults,
			executorCuts: this.#executorCuts,
			comingRestarts: this.#comingRestarts,
			activeShrinks: new Set<ShrinkFault>(),
			sendAgain: (jobs, when) => {
				this.#sendAllAgain(
					jobs,
					when === 'at-once' ? immediateResendDelayMs : resendDelayMs,
				);
			},
		};
		for (const identity of hostIdentities) {
			this.#hosts.push(this.#createHost(identity));
		}
	}

	async run({jobs, faults}: FaultPlan): Promise<string[]> {
		for (const dataCentre of dataCentres) {
			this.#system.store.setGroupCount(dataCentre, this.options.groups ?? 1);
		}

		for (const host of this.#hosts) {
			host.start();
		}

		this.#system.network.connect();
		await this.clock.run(startUpMs);
		for (const [i, job] of jobs.entries()) {
			const simulatedJob = {
				...job,
				id: `job${i}`,
				answers: [],
				isBlamed: false,
				sendCount: 0,
				isSentAtOnce: false,
			};
			this.#jobs.push(simulatedJob);
			this.#runMsByJob.set(simulatedJob.id, job.runMs);
			this.#cpuByJob.set(simulatedJob.id, job.cpu ?? defaultTaskCpu);
			if (job.crashAfterMs !== undefined) {
				this.#crashAfterMsByJob.set(simulatedJob.id, job.crashAfterMs);
			}

			this.clock.schedule(job.at, () => {
				this.#send(simulatedJob);
			});
			if (job.cancel) {
				this.#scheduleCancellation(simulatedJob, job.cancel);
			}
		}

		for (const fault of faults) {
			this.#scheduleFault(fault);
		}

		if (this.options.areAllUsed) {
			this.#repeatOpenChecks();
		}

		const lastFaultEnd = Math.max(
			0,
			...faults.map(
				(fault) =>
					fault.at +
					fault.durationMs +
					(fault.kind === 'restart' ? fault.leadMs : 0),
			),
		);
		const lastJobAt = Math.max(0, ...jobs.map(({at}) => at));
		const lastOrderAt = Math.max(
			0,
			...faults.map((fault) =>
				fault.kind === 'restart' ? fault.at + fault.leadMs + fault.lateMs : 0,
			),
		);
		await this.clock.run(
			Math.max(
				lastFaultEnd + answerLimitAfterFaultsMs,
				lastJobAt + answerLimitAfterJobsMs,
				lastOrderAt,
			),
		);
		for (const host of this.#hosts) {
			host.kill();
		}

		return [...this.#checkInvariants(faults)];
	}

	*#checkInvariants(faults: readonly PlannedFault[]): Generator<string> {
		const {runs} = this.#executors;
		yield* findEvacuatedStarts(
			runs.map((run) => ({...run, dataCentre: this.#findDataCentre(run)})),
			this.#system.store.listEvacuations(),
			faults.map((fault) => ({
				fault,
				from: startUpMs + fault.at,
				until: startUpMs + fault.at + fault.durationMs,
			})),
		).map((start) => `task started in an evacuated data centre: ${start}`);
		yield* findCancelledStarts(runs, this.#confirmedAt).map(
			(start) => `task of a cancelled job started: ${start}`,
		);
		yield* findOverlaps(runs).map(
			(pair) => `task ran twice at a time: ${pair}`,
		);
		yield* this.#findStartsElsewhere().map(
			(start) =>
				`start sent while the task ran in another data centre: ${start}`,
		);
		for (const line of this.#claims.violations) {
			yield `two groups hold a task at a time: ${line}`;
		}

		yield* findOverloads(this.#executors, capacityGraceMs).map(
			(start) => `start exceeded the executor's capacity: ${start}`,
		);
		for (const line of this.#unused) {
			yield `executor unused although it is up: ${line}`;
		}

		for (const [task, starts] of countStartsAfterCrashes(runs, crashLimit)) {
			if (starts > maxStartsAfterCrashLimit) {
				yield `task started ${starts} times after ${crashLimit} crashes: ${task}`;
			}
		}

		for (const job of this.#jobs) {
			const {id, tasks, answers, sendCount, crashAfterMs, isBlamed} = job;
			const mayBeBlamed =
				this.options.mayBeBlamed || crashAfterMs !== undefined;
			if (!mayBeBlamed && isBlamed) {
				yield `job blamed for crashes although it crashes no executor: ${id}`;
			}

			const jobRuns = runs.filter(({job}) => job === id);
			const hasFailedRun = jobRuns.some(({outcome}) => outcome === 'failed');
			if (answers.includes('failed') && !hasFailedRun) {
				yield `job failed although none of its runs has: ${id}`;
			}

			const refusals = answers.filter((answer) => answer === 'refused');
			// Refusals say that no task has run; a copy whose connection broke got no answer, and may have run.
			if (refusals.length === sendCount && jobRuns.length > 0) {
				yield `job refused although a task of it ran: ${id}`;
			}

			const doneTasks = new Set(
				jobRuns
					.filter(({outcome}) => outcome === 'done')
					.map(({index}) => index),
			);
			if (answers.at(-1) === 'completed' && doneTasks.size < tasks) {
				yield `job completed although a task of it has not: ${id}`;
			}

			if (answers.length === 0) {
				yield `job without an answer: ${id}`;
			}

			if (this.options.areAllCompleted && answers.at(-1) !== 'completed') {
				yield `job not completed: ${id} ${answers.join(' ')}`;
			}
		}
	}

	#createExecutors(): FakeExecutors {
		const {total, firstCentre} =
			this.options.groups === undefined
				? executorCounts
				: dividedExecutorCounts;
		const executors = createFakeExecutors(this.clock, {
			count: total,
			taskMs: ({job}) => this.#runMsByJob.get(job) ?? 0,
			decideOutcome: (call) => this.#decideFate(call),
			pollIntervalMs,
			stopMs: this.options.stopDelayMs,
			isCapacityEnforced: this.options.isCapacityEnforced,
			...(this.options.hasBorn && {firstBornMs}),
			bornIn: this.options.bornIn,
			...(this.options.callDelays.length > 0 && {
				chooseDelay: () => this.#takeDelay(),
			}),
			holdMaxMs: this.options.holdMaxMs,
			isLeaseTakenFromRefused: this.options.isLeaseTakenFromRefused,
			getDemand: (job) => this.#makeDemand(job),
			findCrashMs: ({job, index}) =>
				index === 0 ? this.#crashAfterMsByJob.get(job) : undefined,
			getRestartMs: () => this.options.restartDelayMs,
			onCrash: (former, next) => {
				this.#replaceExecutor(former, next);
			},
		});
		for (const [i, fake] of executors.fakes.entries()) {
			fake.clockOffsetMs = this.options.hasBorn ? firstProcessClockMs : 0;
			fake.executor.dataCentre = dataCentres[i < firstCentre ? 0 : 1]!;
		}

		return executors;
	}

	#takeDelay(): CallDelay {
		const {callDelays} = this.options;
		const delay = callDelays[this.#delayedCallCount % callDelays.length]!;
		this.#delayedCallCount += 1;
		return delay;
	}

	#findDataCentre({executor}: {executor: string}): string {
		const [name] = executor.split('.', 1);
		return this.#executors.fakes.find(
			(fake) => fake.executor.id.split('.', 1)[0] === name,
		)!.executor.dataCentre;
	}

	#makeDemand(job: string): JobRequest['demand'] {
		const cpu = this.#cpuByJob.get(job) ?? defaultTaskCpu;
		return {cpu, memoryMb: 64, accelerators: 0};
	}

	#replaceExecutor(former: Executor, next: Executor): void {
		const {store} = this.#system;
		this.log(`${this.clock.now} executor ${former.id} crashes`);
		this.clock.schedule(registrationTtlMs, () => {
			store.setListed(former.id, false);
		});
		this.clock.schedule(this.options.restartDelayMs, () => {
			store.addExecutor(next);
		});
	}

	/** Compares, every 50 ms, how many executors are open at each holder with how many have been up for long enough. */
	#repeatOpenChecks(): void {
		this.clock.schedule(openCheckIntervalMs, () => {
			for (const host of this.#hosts) {
				const open = host.countOpenExecutors();
				const up = this.#executors.fakes.filter(
					(fake) =>
						fake.executor.dataCentre === host.dataCentre &&
						!fake.isDown &&
						this.clock.now - (fake.restartedAt.at(-1) ?? 0) > unusedLimitMs,
				);
				if (open !== undefined && open < up.length) {
					this.#unused.add(`${host.key}: ${open} of ${up.length} open`);
				}
			}

			this.#repeatOpenChecks();
		});
	}

	#decideFate({executor, kind}: FakeCall): CallOutcome {
		for (const restart of this.#comingRestarts) {
			if (kind !== 'renewal' && executor === `e${restart.executor + 1}`) {
				return {type: 'late', ms: restart.lateMs};
			}
		}

		for (const fault of this.#callFaults) {
			const [name] = executor.split('.', 1);
			const isMeant = fault.only === undefined || fault.only === kind;
			if (name === `e${fault.executor + 1}` && isMeant) {
				fault.callsSeen += 1;
				if (fault.callsSeen % fault.every === 0) {
					return fault.how === 'late'
						? {type: 'late', ms: fault.lateMs}
						: {type: fault.how};
				}
			}
		}

		return {type: 'answered'};
	}

	#createHost(identity: (typeof hostIdentities)[number]): FaultyHost {
		const client = this.#system.store.createClient(
			() => this.#storeModes.get(host) ?? 'normal',
		);
		const host: FaultyHost = new FaultyHost(identity, {
			clock: this.clock,
			claims: this.#claims,
			...client,
			control: this.#createControl(() => host),
			isCapacityEnforced: this.options.isCapacityEnforced,
			maxGroups: 1,
			listTakeoverOrder: () =>
				this.#hosts
					.filter(
						({dataCentre, isAlive}) =>
							dataCentre === identity.dataCentre && isAlive,
					)
					.map(({key}) => key),
			peers: {
				listLinks: () => this.#system.network.listLinks(host),
				listKeys: () =>
					this.#hosts.filter((other) => other !== host).map(({key}) => key),
				findLink: (key) => this.#system.network.findLink(host, key),
				listIncarnations: (key) =>
					this.#hosts
						.filter((other) => other.key === key && other.isAlive)
						.map(({incarnation}) => incarnation),
			},
			log: (message, fields) => {
				this.log(
					`${this.clock.now} ${identity.host} ${message} ${JSON.stringify(fields)}`,
				);
			},
		});
		return host;
	}

	/** The calls of a host to executors. */
	#createControl(getHost: () => FaultyHost): ExecutorControl {
		const {control} = this.#executors;
		const loseIfCut = <T>(
			{id}: Executor,
			limits: {answerTimeoutMs: number; waitMs?: number},
			call: () => ResultAsync<T, CallFailure>,
		): ResultAsync<T, CallFailure> => {
			const isCut = [...this.#executorCuts].some(
				({host, executor}) => host === getHost() && executor === id,
			);
			return isCut ? this.#loseCall(limits) : call();
		};

		return {
			startTask: (executor, request) => {
				this.#recordStart(executor, request);
				return loseIfCut(executor, request, () =>
					control.startTask(executor, request),
				);
			},
			stopTask: (executor, request) =>
				loseIfCut(executor, request, () => control.stopTask(executor, request)),
			renewLease: (executor, request) =>
				loseIfCut(executor, request, () =>
					control.renewLease(executor, request),
				),
			forgetExecutor: control.forgetExecutor,
		};
	}

	/** A call that does not arrive: its caller's time-out passes. */
	#loseCall({
		answerTimeoutMs,
		waitMs = 0,
	}: {
		answerTimeoutMs: number;
		waitMs?: number;
	}): ResultAsync<never, CallFailure> {
		return ResultAsync.fromSafePromise(
			this.clock.wait(answerTimeoutMs + waitMs),
		).andThen(() =>
			errAsync({code: 'unanswered' as const, message: 'no answer'}),
		);
	}

	#recordStart(executor: Executor, {job, index, token}: StartRequest): void {
		const fake = this.#executors.fakes.find(
			(one) => one.executor.address === executor.address,
		)!;
		// A holder that does not know of its successor yet sends starts that its executors refuse.
		if (token >= fake.token) {
			this.#sentStarts.push({
				job,
				index,
				dataCentre: executor.dataCentre,
				executor: executor.id,
				at: this.clock.now,
			});
		}
	}

	/**
	Describes the starts that were sent while the task ran in the other data centre, whether they were carried out or not: then two
	schedulers had the right to start it at a time.
	*/
	#findStartsElsewhere(): string[] {
		const {runs} = this.#executors;
		return this.#sentStarts.flatMap((start) =>
			runs
				.filter(
					(run) =>
						run.job === start.job &&
						run.index === start.index &&
						run.startedAt < start.at &&
						start.at < (run.endedAt ?? Infinity) &&
						this.#findDataCentre(run) !== start.dataCentre,
				)
				.map(
					(run) =>
						`${run.job}/${run.index} runs on ${run.executor}, start sent to ${start.executor}`,
				),
		);
	}

	/** Sends a caller's job to its host, or to the next one that is alive; each copy that is sent again starts one host further. */
	#send(job: SimulatedJob): void {
		const first = (job.host + job.sendCount) % hostCount;
		const order = [...this.#hosts.slice(first), ...this.#hosts];
		const host = order.find(({isAlive}) => isAlive);
		job.sendCount += 1;
		if (!host) {
			this.#sendAgain(job);
			return;
		}

		this.log(`${this.clock.now} caller sends ${job.id} to ${host.key}`);
		const {isReadLast} = job;
		host.submit(
			this.#makeRequest(job),
			(answer) => {
				this.log(`${this.clock.now} caller of ${job.id} gets ${answer.type}`);
				job.answers.push(answer.type);
				job.isBlamed ||= 'reason' in answer && answer.reason === crashReason;
				if (answer.type === 'given-up') {
					this.#sendAgain(job);
				}
			},
			{isReadLast},
		);
	}

	#sendAgain(job: SimulatedJob, afterMs = resendDelayMs): void {
		this.clock.schedule(afterMs, () => {
			job.isSentAtOnce = afterMs === immediateResendDelayMs;
			this.#send(job);
		});
	}

	#sendAllAgain(ids: readonly string[], afterMs: number): void {
		for (const job of this.#jobs) {
			if (ids.includes(job.id)) {
				this.#sendAgain(job, afterMs);
			}
		}
	}

	#scheduleCancellation(
		{id, at}: SimulatedJob,
		{afterMs, host}: NonNullable<PlannedJob['cancel']>,
	): void {
		this.clock.schedule(at + afterMs, () => {
			this.#cancel(id, host, this.clock.now + cancelRepeatLimitMs);
		});
	}

	/** Asks a host that is alive to cancel the job; without a confirmation in time, the next one. */
	#cancel(id: string, first: number, repeatedUntil: number): void {
		const order = [...this.#hosts.slice(first), ...this.#hosts];
		const host = order.find(({isAlive}) => isAlive);
		this.log(`${this.clock.now} caller cancels ${id} at ${host?.key}`);
		host?.cancel(id, cancelTimeoutMs, ({isConfirmed}) => {
			this.log(`${this.clock.now} ${id} is cancelled: ${isConfirmed}`);
			if (isConfirmed && !this.#confirmedAt.has(id)) {
				this.#confirmedAt.set(id, this.clock.now);
			}
		});
		this.clock.schedule(cancelTimeoutMs, () => {
			if (!this.#confirmedAt.has(id) && this.clock.now < repeatedUntil) {
				this.#cancel(id, (first + 1) % hostCount, repeatedUntil);
			}
		});
	}

	#makeRequest({
		id,
		tasks,
		runMs,
		allowanceMs,
		isSentAtOnce,
		isOnNewConnection = false,
	}: SimulatedJob): JobRequest {
		return {
			id,
			queue: {
				name: 'menu',
				host: 'kitchen.example',
				prefix: '/menu/',
				service: 'meals',
				priority: 0,
				maxAttempts: 3,
				timeoutMs: callerTimeoutMs,
				allowanceMs,
				slackFactor: 2,
			},
			spec: '',
			count: tasks,
			demand: this.#makeDemand(id),
			declaredMs: runMs,
			timeLeftMs: callerTimeoutMs,
			requestsBefore: isSentAtOnce || isOnNewConnection ? 0 : 1,
		};
	}

	#scheduleFault(fault: PlannedFault): void {
		this.clock.schedule(fault.at, () => {
			this.log(`${this.clock.now} fault ${JSON.stringify(fault)}`);
			const end = startFault(fault, this.#system);
			this.clock.schedule(fault.durationMs, end);
		});
	}
}

/** Simulates the plan; returns a line for each violation of an invariant, none if all held. */
export async function runPlan(
	plan: FaultPlan,
	{
		areAllCompleted = false,
		areAllUsed = false,
		mayBeBlamed = false,
		log = doNothing,
	}: {
		areAllCompleted?: boolean;
		areAllUsed?: boolean;
		mayBeBlamed?: boolean;
		log?: (line: string) => void;
	} = {},
): Promise<string[]> {
	const {
		isUnguarded = false,
		stopDelayMs = 0,
		restartDelayMs = defaultRestartDelayMs,
		groups,
		hasBorn = false,
		bornIn = 'all',
		isBornRegistered = true,
		callDelays = [],
		holdMaxMs,
		isLeaseTakenFromRefused = false,
	} = plan;
	return new Simulation(
		{
			isCapacityEnforced: !isUnguarded,
			stopDelayMs,
			restartDelayMs,
			groups,
			areAllCompleted,
			areAllUsed,
			mayBeBlamed,
			areSentAtOnce: plan.faults.some(
				({kind}) =>
					kind === 'kill-resend-at-once' || kind === 'reset-resend-at-once',
			),
			hasBorn,
			bornIn,
			isBornRegistered,
			callDelays,
			holdMaxMs,
			isLeaseTakenFromRefused,
		},
		log,
	).run(plan);
}

function doNothing(): void {
	// Nobody reads the log of this simulation.
}
