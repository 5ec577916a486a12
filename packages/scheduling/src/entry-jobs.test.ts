/**
Tests of jobs at their entry while schedulers change, fall silent and return tasks.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type Drop,
	type Ends,
	type Keep,
	type Part,
	type Replace,
	type Replaced,
} from '@gentianshift/protocol';
import {type EntryJob, type JobAnswer, type JobRequest} from './entry-job.js';
import {EntryJobs} from './entry-jobs.js';
import {createGroupDirectory} from './group-directory.js';
import {makeState} from './group-state.fixture.js';
import {createCrashRecords} from './crash-records.js';
import {createFakePauses} from './pause-watch.fixture.js';
import {createRunTimes} from './run-times.js';
import {stateStaleMs} from './timing.js';
import {type WithdrawalOutcome} from './withdrawals.js';

function createEntryJobs() {
	const clock = {now: 1000};
	const sent: Array<{holder: string; message: {t: string}}> = [];
	const answered: EntryJob[] = [];
	const withdrawals: WithdrawalOutcome[] = [];
	const evacuated = new Set<string>();
	const fakePauses = createFakePauses();
	const groups = createGroupDirectory({
		isEvacuated: (group) => evacuated.has(group),
	});
	const entry = new EntryJobs({
		self: 'mieres_m9.p1',
		peers: {listHosts: () => [], isLinked: () => false, send: () => false},
		home: 'mieres',
		now: () => clock.now,
		readWallClock: () => startsAtMs + clock.now - 1000,
		random: () => 0,
		groups,
		runTimes: createRunTimes(),
		crashes: createCrashRecords(),
		cancelledJobs: {findAge: () => undefined},
		pauses: fakePauses.pauses,
		send(holder, message) {
			sent.push({holder, message});
			return true;
		},
		log() {
			// These tests check no log lines.
		},
		onAnswer(job) {
			answered.push(job);
		},
		onWithdrawal(outcome) {
			withdrawals.push(outcome);
		},
	});
	const listParts = (holder: string) =>
		sent
			.filter(({message}) => message.t === 'part')
			.filter((one) => one.holder === holder)
			.map(({message}) => message as Part);
	return {
		clock,
		sent,
		answered,
		withdrawals,
		groups,
		evacuated,
		fakePauses,
		entry,
		listParts,
	};
}

/** Wall clock when a test begins, milliseconds since 1970. */
const startsAtMs = 1_700_000_000_000;

/** A holder's confirmation that it runs no other copy of the job that the entry accepted `takenAfterMs` after the test began. */
function makeConfirmation(takenAfterMs = 0): Replaced {
	return {
		t: 'replaced',
		job: 'job1',
		takenAtMs: startsAtMs + takenAfterMs,
		isRefused: false,
	};
}

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
		count: 2,
		demand: {cpu: 14_000, memoryMb: 64, accelerators: 0},
		declaredMs: 100,
		timeLeftMs: 3000,
		requestsBefore: 1,
		...request,
	};
}

// Guards against a later holder that takes tasks that an earlier one may run for tasks that only it was sent.
test('a part that is sent again names the first holder that its tasks were sent to', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres', {token: 3}), clock.now);
	entry.submit(makeRequest(), () => undefined);
	entry.sendGroupTasks('mieres');
	groups.update('mieres_m2', makeState('mieres', {token: 7}), clock.now);
	entry.sendGroupTasks('mieres');
	const firstTokens = [...listParts('mieres_m1'), ...listParts('mieres_m2')];
	assert.deepEqual(
		firstTokens.map(({token, firstToken}) => [token, firstToken]),
		[
			[3, undefined],
			[3, 3],
			[7, 3],
		],
	);
});

test('a job is answered when all its tasks are done', () => {
	const {entry, groups, clock} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	for (const index of [0, 1]) {
		entry.receiveEnds('mieres_m1', {
			t: 'ends',
			token: 1,
			claim: 1,
			job: 'job1',
			isStarted: true,
			ends: [{index, outcome: 'done', attempt: 1, placement: 1}],
		});
	}

	assert.deepEqual(answers, [{type: 'completed'}]);
	assert.equal(entry.size, 0);
});

