/**
What the decisions of a keeper cost, by executors, waiting jobs, teams and the size of the jobs.
*/
import {
	createLender,
	type Demand,
	type Grant,
	type Lender,
} from '@gentianshift/decisions';
import {
	measureCpu,
	measureMemory,
	measureSeries,
	type Series,
} from './slope-series.js';

type Size = {executors: number; jobs: number; teams: number; tasks: number};

/** About a keeper's share at the size of today, and one size is varied at a time. */
const usual: Size = {executors: 16, jobs: 50, teams: 10, tasks: 100};

const slotsEach = 8;
const taskMs = 100;
const steps = 3000;

/** A lender whose slots are all lent, with jobs waiting and more coming as others end. */
class BusyLender {
	readonly #lender: Lender;
	readonly #size: Size;
	readonly #lent: Grant[] = [];
	readonly #left = new Map<number, number>();
	#now = 0;
	#job = 0;

	constructor(size: Size) {
		this.#size = size;
		this.#lender = createLender({queueTasks: 10_000_000});
		this.#lender.setRemoteFree(0);
		const executors = Array.from({length: size.executors}, (_, i) => ({
			name: `executor-${i}`,
			slots: slotsEach,
			isLeaving: false,
		}));
		this.#lender.setExecutors(executors, 0);
		for (let i = 0; i < size.jobs; i += 1) {
			this.#submit();
		}

		this.#decide();
	}

	/** One task ends, its slot comes back, the next one is lent. */
	runStep(): void {
		this.#now += taskMs / (this.#size.executors * slotsEach);
		const grant = this.#lent.shift();
		if (grant) {
			const outcome = {result: 'done' as const, runMs: taskMs};
			this.#lender.release(grant.slot, outcome, this.#now);
			this.#finishTask(grant.job);
		}

		this.#decide();
	}

	#finishTask(job: number): void {
		const left = (this.#left.get(job) ?? 1) - 1;
		if (left > 0) {
			this.#left.set(job, left);
			return;
		}

		this.#left.delete(job);
		this.#lender.withdraw('owner', job);
		this.#submit();
	}

	#submit(): void {
		this.#job += 1;
		this.#left.set(this.#job, this.#size.tasks);
		this.#lender.updateDemand(makeDemand(this.#job, this.#size), this.#now);
	}

	#decide(): void {
		const {grants} = this.#lender.decide(this.#now);
		this.#lent.push(...grants);
	}
}

function makeDemand(job: number, {tasks, teams}: Size): Demand {
	return {
		owner: 'owner',
		job,
		service: 'meals',
		team: `team-${job % teams}`,
		remaining: tasks,
		asked: tasks,
		taskMs,
		deadlineInMs: 3_600_000,
		waitedMs: 0,
	};
}

function measureStep(size: Partial<Size>): number {
	const lender = new BusyLender({...usual, ...size});
	return measureCpu(steps, () => {
		lender.runStep();
	});
}

export async function measureLender(): Promise<Series[]> {
	const name = 'keeper: processor us a slot lent';
	return [
		await measureSeries(
			{name, by: 'executors of 8 slots', sizes: [16, 32, 64, 128]},
			(executors) => measureStep({executors}),
		),
		await measureSeries(
			{name, by: 'waiting jobs', sizes: [50, 100, 200, 400]},
			(jobs) => measureStep({jobs}),
		),
		await measureSeries(
			{name, by: 'teams with work', sizes: [10, 50, 200, 800]},
			(teams) => measureStep({teams, jobs: 2 * teams}),
		),
		await measureSeries(
			{name, by: 'tasks a job', sizes: [100, 400, 1700]},
			(tasks) => measureStep({tasks}),
		),
		await measureSeries(
			{
				name: 'keeper: memory of all jobs, bytes',
				by: 'jobs',
				sizes: [1000, 2000, 4000, 8000],
			},
			(jobs) =>
				measureMemory(1, () => new BusyLender({...usual, tasks: 10, jobs})),
		),
	];
}
