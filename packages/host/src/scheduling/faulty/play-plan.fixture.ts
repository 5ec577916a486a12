/**
Plays a plan of jobs and faults, and tells which promises were broken.
*/
import {
	type ExecutorControl,
	type JobAnswer,
	type JobRequest,
} from '@gentianshift/scheduling';
import {
	createFakeExecutors,
	findOverlaps,
	VirtualClock,
	type CallFate,
	type FakeCall,
	type FakeExecutors,
} from '@gentianshift/scheduling/fixtures';
import {FaultyHost} from './faulty-host.fixture.js';
import {FaultyNetwork} from './faulty-network.fixture.js';
import {FaultyStore, type StoreMood} from './faulty-store.fixture.js';
import {
	executorCount,
	executorsOfFirst,
	hostCount,
	type FaultPlan,
	type PlannedFault,
	type PlannedJob,
} from './fault-plan.fixture.js';

const dataCentres = ['mieres', 'langreo'] as const;
const places = [
	{dataCentre: 'mieres', host: 'm1'},
	{dataCentre: 'mieres', host: 'm2'},
	{dataCentre: 'langreo', host: 'l1'},
	{dataCentre: 'langreo', host: 'l2'},
] as const;

/** A caller whose connection broke, or that was told so, sends its job again after this long, at another host. */
const resendMs = 1300;
/** Groups are held by then. */
const settleMs = 1500;
/** After the last fault has ended, all callers are answered within this time. */
const endMs = 9000;
const timeLeftMs = 4000;
const lookMs = 20;

type PlayedJob = PlannedJob & {
	id: string;
	answers: Array<JobAnswer['type']>;
	sends: number;
};

/** The system while a plan is played. */
class Play {
	readonly clock = new VirtualClock();
	readonly #taskMs = new Map<string, number>();
	/** What goes wrong with an executor's orders now; each rule counts the orders it has seen. */
	readonly #orderFaults = new Set<
		Extract<PlannedFault, {kind: 'orders'}> & {seen: number}
	>();

	readonly #moods = new Map<FaultyHost, StoreMood>();
	readonly #executors = this.#createExecutors();
	readonly #store: FaultyStore;
	readonly #hosts: FaultyHost[] = [];
	readonly #network: FaultyNetwork;
	readonly #jobs: PlayedJob[] = [];

	constructor(private readonly log: (line: string) => void) {
		this.#store = new FaultyStore(this.clock, this.#executors.executors);
		this.#network = new FaultyNetwork(this.clock, this.#hosts);
		for (const place of places) {
			this.#hosts.push(this.#createHost(place));
		}
	}

	async run({jobs, faults}: FaultPlan): Promise<string[]> {
		for (const host of this.#hosts) {
			host.start();
		}

		this.#network.connect();
		await this.clock.run(settleMs);
		for (const [i, job] of jobs.entries()) {
			const played = {...job, id: `job${i}`, answers: [], sends: 0};
			this.#jobs.push(played);
			this.#taskMs.set(played.id, job.runMs);
			this.clock.schedule(job.at, () => {
				this.#send(played);
			});
		}

		for (const fault of faults) {
			this.#schedule(fault);
		}

		const lastAt = Math.max(0, ...faults.map(({at, forMs}) => at + forMs));
		await this.clock.run(lastAt + endMs);
		for (const host of this.#hosts) {
			host.kill();
		}

		return [...this.#checkPromises()];
	}

	*#checkPromises(): Generator<string> {
		const {runs} = this.#executors;
		yield* findOverlaps(runs).map((pair) => `twice: ${pair}`);
		for (const {id, tasks, answers, sends} of this.#jobs) {
			const ofJob = runs.filter(({job}) => job === id);
			const refusals = answers.filter((answer) => answer === 'refused');
			// A copy whose connection broke may have run; of it nobody said that it did not.
			if (refusals.length === sends && ofJob.length > 0) {
				yield `untrue refusal: ${id} has run`;
			}

			const done = new Set(
				ofJob.filter(({outcome}) => outcome === 'done').map(({index}) => index),
			);
			if (answers.at(-1) === 'completed' && done.size < tasks) {
				yield `partial answer: ${id}`;
			}

			if (answers.length === 0) {
				yield `no answer: ${id}`;
			}
		}
	}

	#createExecutors(): FakeExecutors {
		const executors = createFakeExecutors(this.clock, {
			count: executorCount,
			taskMs: ({job}) => this.#taskMs.get(job) ?? 0,
			decideFate: (call) => this.#decideFate(call),
			lookMs,
		});
		for (const [i, fake] of executors.fakes.entries()) {
			fake.executor.dataCentre = dataCentres[i < executorsOfFirst ? 0 : 1]!;
		}

