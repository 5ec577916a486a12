/**
The index of runs that an executor set keeps, compared with its sessions.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDraw, type Draw} from '@gentianshift/standins';
import {createStrictBackground} from './background.fixture.js';
import {createExecutorSet, type ExecutorSet} from './executor-set.js';
import {
	createFakeExecutors,
	type CallOutcome,
} from './fake-executors.fixture.js';
import {noDemand} from './free-capacity.js';
import {createRunIndex} from './run-index.js';
import {formatTaskKey, type Run} from './run.js';
import {VirtualClock} from './virtual-clock.fixture.js';

const jobs = ['job1', 'job2', 'job3'];
const indexes = [0, 1, 2];
const demand = {...noDemand, cpu: 14_000};

/** Draws the fate of a call: one in five is lost, answered in vain or carried out late. */
function drawOutcome(draw: Draw): CallOutcome {
	return draw.drawUniform() < 0.8
		? {type: 'answered'}
		: draw.drawOne<CallOutcome>([
				{type: 'lost'},
				{type: 'answer-lost'},
				{type: 'late', ms: 300},
			]);
}

/** With `draw`, calls are lost, executors crash and run times differ at random. */
function openSet(draw?: Draw) {
	const clock = new VirtualClock();
	const executors = createFakeExecutors(clock, {
		count: 4,
		taskMs: () => draw?.drawExponential(80) ?? 80,
		decideOutcome: () => (draw ? drawOutcome(draw) : {type: 'answered'}),
		findCrashMs: () => (draw && draw.drawUniform() < 0.05 ? 30 : undefined),
		getRestartMs: () => 200,
	});

	function openHolder(token: number): ExecutorSet {
		const set = createExecutorSet({
			now: () => clock.now,
			wait: clock.wait,
			background: createStrictBackground(),
			control: executors.control,
			getToken: () => token,
			mayHaveForeignStarts: () => false,
			getLeaseCap: () => Infinity,
			onRunEnd: doNothing,
			onCrash: doNothing,
			onSilence: doNothing,
			onCleared: doNothing,
			onChange: doNothing,
			onFenced: doNothing,
			isHeldElsewhere: () => false,
			log: doNothing,
		});
		set.setListed(
			executors.fakes.map(({executor}) => executor),
			[],
		);
		return set;
	}

	return {clock, executors, openHolder};
}

/** Looks a run up in all sessions, in the order in which they were opened. */
function scanForRun(
	{sessions}: ExecutorSet,
	task: {job: string; index: number},
): Run | undefined {
	for (const {runs} of sessions.values()) {
		const run = runs.get(formatTaskKey(task));
		if (run) {
			return run;
		}
	}

	return undefined;
}

function assertMatchesSessions(set: ExecutorSet): void {
	for (const job of jobs) {
		const found = indexes.map((index) => scanForRun(set, {job, index}));
		for (const index of indexes) {
			assert.equal(set.findRun({job, index})?.run, found[index]);
		}

		assert.equal(
			set.hasRunOfJob(job),
			found.some((run) => run !== undefined),
		);
	}

	for (const {runs, hasUnclaimedRuns} of set.sessions.values()) {
		const isAnyUnclaimed = [...runs.values()].some(
			({isUnclaimed}) => isUnclaimed,
		);
		assert.ok(hasUnclaimedRuns || !isAnyUnclaimed);
	}

	assert.deepEqual(
		set.listUnclaimed().map(({id}) => id),
		[...set.sessions.values()]
			.filter(({hasUnclaimedRuns}) => hasUnclaimedRuns)
			.map(({id}) => id),
	);
}

function actAtRandom(draw: Draw, set: ExecutorSet, attempt: number): void {
	const task = {job: draw.drawOne(jobs), index: draw.drawOne(indexes)};
	const session = draw.drawOne([...set.sessions.values()]);
	const known = set.findRun(task);
	if (known?.run.isUnclaimed && draw.drawUniform() < 0.5) {
		known.session.claimRun({...task, attempt}, demand);
	} else if (known) {
		known.session.stop(known.run, Infinity);
	} else if (session.isOpen) {
		session.start({...task, attempt}, {spec: '', demand, estimateMs: 80});
	}
}

// The index lacks a run that goes on, or names one that is over: its task is started a second time, or the job is never
// confirmed as stopped. Runs come and go by starts, stops, lost and late calls, crashes, and a change of the holder.
for (const seed of [1, 2, 3, 4, 5, 6]) {
	test(`runs that are looked up are those of the sessions (seed ${seed})`, async () => {
		const draw = createDraw(seed);
		const {clock, executors, openHolder} = openSet(draw);
		let set = openHolder(1);
		let unclaimedCount = 0;
		let runCount = 0;
		for (let step = 1; step <= 600; step += 1) {
			await clock.run(draw.drawExponential(8));
			if (step % 150 === 0) {
				set.closeAll();
				set = openHolder(step);
			} else if (step % 40 === 0) {
				const left = executors.fakes.filter(() => draw.drawUniform() < 0.9);
				set.setListed(
					left.map(({executor}) => executor),
					[],
				);
				set.closeUnlisted(clock.now);
			}

			assertMatchesSessions(set);
			if (set.sessions.size > 0) {
				actAtRandom(draw, set, step);
			}

			assertMatchesSessions(set);
			for (const {hasUnclaimedRuns, runs} of set.sessions.values()) {
				unclaimedCount += Number(hasUnclaimedRuns);
				runCount += runs.size;
			}
		}

		assert.ok(runCount > 500, `${runCount} runs were compared`);
		assert.ok(unclaimedCount > 0, 'runs of an earlier holder were found');
	});
}

// After a takeover two executors can list a run of one task. Were the run found on another executor than before, the
// other one of the two would be stopped first.
test('of two runs of a task, that of the session opened first is found', async () => {
	const {clock, executors, openHolder} = openSet();
	const set = openHolder(1);
	await clock.run(10);
	const [first, second] = executors.executors.map(({id}) =>
		set.sessions.get(id)!,
	);
	const task = {job: 'job1', index: 0, attempt: 1};
	for (const session of [second, first]) {
		session!.start(task, {spec: '', demand, estimateMs: 80});
	}

	assert.equal(set.findRun(task)?.session, first);
});

// A job's first run on an executor ends while its second one goes on there.
test('a session is named until the last of the job’s runs there is removed', () => {
	const index = createRunIndex<string>();
	index.add('job1', 'e1');
	index.add('job1', 'e1');
	index.add('job1', 'e2');
	index.remove('job1', 'e1');
	assert.deepEqual([...index.listSessions('job1')], ['e1', 'e2']);
	index.remove('job1', 'e1');
	index.remove('job1', 'e2');
	assert.deepEqual([...index.listSessions('job1')], []);
});

function doNothing(): void {
	// Not needed by these tests.
}
