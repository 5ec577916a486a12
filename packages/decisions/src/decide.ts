/**
The steps of one decision: admit or refuse jobs, lend slots, recall slots, and list shortages.
*/
import {judgeAdmission, type AdmissionView} from './admission.js';
import {recordProbe, type ExecutorState} from './executor-health.js';
import {countWanted, type JobState, type LentSlot} from './job-state.js';
import {type KeeperState} from './keeper-state.js';
import {type Grant, type Refusal, type Shortage} from './lending.js';
import {chooseRecalls, chooseUnwanted} from './recall.js';

/** How often waiting jobs are checked for deadlines that they can no longer meet. */
const sweepIntervalMs = 50;

/** A job becomes urgent when its time left is below this many times what it needs with its team's share. */
const urgentTimeFactor = 3;

/** `retryAfterMs` of a job that is refused because its time ran out while it waited. */
const missedDeadlineRetryMs = 1000;

/**
How often recalls are chosen, besides whenever a job is admitted or the executors change. Choosing
iterates over all lent slots. At thousands of decisions a second, doing so in each would cost more than
everything else, and a recalled slot is returned only some milliseconds later anyway.
*/
const recallIntervalMs = 5;

/** Maximum number of shortages in one decision; the others follow when these are settled. */
const maxShortages = 64;

/** Admits or refuses the jobs that arrived since the last decision, best rank first. */
export function judgeNewJobs(state: KeeperState, now: number): Refusal[] {
	const refusals: Refusal[] = [];
	const newJobs = state.jobs.takeNewJobs();
	const capacity = newJobs.length === 0 ? 0 : state.capacity;
	for (const job of newJobs) {
		const reason = judgeAdmission(
			job,
			viewAdmission(state, job, {capacity, now}),
		);
		if (reason) {
			refusals.push(refuse(state, job, reason));
		} else {
			state.jobs.admit(job);
			state.isRecallDue = true;
		}
	}

	return refusals;
}

function viewAdmission(
	state: KeeperState,
	job: JobState,
	{capacity, now}: {capacity: number; now: number},
): AdmissionView {
	const {jobs, pool, slots, maxWaitingTasks} = state;
	const {service} = job.demand;
	return {
		executorCount: pool.activeCount,
		capacity,
		inUse: slots.size,
		waitingWorkMs: jobs.waitingWorkMs,
		waitingTaskCount: jobs.waitingTasks,
		maxWaitingTasks,
		teamSlots: jobs.teams.estimateShare(
			job.team,
			capacity,
			pool.countFree(now),
		),
		taskMs: state.viewJob(job.demand, now).taskMs,
		p99Ms: state.estimates.get(service)?.p99Ms ?? job.demand.taskMs,
		isLearned: state.isLearned(service, now),
		now,
	};
}

function refuse(
	state: KeeperState,
	job: JobState,
	reason: Pick<Refusal, 'code' | 'retryAfterMs'>,
): Refusal {
	state.jobs.remove(job);
	return {owner: job.owner, job: job.job, ...reason};
}

/**
Refuses waiting jobs that have no slot yet and can no longer meet their deadline. This happens when
capacity drops after they were admitted; they would take slots only to fail.
*/
export function refuseUnreachable(state: KeeperState, now: number): Refusal[] {
	if (now - state.sweptAt < sweepIntervalMs) {
		return [];
	}

	state.sweptAt = now;
	state.jobs.teams.dropIdle();
	state.jobs.teams.measureUse();
	markUrgentJobs(state, now);
	const unreachable = [...state.jobs.listWaiting()].filter((job) =>
		isDeadlineUnreachable(state, job, now),
	);
	return unreachable.map((job) =>
		refuse(state, job, {code: 'deadline', retryAfterMs: missedDeadlineRetryMs}),
	);
}

/**
Marks jobs as urgent that will miss their deadline unless they are served before others from now on.
Under overload and ordered by least remaining work alone, an admitted long job would lose its slots to
each shorter job that arrives, and miss its deadline with half of its tasks done for nothing.
*/
function markUrgentJobs(state: KeeperState, now: number): void {
	const {jobs, pool} = state;
	const capacity = Math.max(1, pool.capacity);
	const free = pool.countFree(now);
	const urgent = [...jobs.listWaiting()].filter((job) => {
		const tailMs = state.estimates.get(job.demand.service)?.p99Ms ?? 0;
		const share = jobs.teams.estimateShare(job.team, capacity, free);
		const aloneMs = (urgentTimeFactor * job.workMs) / share;
		const isPossible = now + job.workMs / capacity < job.deadlineAt;
		return (
			!job.isUrgent && isPossible && now + aloneMs + tailMs > job.deadlineAt
		);
	});
	for (const job of urgent) {
		jobs.markUrgent(job);
	}
}

function isDeadlineUnreachable(
	state: KeeperState,
	job: JobState,
	now: number,
): boolean {
	const hasStarted = job.granted > 0 || job.requestedElsewhere > 0;
	const taskMs = state.isLearned(job.demand.service, now)
		? state.viewJob(job.demand, now).taskMs
		: 0;
	return !hasStarted && now + taskMs > job.deadlineAt;
}

/** Lends free slots one at a time, each to the job that `TeamTable` picks at that moment. */
export function grantSlots(state: KeeperState, now: number): Grant[] {
	const grants: Grant[] = [];
	const capacity = Math.max(1, state.pool.capacity);
	for (;;) {
		const job = state.jobs.teams.pickNextJob(capacity);
		const executor = job && state.pool.pick(now);
		if (!executor) {
			return grants;
		}

		grants.push(lendSlot(state, job, executor, now));
		job.granted += 1;
		job.grantedAt = now;
		state.jobs.updateQueued(job);
	}
}

export function lendSlot(
	state: KeeperState,
	job: JobState,
	executor: ExecutorState,
	now: number,
): Grant {
	if (executor.isEjected) {
		recordProbe(executor, now);
	}

	const {owner, job: jobNumber, team} = job;
	const {slot} = state.slots.lend({
		owner,
		jobNumber,
		lentAt: now,
		job,
		team,
		service: job.demand.service,
		executor,
	});
	return {owner, job: jobNumber, executor: executor.name, slot};
}

/** Recalls slots of leaving or ejected executors, and slots that better-ranked jobs wait for. */
export function recallSlots(state: KeeperState, now: number): LentSlot[] {
	if (!state.isRecallDue && now - state.recalledAt < recallIntervalMs) {
		return [];
	}

	state.isRecallDue = false;
	state.recalledAt = now;
	const {jobs, slots, pool} = state;
	const markRecalled = (lent: LentSlot): void => {
		slots.markRecalled(lent);
	};

	const unwanted = chooseUnwanted(slots.listAll(), now);
	for (const lent of unwanted) {
		markRecalled(lent);
	}

	const wanted = chooseRecalls({
		teams: jobs.teams.listActive(),
		slots: slots.listAll(),
		slotsPerWeight: pool.capacity / jobs.teams.totalWeight,
		outstanding: slots.recalledCount,
		markRecalled,
	});
	return [...unwanted, ...wanted];
}

/** Lists the waiting jobs that other data centres may serve; empty if none has free slots. */
export function listShortages(state: KeeperState): Shortage[] {
	if (state.remoteFree === 0) {
		return [];
	}

	const shortages: Shortage[] = [];
	for (const job of state.jobs.listWaiting()) {
		if (shortages.length === maxShortages) {
			break;
		}

		if (job.team.inUse >= job.team.quota) {
			continue;
		}

		shortages.push({owner: job.owner, job: job.job, count: countWanted(job)});
	}

	return shortages;
}