test('an answered job records when the first report of a start arrived', () => {
	const {entry, groups, clock, answered} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest({count: 1}), () => undefined);
	const message = {
		t: 'ends',
		token: 1,
		claim: 1,
		job: 'job1',
		isStarted: true,
	} as const;
	clock.now += 5;
	entry.receiveEnds('mieres_m1', {...message, ends: []});
	clock.now += 60;
	entry.receiveEnds('mieres_m1', {
		...message,
		ends: [{index: 0, outcome: 'done', attempt: 1, placement: 1}],
	});
	const [job] = answered;
	assert.equal(job!.firstStartReportedAt! - job!.arrivedAt, 5);
});

// After all hosts lost power, callers are back before the schedulers. A job refused in these tenths of a second
// would have been served by a scheduler that takes its group just then.
test('a job that arrives before any scheduler is known is placed once one is known', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	clock.now += 150;
	entry.update();
	assert.deepEqual(answers, []);
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.placeWaitingJobs();
	assert.equal(listParts('mieres_m1')[0]?.tasks.length, 2);
});

// The same, but no scheduler appears. The caller is refused as soon as an answer would be too late to be of use,
// and may retry as soon as a group can have changed hands.
test('a job that waits for a scheduler is refused once it can no longer end in time', () => {
	const {entry, clock} = createEntryJobs();
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	clock.now += 550;
	entry.update();
	assert.deepEqual(answers, []);
	clock.now += 20;
	entry.update();
	assert.deepEqual(answers, [
		{type: 'refused', reason: 'no scheduler is in reach', retryAfterMs: 1000},
	]);
});

// A host that was idle is paused, or all schedulers are lost at once. That the host placed nothing recently does not
// mean that there are no schedulers, so its next callers must wait as well.
test('an idle host waits for a scheduler as long as a busy one', () => {
	const {entry, groups, clock} = createEntryJobs();
	for (let i = 0; i < 100; i += 1) {
		clock.now += 50;
		groups.update('mieres_m1', makeState('mieres'), clock.now);
		entry.update();
	}

	clock.now += 700;
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	assert.deepEqual(answers, []);
});

// A host that is cut off from all others and from the store can't take a group. Its callers are refused at once
// instead of each waiting first.
test('a job is refused at once when no scheduler has been reachable for a long time', () => {
	const {entry, clock} = createEntryJobs();
	clock.now += 2100;
	entry.update();
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	assert.equal(answers[0]?.type, 'refused');
});

// A scheduler that received a part twice returns its task twice. By then the task runs elsewhere; if the second
// message counted, the task would be placed a third time and run twice.
test('a task that was returned once is not placed again for a repeated message', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	entry.submit(makeRequest({count: 1}), () => undefined);
	const returned = {
		t: 'ends' as const,
		token: 1,
		claim: 1,
		job: 'job1',
		isStarted: false,
		ends: [{index: 0, outcome: 'returned' as const, attempt: 0, placement: 1}],
		reason: 'elsewhere' as const,
	};
	entry.receiveEnds('mieres_m1', returned);
	assert.equal(listParts('langreo_l1').length, 1);
	entry.receiveEnds('mieres_m1', returned);
	entry.receiveEnds('langreo_l1', {...returned, claim: 2});
	assert.equal(listParts('mieres_m1').length, 1);
	assert.equal(listParts('langreo_l1').length, 1);
});

test('the next holder of a group is sent the tasks that are placed there', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest(), () => undefined);
	groups.update('mieres_m2', makeState('mieres', {token: 2}), clock.now);
	entry.sendGroupTasks('mieres');
	const [part] = listParts('mieres_m2');
	assert.equal(part?.isMoved, true);
	assert.equal(part?.tasks.length, 2);
});

