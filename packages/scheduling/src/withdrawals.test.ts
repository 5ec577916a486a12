/**
Tests of withdrawals: an entry takes back tasks that no executor has seen, so that its caller learns in time, and truly, that nothing
has run.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Drop, type Ends, type Part} from '@gentianshift/protocol';
import {createCrashRecords} from './crash-records.js';
import {type JobAnswer, type JobRequest} from './entry-job.js';
import {EntryJobs} from './entry-jobs.js';
import {createGroupDirectory} from './group-directory.js';
import {
	createEntry,
	listOutcomes,
	makePart,
	makeTasks,
	openScheduler,
	runFor,
} from './group-scheduler.fixture.js';
import {makeState} from './group-state.fixture.js';
import {type HolderMessage} from './holder-contacts.js';
import {createFakePauses} from './pause-watch.fixture.js';
import {createRunTimes} from './run-times.js';
import {stateStaleMs} from './timing.js';
import {type WithdrawalOutcome} from './withdrawals.js';

/** Estimated run time of one task. */
const estimateMs = 100;
/** With this time left for the caller, an answer is of use for three times the objective of 1.6 * 100 + 60 ms. */
const usefulMs = 660;
const callerTimeoutMs = 3000;
const updateIntervalMs = 50;
const withdrawalLimitMs = 150;

function makeRequest(request: Partial<JobRequest> = {}): JobRequest {
	return {
		id: 'job1',
		queue: {
			name: 'menu',
			host: 'kitchen.example',
			prefix: '/menu/',
			service: 'meals',
			priority: 0,
			maxAttempts: 3,
			timeoutMs: 1500,
			allowanceMs: 60,
			slackFactor: 1.6,
		},
		spec: '',
		count: 1,
		demand: {cpu: 14_000, memoryMb: 64, accelerators: 0},
		declaredMs: estimateMs,
		timeLeftMs: callerTimeoutMs,
		requestsBefore: 1,
		...request,
	};
}

/** An entry with the groups `mieres` and `langreo`, whose holders are played by the test. */
function createWaitingEntry() {
	const clock = {now: 1000};
	const sent: Array<{holder: string; message: HolderMessage}> = [];
	const unlinked = new Set<string>();
	const answers: JobAnswer[] = [];
	const outcomes: WithdrawalOutcome[] = [];
	const groups = createGroupDirectory();
	const entry = new EntryJobs({
		self: 'mieres_m9.p1',
		peers: {listHosts: () => [], isLinked: () => false, send: () => false},
		home: 'mieres',
		now: () => clock.now,
		readWallClock: () => clock.now,
		random: () => 0,
		groups,
		runTimes: createRunTimes(),
		crashes: createCrashRecords(),
		cancelledJobs: {findAge: () => undefined},
		pauses: createFakePauses().pauses,
		send(holder, message) {
			sent.push({holder, message});
			return !unlinked.has(holder);
		},
		log() {
			// These tests check no log lines.
		},
		onAnswer(_job, answer) {
			answers.push(answer);
		},
		onWithdrawal(outcome) {
			outcomes.push(outcome);
		},
	});
	const sendStates = () => {
		groups.update('mieres_m1', makeState('mieres'), clock.now);
		groups.update('langreo_l1', makeState('langreo'), clock.now);
	};

	return {
		clock,
		sent,
		unlinked,
		answers,
		outcomes,
		groups,
		entry,
		sendStates,
		/** Passes time in steps, as a host does; the holders' states keep arriving. */
		wait(ms: number) {
			for (let passed = 0; passed < ms; passed += updateIntervalMs) {
				clock.now += updateIntervalMs;
				sendStates();
				entry.update();
			}
		},
		listWithdrawals: (holder: string) =>
			sent.flatMap(({holder: to, message}) =>
				to === holder && message.t === 'drop' && message.withdrawal
					? message.withdrawal
					: [],
			),
		listParts: (holder: string) =>
			sent.flatMap(({holder: to, message}) =>
				to === holder && message.t === 'part' ? message : [],
			),
	};
}

/** What a holder sends that returns these tasks. */
function makeReturn(tasks: Part['tasks'], message: Partial<Ends> = {}): Ends {
	return {
		t: 'ends',
		job: 'job1',
		token: 1,
		claim: 1,
		isStarted: false,
		ends: tasks.map(([index, , placement]) => ({
			index,
			outcome: 'returned',
			attempt: 0,
			placement,
		})),
		reason: 'hopeless',
		...message,
	};
}

