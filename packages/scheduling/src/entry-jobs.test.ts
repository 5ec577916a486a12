/**
Jobs at their entry while schedulers change, fall silent and give tasks back.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type Drop,
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
import {createRunTimes} from './run-times.js';
import {stateStaleMs} from './timing.js';

function createEntryJobs() {
	const clock = {now: 1000};
	const sent: Array<{holder: string; message: {t: string}}> = [];
	const answered: EntryJob[] = [];
	const groups = createGroupDirectory();
	const entry = new EntryJobs({
		self: 'mieres_m9.p1',
		peers: {listHosts: () => [], isLinked: () => false, send: () => false},
		home: 'mieres',
		now: () => clock.now,
		readWallClock: () => startsAtMs + clock.now - 1000,
		groups,
		runTimes: createRunTimes(),
		crashes: createCrashRecords(),
		send(holder, message) {
			sent.push({holder, message});
			return true;
		},
		log() {
			// Not read.
		},
		onAnswer(job) {
			answered.push(job);
		},
	});
	const listParts = (holder: string) =>
		sent
			.filter(({message}) => message.t === 'part')
			.filter((one) => one.holder === holder)
			.map(({message}) => message as Part);
	return {clock, sent, answered, groups, entry, listParts};
}

/** Time of day when the tests begin. */
const startsAtMs = 1_700_000_000_000;

/** A holder's word that it runs no other copy of the job that was taken so long after the begin. */
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

test('an answered job tells when the first word of a start came', () => {
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
	assert.equal(job!.startToldAt! - job!.arrivedAt, 5);
});

// All hosts have lost power, and callers are back sooner than the schedulers: a job that is refused
// in these tenths of a second would have been served by a scheduler that takes its group just then.
test('a job that comes before any scheduler is known is placed when one is', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	clock.now += 150;
	entry.update();
	assert.deepEqual(answers, []);
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.placeWaiting();
	assert.equal(listParts('mieres_m1')[0]?.tasks.length, 2);
});

// The same, but no scheduler comes. The caller is told as soon as the answer would come too late
// to be of use, and may come again as soon as a group changes hands.
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