// A scheduler's machine is cut off with a job's tasks. The tasks may not start elsewhere until it has stopped them, and
// then it is too late. A caller that is refused at once can do something else.
test('a job whose scheduler is silent is given up when it can no longer end in time', () => {
	const {entry, groups, clock} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	clock.now += 700;
	entry.update();
	assert.equal(answers[0]?.type, 'given-up');
});

// The same, with a caller that waits long enough. Once the silent scheduler has stopped the tasks, they start elsewhere,
// with attempt numbers that the silent scheduler can't have used.
test('a job whose caller waits long is placed elsewhere once its silent scheduler has stopped its tasks', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(
		makeRequest({declaredMs: 1000, timeLeftMs: 9000}),
		() => undefined,
	);
	for (let i = 0; i < 15; i += 1) {
		clock.now += 50;
		groups.update('langreo_l1', makeState('langreo'), clock.now);
		entry.update();
	}

	assert.equal(listParts('langreo_l1').length, 0);
	for (let i = 0; i < 30; i += 1) {
		clock.now += 50;
		groups.update('langreo_l1', makeState('langreo'), clock.now);
		entry.update();
	}

	const [part] = listParts('langreo_l1');
	assert.ok(part?.tasks.every(([, attempt]) => attempt > 10));
});

// One data centre returns a job as full while the next one has free capacity. If the job were refused at the first return, executors
// would stay idle although a caller was refused.
test('a job that one group returns as full is tried in another group before it is refused', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest({count: 1}), (answer) => {
		answers.push(answer);
	});
	const returnAsFull = (holder: string, placement: number) => {
		entry.receiveEnds(holder, {
			t: 'ends',
			token: 1,
			claim: placement,
			job: 'job1',
			isStarted: false,
			ends: [{index: 0, outcome: 'returned', attempt: 0, placement}],
			reason: 'full',
		});
	};

	returnAsFull('mieres_m1', 1);
	assert.equal(listParts('langreo_l1').length, 1);
	assert.equal(answers.length, 0);
	returnAsFull('langreo_l1', 2);
	assert.equal(answers[0]?.type, 'refused');
});

// Guards against a refusal because a data centre was evacuated: its return was counted as one for lack of room.
test('a return for another reason does not count towards a refusal', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	const answers: JobAnswer[] = [];
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	entry.submit(makeRequest({count: 1}), (answer) => {
		answers.push(answer);
	});
	const returnTask = (
		holder: string,
		placement: number,
		reason: Ends['reason'],
	) => {
		entry.receiveEnds(holder, {
			t: 'ends',
			token: 1,
			claim: placement,
			job: 'job1',
			isStarted: false,
			ends: [{index: 0, outcome: 'returned', attempt: 0, placement}],
			reason,
		});
	};

	returnTask('mieres_m1', 1, 'elsewhere');
	returnTask('langreo_l1', 2, 'full');
	assert.equal(answers.length, 0);
	assert.equal(listParts('mieres_m1').length, 2);
});

// Guards against callers that wait for a scheduler although none may start anything.
test('a job is refused at once while all data centres are evacuated', () => {
	const {entry, groups, clock, evacuated} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	evacuated.add('mieres').add('langreo');
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest({count: 1}), (answer) => {
		answers.push(answer);
	});
	assert.equal(answers[0]?.type, 'refused');
});

// A group held a job for a while and returned it because another group had free capacity, which is gone by now. If admission were
// checked again, the job would be refused after having waited.
test('a job that was admitted is not checked for admission again when it is moved', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	entry.submit(makeRequest({count: 1}), () => undefined);
	clock.now += 200;
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const full = {free: [0, 0], backlog: [2_000_000, 0, 0, 0]};
	groups.update('langreo_l1', makeState('langreo', full), clock.now);
	entry.receiveEnds('mieres_m1', {
		t: 'ends',
		token: 1,
		claim: 1,
		job: 'job1',
		isStarted: false,
		ends: [{index: 0, outcome: 'returned', attempt: 0, placement: 1}],
		reason: 'elsewhere',
	});
	const part = [...listParts('langreo_l1'), ...listParts('mieres_m1')].at(-1);
	assert.equal(entry.size, 1);
	assert.ok(part!.admitInMs > 400, `${part!.admitInMs} ms`);
});