		return executors;
	}

	#decideFate({executor}: FakeCall): CallFate {
		for (const fault of this.#orderFaults) {
			if (executor === `e${fault.executor + 1}`) {
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
		const view = this.#store.createView(() => this.#moods.get(host) ?? 'well');
		const host: FaultyHost = new FaultyHost(place, {
			clock: this.clock,
			...view,
			control: this.#executors.control satisfies ExecutorControl,
			listOrder: () =>
				this.#hosts
					.filter(
						({dataCentre, isAlive}) =>
							dataCentre === place.dataCentre && isAlive,
					)
					.map(({key}) => key),
			peers: {
				listLinks: () => this.#network.listLinks(host),
				findLink: (key) => this.#network.findLink(host, key),
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

	/** A caller's job goes to its host, or to the next one that lives. */
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

	#resend(job: PlayedJob): void {
		this.clock.schedule(resendMs, () => {
			this.#send(job);
		});
	}

	#resendAll(ids: readonly string[]): void {
		for (const job of this.#jobs) {
			if (ids.includes(job.id)) {
				this.#resend(job);
			}
		}
	}

	#makeRequest({id, tasks, runMs, allowanceMs}: PlayedJob): JobRequest {
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
			demand: {cpu: 14_000, memoryMb: 64, accelerators: 0},
			declaredMs: runMs,
			timeLeftMs,
		};
	}

	#schedule(fault: PlannedFault): void {
		this.clock.schedule(fault.at, () => {
			this.log(`${this.clock.now} fault ${JSON.stringify(fault)}`);
			const end = this.#begin(fault);
			this.clock.schedule(fault.forMs, end);
		});
	}

	/** Begins a fault; gives what ends it. */
	#begin(fault: PlannedFault): () => void {
		switch (fault.kind) {
			case 'kill':
			case 'freeze':
			case 'plan-stop':
			case 'reset-callers': {
				return this.#disturbHost(fault, this.#hosts[fault.host]!);
			}

			case 'hand-over': {
				const holder = this.#hosts.find(
					({isHolder, dataCentre}) => isHolder && dataCentre === dataCentres[0],
				);
				holder?.planStop(true);
				return () => {
					holder?.planStop(false);
				};
			}

			case 'cut':
			case 'hold-up': {
				return this.#disturbLink(fault);
			}

			case 'store': {
				const host = this.#hosts[fault.host]!;
				this.#moods.set(host, fault.how);
				return () => {
					this.#moods.set(host, 'well');
				};
			}

			case 'unlist':
			case 'silence': {
				return this.#disturbExecutor(fault);
			}

			case 'orders': {
				const rule = {...fault, seen: 0};
				this.#orderFaults.add(rule);
				return () => {
					this.#orderFaults.delete(rule);
				};
			}
		}
	}

	#disturbHost(
		{
			kind,
			forMs,
		}: {kind: 'kill' | 'freeze' | 'plan-stop' | 'reset-callers'; forMs: number},
		host: FaultyHost,
	): () => void {
		switch (kind) {
			case 'kill': {
				this.#resendAll(host.kill());
				this.#network.closeAll(host);
				return () => {
					if (!host.isAlive) {
						host.start();
						this.#network.connect();
					}
				};
			}

			case 'freeze': {
				host.freeze(forMs);
				return doNothing;
			}

			case 'plan-stop': {
				host.planStop(true);
				return () => {
					host.planStop(false);
				};
			}

			case 'reset-callers': {
				this.#resendAll(host.resetCallers());
				return doNothing;
			}
		}
	}

	#disturbLink({
		kind,
		host,
		peer,
		forMs,
	}: Extract<PlannedFault, {kind: 'cut' | 'hold-up'}>): () => void {
		const from = this.#hosts[host]!;
		const to = this.#hosts[peer]!;
		if (from === to) {
			return doNothing;
		}

		if (kind === 'hold-up') {
			this.#network.holdUp(from, to, this.clock.now + forMs);
			return doNothing;
		}

		this.#network.cut(from, to, true);
		return () => {
			this.#network.cut(from, to, false);
		};
	}

	#disturbExecutor({
		kind,
		executor,
	}: Extract<PlannedFault, {kind: 'unlist' | 'silence'}>): () => void {
		const fake = this.#executors.fakes[executor]!;
		const {id} = fake.executor;
		if (kind === 'unlist') {
			this.#store.setListed(id, false);
			return () => {
				this.#store.setListed(id, true);
			};
		}

		fake.cutFrom = 'all';
		return () => {
			fake.cutFrom = new Set();
		};
	}
}

/** Plays the plan; gives the promises that were broken. */
export async function playPlan(
	plan: FaultPlan,
	log: (line: string) => void = doNothing,
): Promise<string[]> {
	return new Play(log).run(plan);
}

function doNothing(): void {
	// Not of interest here.
}
