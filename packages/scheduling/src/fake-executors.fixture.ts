/**
Fake executors with leases for tests of the scheduler, on a virtual clock and without sockets.
*/
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {type TaskDemand} from '@gentianshift/protocol';
import {
	type Answerer,
	type CallFailure,
	type ExecutorControl,
	type LeaseReply,
	type LeaseRequest,
	type OrderReply,
	type RunEnd,
	type RunName,
	type StartRequest,
	type StopRequest,
} from './executor-control.js';
import {type Executor} from './executor.js';
import {longestLeaseMs} from './timing.js';
import {
	addDemand,
	coversDemand,
	noDemand,
	removeDemand,
} from './free-capacity.js';
import {type VirtualClock} from './virtual-clock.fixture.js';

export type FakeRun = RunName & {
	executor: string;
	token: number;
	startedAt: number;
	/** What all runs on the executor used together right after this start. */
	used: TaskDemand;
	endedAt?: number;
	outcome?: RunEnd['outcome'];
	/** The executor crashed during the run. */
	isCrashed?: boolean;
};

export type FakeExecutor = {
	executor: Executor;
	/** The capacities that the executor has reported, oldest first. */
	capacityHistory: Array<{at: number; capacity: TaskDemand}>;
	token: number;
	leaseEndsAt: number;
	active: FakeRun[];
	ended: RunEnd[];
	sequence: number;
	/** Tokens of schedulers whose calls are lost without an answer; or all of them. */
	unreachableFrom: Set<number> | 'all';
	/** Tasks take this many times as long; `Infinity`: they never end. */
	slowness: number;
	/** Tasks fail after 1 ms. */
	isFailing: boolean;
	/** If above 0, starts get no answer and are carried out after this delay. */
	lateStartMs: number;
	highest: Map<string, number>;
	/** Number of the current process: 1, plus the number of crashes. */
	life: number;
	/** Crashed and not restarted yet. */
	isDown: boolean;
	/** What its clock shows at time 0 of the virtual clock. */
	clockOffsetMs: number;
	/** When each process that started again under the id of its predecessor was back. */
	restartedAt: number[];
	/** Its port refuses connections; what runs on it goes on. */
	isRefusing: boolean;
};

export type Restart = {
	/** How long until the new process answers. */
	downMs: number;
	/** What the new process's clock shows when it starts; undefined: it goes on as that of the former one. */
	clockMs?: number;
};

/**
What happens to a call: `lost` before it arrives; `answer-lost`: carried out, but the answer is lost; `late`: carried
out `ms` later, without an answer.
*/
export type CallOutcome =
	| {type: 'answered'}
	| {type: 'lost'}
	| {type: 'answer-lost'}
	| {type: 'late'; ms: number};

export type FakeCall = {
	kind: 'start' | 'stop' | 'renewal';
	executor: string;
	token: number;
};

/** `registrations`: no answer states when the process started. */
export type BornIn = 'all' | 'lists' | 'registrations';

/** How long a call is on its way to the executor, and its answer on the way back. */
export type CallDelay = {requestMs: number; answerMs: number};

const noDelay: CallDelay = {requestMs: 0, answerMs: 0};

function isImmediate({requestMs, answerMs}: CallDelay): boolean {
	return requestMs === 0 && answerMs === 0;
}

export type FakeExecutors = ReturnType<typeof createFakeExecutors>;

