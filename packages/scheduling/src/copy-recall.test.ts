/**
An entry that asks others for their copies of a job, and one that is asked.
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
import {createRunTimes} from './run-times.js';

type Sent = {
	to: string;
	message: HolderMessage | RecallCopy | CopyRecalled;
};

/** An entry in mieres; `mieres_m1` and `langreo_l1` hold the groups, and tell their state. */
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
		groups,
		runTimes: createRunTimes(),
		crashes: createCrashRecords(),
		send(to, message) {
			sent.push({to, message});
			return linked.includes(to);
		},
		log() {
			// Not read.
		},
		onAnswer() {
			// Told to the caller.
		},
	});
	const tellStates = () => {
		groups.update('mieres_m1', makeState('mieres'), clock.now);
		groups.update('langreo_l1', makeState('langreo'), clock.now);
	};

	const submit = (request: Partial<JobRequest> = {}) => {
		entry.submit(makeRequest(request), (answer) => {
			answers.push(answer);
		});
	};

	const list = <T extends Sent['message']['t']>(t: T) =>
		sent.flatMap(({to, message}) =>
			message.t === t
				? {to, message: message as Extract<Sent['message'], {t: T}>}
				: [],
		);
	// Hosts that are not connected by now are not about to be.
	clock.now += 200;
	tellStates();
	return {clock, entry, answers, submit, list, groups};
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

// Guards against first requests that cost a message to each host although every group can tell.
test('entries are not asked while all hosts are in reach', () => {
	const {submit, list} = openEntry({
		linked: ['mieres_m1', 'mieres_m2', 'langreo_l1'],
	});
	submit();
	assert.equal(list('replace').length, 2);
	assert.equal(list('recall-copy').length, 0);
});

// Guards against a second copy that runs beside the first one: its holder confirms, and does not know that it was replaced.
test('a job waits for a holder that is not outdated by what its first entry says', () => {
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
	entry.handOver('mieres');
	entry.receiveReplaced('mieres_m2', {...confirmation, formerTokens: [7, 7]});
	assert.equal(list('part').length, 1);
});

// Guards against a caller that is held up for the end of another copy until its answer is of no use, or is told that nothing ran.
test('a caller that cannot wait for the end of a known copy is told so at once', () => {
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

// Guards against two copies that run at a time where the host that died was the first one's entry and held its group.
test('a first request right after a holder died is refused at once, with when to come again', () => {
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

test('an entry that is asked gives its copy up and names where its tasks are', () => {
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

// Guards against two entries that give way to each other, or both go on.
test('an entry with a later copy keeps it and says so', () => {
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
