/**
The operators' configuration at a host, while the store discards its history and peers have older or
newer versions.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {errAsync, ok, okAsync, ResultAsync} from 'neverthrow';
import {type MessageOf} from '@gentianshift/protocol';
import {type StoreFailure} from '@gentianshift/scheduling';
import {createStrictBackground} from '@gentianshift/scheduling/fixtures';
import {waitFor} from '../timers.js';
import {createOperatorWatch} from './operator-watch.js';
import {createQueueTables} from './queue-tables.js';

type ConfigurationRead = {text?: string; revision: number};
type ConfigurationSource = {
	read: () => ResultAsync<ConfigurationRead, StoreFailure>;
	watch: (after: number) => ResultAsync<ConfigurationRead, StoreFailure>;
};

/** The tables of a host with the watch that brings them the store's configuration. */
function createTables({read, watch}: ConfigurationSource) {
	const sent: Array<MessageOf<'queue-table'>> = [];
	const ending = new AbortController();
	const log = () => undefined;
	const applyRead = ({configuration}: {configuration?: string}) => {
		if (configuration !== undefined) {
			tables.applyText(configuration);
		}
	};

	const operatorWatch = createOperatorWatch({
		source: {
			read: () =>
				read().map(({text, revision}) => ({
					configuration: text,
					evacuated: [],
					revision,
				})),
			watch: (after) =>
				watch(after).map(({text, revision}) => ({
					configuration: text,
					evacuationChanges: [],
					revision,
				})),
		},
		onRead: applyRead,
		onChange: applyRead,
		wait: waitFor,
		random: () => 0,
		background: createStrictBackground(),
		log,
	});
	const tables = createQueueTables({
		decode: (text) =>
			ok({
				version: Number(text),
				queues: [],
				services: [`service-${text}`],
				capacityEnforcingServices: [],
				maxBodyBytes: 1000,
			}),
		isWatching: operatorWatch.isWatching,
		sendToPeers(message) {
			sent.push(message);
		},
		background: createStrictBackground(),
		log,
	});
	return {
		tables: {
			...tables,
			start(signal: AbortSignal) {
				tables.start(signal);
				operatorWatch.start(signal);
			},
		},
		sent,
		ending,
	};
}

/** The answer to a read, which takes some milliseconds as in the store. */
function answerLater(
	read: ConfigurationRead,
): ResultAsync<ConfigurationRead, StoreFailure> {
	return ResultAsync.fromSafePromise(delay(5).then(() => read));
}

// The configuration has not changed for long, and the store discards its history after some
// seconds. A watch that starts at the configuration's own revision is refused each time, and every
// host then reads the whole configuration several times a second.
test('a watch starts at the revision that the store last returned', async () => {
	let storeRevision = 100;
	let reads = 0;
	const {tables, ending} = createTables({
		read() {
			reads += 1;
			return answerLater({text: '7', revision: storeRevision});
		},
		watch(after) {
			storeRevision += 10;
			return after < storeRevision - 15
				? errAsync({code: 'compacted', message: 'gone'})
				: answerLater({revision: storeRevision});
		},
	});
	tables.start(ending.signal);
	await delay(300);
	ending.abort();
	assert.equal(tables.getTable()?.version, 7);
	assert.equal(reads, 1);
});

// Operators change the configuration twice, and a host that was cut off meanwhile sends its peers
// the older version. It must not come into force again anywhere.
test('a version is never replaced by a lower one', () => {
	const {tables} = createTables({
		read: () => okAsync({revision: 1}),
		watch: () => okAsync({revision: 1}),
	});
	const answers: Array<MessageOf<'queue-table'>> = [];
	const answer = (message: MessageOf<'queue-table'>) => {
		answers.push(message);
	};

	tables.receive({t: 'queue-table', version: 9, text: '9'}, answer);
	tables.receive({t: 'queue-table', version: 8, text: '8'}, answer);
	assert.equal(tables.getTable()?.version, 9);
	tables.receive({t: 'queue-table', version: 12}, answer);
	assert.equal(answers.at(-1)?.isAsked, true);
});

