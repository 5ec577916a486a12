/**
Executors under leases for tests of the scheduler: no sockets, on a virtual clock.
*/
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {type TaskDemand} from '@gentianshift/protocol';
import {
	type CallFailure,
	type ExecutorControl,
	type LeaseReply,
	type LeaseRequest,
	type RunEnd,
	type RunName,
	type StartRequest,
	type StopRequest,
} from './executor-control.js';
import {type Executor} from './executor.js';
import {addDemand, hasRoom, noDemand, removeDemand} from './room.js';
import {type VirtualClock} from './virtual-clock.fixture.js';

export type FakeRun = RunName & {
	executor: string;
	token: number;
	startedAt: number;
	/** What the executor had in use right after the start. */
	used: TaskDemand;
	endedAt?: number;
	outcome?: RunEnd['outcome'];
	/** Its executor crashed while it ran. */
	isCrashed?: boolean;
};

export type FakeExecutor = {
	executor: Executor;
	/** Its capacity over time, as it said it. */
	said: Array<{at: number; capacity: TaskDemand}>;
	token: number;
	leaseEndsAt: number;
	active: FakeRun[];
	ended: RunEnd[];
	sequence: number;
	/** Callers, by token, that get no answer and whose orders are lost; or all. */
	cutFrom: Set<number> | 'all';
	/** Tasks take this many times as long; `Infinity`: they stand still. */
	slowness: number;
	/** Tasks fail at once. */
	isFailing: boolean;
	/** The next starts get no answer and are carried out this much later. */
	lateStartMs: number;
	highest: Map<string, number>;
	/** Counts its crashes. */
	life: number;
	/** Crashed, and not back yet. */
	isDown: boolean;
};

/** What becomes of a call: `lost` on its way there, only its answer lost, or carried out so much later without one. */
export type CallFate =
	| {type: 'answered'}
	| {type: 'lost'}
	| {type: 'answer-lost'}
	| {type: 'late'; ms: number};

export type FakeCall = {
	kind: 'start' | 'stop' | 'renewal';
	executor: string;
	token: number;
};

export type FakeExecutors = ReturnType<typeof createFakeExecutors>;