// The connection to a holder breaks while a job is given up, and the `drop` is lost. The connection is back before the
// holder counts the entry as silent. Unless the `drop` is sent again, the holder keeps running the job while the caller's
// next copy runs elsewhere.
test('the drop of a job is sent again on the next connection to its holder', () => {
	const {entry, groups, clock, sent} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest(), () => undefined);
	entry.cancel('job1');
	const listDrops = () =>
		sent.flatMap(({message}) =>
			message.t === 'drop' ? (message as Drop).takenAtMs : [],
		);
	assert.equal(listDrops().length, 1);
	clock.now += 300;
	entry.sendAfterReconnect('mieres_m1');
	assert.equal(listDrops().length, 2);
	entry.submit(makeRequest(), () => undefined);
	entry.sendAfterReconnect('mieres_m1');
	assert.deepEqual(
		new Set(listDrops()),
		new Set([startsAtMs]),
		'the second submission of the job is not dropped',
	);
});

// Otherwise the `drop` of the first submission would name the same `takenAtMs` and drop the second one as well.
test('a job that is submitted again at the same moment gets a later takenAtMs', () => {
	const {entry, groups, clock, sent} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest(), () => undefined);
	entry.cancel('job1');
	entry.submit(makeRequest(), () => undefined);
	const asked = sent.find(({message}) => message.t === 'replace');
	assert.equal((asked?.message as Replace).takenAtMs, startsAtMs + 1);
});

// A holder starts a job's tasks, and its report is lost with the connection. The group changes hands, and the next holder,
// which knows of no run, returns the tasks. If the caller were told that nothing had run, it would submit work again that
// has already been done.
test('a job whose tasks were sent again is not answered as refused', () => {
	const {entry, groups, clock} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest({count: 1}), (answer) => {
		answers.push(answer);
	});
	groups.update('mieres_m2', makeState('mieres', {token: 2}), clock.now);
	entry.sendGroupTasks('mieres');
	entry.receiveEnds('mieres_m2', {
		t: 'ends',
		token: 2,
		claim: 1,
		job: 'job1',
		isStarted: false,
		ends: [{index: 0, outcome: 'returned', attempt: 0, placement: 1}],
		reason: 'hopeless',
	});
	assert.deepEqual(
		answers.map(({type}) => type),
		['given-up'],
	);
});

// A caller's connection breaks, and the caller repeats the job at once over a new one. Without this check two entries
// would send copies of the job to two groups.
test('the first job of a connection is placed once all reachable groups confirm that they run no other copy', () => {
	const {entry, groups, clock, sent, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	entry.submit(makeRequest({requestsBefore: 0}), () => undefined);
	const asked = sent.filter(({message}) => message.t === 'replace');
	assert.deepEqual(
		asked.map(({holder}) => holder),
		['mieres_m1', 'langreo_l1'],
	);
	entry.receive('mieres_m1', makeConfirmation());
	entry.update();
	assert.equal(listParts('mieres_m1').length, 0);
	entry.receive('langreo_l1', makeConfirmation());
	assert.equal(listParts('mieres_m1').length, 1);
});

// While the entry waits, it learns of another group, or of a new holder, that it has not asked yet. A copy may run there.
test('a group that becomes reachable during the wait, and a new holder, are waited for as well', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest({requestsBefore: 0}), () => undefined);
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	entry.sendGroupTasks('langreo');
	groups.update('mieres_m2', makeState('mieres', {token: 9}), clock.now);
	entry.receive('mieres_m1', makeConfirmation());
	entry.sendGroupTasks('mieres');
	entry.receive('langreo_l1', makeConfirmation());
	assert.equal(listParts('mieres_m2').length, 0);
	entry.receive('mieres_m2', makeConfirmation());
	assert.equal(listParts('mieres_m2').length, 1);
});