/** Submits a job and passes time until the entry has withdrawn its tasks. */
function submitAndWithdraw(request: Partial<JobRequest> = {}) {
	const system = createWaitingEntry();
	system.sendStates();
	system.entry.submit(makeRequest(request), () => undefined);
	system.wait(usefulMs - estimateMs - 60);
	assert.equal(system.listWithdrawals('mieres_m1').length, 0);
	system.wait(updateIntervalMs);
	assert.equal(system.listWithdrawals('mieres_m1').length, 1);
	assert.deepEqual(system.answers, []);
	return system;
}

// A holder is late, and the job waits there. Its caller used to learn at its deadline that the job may have run, although no executor
// had seen it.
test('a job that waits in vain is refused once its tasks were returned', () => {
	const {entry, answers, outcomes, listWithdrawals} = submitAndWithdraw();
	const [withdrawal] = listWithdrawals('mieres_m1');
	assert.deepEqual(withdrawal, {token: 1, claim: 1, tasks: [[0, 1, 1]]});
	entry.receiveEnds('mieres_m1', makeReturn(withdrawal.tasks));
	assert.deepEqual(
		answers.map(({type}) => type),
		['refused'],
	);
	assert.deepEqual(outcomes, ['returned']);
});

// The holder starts the task while the withdrawal is on its way. The run must not be wasted: the job goes on, and its answer is
// delivered although it is late.
test('a job of which a task was started is not withdrawn', () => {
	const {entry, answers, outcomes, wait} = submitAndWithdraw();
	entry.receiveEnds('mieres_m1', makeReturn([], {isStarted: true}));
	assert.deepEqual(outcomes, ['started']);
	wait(1000);
	assert.deepEqual(answers, []);
	entry.receiveEnds('mieres_m1', {
		...makeReturn([]),
		isStarted: true,
		ends: [{index: 0, outcome: 'done', attempt: 1, placement: 1}],
	});
	assert.deepEqual(answers, [{type: 'completed'}]);
});

// The withdrawal or its answer is lost, the holder is late, or it is of the previous build and does not know withdrawals.
test('a job whose withdrawal is not answered is given up at once, not at its deadline', () => {
	const {answers, outcomes, sent, wait} = submitAndWithdraw();
	wait(withdrawalLimitMs);
	assert.deepEqual(
		answers.map(({type}) => type),
		['given-up'],
	);
	assert.deepEqual(outcomes, ['unanswered']);
	const last = sent.at(-1)!.message;
	assert.ok(last.t === 'drop' && last.claim === undefined);
});

test('a job whose holder has no connection is given up at once', () => {
	const system = createWaitingEntry();
	system.sendStates();
	system.entry.submit(makeRequest(), () => undefined);
	system.unlinked.add('mieres_m1');
	system.wait(usefulMs - estimateMs);
	assert.deepEqual(
		system.answers.map(({type}) => type),
		['given-up'],
	);
	assert.deepEqual(system.outcomes, ['unreachable']);
});

// The tasks were sent to a second holder, and the first one may have started them. Its return proves nothing for the caller.
test('a job whose group changes hands during its withdrawal is given up', () => {
	const {entry, answers, outcomes, groups, clock, listParts} =
		submitAndWithdraw();
	groups.update('mieres_m2', makeState('mieres', {token: 2}), clock.now);
	entry.sendGroupTasks('mieres');
	entry.receiveEnds('mieres_m1', makeReturn([[0, 1, 1]]));
	assert.deepEqual(
		answers.map(({type}) => type),
		['given-up'],
	);
	assert.deepEqual(outcomes, ['interrupted']);
	assert.equal(listParts('mieres_m2').length, 0);
});

// An earlier holder may have run the tasks and died before it could report it.
test('a job whose tasks were sent again is given up when they are returned', () => {
	const {entry, answers, wait, sendStates} = createWaitingEntry();
	sendStates();
	entry.submit(makeRequest(), () => undefined);
	entry.sendGroupTasks('mieres');
	wait(usefulMs - estimateMs);
	entry.receiveEnds('mieres_m1', makeReturn([[0, 1, 1]]));
	assert.deepEqual(
		answers.map(({type}) => type),
		['given-up'],
	);
});

// The holder has not received the part, and says that it has no such claim. If the entry sent the tasks again, they would be started
// after the withdrawal.
test('tasks that are being withdrawn are not sent again', () => {
	const {entry, sent, listParts} = submitAndWithdraw();
	const count = sent.length;
	entry.receiveClaimsEnded('mieres_m1', {
		t: 'claims-ended',
		token: 1,
		claims: [1],
	});
	assert.equal(sent.length, count);
	assert.equal(listParts('mieres_m1').length, 1);
});