export function createFakeExecutors(
	clock: VirtualClock,
	{
		count,
		cpu = 32_000,
		taskMs = 100,
		decideFate = () => ({type: 'answered'}),
		lookMs = 5,
		stopMs = 0,
		getDemand = () => noDemand,
		isGuarded = true,
		findCrashMs = () => undefined,
		getBackMs = () => 2000,
		onCrash = () => undefined,
	}: {
		count: number;
		cpu?: number;
		/** How long tasks take, all or each. */
		taskMs?: number | ((task: {job: string; index: number}) => number);
		/** Beside what `cutFrom` and `lateStartMs` say. */
		decideFate?: (call: FakeCall) => CallFate;
		/** An executor that is asked to wait for an end looks this often. */
		lookMs?: number;
		/** A stop is answered at once, and the run is over this much later. */
		stopMs?: number;
		/** What each task takes of its executor; without it all have room for all. */
		getDemand?: (job: string) => TaskDemand;
		/** They refuse what they have no room for. */
		isGuarded?: boolean;
		/** How long after its start a task crashes its executor; undefined: it does not. */
		findCrashMs?: (task: {job: string; index: number}) => number | undefined;
		/** How long until a crashed executor is back, under a new id. */
		getBackMs?: () => number;
		/** An executor has crashed; `next` is its next life, not listed yet. */
		onCrash?: (former: Executor, next: Executor) => void;
	},
) {
	const runs: FakeRun[] = [];
	const fakes = Array.from({length: count}, (_, i): FakeExecutor => ({
		executor: {
			id: `e${i + 1}`,
			address: `10.0.0.${i + 1}:8000`,
			dataCentre: 'mieres',
			service: 'meals',
			isDraining: false,
			isGuarded,
			capacity: {cpu, memoryMb: 100_000, accelerators: 0},
			saidAt: 0,
		},
		said: [
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
		cutFrom: new Set(),
		lateStartMs: 0,
		slowness: 1,
		isFailing: false,
		highest: new Map(),
		life: 1,
		isDown: false,
	}));

	/** Whatever lives at the address now. */
	function find({address}: Executor): FakeExecutor {
		return fakes.find(({executor}) => executor.address === address)!;
	}

	/** What answers a call to a life of the executor that is over. */
	function refuseFormer(
		{executor, isDown}: FakeExecutor,
		{id}: Executor,
	): Result<never, CallFailure> | undefined {
		if (isDown) {
			return refuse('unreachable', clock.now);
		}

		return executor.id === id ? undefined : refuse('replaced', clock.now);
	}

	function crash(fake: FakeExecutor): void {
		if (fake.isDown) {
			return;
		}

		for (const run of fake.active) {
			run.endedAt = clock.now;
			run.outcome = 'ended';
			run.isCrashed = true;
		}

		const former = fake.executor;
		fake.life += 1;
		Object.assign(fake, {
			isDown: true,
			executor: {
				...former,
				id: `${former.id.split('.', 1)[0]}.${fake.life}`,
			},
			token: 0,
			leaseEndsAt: 0,
			active: [],
			ended: [],
			sequence: 0,
			highest: new Map(),
		} satisfies Partial<FakeExecutor>);
		onCrash(former, fake.executor);
		clock.schedule(getBackMs(), () => {
			fake.isDown = false;
		});
	}

	/** It has so much room from now on, and says so. */
	function setCapacity(fake: FakeExecutor, capacity: TaskDemand): Executor {
		fake.executor = {...fake.executor, capacity, saidAt: clock.now};
		fake.said.push({at: clock.now, capacity});
		return fake.executor;
	}

	function sumUsed({active}: FakeExecutor): TaskDemand {
		let used = noDemand;
		for (const {job} of active) {
			used = addDemand(used, getDemand(job));
		}

		return used;
	}

	function isCut({cutFrom}: FakeExecutor, token: number): boolean {
		return cutFrom === 'all' || cutFrom.has(token);
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
		fake.leaseEndsAt = Math.max(fake.leaseEndsAt, until);
		clock.schedule(fake.leaseEndsAt - clock.now, () => {
			if (clock.now >= fake.leaseEndsAt) {
				for (const run of fake.active) {
					endRun(fake, run, 'ended');
				}
			}
		});
	}

	function startRun(
		fake: FakeExecutor,
		request: StartRequest,
	): Result<{clockMs: number}, CallFailure> {
		const {job, index, attempt, token, leaseUntilMs} = request;
		const key = `${job}/${index}`;
		if (token < fake.token) {
			return refuse('fenced', clock.now);
		}

		fake.token = token;
		if (attempt <= (fake.highest.get(key) ?? 0)) {
			return refuse('outdated', clock.now);
		}

		if (leaseUntilMs <= clock.now && fake.leaseEndsAt <= clock.now) {
			return refuse('lease-passed', clock.now);
		}

		const free = removeDemand(fake.executor.capacity, sumUsed(fake));
		if (fake.executor.isGuarded && !hasRoom(free, getDemand(job))) {
			return refuse('no-room', clock.now);
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

		return ok({clockMs: clock.now});
	}

	/** The caller gives up after its own limit, and what the call would have waited for. */
	async function loseAnswer({
		answerLimitMs,
		waitMs = 0,
	}: {
		answerLimitMs: number;
		waitMs?: number;
	}): Promise<Result<never, CallFailure>> {
		await clock.wait(answerLimitMs + waitMs);
		return err({code: 'unanswered', message: 'no answer'});
	}

	/** Carries a call out as its fate says, if the executor still lives as the one that was called. */
	async function carryOut<T>(
		call: FakeCall & {to: Executor},
		limits: {answerLimitMs: number; waitMs?: number},
		work: () => Result<T, CallFailure> | Promise<Result<T, CallFailure>>,
	): Promise<Result<T, CallFailure>> {
		const run = async () => refuseFormer(find(call.to), call.to) ?? work();
		const fate = decideFate(call);
		switch (fate.type) {
			case 'answered': {
				return run();
			}

			case 'lost': {
				return loseAnswer(limits);
			}

			case 'answer-lost': {
				void run();
				return loseAnswer(limits);
			}

			case 'late': {
				clock.schedule(fate.ms, () => {
					void run();
				});
				return loseAnswer(limits);
			}
		}
	}

	async function sendStart(executor: Executor, request: StartRequest) {
		const fake = find(executor);
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
	): Promise<Result<{clockMs: number}, CallFailure>> {
		const fake = find(executor);
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
	): Result<{clockMs: number}, CallFailure> {
		if (token < fake.token) {
			return refuse('fenced', clock.now);
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

		return ok({clockMs: clock.now});
	}

	async function renew(
		executor: Executor,
		request: LeaseRequest,
	): Promise<Result<LeaseReply, CallFailure>> {
		const fake = find(executor);
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
			return refuse('fenced', clock.now);
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
			await clock.wait(lookMs);
		}

		return isCut(fake, token) || fake.life !== life
			? loseAnswer(request)
			: ok({
					clockMs: clock.now,
					running: fake.active.map(({job, index, attempt}) => ({
						job,
						index,
						attempt,
					})),
					ended: [...fake.ended],
					hasMoreEnds: false,
				});
	}

	const control: ExecutorControl = {
		startTask: (executor, request) =>
			new ResultAsync(sendStart(executor, request)),
		stopTask: (executor, request) =>
			new ResultAsync(sendStop(executor, request)),
		renewLease: (executor, request) =>
			new ResultAsync(renew(executor, request)),
		forgetExecutor() {
			// Nothing is kept open.
		},
	};

	return {
		control,
		crash,
		/** All runs that executors have begun. */
		runs,
		fakes,
		executors: fakes.map(({executor}) => executor),
		setCapacity,
	};
}

function refuse(
	code: CallFailure['code'],
	clockMs: number,
): Result<never, CallFailure> {
	return err({code, message: code, clockMs});
}

/** How often each task was started after so many executors had crashed while it ran. */
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

/** Pairs of runs of one task that overlap. */
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

/** Starts that brought an executor which doesn't guard its capacity over all that it said within so many milliseconds before. */
export function findOverfull(
	{runs, fakes}: Pick<FakeExecutors, 'runs' | 'fakes'>,
	graceMs: number,
): string[] {
	return runs.flatMap(({job, index, executor, startedAt, used}) => {
		// Lives of an executor differ in what follows the dot; its room is the same.
		const [machine] = executor.split('.', 1);
		const fake = fakes.find(
			(one) => one.executor.id.split('.', 1)[0] === machine,
		)!;
		const first = fake.said.findLastIndex(({at}) => at <= startedAt - graceMs);
		const isHeld = fake.said
			.slice(first)
			.some(({at, capacity}) => at <= startedAt && hasRoom(capacity, used));
		return fake.executor.isGuarded || isHeld
			? []
			: [`${job}/${index} on ${executor} at ${startedAt}: ${used.cpu} in use`];
	});
}
