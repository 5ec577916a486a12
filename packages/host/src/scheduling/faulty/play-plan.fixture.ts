/**
Simulates a plan of jobs and faults, and reports which invariants were violated.
*/
import {
	type Executor,
	type ExecutorControl,
	type JobAnswer,
	type JobRequest,
} from '@gentianshift/scheduling';
import {
	countStartsAfterCrashes,
	createFakeExecutors,
	findOverfull,
	findOverlaps,
	VirtualClock,
	type CallFate,
	type FakeCall,
	type FakeExecutors,
} from '@gentianshift/scheduling/fixtures';
import {
	beginFault,
	type FaultySystem,
	type OrderRule,
	type ShrinkRule,
} from './begin-fault.fixture.js';
import {FaultyHost} from './faulty-host.fixture.js';
import {FaultyNetwork} from './faulty-network.fixture.js';
import {FaultyStore, type StoreMood} from './faulty-store.fixture.js';
import {
	dataCentres,
	executorCount,
	executorsOfFirst,
	hostCount,
	type FaultPlan,
	type PlannedFault,
	type PlannedJob,
} from './fault-plan.fixture.js';

const places = [
	{dataCentre: 'mieres', host: 'm1', clockAheadMs: 0},
	{dataCentre: 'mieres', host: 'm2', clockAheadMs: 40},
	{dataCentre: 'langreo', host: 'l1', clockAheadMs: 3},
	{dataCentre: 'langreo', host: 'l2', clockAheadMs: -20},
] as const;

/** A caller whose connection broke, or whose job was given up, sends the job again to another host after this long. */
const resendMs = 1300;
/** Likewise for faults whose callers send again at once: the delay until the copy is sent over a new connection. */
const resendAtOnceMs = 9;
/** Time from the start of the hosts until each group has a holder; jobs and faults start only then. */
const settleMs = 1500;
/** All callers must be answered within this time after the last fault has ended. */
const endMs = 9000;
/** Likewise after the last job has arrived. */
const endOfJobsMs = 6600;
const timeLeftMs = 4000;
const lookMs = 20;
const taskCpu = 14_000;
/** A reduced capacity must be respected after this long: 3000 ms for hosts to be connected again, and 1500 ms for one heartbeat of the executors. */
const roomGraceMs = 3000 + 1500;
/** The store record of a crashed executor expires after this long. */
const entryMs = 1500;
const usualBackMs = 2000;
/** A task under which `crashesToKnow` executors have crashed may be started `mostStartsAfter` more times at most. */
const crashesToKnow = 3;
const mostStartsAfter = 2;

type PlayedJob = PlannedJob & {
	id: string;
	answers: Array<JobAnswer['type']>;
	sends: number;
	/** The last copy was sent again at once after its connection broke. */
	isAtOnce: boolean;
};

/** The simulated system while a plan runs. */
class Play {
	readonly clock = new VirtualClock();
	readonly #taskMs = new Map<string, number>();
	readonly #taskCpu = new Map<string, number>();
	readonly #crashMs = new Map<string, number>();
	readonly #orderRules = new Set<OrderRule>();
	readonly #moods = new Map<FaultyHost, StoreMood>();
	readonly #executors: FakeExecutors;
	readonly #hosts: FaultyHost[] = [];
	readonly #system: FaultySystem;
	readonly #jobs: PlayedJob[] = [];