// A host has had nothing to do for a while and is paused, or all schedulers are lost at once. That it
// placed nothing lately says nothing about schedulers: its next callers wait as well.
test('a host that was idle waits for a scheduler like a busy one', () => {
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

// A host that is cut off from all others and from the store can take no group. Its callers are
// told at once, and not each after a wait of its own.
test('a job is refused at once when no scheduler has been in reach for long', () => {
	const {entry, clock} = createEntryJobs();
	clock.now += 2100;
	entry.update();
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	assert.equal(answers[0]?.type, 'refused');
});

// A scheduler gives a task back twice, as the part came to it again. By then the task runs elsewhere:
// taken at its word once more, it would be placed a third time beside that run.
test('a task that was given back once is not placed again for the same word', () => {
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

test('another holder of a group is told what runs there', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest(), () => undefined);
	groups.update('mieres_m2', makeState('mieres', {token: 2}), clock.now);
	entry.handOver('mieres');
	const [part] = listParts('mieres_m2');
	assert.equal(part?.isMoved, true);
	assert.equal(part?.tasks.length, 2);
});

// A scheduler's machine is cut off with a job's tasks. Until it has stopped them they may not run
// elsewhere, and then it is too late: a caller that is told so at once can do something else.
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

// The same, with a caller that waits long enough: its tasks start elsewhere, with numbers that the
// silent scheduler cannot have used, once the silent one has stopped them.
test('a patient job is placed elsewhere once its silent scheduler has stopped its tasks', () => {
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

// A data centre turns a job away as full, and what the entry knew of the next one was right: there is
// room. Refused at the first no, its caller would be sent away while executors stand idle.
test('a job that one group turns away as full is tried at another before it is refused', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest({count: 1}), (answer) => {
		answers.push(answer);
	});
	const turnAway = (holder: string, placement: number) => {
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

	turnAway('mieres_m1', 1);
	assert.equal(listParts('langreo_l1').length, 1);
	assert.equal(answers.length, 0);
	turnAway('langreo_l1', 2);
	assert.equal(answers[0]?.type, 'refused');
});

// A job has waited for a while at a group that then sent it on to room elsewhere, and the room was
// gone. Judged anew as if it had just come, it would be refused after having been held.
test('a job that was let in is not judged anew when it is sent on', () => {
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

// The connection to a holder breaks while a job is given up, and the word to drop it is lost with it. The connection is back before the holder
// counts the entry as silent; not told again, it would run the job on beside the copy that the caller brings elsewhere.
test('a job that was given up is dropped again on the next connection', () => {
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
	entry.sendAgain('mieres_m1');
	assert.equal(listDrops().length, 2);
	entry.submit(makeRequest(), () => undefined);
	entry.sendAgain('mieres_m1');
	assert.deepEqual(
		new Set(listDrops()),
		new Set([startsAtMs]),
		'what is wanted again is not dropped',
	);
});

// Guards against a job that is dropped although its caller came again: the word to drop it names a taking that is as late.
test('a job that is taken again at the same moment is a later taking', () => {
	const {entry, groups, clock, sent} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest(), () => undefined);
	entry.cancel('job1');
	entry.submit(makeRequest(), () => undefined);
	const asked = sent.find(({message}) => message.t === 'replace');
	assert.equal((asked?.message as Replace).takenAtMs, startsAtMs + 1);
});

// A holder starts a job's tasks, and its word of that is lost with the connection. The group changes hands, and the next holder, which knows of no run,
// gives the tasks back. Told that nothing has run, the caller orders once more what has been delivered.
test('a job that was handed over is not refused as one that never ran', () => {
	const {entry, groups, clock} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const answers: JobAnswer[] = [];
	entry.submit(makeRequest({count: 1}), (answer) => {
		answers.push(answer);
	});
	groups.update('mieres_m2', makeState('mieres', {token: 2}), clock.now);
	entry.handOver('mieres');
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

// Guards against two entries that hand the copies of one job to two groups: the caller's connection broke, and it sent the job again at
// once over a new one.
test('the first job of a connection is placed when all groups in reach run no other copy', () => {
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

// Guards against a copy that runs where the entry did not ask: it heard of the group, or of its new holder, only while it waited.
test('a group that comes into reach meanwhile, and a new holder, are waited for as well', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest({requestsBefore: 0}), () => undefined);
	groups.update('langreo_l1', makeState('langreo'), clock.now);
	entry.handOver('langreo');
	groups.update('mieres_m2', makeState('mieres', {token: 9}), clock.now);
	entry.receive('mieres_m1', makeConfirmation());
	entry.handOver('mieres');
	entry.receive('langreo_l1', makeConfirmation());
	assert.equal(listParts('mieres_m2').length, 0);
	entry.receive('mieres_m2', makeConfirmation());
	assert.equal(listParts('mieres_m2').length, 1);
});

// Guards against a job that is refused for want of room although executors are free: it has spent the time until which it would be let
// in on waiting for a group's answer.
test('a job that has waited for an answer is let in as if it had not', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest({requestsBefore: 0}), () => undefined);
	clock.now += 200;
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.receive('mieres_m1', makeConfirmation());
	assert.equal(listParts('mieres_m1').length, 1);
});

// Guards against a flood that is let in because each of its jobs is the first one of a connection: all of them would be late.
test('a job that has waited for an answer is refused where all groups are full, like others', () => {
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

// Guards against an answer to an earlier taking of the job at this entry, which says nothing of copies since.
test('an answer that is for an earlier taking of the job does not count', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const leave = entry.submit(makeRequest({requestsBefore: 0}), () => undefined);
	leave();
	clock.now += 10;
	entry.submit(makeRequest({requestsBefore: 0}), () => undefined);
	entry.receive('mieres_m1', makeConfirmation());
	assert.equal(listParts('mieres_m1').length, 0);
});

// Guards against a scheduler that takes the entry for dead, and lets an earlier copy start: the job's tasks are all at other groups.
test('groups are told that the entry waits while its copy is the one that counts', () => {
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

// Guards against a data centre that is cut off holding up the jobs of all others.
test('a group that falls silent is not waited for', () => {
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

// Guards against a new holder that starts an earlier copy because only the former one knew that it was replaced.
test('a new holder of a group is told which copies are replaced', () => {
	const {entry, groups, clock, sent} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest({requestsBefore: 0}), () => undefined);
	entry.receive('mieres_m1', makeConfirmation());
	groups.update('mieres_m2', makeState('mieres', {token: 9}), clock.now);
	entry.handOver('mieres');
	const told = sent.filter(({holder}) => holder === 'mieres_m2');
	assert.deepEqual(
		told.map(({message}) => message.t),
		['replace', 'part', 'keep'],
	);
});

// Guards against a caller that waits for nothing: a later copy has its job.
test('an entry whose copy is replaced gives its job up at once', () => {
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

// Guards against a job that is cancelled for the caller's broken connection although the caller has come again over another one.
test('a caller that leaves ends a job only if nobody else waits for it', () => {
	const {entry, groups, clock} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const answers: JobAnswer[] = [];
	const leave = entry.submit(makeRequest(), () => undefined);
	const leaveAgain = entry.submit(makeRequest(), (answer) => {
		answers.push(answer);
	});
	leave();
	assert.equal(entry.size, 1);
	assert.deepEqual(answers, []);
	leaveAgain();
	assert.equal(entry.size, 0);
});

// Guards against an entry whose machine was suspended, or whose clock is far from the holder's: its words would look old, or new, for ever.
test('what an entry says names the time of the holder, not its own', () => {
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
		token: 1,
		stateAt: 5_000_150,
		claims: [part.claim],
	});
});

// Guards against a task that is kept alive where it was taken away: what its former holder told meanwhile comes late, in a row.
test('a claim on a silent holder is not named again once its tasks were moved', () => {
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

// Guards against a task that is placed a second time for the end of an earlier taking: it took a slow connection, and came after the job was handed over anew.
test('a word that gives back a task of an earlier taking does not move the task of this one', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	const request = makeRequest({
		count: 1,
		declaredMs: 1000,
		timeLeftMs: 9000,
	});
	const tellStates = () => {
		for (const [holder, group] of [
			['mieres_m1', 'mieres'],
			['langreo_l1', 'langreo'],
		] as const) {
			groups.update(holder, makeState(group, {at: clock.now}), clock.now);
		}

		entry.update();
	};

	tellStates();
	const leave = entry.submit(request, () => undefined);
	leave();
	for (let passed = 0; passed < 1300; passed += 50) {
		clock.now += 50;
		tellStates();
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

// Guards against a task that is placed beside its run: its group has changed hands twice, and the first holding's word took a slow connection.
test('a word that gives back a task under an earlier holding of the same host does not move it', () => {
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
		entry.handOver('mieres');
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

// Guards against a task that starts, or runs on, at another group after its end was taken note of here.
test('a task that ends where it was moved from is taken away from where it was moved to', () => {
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

// Guards against a job that crashes executors and begins anew each time that its caller sends it.
test('a job that executors have crashed under fails at once, and again when it is sent again', () => {
	const {entry, groups, clock, sent, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	const answers: JobAnswer[] = [];
	const submit = () => {
		entry.submit(makeRequest(), (answer) => {
			answers.push(answer);
		});
	};

	submit();
	const crashes = [{job: 'job1', index: 1, crashed: ['e1', 'e2'], silent: []}];
	entry.receiveEnds('mieres_m1', {
		t: 'ends',
		token: 1,
		claim: 1,
		job: 'job1',
		isStarted: true,
		ends: [],
		crashes,
	});
	const failed = {
		type: 'failed',
		task: 1,
		reason: 'executors crashed under its task',
	};
	assert.deepEqual(answers, [failed]);
	assert.equal(sent.at(-1)!.message.t, 'drop');
	submit();
	assert.deepEqual(answers, [failed, failed]);
	assert.equal(listParts('mieres_m1').length, 1);
});

// Guards against a count that begins anew as a task comes to another group.
test('what an entry has heard of crashes goes with the tasks', () => {
	const {entry, groups, clock, listParts} = createEntryJobs();
	groups.update('mieres_m1', makeState('mieres'), clock.now);
	entry.submit(makeRequest({count: 1}), () => undefined);
	const crashes = [{job: 'job1', index: 0, crashed: ['e1'], silent: ['e2']}];
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
	entry.placeWaiting();
	entry.update();
	const parts = [...listParts('mieres_m1'), ...listParts('langreo_l1')];
	assert.deepEqual(parts.at(-1)!.crashes, crashes);
});
