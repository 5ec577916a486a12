/**
Measures the work that waits and runs at a scheduler, and decides whether another job would end too late there.
*/
import {type GroupState} from '@gentianshift/protocol';
import {type GroupJob} from './group-job.js';
import {estimateWaitMs, longestTaskFactor} from './place-job.js';
import {compareJobs, isLate} from './rank-jobs.js';

/** Number of priorities that the load distinguishes; lower priorities count as the last of them. */
const priorityCount = 4;

export type GroupLoad = Pick<GroupState, 'backlog' | 'lateBacklog' | 'running'>;

/** By priority: waiting work (thousandths of a core times milliseconds) and running demand (thousandths of a core). */
export function measureLoad(jobs: Iterable<GroupJob>, now: number): GroupLoad {
	const backlog = Array.from({length: priorityCount}, () => 0);
	const lateBacklog = Array.from({length: priorityCount}, () => 0);
	const running = Array.from({length: priorityCount}, () => 0);
	for (const job of jobs) {
		if (job.isDropped) {
			continue;
		}

		const {priority, demand, estimateMs, taskCounts} = job;
		const waiting = isLate(job, now) ? lateBacklog : backlog;

		const level = Math.min(priority, priorityCount - 1);
		waiting[level]! += taskCounts.waiting * estimateMs * demand.cpu;
		running[level]! += taskCounts.started * demand.cpu;
	}

	return {backlog, lateBacklog, running};
}

/**
Whether a job of this scheduler that has to wait would end later than `limitMs` from now. The estimate counts the jobs that rank before
it, those of equal rank that came earlier, and its own tasks.
*/
export function isTooLate(
	job: GroupJob,
	jobs: Iterable<GroupJob>,
	{limitMs, now, capacity}: {limitMs: number; now: number; capacity: number},
): boolean {
	const all = [...jobs];
	const ahead = all.filter((other) => compareJobs(other, job, now) <= 0);
	const {running} = measureLoad(all, now);
	const load = {...measureLoad(ahead, now), running, capacity};
	// `ahead` was selected by rank and may include late jobs; `isLate: true` makes the estimate count them all.
	const waitMs = estimateWaitMs(load, {...job, isLate: true}, 0);
	return waitMs + longestTaskFactor * job.estimateMs > limitMs;
}
