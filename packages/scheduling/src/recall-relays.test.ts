/**
Load pattern: power is back, all hosts start together and all callers return at once, while connections between hosts come up.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type CopyRecalled, type RecallCopy} from '@gentianshift/protocol';
import {createCopyCheck} from './copy-check.js';
import {createCopyRecall} from './copy-recall.js';
import {createEntryJob} from './entry-job.js';
import {createGroupDirectory} from './group-directory.js';
import {createLostHolders} from './lost-holders.js';
import {chooseRelays, relaysPerHost} from './recall-relays.js';

const dataCentres = ['mieres', 'langreo', 'tineo', 'pola', 'cangas'];
const hosts = dataCentres.flatMap((dataCentre) =>
	Array.from({length: 19}, (_, i) => `${dataCentre}_h${i + 1}`),
);

/** Half of the hosts of each data centre; the others have yet to connect. */
const linkedHosts = hosts.filter((_, i) => i % 2 === 0);

function openRecall() {
	const clock = {now: 10_000};
	const linked = new Set(linkedHosts);
	const sent: Array<{host: string; message: RecallCopy | CopyRecalled}> = [];
	const recall = createCopyRecall({
		self: 'mieres_h20.p1',
		now: () => clock.now,
		peers: {
			listHosts: () => hosts,
			isLinked: (host) => linked.has(host),
			send(host, message) {
				sent.push({host, message});
				return linked.has(host);
			},
		},
		lostHolders: createLostHolders(createGroupDirectory(), 0),
		giveUp() {
			// This host has no copy.
		},
		findTakenAt: () => undefined,
		listPossibleHolders: (unlinked) => unlinked,
		listTokens: () => [],
		listPlaces: () => [],
		listCrashes: () => undefined,
		log() {
			// No log line is checked.
		},
	});
	return {clock, linked, sent, recall};
}

function makeJob(now: number) {
	const queue = {
		name: 'menu',
		host: 'kitchen.example',
		prefix: '/menu/',
		service: 'meals',
		priority: 0,
		maxAttempts: 3,
		timeoutMs: 1500,
		allowanceMs: 60,
		slackFactor: 1.6,
	};
	const job = createEntryJob(
		{
			id: 'job1',
			queue,
			spec: '',
			count: 1,
			demand: {cpu: 14_000, memoryMb: 64, accelerators: 0},
			declaredMs: 100,
			timeLeftMs: 3000,
			requestsBefore: 0,
		},
		100,
		{now, takenAtMs: now, unreadMs: 0},
	);
	job.copyCheck = createCopyCheck(now);
	return job;
}

// Guards against a storm of messages: each of 48 hosts passed each recall on to each of 47 others.
test('a recall is passed on to each host out of reach by three hosts', () => {
	const {clock, sent, recall} = openRecall();
	recall.ask(makeJob(clock.now));
	assert.equal(sent.length, linkedHosts.length);
	const passed = sent.flatMap(({message}) =>
		message.t === 'recall-copy' ? message.passTo : [],
	);
	const outOfReach = hosts.length - linkedHosts.length;
	assert.equal(passed.length, relaysPerHost * outOfReach);
	assert.equal(new Set(passed).size, outOfReach);
});

// Guards against first requests that wait, and are refused, for as long as connections to other hosts come up.
test('a recall ends in time while connections come up one after another', () => {
	const {clock, linked, recall} = openRecall();
	const job = makeJob(clock.now);
	recall.ask(job);
	let waitedMs = 0;
	for (const host of hosts.filter((one) => !linked.has(one))) {
		if (recall.isAnswered(job)) {
			break;
		}

		clock.now += 20;
		waitedMs += 20;
		linked.add(host);
		recall.askAgain(job, host, {isNew: true});
	}

	assert.ok(waitedMs <= 220, `${waitedMs} ms`);
});

test('relays are of the same data centre where it has enough, else any', () => {
	const linked = ['mieres_a', 'mieres_b', 'mieres_c', 'tineo_a'];
	const relays = chooseRelays(['mieres_x', 'tineo_x'], linked);
	const listRelays = (host: string) =>
		[...relays].flatMap(([relay, passTo]) =>
			passTo.includes(host) ? relay : [],
		);
	assert.deepEqual(listRelays('mieres_x').toSorted(), [
		'mieres_a',
		'mieres_b',
		'mieres_c',
	]);
	assert.equal(listRelays('tineo_x').length, relaysPerHost);
	assert.equal(chooseRelays(['tineo_x'], []).size, 0);
	assert.deepEqual(
		[...chooseRelays(['tineo_x'], ['mieres_a'])],
		[['mieres_a', ['tineo_x']]],
	);
});