export function createFakeExecutors(
	clock: VirtualClock,
	{
		count,
		cpu = 32_000,
		taskMs = 100,
		decideOutcome = () => ({type: 'answered'}),
		pollIntervalMs = 5,
		stopMs = 0,
		getDemand = () => noDemand,
		isCapacityEnforced = true,
		findCrashMs = () => undefined,
		getRestartMs = () => 2000,
		onCrash = () => undefined,
		firstBornMs,
		bornIn = 'all',
		chooseDelay = () => noDelay,
		holdMaxMs = longestLeaseMs,
		isLeaseTakenFromRefused = false,
	}: {
		count: number;
		/**
		Executors state when their processes started: the first ones at this time, later ones as much later as they start
		after time 0. Undefined: they don't state it.
		*/
		firstBornMs?: number;
		/** Which answers state when the process started: all of them, only lists of runs, or none. */
		bornIn?: BornIn;
		/** Chosen for each call that is answered. A caller whose time-out passes first gets no answer. */
		chooseDelay?: () => CallDelay;
		/** A longer lease is shortened to this, on the executor's clock. */
		holdMaxMs?: number;
		/** The lease is also taken from starts that are refused as outdated or for lack of free capacity. */
		isLeaseTakenFromRefused?: boolean;
		cpu?: number;
		/** Run time of all tasks, or a function that gives each task's. */
		taskMs?: number | ((task: {job: string; index: number}) => number);
		/** Decides what happens to calls that no setting of the fake executor makes lost or late. */
		decideOutcome?: (call: FakeCall) => CallOutcome;
		/** How often an executor that waits for the end of a run checks for one. */
		pollIntervalMs?: number;
		/** A stop is answered at once, and the run ends this much later. */
		stopMs?: number;
		/** What each task of a job uses; the default is nothing, so that any number of tasks fits. */
		getDemand?: (job: string) => TaskDemand;
		/** Whether the executors refuse starts that exceed their capacity. */
		isCapacityEnforced?: boolean;
		/** How long after its start a task crashes its executor; undefined: it does not. */
		findCrashMs?: (task: {job: string; index: number}) => number | undefined;
		/** How long until a crashed executor has restarted, under a new id. */
		getRestartMs?: () => number;
		/** An executor has crashed; `next` is the executor after its restart, not listed yet. */
		onCrash?: (former: Executor, next: Executor) => void;
	},
) {
	const runs: FakeRun[] = [];
	const fakes = Array.from({length: count}, (_, i): FakeExecutor => ({
		executor: {
			...(firstBornMs !== undefined && {bornMs: firstBornMs}),
			id: `e${i + 1}`,
			address: `10.0.0.${i + 1}:8000`,
			dataCentre: 'mieres',
			service: 'meals',
			isDraining: false,
			isCapacityEnforced,
			capacity: {cpu, memoryMb: 100_000, accelerators: 0},
			capacityReadAt: 0,
		},
		capacityHistory: [
			{
				at: -Infinity,
				capacity: {cpu, memoryMb: 100_000, accelerators: 0},
			},
		],
		token: 0,
		leaseEndsAt: 0,
		active: [],
		ended: [],
		sequence: 0,
		unreachableFrom: new Set(),
		lateStartMs: 0,
		slowness: 1,
		isFailing: false,
		highest: new Map(),
		life: 1,
		isDown: false,
		clockOffsetMs: 0,
		restartedAt: [],
		isRefusing: false,
	}));

	function readClock({clockOffsetMs}: FakeExecutor): number {
		return clock.now + clockOffsetMs;
	}

	/** The start time of the process, as its answers to orders state it. */
	function getOrderBorn({executor: {bornMs}}: FakeExecutor): Answerer {
		return bornMs === undefined || bornIn !== 'all' ? {} : {bornMs};
	}

	function refuse(
		code: CallFailure['code'],
		fake: FakeExecutor,
	): Result<never, CallFailure> {
		return err({
			code,
			message: code,
			clockMs: readClock(fake),
			...getOrderBorn(fake),
		});
	}

	function accept(fake: FakeExecutor): Result<OrderReply, CallFailure> {
		return ok({clockMs: readClock(fake), ...getOrderBorn(fake)});
	}

	/** The fake whose address this is; it may have restarted since. */
	function findFake({address}: Executor): FakeExecutor {
		return fakes.find(({executor}) => executor.address === address)!;
	}

	/** The failure of a call to an executor process that has ended; undefined: the process is still the same. */
	function refuseFormer(
		fake: FakeExecutor,
		{id}: Executor,
	): Result<never, CallFailure> | undefined {
		if (fake.isDown || fake.isRefusing) {
			return err({code: 'unreachable', message: 'connection refused'});
		}

		return fake.executor.id === id ? undefined : refuse('replaced', fake);
	}

	/** Ends the process. Its successor, which knows nothing of it, is `next`. */
	function endProcess(fake: FakeExecutor, next: Executor): void {
		for (const run of fake.active) {
			run.endedAt = clock.now;
			run.outcome = 'ended';
			run.isCrashed = true;
		}

		fake.life += 1;
		Object.assign(fake, {
			isDown: true,
			executor: next,
			token: 0,
			leaseEndsAt: 0,
			active: [],
			ended: [],
			sequence: 0,
			highest: new Map(),
		} satisfies Partial<FakeExecutor>);
	}

	function crash(fake: FakeExecutor): void {
		if (fake.isDown) {
			return;
		}

		const former = fake.executor;
		const [name] = former.id.split('.', 1);
		endProcess(fake, {...former, id: `${name}.${fake.life + 1}`});
		onCrash(former, fake.executor);
		clock.schedule(getRestartMs(), () => {
			fake.isDown = false;
		});
	}

	/** Ends the process and starts one under the same id; one that is down already comes back as it was going to. */
	function restart(fake: FakeExecutor, {downMs, clockMs}: Restart): void {
		if (fake.isDown) {
			return;
		}

		endProcess(fake, {
			...fake.executor,
			...(firstBornMs !== undefined && {
				bornMs: firstBornMs + clock.now + downMs,
			}),
		});
		clock.schedule(downMs, () => {
			fake.isDown = false;
			fake.restartedAt.push(clock.now);
			if (clockMs !== undefined) {
				fake.clockOffsetMs = clockMs - clock.now;
			}
		});
	}

	/** Changes the executor's capacity and reports the new one. */
	function setCapacity(fake: FakeExecutor, capacity: TaskDemand): Executor {
		fake.executor = {...fake.executor, capacity, capacityReadAt: clock.now};
		fake.capacityHistory.push({at: clock.now, capacity});
		return fake.executor;
	}

	function sumUsed({active}: FakeExecutor): TaskDemand {
		let used = noDemand;
		for (const {job} of active) {
			used = addDemand(used, getDemand(job));
		}

		return used;
	}

	function isCut({unreachableFrom}: FakeExecutor, token: number): boolean {
		return unreachableFrom === 'all' || unreachableFrom.has(token);
	}

	function endRun(
		fake: FakeExecutor,
		run: FakeRun,
		outcome: RunEnd['outcome'],
	) {
		if (run.endedAt !== undefined) {
			return;
		}

		run.endedAt = clock.now;
		run.outcome = outcome;
		fake.active = fake.active.filter((other) => other !== run);
		fake.sequence += 1;
		const {job, index, attempt} = run;
		fake.ended.push({job, index, attempt, outcome, sequence: fake.sequence});
	}

	function extend(fake: FakeExecutor, until: number): void {
		const {life} = fake;
		fake.leaseEndsAt = Math.max(
			fake.leaseEndsAt,
			Math.min(until, readClock(fake) + holdMaxMs),
		);
		clock.schedule(fake.leaseEndsAt - readClock(fake), () => {
			if (fake.life === life && readClock(fake) >= fake.leaseEndsAt) {
				for (const run of fake.active) {
					endRun(fake, run, 'ended');
				}
			}
		});
	}

	function refuseRun(
		code: 'outdated' | 'no-room',
		fake: FakeExecutor,
		leaseUntilMs: number,
	): Result<never, CallFailure> {
		if (isLeaseTakenFromRefused) {
			extend(fake, leaseUntilMs);
		}

		return refuse(code, fake);
	}

	function startRun(
		fake: FakeExecutor,
		request: StartRequest,
	): Result<OrderReply, CallFailure> {
		const {job, index, attempt, token, leaseUntilMs} = request;
		const key = `${job}/${index}`;
		if (token < fake.token) {
			return refuse('fenced', fake);
		}

		fake.token = token;
		if (attempt <= (fake.highest.get(key) ?? 0)) {
			return refuseRun('outdated', fake, leaseUntilMs);
		}

		const now = readClock(fake);
		if (leaseUntilMs <= now && fake.leaseEndsAt <= now) {
			return refuse('lease-passed', fake);
		}

		const free = removeDemand(fake.executor.capacity, sumUsed(fake));
		if (
			fake.executor.isCapacityEnforced &&
			!coversDemand(free, getDemand(job))
		) {
			return refuseRun('no-room', fake, leaseUntilMs);
		}

		fake.highest.set(key, attempt);
		const run: FakeRun = {
			job,
			index,
			attempt,
			token,
			executor: fake.executor.id,
			startedAt: clock.now,
			used: addDemand(sumUsed(fake), getDemand(job)),
		};
		fake.active.push(run);
		runs.push(run);
		extend(fake, leaseUntilMs);
		const crashMs = findCrashMs({job, index});
		if (crashMs !== undefined) {
			clock.schedule(crashMs, () => {
				if (run.endedAt === undefined) {
					crash(fake);
				}
			});
		}

		if (fake.isFailing) {
			clock.schedule(1, () => {
				endRun(fake, run, 'failed');
			});
		} else if (fake.slowness < Infinity) {
			const ms = typeof taskMs === 'number' ? taskMs : taskMs({job, index});
			clock.schedule(ms * fake.slowness, () => {
				endRun(fake, run, 'done');
			});
		}

		return accept(fake);
	}

	/** The caller's time-out passes: its own limit, and the time that the call would have waited. */
	async function loseAnswer({
		answerTimeoutMs,
		waitMs = 0,
	}: {
		answerTimeoutMs: number;
		waitMs?: number;
	}): Promise<Result<never, CallFailure>> {
		await clock.wait(answerTimeoutMs + waitMs);
		return err({code: 'unanswered', message: 'no answer'});
	}

	/** Carries out a call when it has arrived; it has no answer if that comes after the caller's time-out. */
	async function deliver<T>(
		{requestMs, answerMs}: CallDelay,
		limits: {answerTimeoutMs: number; waitMs?: number},
		work: () => Promise<Result<T, CallFailure>>,
	): Promise<Result<T, CallFailure>> {
		const answer = (async () => {
			await clock.wait(requestMs);
			const result = await work();
			await clock.wait(answerMs);
			return result;
		})();
		return Promise.race([answer, loseAnswer(limits)]);
	}

	/** Carries out a call, or loses it, as decided for it, unless the executor process that was called has ended. */
	async function carryOut<T>(
		call: FakeCall & {to: Executor},
		limits: {answerTimeoutMs: number; waitMs?: number},
		work: () => Result<T, CallFailure> | Promise<Result<T, CallFailure>>,
	): Promise<Result<T, CallFailure>> {
		const run = async () => refuseFormer(findFake(call.to), call.to) ?? work();
		const outcome = decideOutcome(call);
		switch (outcome.type) {
			case 'answered': {
				const delay = chooseDelay();
				return isImmediate(delay) ? run() : deliver(delay, limits, run);
			}

			case 'lost': {
				return loseAnswer(limits);
			}

			case 'answer-lost': {
				void run();
				return loseAnswer(limits);
			}

			case 'late': {
				clock.schedule(outcome.ms, () => {
					void run();
				});
				return loseAnswer(limits);
			}
		}
	}

	async function sendStart(executor: Executor, request: StartRequest) {
		const fake = findFake(executor);
		if (isCut(fake, request.token)) {
			return loseAnswer(request);
		}

		if (fake.lateStartMs > 0) {
			clock.schedule(fake.lateStartMs, () => {
				if (!refuseFormer(fake, executor)) {
					startRun(fake, request);
				}
			});
			return loseAnswer(request);
		}

		return carryOut(
			{
				kind: 'start',
				executor: executor.id,
				to: executor,
				token: request.token,
			},
			request,
			() => startRun(fake, request),
		);
	}

	async function sendStop(
		executor: Executor,
		request: StopRequest,
	): Promise<Result<OrderReply, CallFailure>> {
		const fake = findFake(executor);
		return isCut(fake, request.token)
			? loseAnswer(request)
			: carryOut(
					{
						kind: 'stop',
						executor: executor.id,
						to: executor,
						token: request.token,
					},
					request,
					() => stopRun(fake, request),
				);
	}

	function stopRun(
		fake: FakeExecutor,
		{job, index, attempt, token}: StopRequest,
	): Result<OrderReply, CallFailure> {
		if (token < fake.token) {
			return refuse('fenced', fake);
		}

		const key = `${job}/${index}`;
		fake.highest.set(key, Math.max(attempt, fake.highest.get(key) ?? 0));
		for (const run of fake.active) {
			if (run.job === job && run.index === index && run.attempt <= attempt) {
				if (stopMs > 0) {
					clock.schedule(stopMs, () => {
						endRun(fake, run, 'ended');
					});
				} else {
					endRun(fake, run, 'ended');
				}
			}
		}

		return accept(fake);
	}

	async function renew(
		executor: Executor,
		request: LeaseRequest,
	): Promise<Result<LeaseReply, CallFailure>> {
		const fake = findFake(executor);
		return isCut(fake, request.token)
			? loseAnswer(request)
			: carryOut(
					{
						kind: 'renewal',
						executor: executor.id,
						to: executor,
						token: request.token,
					},
					request,
					async () => renewLease(fake, request),
				);
	}

	async function renewLease(
		fake: FakeExecutor,
		request: LeaseRequest,
	): Promise<Result<LeaseReply, CallFailure>> {
		const {token, acknowledged, leaseUntilMs, waitMs} = request;
		if (token < fake.token) {
			return refuse('fenced', fake);
		}

		fake.token = token;
		fake.ended = fake.ended.filter(({sequence}) => sequence > acknowledged);
		if (leaseUntilMs !== undefined) {
			extend(fake, leaseUntilMs);
		}

		const {life} = fake;
		const endsAt = clock.now + waitMs;
		while (
			fake.life === life &&
			fake.ended.length === 0 &&
			clock.now < endsAt
		) {
			await clock.wait(pollIntervalMs);
		}

		return isCut(fake, token) || fake.life !== life
			? loseAnswer(request)
			: accept(fake).map((reply) => ({
					...reply,
					...(fake.executor.bornMs !== undefined &&
						bornIn !== 'registrations' && {
							bornMs: fake.executor.bornMs,
						}),
					running: fake.active.map(({job, index, attempt}) => ({
						job,
						index,
						attempt,
					})),
					ended: [...fake.ended],
					hasMoreEnds: false,
				}));
	}

	const control: ExecutorControl = {
		startTask: (executor, request) =>
			new ResultAsync(sendStart(executor, request)),
		stopTask: (executor, request) =>
			new ResultAsync(sendStop(executor, request)),
		renewLease: (executor, request) =>
			new ResultAsync(renew(executor, request)),
		forgetExecutor() {
			// The fake keeps no connections.
		},
	};

	return {
		control,
		crash,
		restart,
		/** All runs that were started, on all executors. */
		runs,
		fakes,
		executors: fakes.map(({executor}) => executor),
		setCapacity,
	};
}

