/**
The number of a job's tasks by state, which is kept with each change.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDraw} from '@gentianshift/standins';
import {
	addTasks,
	createGroupJob,
	hasWaiting,
	listWaiting,
	setTaskState,
	type GroupJob,
	type TaskState,
} from './group-job.js';
import {createEntry, makePart} from './group-scheduler.fixture.js';
import {VirtualClock} from './virtual-clock.fixture.js';

const states: readonly TaskState[] = ['waiting', 'started', 'over'];

function countInState({tasks}: GroupJob, wanted: TaskState): number {
	return [...tasks.values()].filter(({state}) => state === wanted).length;
}

// A count is wrong: tasks that wait are never started, as their job seems to have none, or the job is removed while one
// of its tasks runs. Tasks change their states in any order, and parts bring new placements of tasks that are over.
for (const seed of [1, 2, 3]) {
	test(`the tasks of a job are counted by state (seed ${seed})`, () => {
		const draw = createDraw(seed);
		const clock = new VirtualClock();
		const job = createGroupJob(makePart(clock), createEntry(), 0);
		for (let placement = 1; placement <= 500; placement += 1) {
			const index = draw.drawOne([0, 1, 2, 3, 4, 5]);
			const task = job.tasks.get(index);
			if (!task || draw.drawUniform() < 0.3) {
				addTasks(job, makePart(clock, {tasks: [[index, 1, placement]]}));
			} else {
				setTaskState(job, task, draw.drawOne(states));
			}

			assert.deepEqual(job.taskCounts, {
				waiting: countInState(job, 'waiting'),
				started: countInState(job, 'started'),
			});
			assert.equal(hasWaiting(job), countInState(job, 'waiting') > 0);
			assert.equal(listWaiting(job).length, job.taskCounts.waiting);
		}
	});
}
