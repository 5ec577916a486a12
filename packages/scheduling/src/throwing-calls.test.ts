/**
Calls to one executor that throw, or whose answers can't be handled, beside other executors of the group.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ResultAsync} from 'neverthrow';
import {createBackground} from './background.js';
import {type ExecutorControl} from './executor-control.js';
import {type Executor} from './executor.js';
import {createFakeExecutors} from './fake-executors.fixture.js';
import {
	createEntry,
	createScheduler,
	makePart,
	runFor,
} from './group-scheduler.fixture.js';
import {VirtualClock} from './virtual-clock.fixture.js';

type Fault = 'throws' | 'rejects' | 'answers-nonsense';

/** A group of two executors; calls to the first one end as `fault` says while it is set. */
async function openFaulty() {
	const clock = new VirtualClock();
	const executors = createFakeExecutors(clock, {count: 2, taskMs: 20});
	const [first] = executors.executors;
	const state: {fault?: Fault} = {};
	const counts = new Map<string, number>();
	const call = <T, E>(
		{id}: Executor,
		make: () => ResultAsync<T, E>,
	): ResultAsync<T, E> => {
		const fault = id === first!.id ? state.fault : undefined;
		switch (fault) {
			case 'throws': {
				throw new TypeError('Invalid URL');
			}

			case 'rejects': {
				return new ResultAsync(Promise.reject(new Error('broken pool')));
			}

			case 'answers-nonsense': {
				const nonsense: unknown = {clockMs: clock.now};
				return make().map(() => nonsense as T);
			}

			case undefined: {
				return make();
			}
		}
	};

	const {control} = executors;
	const faultyControl: ExecutorControl = {
		startTask: (executor, request) =>
			call(executor, () => control.startTask(executor, request)),
		stopTask: (executor, request) =>
			call(executor, () => control.stopTask(executor, request)),
		renewLease: (executor, request) =>
			call(executor, () => control.renewLease(executor, request)),
		forgetExecutor: control.forgetExecutor,
	};
	const open = async () => {
		const scheduler = createScheduler(
			clock,
			{...executors, control: faultyControl},
			1,
			{
				background: createBackground({
					now: () => clock.now,
					wait: clock.wait,
					log: () => undefined,
					onException({work}) {
						counts.set(work, (counts.get(work) ?? 0) + 1);
					},
				}),
			},
		);
		await clock.run(200);
		return scheduler;
	};

	return {clock, executors, first: first!, state, counts, open};
}

const faults: Fault[] = ['throws', 'rejects', 'answers-nonsense'];
for (const fault of faults) {
	// Guards against an exception in one executor's session: it ended the host, with all other executors and callers.
	test(`an executor whose call ${fault} is not used, the others are, and it is used again afterwards`, async () => {
		const {clock, executors, first, state, counts, open} = await openFaulty();
		state.fault = fault;
		const scheduler = await open();
		const entry = createEntry();
		const claims: number[] = [];
		const submit = async (jobs: number) => {
			for (let i = 0; i < jobs; i += 1) {
				const claim = claims.length + 1;
				claims.push(claim);
				scheduler.receivePart(
					entry,
					makePart(clock, {job: `job${claim}`, claim, estimateMs: 20}),
				);
				await runFor(clock, 50, [[scheduler, entry, claims]]);
			}
		};

		await submit(5);
		assert.equal(executors.runs.length, 5);
		assert.ok(executors.runs.every(({executor}) => executor !== first.id));
		assert.ok([...counts.values()].some((count) => count > 0));
		state.fault = undefined;
		await runFor(clock, 6000, [[scheduler, entry, claims]]);
		assert.equal(scheduler.countExecutors().open, 2);
	});
}

// Guards against a task that is never started again, as the exception left its run in the book for good.
test('a task whose start throws is started elsewhere', async () => {
	const {clock, executors, first, state, open} = await openFaulty();
	const scheduler = await open();
	const entry = createEntry();
	state.fault = 'throws';
	const tasks: Array<[number, number, number]> = [0, 1, 2, 3].map((index) => [
		index,
		1,
		1,
	]);
	scheduler.receivePart(
		entry,
		makePart(clock, {tasks, remaining: 4, estimateMs: 20}),
	);
	await runFor(clock, 3000, [[scheduler, entry, [1]]]);
	const done = executors.runs.filter(({outcome}) => outcome === 'done');
	assert.equal(done.length, 4);
	assert.ok(done.every(({executor}) => executor !== first.id));
});
