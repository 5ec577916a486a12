/**
Executors' registrations between hosts, while holders can't read them.
*/
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {errAsync, okAsync} from 'neverthrow';
import {type MessageOf} from '@gentianshift/protocol';
import {
	createGroupDirectory,
	type ExecutorRegistration,
} from '@gentianshift/scheduling';
import {
	createStrictBackground,
	makeState,
} from '@gentianshift/scheduling/fixtures';
import {chooseInformants, type Informant} from './choose-informants.js';
import {createExecutorLists} from './executor-lists.js';
import {createRegistrationExchange} from './registration-exchange.js';
import {makeRegistration, wholeCapacity} from './registration.fixture.js';

type QueueTableMessage = MessageOf<'queue-table'>;

const half = {cpu: 16_000, memoryMb: 1000, accelerators: 0};

/** A registration as the store has it, with its numbers. */
function makeNumbered(
	fields: Partial<ExecutorRegistration> = {},
): ExecutorRegistration {
	return makeRegistration({sequence: 1, revision: 10, ...fields});
}

/** A store whose list the test changes, or takes away from some hosts. */
function createStore() {
	return {
		revision: 10,
		registrations: [makeNumbered()],
		refused: new Set<string>(),
		reads: new Map<string, number>(),
		put(registration: ExecutorRegistration) {
			this.revision += 1;
			this.registrations = [
				...this.registrations.filter(({id}) => id !== registration.id),
				{...registration, revision: this.revision},
			];
		},
	};
}

/** Hosts of one data centre and of another, which read the store when the test says so. */
function createHosts(keys: readonly string[], store = createStore()) {
	const clock = {now: 1000};
	const sent: Array<{from: string; to: string; message: QueueTableMessage}> =
		[];
	const holders = new Set<string>();
	const groups = createGroupDirectory();
	const hosts = new Map<string, ReturnType<typeof createHost>>();

	function deliver(from: string, to: string, message: QueueTableMessage) {
		sent.push({from, to, message});
		hosts.get(to)!.exchange.receive(message, (answer) => {
			deliver(to, from, answer);
		});
	}

	function createHost(key: string) {
		const lists = createExecutorLists({
			source: {
				list() {
					store.reads.set(key, (store.reads.get(key) ?? 0) + 1);
					const {registrations, revision} = store;
					return store.refused.has(key)
						? errAsync({code: 'unavailable', message: 'refused'})
						: okAsync({registrations, revision});
				},
			},
			isHolder: () => holders.has(key),
			isKnownService: () => true,
			isCapacityEnforcingService: () => false,
			onList: () => undefined,
			now: () => clock.now,
			wait: async () => undefined,
			random: () => 0.5,
			background: createStrictBackground(),
			log: () => undefined,
		});
		const dataCentre = key.split('_')[0]!;
		const exchange = createRegistrationExchange({
			dataCentre,
			lists,
			isHolder: () => holders.has(key),
			listInformants: () =>
				keys
					.filter((other) => other !== key)
					.map((other) => ({
						key: other,
						isNear: other.startsWith(`${dataCentre}_`),
					})),
			listGroups: () => groups.list(),
			send(to, message) {
				deliver(key, to, message);
			},
			now: () => clock.now,
			background: createStrictBackground(),
			log: () => undefined,
		});
		return {
			lists,
			exchange,
			/** Reads the list as the host's loop does. */
			async read() {
				clock.now += 600;
				await lists.readCurrent();
				exchange.noteRead(lists.isReadable());
				await Promise.resolve();
			},
			getCpu: (id = 'e1') =>
				lists.list().find((one) => one.id === id)?.capacity.cpu,
		};
	}

	for (const key of keys) {
		hosts.set(key, createHost(key));
	}

	return {
		store,
		clock,
		sent,
		holders,
		groups,
		getHost: (key: string) => hosts.get(key)!,
	};
}

/** A holder in one data centre and a host in another, both with a list, and hosts that have none yet. */
async function openHolder(others: readonly string[] = []) {
	const hosts = createHosts(['mieres_m1', 'langreo_l1', ...others]);
	const [m1, l1] = [hosts.getHost('mieres_m1'), hosts.getHost('langreo_l1')];
	hosts.holders.add('mieres_m1');
	await m1.read();
	await l1.read();
	return {...hosts, m1, l1};
}

// Guards against a holder that goes by its last list while the store turns it away and other hosts have read newer registrations.
test('a holder that can’t read the list learns of changes from another host', async () => {
	const {store, sent, m1, l1} = await openHolder(['mieres_m2']);
	store.refused = new Set(['mieres_m1', 'mieres_m2']);
	store.put(makeNumbered({capacity: half, sequence: 2}));
	await l1.read();
	await m1.read();
	assert.equal(m1.getCpu(), half.cpu);
	sent.length = 0;
	await m1.read();
	assert.ok(
		sent.every(({message}) => !message.registrations?.registrations.length),
		'what was told is not told again',
	);
});