	constructor(
		private readonly options: {
			isGuarded: boolean;
			stopMs: number;
			backMs: number;
		},
		private readonly log: (line: string) => void,
	) {
		this.#executors = this.#createExecutors();
		this.#system = {
			clock: this.clock,
			hosts: this.#hosts,
			network: new FaultyNetwork(this.clock, this.#hosts),
			store: new FaultyStore(this.clock, this.#executors.executors),
			executors: this.#executors,
			moods: this.#moods,
			orderRules: this.#orderRules,
			shrinkRules: new Set<ShrinkRule>(),
			resend: (jobs, when) => {
				this.#resendAll(jobs, when === 'at-once' ? resendAtOnceMs : resendMs);
			},
		};
		for (const place of places) {
			this.#hosts.push(this.#createHost(place));
		}
	}

	async run({jobs, faults}: FaultPlan): Promise<string[]> {
		for (const host of this.#hosts) {
			host.start();
		}

		this.#system.network.connect();
		await this.clock.run(settleMs);
		for (const [i, job] of jobs.entries()) {
			const played = {
				...job,
				id: `job${i}`,
				answers: [],
				sends: 0,
				isAtOnce: false,
			};
			this.#jobs.push(played);
			this.#taskMs.set(played.id, job.runMs);
			this.#taskCpu.set(played.id, job.cpu ?? taskCpu);
			if (job.crashMs !== undefined) {
				this.#crashMs.set(played.id, job.crashMs);
			}

			this.clock.schedule(job.at, () => {
				this.#send(played);
			});
		}

		for (const fault of faults) {
			this.#schedule(fault);
		}

		const lastAt = Math.max(0, ...faults.map(({at, forMs}) => at + forMs));
		const lastJobAt = Math.max(0, ...jobs.map(({at}) => at));
		await this.clock.run(Math.max(lastAt + endMs, lastJobAt + endOfJobsMs));
		for (const host of this.#hosts) {
			host.kill();
		}

		return [...this.#checkPromises()];
	}

	*#checkPromises(): Generator<string> {
		const {runs} = this.#executors;
		yield* findOverlaps(runs).map(
			(pair) => `task ran twice at a time: ${pair}`,
		);
		yield* findOverfull(this.#executors, roomGraceMs).map(
			(start) => `start exceeded the executor's capacity: ${start}`,
		);
		for (const [task, starts] of countStartsAfterCrashes(runs, crashesToKnow)) {
			if (starts > mostStartsAfter) {
				yield `task started ${starts} times after ${crashesToKnow} crashes: ${task}`;
			}
		}

		for (const {id, tasks, answers, sends, crashMs} of this.#jobs) {
			if (crashMs === undefined && answers.includes('failed')) {
				yield `job failed although it crashes no executor: ${id}`;
			}

			const ofJob = runs.filter(({job}) => job === id);
			const refusals = answers.filter((answer) => answer === 'refused');
			// Refusals say that no task has run; a copy whose connection broke got no answer, and may have run.
			if (refusals.length === sends && ofJob.length > 0) {
				yield `job refused although a task of it ran: ${id}`;
			}

			const done = new Set(
				ofJob.filter(({outcome}) => outcome === 'done').map(({index}) => index),
			);
			if (answers.at(-1) === 'completed' && done.size < tasks) {
				yield `job completed although a task of it has not: ${id}`;
			}

			if (answers.length === 0) {
				yield `job without an answer: ${id}`;
			}
		}
	}

	#createExecutors(): FakeExecutors {
		const executors = createFakeExecutors(this.clock, {
			count: executorCount,
			taskMs: ({job}) => this.#taskMs.get(job) ?? 0,
			decideFate: (call) => this.#decideFate(call),
			lookMs,
			stopMs: this.options.stopMs,
			isGuarded: this.options.isGuarded,
			getDemand: (job) => this.#makeDemand(job),
			findCrashMs: ({job, index}) =>
				index === 0 ? this.#crashMs.get(job) : undefined,
			getBackMs: () => this.options.backMs,
			onCrash: (former, next) => {
				this.#replaceExecutor(former, next);
			},
		});
		for (const [i, fake] of executors.fakes.entries()) {
			fake.executor.dataCentre = dataCentres[i < executorsOfFirst ? 0 : 1]!;
		}

		return executors;
	}