// Otherwise a job that spent its admission time waiting for a group's answer would be refused for lack of capacity
// although executors are free.
test('the wait for confirmations does not count against the admission of a job', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest({requestsBefore: 0}), () => undefined);
	clock.now += 200;
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.receive('mieres_m1', makeConfirmation());
	assert.equal(listParts('mieres_m1').length, 1);
});

// Otherwise a flood of jobs that are each the first on their connection would be admitted, and all would be late.
test('a job that has waited for confirmations is refused like others if all groups are full', () => {
	const {entry, groups, clock} = createEntryJobs();
	const full = makeState('mieres', {
		free: [0, 0],
		backlog: [64_000 * 150, 0, 0, 0],
	});
	groups.update('mieres_m1', full, clock.now);
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest({requestsBefore: 0}), (answer) => {
		answers.push(answer);
	});
	entry.receive('mieres_m1', makeConfirmation());
	assert.equal(answers[0]?.type, 'refused');
});

// The answer to an earlier submission of the job at this entry says nothing about copies since then.
test('a confirmation for an earlier submission of the job does not count', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const disconnect = entry.submit(
		makeRequest({requestsBefore: 0}),
		() => undefined,
	);
	disconnect();
	clock.now += 10;
	entry.submit(makeRequest({requestsBefore: 0}), () => undefined);
	entry.receive('mieres_m1', makeConfirmation());
	assert.equal(listParts('mieres_m1').length, 0);
});

// All of the job's tasks are in other groups. A scheduler that receives nothing from the entry would count it as dead and
// let an earlier copy start.
test('an entry that replaced other copies answers the states of all groups', () => {
	const {entry, groups, clock, sent} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	entry.submit(makeRequest({requestsBefore: 0}), () => undefined);
	entry.receive('mieres_m1', makeConfirmation());
	entry.receive('langreo_l1', makeConfirmation());
	entry.update();
	const kept = sent.filter(({message}) => message.t === 'keep');
	assert.ok(kept.some(({holder}) => holder === 'langreo_l1'));
});

// Otherwise a data centre that is cut off would hold up the jobs of all others.
test('a group that falls silent is no longer waited for', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	clock.now += stateStaleMs - 100;
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(
		makeRequest({requestsBefore: 0, declaredMs: 1000, timeLeftMs: 9000}),
		() => undefined,
	);
	entry.receive('mieres_m1', makeConfirmation(stateStaleMs - 100));
	assert.equal(listParts('mieres_m1').length, 0);
	clock.now += 150;
	entry.update();
	assert.equal(listParts('mieres_m1').length, 1);
});

// Otherwise the new holder would start an earlier copy, as only the previous holder knew that it was replaced.
test('a new holder of a group is sent the replacements of copies', () => {
	const {entry, groups, clock, sent} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest({requestsBefore: 0}), () => undefined);
	entry.receive('mieres_m1', makeConfirmation());
	groups.update('mieres_m2', makeState('mieres', {token: 9}), clock.now);
	entry.sendGroupTasks('mieres');
	const sentToNewHolder = sent.filter(({holder}) => holder === 'mieres_m2');
	assert.deepEqual(
		sentToNewHolder.map(({message}) => message.t),
		['replace', 'part', 'keep'],
	);
});

// The job runs as a later copy at another entry, so a caller that still waits here would wait in vain.
test('an entry whose copy was replaced gives up the job at once', () => {
	const {entry, groups, clock, sent} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	entry.receive('mieres_m1', {...makeConfirmation(), isRefused: true});
	assert.equal(answers[0]?.type, 'given-up');
	assert.equal(sent.at(-1)?.message.t, 'drop');
});

// A caller whose connection broke may already wait again over another one; its job must not be cancelled.
test('a job is cancelled when a caller disconnects only if no other caller waits for it', () => {
	const {entry, groups, clock} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const answers: JobAnswer[] = [];
	const disconnect = entry.submit(makeRequest(), () => undefined);
	const disconnectSecond = entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	disconnect();
	assert.equal(entry.size, 1);
	assert.deepEqual(answers, []);
	disconnectSecond();
	assert.equal(entry.size, 0);
});