// Guards against a host that answers by a list that is seconds old, as it holds no group, although it reaches the store.
test('a host that is asked reads a current list if its own is old', async () => {
	const {store, clock, m1, l1} = await openHolder();
	store.refused.add('mieres_m1');
	store.put(makeNumbered({capacity: half, sequence: 2}));
	clock.now += 2000;
	await m1.read();
	await nextTurn();
	assert.equal(m1.getCpu(), half.cpu);
	const readCount = store.reads.get('langreo_l1');
	await m1.read();
	assert.equal(store.reads.get('langreo_l1'), readCount, 'it is current now');
});

// Guards against a holder that dies with what it alone has read: the store is away for all, and the next holder's list is older.
test('a holder tells the hosts of its data centre what has changed, and only that', async () => {
	const {store, holders, getHost, sent} = createHosts([
		'mieres_m1',
		'mieres_m2',
		'langreo_l1',
	]);
	const [m1, m2] = [getHost('mieres_m1'), getHost('mieres_m2')];
	store.put(makeNumbered({id: 'e2'}));
	holders.add('mieres_m1');
	await m1.read();
	await m2.read();
	assert.equal(sent.length, 0, 'the first list is told to nobody');
	store.put(makeNumbered({id: 'e2', sequence: 2}));
	await m1.read();
	assert.equal(sent.length, 0, 'a new number alone is no change');
	store.put(makeNumbered({capacity: half, sequence: 2}));
	await m1.read();
	assert.deepEqual(
		sent.map(({to, message}) => [
			to,
			message.registrations?.registrations.map(({id}) => id),
		]),
		[['mieres_m2', ['e1']]],
	);
	assert.equal(m2.getCpu(), half.cpu);
	assert.equal(m2.getCpu('e2'), wholeCapacity.cpu);
});

// Guards against an older registration that brings a former capacity back, and against executors that another data centre's host makes up.
test('of each executor the newest registration holds, and only known executors are told', async () => {
	const {store, getHost} = createHosts(['mieres_m1']);
	const {lists, exchange, read, getCpu} = getHost('mieres_m1');
	store.put(makeNumbered({capacity: half, sequence: 2}));
	await read();
	const receive = (registration: ExecutorRegistration) => {
		exchange.receive(
			{
				t: 'queue-table',
				version: 0,
				registrations: {
					registrations: [
						{...registration, capacity: registration.capacity ?? wholeCapacity},
					],
				},
			},
			() => undefined,
		);
	};

	receive(makeNumbered());
	assert.equal(getCpu(), half.cpu);
	receive(makeNumbered({id: 'e9', revision: 90}));
	assert.equal(lists.list().length, 1);
	receive(makeNumbered({isDraining: true, sequence: 3, revision: 90}));
	assert.equal(getCpu(), wholeCapacity.cpu);
	assert.ok(lists.list()[0]?.isDraining);
});

// Guards against a registration of another writer that fills the links between hosts.
test('a registration with labels of absurd length is not told', async () => {
	const {store, holders, getHost, sent} = createHosts([
		'mieres_m1',
		'mieres_m2',
	]);
	const m1 = getHost('mieres_m1');
	holders.add('mieres_m1');
	await m1.read();
	store.put(makeNumbered({labels: ['x'.repeat(100_000)], capacity: half}));
	await m1.read();
	assert.equal(sent.length, 0);
});

// Guards against a host that floods others with questions while the store is away for all.
test('a holder asks twice a second at most, and a host that can’t read does not try for it', async () => {
	const {store, sent, clock, m1, l1} = await openHolder();
	store.refused = new Set(['mieres_m1', 'langreo_l1']);
	await l1.read();
	const readCount = store.reads.get('langreo_l1');
	const startedAt = clock.now;
	while (clock.now < startedAt + 3000) {
		clock.now += 100;
		m1.exchange.noteRead(false);
	}

	assert.equal(sent.length, 6);
	assert.equal(store.reads.get('langreo_l1'), readCount);
});

const informants: Informant[] = [
	'mieres_m2',
	'mieres_m3',
	...Array.from({length: 9}, (_, i) => `langreo_l${i}`),
].map((key) => ({key, isNear: key.startsWith('mieres')}));

// Guards against a holder that asks only hosts which the store turns away as well.
test('all hosts are asked in turn, and holders that reach the store each time', () => {
	const groups = createGroupDirectory();
	const choose = (round: number) =>
		chooseInformants(informants, {groups: groups.list(), round, now: 1000});
	const asked = new Set([0, 1, 2].flatMap((round) => choose(round)));
	assert.equal(asked.size, informants.length);
	groups.update('langreo_l3', makeState('langreo', {storeAgeMs: 100}), 1000);
	groups.update(
		'langreo_l4',
		makeState('langreo--2', {storeAgeMs: 9000}),
		1000,
	);
	const rounds = Array.from({length: 8}, (_, round) => choose(round));
	assert.ok(rounds.every(([first]) => first === 'langreo_l3'));
	assert.ok(rounds.every((keys) => keys.length === 3));
	assert.equal(new Set(rounds.flat()).size, informants.length);
});