	#makeDemand(job: string): JobRequest['demand'] {
		const cpu = this.#taskCpu.get(job) ?? taskCpu;
		return {cpu, memoryMb: 64, accelerators: 0};
	}

	#replaceExecutor(former: Executor, next: Executor): void {
		const {store} = this.#system;
		this.log(`${this.clock.now} executor ${former.id} crashes`);
		this.clock.schedule(entryMs, () => {
			store.setListed(former.id, false);
		});
		this.clock.schedule(this.options.backMs, () => {
			store.addExecutor(next);
		});
	}

	#decideFate({executor}: FakeCall): CallFate {
		for (const fault of this.#orderRules) {
			const [name] = executor.split('.', 1);
			if (name === `e${fault.executor + 1}`) {
				fault.seen += 1;
				if (fault.seen % fault.every === 0) {
					return fault.how === 'late'
						? {type: 'late', ms: fault.lateMs}
						: {type: fault.how};
				}
			}
		}

		return {type: 'answered'};
	}

	#createHost(place: (typeof places)[number]): FaultyHost {
		const view = this.#system.store.createView(
			() => this.#moods.get(host) ?? 'well',
		);
		const host: FaultyHost = new FaultyHost(place, {
			clock: this.clock,
			...view,
			control: this.#executors.control satisfies ExecutorControl,
			isGuarded: this.options.isGuarded,
			listOrder: () =>
				this.#hosts
					.filter(
						({dataCentre, isAlive}) =>
							dataCentre === place.dataCentre && isAlive,
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
					`${this.clock.now} ${place.host} ${message} ${JSON.stringify(fields)}`,
				);
			},
		});
		return host;
	}

	/** Sends a caller's job to its host, or to the next one that is alive; each copy that is sent again starts one host further. */
	#send(job: PlayedJob): void {
		const first = (job.host + job.sends) % hostCount;
		const order = [...this.#hosts.slice(first), ...this.#hosts];
		const host = order.find(({isAlive}) => isAlive);
		job.sends += 1;
		if (!host) {
			this.#resend(job);
			return;
		}

		this.log(`${this.clock.now} caller sends ${job.id} to ${host.key}`);
		host.submit(this.#makeRequest(job), (answer) => {
			this.log(`${this.clock.now} caller of ${job.id} gets ${answer.type}`);
			job.answers.push(answer.type);
			if (answer.type === 'given-up') {
				this.#resend(job);
			}
		});
	}

	#resend(job: PlayedJob, afterMs = resendMs): void {
		this.clock.schedule(afterMs, () => {
			job.isAtOnce = afterMs === resendAtOnceMs;
			this.#send(job);
		});
	}

	#resendAll(ids: readonly string[], afterMs: number): void {
		for (const job of this.#jobs) {
			if (ids.includes(job.id)) {
				this.#resend(job, afterMs);
			}
		}
	}

	#makeRequest({
		id,
		tasks,
		runMs,
		allowanceMs,
		isAtOnce,
		isOnNewConnection = false,
	}: PlayedJob): JobRequest {
		return {
			id,
			queue: {
				name: 'menu',
				host: 'kitchen.example',
				prefix: '/menu/',
				service: 'meals',
				priority: 0,
				maxAttempts: 3,
				timeoutMs: timeLeftMs,
				allowanceMs,
				slackFactor: 2,
			},
			spec: '',
			count: tasks,
			demand: this.#makeDemand(id),
			declaredMs: runMs,
			timeLeftMs,
			requestsBefore: isAtOnce || isOnNewConnection ? 0 : 1,
		};
	}

	#schedule(fault: PlannedFault): void {
		this.clock.schedule(fault.at, () => {
			this.log(`${this.clock.now} fault ${JSON.stringify(fault)}`);
			const end = beginFault(fault, this.#system);
			this.clock.schedule(fault.forMs, end);
		});
	}
}

/** Simulates the plan; returns a line for each violation of an invariant, none if all held. */
export async function playPlan(
	plan: FaultPlan,
	log: (line: string) => void = doNothing,
): Promise<string[]> {
	const {isUnguarded = false, stopMs = 0, backMs = usualBackMs} = plan;
	return new Play({isGuarded: !isUnguarded, stopMs, backMs}, log).run(plan);
}

function doNothing(): void {
	// Nobody reads the log of this simulation.
}
