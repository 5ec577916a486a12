/**
The callers of a soak: jobs at all hosts over connections that stay open, sent again elsewhere when they are lost, some
left or cancelled early; bursts while the schedule says so.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import {Agent} from 'undici';
import {
	makeJobId,
	resendMs,
	submitJob,
	type JobOptions,
	type JobReply,
} from './caller.js';
import {listActive, type SoakFault} from './soak-schedule.js';
import {type SchedulingHostProcess} from './system.js';

/** Between two jobs, milliseconds: half of what the executors can do. */
const gapMs = 55;
/** A burst is twice what they can do. */
const burstGapMs = 14;
const usual = {mostTasks: 6, runMs: {least: 20, most: 500}, timeLeftMs: 2000};
/** Runs that outlast the time after which a lost job comes again: only these can meet their own second copy. */
const long = {
	mostTasks: 3,
	runMs: {least: 1500, most: 3000},
	timeLeftMs: 6000,
};
const mostTries = 3;
/** One of so many jobs is long; has a run of each task fail; is left early by its caller. */
const oneOf = {long: 15, fails: 15, leaves: 12};

/** One try to hand a job in; times on the test's clock, milliseconds. */
export type Attempt = JobReply & {host: string; sentAt: number};

export type SoakJob = {
	id: string;
	tasks: number;
	timeLeftMs: number;
	attempts: Attempt[];
	/** Its caller broke the connection off. */
	hasLeft: boolean;
};

type Callers = {
	hosts: readonly SchedulingHostProcess[];
	agents: ReadonlyMap<string, Agent>;
	drawInt: (least: number, most: number) => number;
};

/** Hands jobs in for the length of the run; resolves when all callers have what they will get. */
export async function runLoad(
	hosts: readonly SchedulingHostProcess[],
	{
		seed,
		durationMs,
		schedule,
	}: {seed: number; durationMs: number; schedule: readonly SoakFault[]},
): Promise<SoakJob[]> {
	const generator = xoroshiro128plus(seed + 1);
	const callers: Callers = {
		hosts,
		agents: new Map(hosts.map(({name}) => [name, new Agent({pipelining: 1})])),
		drawInt: (least, most) =>
			unsafeUniformIntDistribution(least, most, generator),
	};
	const jobs: Array<Promise<SoakJob>> = [];
	const begin = performance.now();
	let passedMs = 0;
	while (passedMs < durationMs) {
		jobs.push(submitDrawn(callers));
		const isBurst = listActive(schedule, passedMs, passedMs + 1).some(
			({kind}) => kind === 'burst',
		);
		await delay(isBurst ? burstGapMs : gapMs);
		passedMs = performance.now() - begin;
	}

	const ended = await Promise.all(jobs);
	await closeAgents(callers);
	return ended;
}

async function closeAgents({agents}: Callers): Promise<void> {
	await Promise.all([...agents.values()].map(async (agent) => agent.destroy()));
}

async function submitDrawn(callers: Callers): Promise<SoakJob> {
	const {hosts, drawInt} = callers;
	const first = drawInt(0, hosts.length - 1);
	const order = [...hosts.slice(first), ...hosts.slice(0, first)];
	const kind = drawInt(1, oneOf.long) === 1 ? long : usual;
	const {timeLeftMs} = kind;
	const isLeaving = drawInt(1, oneOf.leaves) === 1;
	const leavesAfterMs = drawInt(5, 400);
	const job: SoakJob = {
		id: makeJobId(),
		tasks: drawInt(1, kind.mostTasks),
		timeLeftMs,
		attempts: [],
		hasLeft: isLeaving,
	};
	const options: JobOptions = {
		id: job.id,
		count: job.tasks,
		ms: drawInt(kind.runMs.least, kind.runMs.most),
		failures: drawInt(1, oneOf.fails) === 1 ? 1 : 0,
		timeLeftMs,
	};
	for (const host of order.slice(0, isLeaving ? 1 : mostTries)) {
		const agent = callers.agents.get(host.name);
		const sentAt = performance.now();
		const reply = await submitJob(
			host,
			{...options, agent},
			isLeaving ? AbortSignal.timeout(leavesAfterMs) : undefined,
		);
		job.attempts.push({...reply, host: host.name, sentAt});
		if (!isLost(reply)) {
			break;
		}

		await delay(resendMs);
	}

	return job;
}

/** Callers send a job again after these; it may have run. */
function isLost({status}: JobReply): boolean {
	return status === 0 || status === 502 || status === 504;
}