// If messages carried the entry's own clock, those of an entry whose machine was suspended, or whose clock differs much from
// the holder's, would always look too old or too new.
test('messages of an entry carry the time of the last state of the holder, not its own', () => {
	const {entry, groups, clock, sent, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres', {at: 5_000_000}), clock.now);
	entry.submit(makeRequest(), () => undefined);
	groups.update('mieres_m1', makeState('mieres', {at: 5_000_150}), clock.now);
	entry.receiveState('mieres');
	const [part] = listParts('mieres_m1');
	assert.equal(part?.stateAt, 5_000_000);
	const keep = sent.at(-1)?.message;
	assert.deepEqual(keep, {
		t: 'keep',
		group: 'mieres',
		token: 1,
		stateAt: 5_000_150,
		claims: [part.claim],
	});
});

// States that the silent holder sent meanwhile arrive late, one after another. If their answers named the claim, the holder
// would keep running tasks that were moved elsewhere.
test('a claim at a silent holder is not renewed once its tasks were moved', () => {
	const {entry, groups, clock, sent, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(
		makeRequest({declaredMs: 1000, timeLeftMs: 9000}),
		() => undefined,
	);
	for (let passed = 0; passed < 1100; passed += 50) {
		clock.now += 50;
		groups.update('langreo_l1', makeState('langreo'), clock.now);
		entry.update();
	}

	const [former] = listParts('mieres_m1');
	const [moved] = listParts('langreo_l1');
	assert.equal(moved?.tasks.length, 2);
	assert.notEqual(moved.claim, former?.claim);
	sent.length = 0;
	for (const at of [150, 300, 450]) {
		groups.update('mieres_m1', makeState('mieres', {at}), clock.now);
		entry.receiveState('mieres');
	}

	const named = sent.flatMap(({holder, message}) =>
		holder === 'mieres_m1' && message.t === 'keep'
			? (message as Keep).claims
			: [],
	);
	assert.deepEqual(named, []);
});

// A message about an earlier submission is delayed by a slow connection and arrives after the job was submitted and sent
// again. If it counted, the task would be placed a second time.
test('a returned task of an earlier submission does not move the task of the present one', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	const request = makeRequest({
		count: 1,
		declaredMs: 1000,
		timeLeftMs: 9000,
	});
	const receiveStates = () => {
		for (const [holder, group] of [
			['mieres_m1', 'mieres'],
			['langreo_l1', 'langreo'],
		] as const) {
			groups.update(holder, makeState(group, {at: clock.now}), clock.now);
		}

		entry.update();
	};

	receiveStates();
	const disconnect = entry.submit(request, () => undefined);
	disconnect();
	for (let passed = 0; passed < 1300; passed += 50) {
		clock.now += 50;
		receiveStates();
	}

	entry.submit(request, () => undefined);
	assert.equal(listParts('mieres_m1').length, 2);
	entry.receive('mieres_m1', {
		t: 'ends',
		token: 1,
		claim: 1,
		job: 'job1',
		isStarted: false,
		reason: 'elsewhere',
		ends: [{index: 0, outcome: 'returned', attempt: 0, placement: 1}],
	});
	assert.equal(listParts('langreo_l1').length, 0);
});

// A group changes hands twice and is back at the first host, whose message from before was delayed. If it counted, the task
// would be placed elsewhere while it runs.
test('a task returned by the same host under an earlier token is not moved', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres', {token: 5}), clock.now);
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	entry.submit(
		makeRequest({count: 1, declaredMs: 1000, timeLeftMs: 9000}),
		() => undefined,
	);
	for (const [holder, token] of [
		['mieres_m2', 6],
		['mieres_m1', 7],
	] as const) {
		clock.now += 10;
		groups.update(holder, makeState('mieres', {token}), clock.now);
		entry.sendGroupTasks('mieres');
	}

	assert.equal(listParts('mieres_m1').length, 2);
	entry.receive('mieres_m1', {
		t: 'ends',
		token: 1,
		claim: 1,
		job: 'job1',
		isStarted: false,
		reason: 'elsewhere',
		ends: [{index: 0, outcome: 'returned', attempt: 0, placement: 1}],
	});
	assert.equal(listParts('langreo_l1').length, 0);
});