// The job has tasks in two groups. One returns its tasks, but in the other a task has been started: the job needs the returned ones too.
test('tasks that one group returned are placed again if another group has started one', () => {
	const {entry, answers, outcomes, listWithdrawals, listParts} =
		submitAndWithdraw({count: 6});
	const [first] = listWithdrawals('mieres_m1');
	const [second] = listWithdrawals('langreo_l1');
	entry.receiveEnds('mieres_m1', makeReturn(first!.tasks));
	assert.deepEqual(answers, []);
	const {claim} = second!;
	entry.receiveEnds('langreo_l1', makeReturn([], {claim, isStarted: true}));
	assert.deepEqual(outcomes, ['started']);
	assert.deepEqual(answers, []);
	const placed = [...listParts('mieres_m1'), ...listParts('langreo_l1')];
	const placedAgain = placed.flatMap(({tasks}) =>
		tasks.filter((task) => task[2] === 2),
	);
	assert.equal(placedAgain.length, first!.tasks.length);
});

// As above, but the group that has started a task answers first.
test('tasks that are returned after a start elsewhere are placed again', () => {
	const {entry, answers, listWithdrawals, listParts} = submitAndWithdraw({
		count: 6,
	});
	const [first] = listWithdrawals('mieres_m1');
	const [second] = listWithdrawals('langreo_l1');
	entry.receiveEnds('mieres_m1', makeReturn([], {isStarted: true}));
	entry.receiveEnds(
		'langreo_l1',
		makeReturn(second!.tasks, {claim: second!.claim}),
	);
	assert.deepEqual(answers, []);
	assert.equal(first!.tasks.length + second!.tasks.length, 6);
	const placed = [...listParts('mieres_m1'), ...listParts('langreo_l1')];
	const placedAgain = placed.flatMap(({tasks}) =>
		tasks.filter((task) => task[2] === 2),
	);
	assert.equal(placedAgain.length, second!.tasks.length);
});

// One group has no room for its tasks. The caller was told that the job may have run, because the other group still had the rest of the tasks.
test('a job that one group returns as hopeless is refused once the other group has returned its tasks', () => {
	const {entry, answers, outcomes, listWithdrawals, sendStates} =
		createWaitingEntry();
	sendStates();
	entry.submit(makeRequest({count: 6}), () => undefined);
	const [mieres, langreo] = [
		makeTasks(4),
		[
			[4, 1, 1],
			[5, 1, 1],
		] satisfies Part['tasks'],
	];
	entry.receiveEnds('mieres_m1', makeReturn(mieres));
	assert.deepEqual(answers, []);
	const [withdrawal] = listWithdrawals('langreo_l1');
	entry.receiveEnds(
		'langreo_l1',
		makeReturn(langreo, {claim: withdrawal!.claim}),
	);
	assert.deepEqual(
		answers.map(({type}) => type),
		['refused'],
	);
	assert.deepEqual(outcomes, ['returned']);
});

test('a job is not withdrawn while its holder is silent and its tasks can still be moved', () => {
	const {entry, clock, groups, sent, sendStates} = createWaitingEntry();
	sendStates();
	entry.submit(makeRequest({declaredMs: 900}), () => undefined);
	clock.now += stateStaleMs + 1;
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	entry.update();
	assert.ok(sent.every(({message}) => message.t !== 'drop'));
});

function makeWithdrawal(
	withdrawal: Partial<NonNullable<Drop['withdrawal']>> = {},
	drop: Partial<Drop> = {},
): Drop {
	return {
		t: 'drop',
		job: 'job1',
		takenAtMs: 10,
		claim: 0,
		withdrawal: {token: 1, claim: 1, tasks: [[0, 1, 1]], ...withdrawal},
		...drop,
	};
}

/** A scheduler whose only executor runs the two tasks of `job0` for as long as the test takes. */
async function openFullScheduler() {
	const system = await openScheduler({count: 1, taskMs: () => 10_000});
	const {clock, scheduler} = system;
	const other = createEntry('mieres_m2.0');
	scheduler.receivePart(
		other,
		makePart(clock, {job: 'job0', claim: 7, tasks: makeTasks(2)}),
	);
	return {...system, other};
}

function countRuns(
	{runs}: {runs: ReadonlyArray<{job: string}>},
	job: string,
): number {
	return runs.filter((run) => run.job === job).length;
}

test('a scheduler returns withdrawn tasks and does not start them, also if their part is sent again', async () => {
	const {clock, scheduler, entry, executors, other} = await openFullScheduler();
	const part = makePart(clock);
	scheduler.receive(entry, part);
	scheduler.receive(entry, makeWithdrawal());
	assert.deepEqual(listOutcomes(entry), ['returned']);
	assert.equal(entry.endMessages[0]!.isStarted, false);
	scheduler.receive(entry, part);
	scheduler.dropJob(other, {job: 'job0', takenAtMs: clock.now});
	await runFor(clock, 500, [[scheduler, entry]]);
	assert.equal(countRuns(executors, 'job1'), 0);
});