// A host that has just started gets its first requests before it has read the configuration. If it
// refused them, their callers would fail for the sake of some milliseconds.
test('the first requests wait for the configuration', async () => {
	const {tables, ending} = createTables({
		read: () => answerLater({text: '7', revision: 5}),
		watch: () => answerLater({revision: 5}),
	});
	tables.start(ending.signal);
	assert.equal(tables.getTable(), undefined);
	const table = await tables.waitForTable();
	assert.equal(table?.version, 7);
	ending.abort();
});

// The store is down when the host starts. Its first callers are refused after about a second, and
// all later ones at once.
test('without a store the wait for the configuration ends after about a second', async () => {
	const {tables, ending} = createTables({
		read: () => errAsync({code: 'unavailable', message: 'down'}),
		watch: () => errAsync({code: 'unavailable', message: 'down'}),
	});
	tables.start(ending.signal);
	const startedAt = performance.now();
	assert.equal(await tables.waitForTable(), undefined);
	const tookMs = performance.now() - startedAt;
	assert.ok(tookMs > 500 && tookMs < 2000, `${tookMs} ms`);
	const againAt = performance.now();
	assert.equal(await tables.waitForTable(), undefined);
	assert.ok(performance.now() - againAt < 100);
	ending.abort();
});

// A service is removed from the configuration while its executors end their tasks. If they counted
// as executors of an unknown service, the tasks would be stopped.
test('a service stays known after a later configuration no longer names it', async () => {
	const reads = ['7', '8'];
	const {tables, ending} = createTables({
		read: () => answerLater({text: reads[0], revision: 1}),
		watch: () => answerLater({text: reads[1], revision: 2}),
	});
	assert.ok(tables.isKnownService('any'), 'no configuration is known yet');
	tables.start(ending.signal);
	await delay(50);
	ending.abort();
	assert.ok(tables.isKnownService('service-7'));
	assert.ok(tables.isKnownService('service-8'));
	assert.equal(tables.isKnownService('unknown-service'), false);
});

// Pattern: 97 hosts, and a configuration of a thousand queues that changes. When each host sent the
// text to each other one, every host received and parsed it 96 times.
test('a new version is announced by its number, and its text is asked for only if the own watch does not bring it', async () => {
	const {tables, sent, ending} = createTables({
		read: () => answerLater({text: '7', revision: 1}),
		watch: () => answerLater({text: '8', revision: 2}),
	});
	const asked: number[] = [];
	tables.start(ending.signal);
	await tables.waitForTable();
	for (let peer = 0; peer < 96; peer += 1) {
		tables.receive({t: 'queue-table', version: 8}, () => {
			asked.push(peer);
		});
	}

	await delay(200);
	ending.abort();
	assert.equal(tables.getTable()?.version, 8);
	assert.deepEqual(asked, []);
	assert.deepEqual(sent, [
		{t: 'queue-table', version: 7},
		{t: 'queue-table', version: 8},
	]);
});

// The store turns this host away while its peers know a new version. Guards against a host that
// waits for one peer that does not answer, and against asking all of them at once.
test('peers that have announced a version are asked one after another until one answers', async () => {
	const {tables, sent, ending} = createTables({
		read: () => errAsync({code: 'unavailable', message: 'status 503'}),
		watch: () => errAsync({code: 'unavailable', message: 'status 503'}),
	});
	tables.start(ending.signal);
	const asked: string[] = [];
	tables.receive({t: 'queue-table', version: 9}, () => {
		asked.push('silent');
	});
	tables.receive({t: 'queue-table', version: 9}, () => {
		asked.push('answering');
		tables.receive({t: 'queue-table', version: 9, text: '9'}, () => {
			asked.push('again');
		});
	});
	assert.deepEqual(asked, ['silent']);
	await delay(500);
	ending.abort();
	assert.equal(tables.getTable()?.version, 9);
	assert.deepEqual(asked, ['silent', 'answering']);
	assert.deepEqual(sent, [{t: 'queue-table', version: 9}]);
});