// Otherwise the task would start, or continue to run, in the other group after its end is known here.
test('a moved task that is done at its previous group is dropped at its new group', () => {
	const {entry, groups, clock, sent, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(
		makeRequest({count: 1, declaredMs: 1000, timeLeftMs: 9000}),
		() => undefined,
	);
	for (let passed = 0; passed < 1100; passed += 50) {
		clock.now += 50;
		groups.update('langreo_l1', makeState('langreo'), clock.now);
		entry.update();
	}

	assert.equal(listParts('langreo_l1').length, 1);
	entry.receive('mieres_m1', {
		t: 'ends',
		token: 1,
		claim: 1,
		job: 'job1',
		isStarted: true,
		ends: [{index: 0, outcome: 'done', attempt: 1, placement: 1}],
	});
	const dropped = sent.filter(
		({holder, message}) => holder === 'langreo_l1' && message.t === 'drop',
	);
	assert.equal(dropped.length, 1);
});

// Otherwise a job that crashes executors would start again each time its caller submits it.
test('a job under which executors have crashed is given up at once, and again when it is resubmitted', () => {
	const {entry, groups, clock, sent, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const answers: JobAnswer[] = [];
	const submit = () => {
		entry.submit(makeRequest(), (answer) => {
			answers.push(answer);
		});
	};

	submit();
	const crashes = [
		{
			job: 'job1',
			index: 1,
			crashed: ['e1', 'e2'],
			silent: [],
			alone: ['e2'],
		},
	];
	entry.receiveEnds('mieres_m1', {
		t: 'ends',
		token: 1,
		claim: 1,
		job: 'job1',
		isStarted: true,
		ends: [],
		crashes,
	});
	// Not `failed`, as no run has ended so; not `refused` the second time either, as runs of the first copy began.
	const givenUp = {
		type: 'given-up',
		reason: 'executors crashed under its task',
		retryAfterMs: 10_000,
	};
	assert.deepEqual(answers, [givenUp]);
	assert.equal(sent.at(-1)!.message.t, 'drop');
	submit();
	assert.deepEqual(answers, [givenUp, givenUp]);
	assert.equal(listParts('mieres_m1').length, 1);
});

// Otherwise the count of crashes would start again at zero when a task is moved to another group.
test('known crashes are sent along when a task moves to another group', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest({count: 1}), () => undefined);
	const crashes = [
		{
			job: 'job1',
			index: 0,
			crashed: ['e1'],
			silent: ['e2'],
			alone: ['e2'],
		},
	];
	entry.receiveEnds('mieres_m1', {
		t: 'ends',
		token: 1,
		claim: 1,
		job: 'job1',
		isStarted: true,
		ends: [{index: 0, outcome: 'returned', attempt: 1, placement: 1}],
		reason: 'elsewhere',
		crashes,
	});
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	entry.placeWaitingJobs();
	entry.update();
	const parts = [...listParts('mieres_m1'), ...listParts('langreo_l1')];
	assert.deepEqual(parts.at(-1)!.crashes, crashes);
});

// Guards against jobs that are sent to a data centre without an executor that may run them, or that wait although none
// has one.
test('a job that requires a label goes to a group that has it, or is refused at once', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres', {labels: ['r1']}), clock.now);
	groups.update(
		'langreo_l1',
		makeState('langreo', {labels: ['r2', 'ssd']}),
		clock.now,
	);
	const answers: JobAnswer[] = [];
	const submit = (id: string, requiredLabel: string) => {
		const request = makeRequest({count: 2});
		entry.submit({...request, id, constraints: {requiredLabel}}, (answer) => {
			answers.push(answer);
		});
	};

	submit('job1', 'ssd');
	assert.equal(listParts('mieres_m1').length, 0);
	const [part] = listParts('langreo_l1');
	assert.deepEqual(part?.constraints, {requiredLabel: 'ssd'});
	submit('job2', 'gpu');
	assert.equal(answers[0]?.type, 'refused');
});

