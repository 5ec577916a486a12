/**
Tests of an entry that asks other entries to give up their copies of a job, and of one that is asked.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type CopyRecalled, type RecallCopy} from '@gentianshift/protocol';
import {type JobAnswer, type JobRequest} from './entry-job.js';
import {EntryJobs} from './entry-jobs.js';
import {createGroupDirectory} from './group-directory.js';
import {makeState} from './group-state.fixture.js';
import {type HolderMessage} from './holder-contacts.js';
import {createCrashRecords} from './crash-records.js';
import {createFakePauses} from './pause-watch.fixture.js';
import {createRunTimes} from './run-times.js';

type Sent = {
	to: string;
	message: HolderMessage | RecallCopy | CopyRecalled;
};

/** An entry in mieres; `mieres_m1` and `langreo_l1` hold the groups and send their state. */
function openEntry({linked}: {linked: string[]}) {
	const clock = {now: 1000};
	const sent: Sent[] = [];
	const answers: JobAnswer[] = [];
	const groups = createGroupDirectory();
	const entry = new EntryJobs({
		self: 'mieres_m9.p1',
		peers: {
			listHosts: () => ['mieres_m1', 'mieres_m2', 'langreo_l1'],
			isLinked: (host) => linked.includes(host),
			send(to, message) {
				sent.push({to, message});
				return linked.includes(to);
			},
		},
		home: 'mieres',
		now: () => clock.now,
		readWallClock: () => 1_700_000_000_000 + clock.now,
		random: () => 0,
		groups,
		runTimes: createRunTimes(),
		crashes: createCrashRecords(),
		cancelledJobs: {findAge: () => undefined},
		pauses: createFakePauses().pauses,
		send(to, message) {
			sent.push({to, message});
			return linked.includes(to);
		},
		log() {
			// These tests check no log lines.
		},
		onAnswer() {
			// The tests read the answers that callers receive.
		},
		onWithdrawal() {
			// No task is withdrawn here.
		},
	});
	const receiveStates = () => {
		groups.update('mieres_m1', makeState('mieres'), clock.now);
		groups.update('langreo_l1', makeState('langreo'), clock.now);
	};

	const submit = (request: Partial<JobRequest> = {}) => {
		entry.submit(makeRequest(request), (answer) => {
			answers.push(answer);
		});
	};

	const listSent = <T extends Sent['message']['t']>(t: T) =>
		sent.flatMap(({to, message}) =>
			message.t === t
				? {to, message: message as Extract<Sent['message'], {t: T}>}
				: [],
		);
	// After this time the entry no longer expects hosts without a connection to connect in a moment.
	clock.now += 200;
	receiveStates();
	return {clock, entry, answers, submit, list: listSent, groups};
}

function makeRequest(request: Partial<JobRequest>): JobRequest {
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
		declaredMs: 100,
		timeLeftMs: 3000,
		requestsBefore: 0,
		...request,
	};
}

function makeAnswer(
	question: RecallCopy,
	answer: Partial<CopyRecalled>,
): CopyRecalled {
	const {job, takenAtMs, entry} = question;
	return {
		t: 'copy-recalled',
		job,
		takenAtMs,
		entry,
		host: 'mieres_m2',
		isRefused: false,
		passedTo: [],
		groups: [],
		places: [],
		...answer,
	};
}

// Every group can say whether a copy runs, so first requests should not cost a message to each host.
test('entries are not asked while all hosts are reachable', () => {
	const {submit, list} = openEntry({
		linked: ['mieres_m1', 'mieres_m2', 'langreo_l1'],
	});
	submit();
	assert.equal(list('replace').length, 2);
	assert.equal(list('recall-copy').length, 0);
});