// The part was held up, so that the withdrawal overtakes it. The entry has told its caller that nothing will run.
test('a scheduler does not start tasks that were withdrawn before their part arrived', async () => {
	const {clock, scheduler, entry, executors} = await openScheduler({count: 1});
	const part = makePart(clock);
	scheduler.receive(entry, makeWithdrawal());
	assert.deepEqual(listOutcomes(entry), ['returned']);
	scheduler.receive(entry, part);
	await runFor(clock, 500, [[scheduler, entry]]);
	assert.equal(countRuns(executors, 'job1'), 0);
	assert.deepEqual(listOutcomes(entry), ['returned', 'returned']);
});

// The entry may withdraw the tasks and then need them again, because another group has started one.
test('a scheduler starts tasks that are placed again after they were withdrawn', async () => {
	const {clock, scheduler, entry, executors} = await openScheduler({count: 1});
	scheduler.receive(entry, makeWithdrawal());
	scheduler.receive(entry, makePart(clock, {claim: 2, tasks: [[0, 1, 2]]}));
	await runFor(clock, 500, [[scheduler, entry, [2]]]);
	assert.equal(countRuns(executors, 'job1'), 1);
});

test('a scheduler lets a job run on that is withdrawn after a start', async () => {
	const {clock, scheduler, entry, executors} = await openScheduler({count: 1});
	scheduler.receive(entry, makePart(clock, {takenAtMs: 10}));
	await clock.run(5);
	entry.endMessages.length = 0;
	scheduler.receive(entry, makeWithdrawal());
	assert.deepEqual(
		entry.endMessages.map(({isStarted, ends}) => ({isStarted, ends})),
		[{isStarted: true, ends: []}],
	);
	await runFor(clock, 500, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
	assert.equal(countRuns(executors, 'job1'), 1);
});

// Without an answer the entry assumes that the tasks may run; a return would be untrue or could not be relied on.
test('a scheduler does not answer a withdrawal of tasks that it cannot speak for', async () => {
	const {clock, scheduler, entry, other} = await openFullScheduler();
	scheduler.receive(entry, makePart(clock));
	const withdrawals = {
		'under another token': makeWithdrawal({token: 2}),
		'under another claim': makeWithdrawal({claim: 2}),
		'of another copy': makeWithdrawal({}, {takenAtMs: 9}),
	};
	for (const [title, withdrawal] of Object.entries(withdrawals)) {
		scheduler.receive(entry, withdrawal);
		assert.deepEqual(listOutcomes(entry), [], title);
	}

	scheduler.receive(other, makeWithdrawal());
	assert.deepEqual(listOutcomes(other), [], 'of another entry');
	scheduler.receive(entry, makeWithdrawal());
	assert.deepEqual(listOutcomes(entry), ['returned']);
});

// A new holder does not know yet what the former one has started.
test('a scheduler does not answer a withdrawal of moved tasks before it knows what runs', async () => {
	const {clock, scheduler, entry} = await openScheduler(
		{count: 1},
		{isListComplete: false},
	);
	scheduler.receive(entry, makePart(clock, {isMoved: true}));
	scheduler.receive(entry, makeWithdrawal());
	assert.deepEqual(listOutcomes(entry), []);
});

// A holder of the previous build reads the message without its new field. If it dropped the job, it would stop a run whose report is on its way.
test('a holder that does not know withdrawals drops nothing', async () => {
	const {clock, scheduler, entry, executors} = await openScheduler({count: 1});
	scheduler.receive(entry, makePart(clock, {takenAtMs: 10}));
	await clock.run(5);
	scheduler.receive(entry, makeWithdrawal({}, {withdrawal: undefined}));
	await runFor(clock, 500, [[scheduler, entry]]);
	assert.deepEqual(listOutcomes(entry), ['done']);
	assert.equal(countRuns(executors, 'job1'), 1);
});

// A late holder looks empty to entries. If they kept sending it jobs, all of these would be given up in the same way.
test('a holder that has not answered a withdrawal gets no new job while another group can have it', () => {
	const {entry, wait, listParts} = submitAndWithdraw();
	wait(withdrawalLimitMs);
	entry.submit(makeRequest({id: 'job2'}), () => undefined);
	assert.equal(listParts('mieres_m1').length, 1);
	assert.equal(listParts('langreo_l1').length, 1);
	wait(1000);
	entry.submit(makeRequest({id: 'job3'}), () => undefined);
	assert.equal(listParts('mieres_m1').length, 2);
});