// Guards against tasks that run beside those of a second copy: their caller left during a pause of this host, and its close lies unread.
test('a job that is read after a pause starts nothing before the closes of its connections have been read', () => {
	const {entry, groups, clock, sent, listParts, fakePauses} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	fakePauses.startCatchingUp(4000);
	const abandon = entry.submit(makeRequest(), () => undefined);
	entry.submit(makeRequest({id: 'job2'}), () => undefined);
	entry.receiveState('mieres');
	entry.update();
	assert.deepEqual(sent, []);
	abandon();
	fakePauses.endCatchingUp();
	entry.finishCatchingUp();
	assert.deepEqual(
		sent.map(({message}) => message),
		[
			{
				t: 'replace',
				group: 'mieres',
				job: 'job2',
				takenAtMs: startsAtMs - 4000,
				isDelayed: true,
				timeLeftMs: 3000,
				formerTokens: undefined,
			},
		],
	);
	entry.receiveReplaced('mieres_m1', {
		...makeConfirmation(-4000),
		job: 'job2',
	});
	assert.deepEqual(
		listParts('mieres_m1').map(({job}) => job),
		['job2'],
	);
});

// Guards against a request that lay unread, counts as newer than the copy that its caller has sent since, and has that one stopped.
test('a request that lay unread is given up for a copy that was accepted meanwhile', () => {
	const {entry, groups, clock, fakePauses} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	fakePauses.startCatchingUp(4000);
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	fakePauses.endCatchingUp();
	entry.finishCatchingUp();
	entry.receiveReplaced('mieres_m1', {
		...makeConfirmation(-4000),
		isRefused: true,
	});
	assert.deepEqual(
		answers.map(({type}) => type),
		['given-up'],
	);
});

// Guards against tasks of a caller that left during a pause and that are sent to their group's next holder, whose state is read before the close.
test('after a pause, tasks are sent to a new holder once it is known which callers have left', () => {
	const {entry, groups, clock, listParts, fakePauses} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const abandon = entry.submit(makeRequest(), () => undefined);
	entry.submit(makeRequest({id: 'job2'}), () => undefined);
	fakePauses.startCatchingUp(4000);
	groups.update('mieres_m2', makeState('mieres', {token: 2}), clock.now);
	entry.sendGroupTasks('mieres');
	entry.receiveState('mieres');
	assert.deepEqual(listParts('mieres_m2'), []);
	abandon();
	fakePauses.endCatchingUp();
	entry.finishCatchingUp();
	assert.deepEqual(
		listParts('mieres_m2').map(({job}) => job),
		['job2'],
	);
});

// Guards against callers that are told to come again although the state that shows a scheduler lies unread in a connection.
test('after a pause, no job is given up before the schedulers have been heard', () => {
	const {entry, groups, clock, fakePauses} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	clock.now += 1500;
	fakePauses.startCatchingUp(1500);
	entry.update();
	groups.update('mieres_m1', makeState('mieres', {at: 1500}), clock.now);
	fakePauses.endCatchingUp();
	entry.finishCatchingUp();
	entry.update();
	assert.deepEqual(answers, []);
});

// Guards against callers whose connections break without an answer when their host's time to stop is over.
test('all jobs of a host that ends are answered, and no more of their tasks are started', () => {
	const {entry, groups, clock, sent} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	entry.giveUpAll('this host is stopping');
	assert.deepEqual(answers, [
		{
			type: 'given-up',
			reason: 'this host is stopping',
			retryAfterMs: 1000,
		},
	]);
	assert.equal(sent.at(-1)?.message.t, 'drop');
	assert.equal(entry.size, 0);
});