/** Counts each task's starts that came after `crashes` of its runs had ended in a crash of the executor. */
export function countStartsAfterCrashes(
	runs: readonly FakeRun[],
	crashes: number,
): Map<string, number> {
	const crashed = new Map<string, number>();
	const starts = new Map<string, number>();
	for (const {job, index, isCrashed} of runs) {
		const task = `${job}/${index}`;
		const before = crashed.get(task) ?? 0;
		if (before >= crashes) {
			starts.set(task, (starts.get(task) ?? 0) + 1);
		}

		crashed.set(task, before + Number(isCrashed ?? false));
	}

	return starts;
}

/** Describes each pair of runs of one task that overlap in time. */
export function findOverlaps(runs: readonly FakeRun[]): string[] {
	return runs.flatMap((run, i) =>
		runs
			.slice(i + 1)
			.filter(
				(other) =>
					other.job === run.job &&
					other.index === run.index &&
					other.startedAt < (run.endedAt ?? Infinity),
			)
			.map(
				(other) =>
					`${run.job}/${run.index} on ${run.executor} and ${other.executor}`,
			),
	);
}

/**
Describes each start that brought an executor above all capacities that were in force at any time within `graceMs`
before the start. Only executors that do not refuse such starts themselves are checked.
*/
export function findOverloads(
	{runs, fakes}: Pick<FakeExecutors, 'runs' | 'fakes'>,
	graceMs: number,
): string[] {
	return runs.flatMap(({job, index, executor, startedAt, used}) => {
		// Ids of one executor before and after a restart differ only behind the dot; its capacity stays the same.
		const [name] = executor.split('.', 1);
		const fake = fakes.find(
			(one) => one.executor.id.split('.', 1)[0] === name,
		)!;
		const firstIndex = fake.capacityHistory.findLastIndex(
			({at}) => at <= startedAt - graceMs,
		);
		const hasFit = fake.capacityHistory
			.slice(firstIndex)
			.some(
				({at, capacity}) => at <= startedAt && coversDemand(capacity, used),
			);
		return fake.executor.isCapacityEnforced || hasFit
			? []
			: [`${job}/${index} on ${executor} at ${startedAt}: ${used.cpu} in use`];
	});
}