// A previous holder confirms that it runs no copy and does not know that it was replaced as holder. Its confirmation must
// not count, or a second copy would run beside the first one.
test('a job waits for a holder at least as new as the one that its first entry names', () => {
	const {entry, submit, list, groups, clock} = openEntry({
		linked: ['mieres_m1', 'langreo_l1'],
	});
	submit();
	const [question] = list('recall-copy');
	assert.deepEqual(question!.message.passTo, ['mieres_m2']);
	const {message} = question!;
	entry.receiveRecalled(makeAnswer(message, {host: 'langreo_l1'}));
	entry.receiveRecalled(
		makeAnswer(message, {
			host: 'mieres_m1',
			places: [{group: 'mieres', tokens: [7, 7], overInMs: 1000, isSure: true}],
		}),
	);
	const confirmation = {
		t: 'replaced',
		job: 'job1',
		takenAtMs: message.takenAtMs,
		isRefused: false,
	} as const;
	entry.receiveReplaced('langreo_l1', confirmation);
	entry.receiveReplaced('mieres_m1', confirmation);
	assert.equal(list('part').length, 0);
	groups.update('mieres_m2', makeState('mieres', {token: 7}), clock.now);
	entry.sendGroupTasks('mieres');
	entry.receiveReplaced('mieres_m2', {...confirmation, formerTokens: [7, 7]});
	assert.equal(list('part').length, 1);
});

// Otherwise the caller would wait for the end of another copy until the answer is of no use, or would be told that nothing has run.
test('a job that can not wait for the end of a known copy is given up at once', () => {
	const {entry, answers, submit, list} = openEntry({
		linked: ['langreo_l1'],
	});
	entry.markLinkDown('mieres_m1', 'p1', 0);
	submit();
	const [question] = list('recall-copy');
	entry.receiveRecalled(
		makeAnswer(question!.message, {
			host: 'langreo_l1',
			places: [{group: 'mieres', tokens: [1, 1], overInMs: 1000, isSure: true}],
		}),
	);
	entry.update();
	assert.deepEqual(
		answers.map(({type}) => type),
		['given-up'],
	);
});

// The host that died was both the entry of the first copy and the holder of its group, so its tasks may still run. Placed
// now, the second copy would run beside them.
test('a first request right after a holder died is refused at once, with a time to retry', () => {
	const {clock, entry, answers, submit, list} = openEntry({
		linked: ['langreo_l1', 'mieres_m2'],
	});
	entry.markLinkDown('mieres_m1', 'p1', clock.now);
	clock.now += 9;
	submit();
	clock.now += 100;
	entry.update();
	assert.equal(list('part').length, 0);
	const [answer] = answers;
	assert.equal(answer?.type, 'refused');
	assert.ok(answer.retryAfterMs >= 950, `${answer.retryAfterMs} ms`);
});

test('an entry that is asked gives up its copy and names the groups where its tasks may run', () => {
	const {entry, answers, submit, list} = openEntry({
		linked: ['mieres_m1', 'mieres_m2', 'langreo_l1'],
	});
	submit({requestsBefore: 1});
	const [part] = list('part');
	entry.receiveRecall('langreo_l1', {
		t: 'recall-copy',
		job: 'job1',
		takenAtMs: part!.message.takenAtMs + 9,
		entry: 'langreo_l1.p1',
		passTo: ['mieres_m2'],
	});
	assert.deepEqual(
		answers.map(({type}) => type),
		['given-up'],
	);
	assert.equal(list('drop').length, 1);
	const [answer] = list('copy-recalled');
	assert.equal(answer!.to, 'langreo_l1');
	assert.deepEqual(answer!.message.passedTo, ['mieres_m2']);
	assert.deepEqual(
		answer!.message.places.map(({group, tokens}) => ({group, tokens})),
		[{group: 'mieres', tokens: [1, 1]}],
	);
});

// Otherwise both entries could give up their copies, or both could continue.
test('an entry that has a later copy keeps it and refuses', () => {
	const {entry, answers, submit, list} = openEntry({
		linked: ['mieres_m1', 'mieres_m2', 'langreo_l1'],
	});
	submit({requestsBefore: 1});
	const [part] = list('part');
	entry.receiveRecall('langreo_l1', {
		t: 'recall-copy',
		job: 'job1',
		takenAtMs: part!.message.takenAtMs - 9,
		entry: 'langreo_l1.p1',
		passTo: [],
	});
	assert.deepEqual(answers, []);
	assert.equal(list('copy-recalled')[0]!.message.isRefused, true);
});
