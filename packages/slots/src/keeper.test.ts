import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Message, type MessageOf} from '@gentianshift/protocol';
import {type Executor} from '@gentianshift/resources';
import {Keeper} from './keeper.js';
import {type SlotPorts} from './ports.js';

const executor: Executor = {
	name: 'e1',
	address: '127.0.0.1:1',
	dataCentre: 'mieres',
	slots: 3,
	connections: 60,
	state: 'active',
};

/** A keeper alone in its data centre, on a clock that a test sets; all it sends is kept. */
function openKeeper(context: TestContext) {
	const clock = {now: 1000};
	const sent: Message[] = [];
	const send = (_to: string, message: Message) => {
		sent.push(message);
		return true;
	};

	const ports: SlotPorts = {
		hostKey: 'mieres_m1',
		ownerId: 'mieres_m1.a',
		dataCentre: 'mieres',
		now: () => clock.now,
		random: () => 0.5,
		sendToHost: send,
		sendToOwner: send,
		findKeeper: (_target, dataCentre) => `${dataCentre}_keeper`,
		listExecutors: () => [executor],
		listDataCentres: () => ['mieres', 'langreo'],
		findActive: () => executor,
		isLeaving: () => false,
		listShares: () => new Map(),
		listPeers: () => [],
		log() {
			// Not read.
		},
		countWasted() {
			// Not of interest here.
		},
	};
	const keeper = new Keeper('kitchens', ports);
	context.after(() => {
		keeper.stop();
	});
	const take = <T extends Message['t']>(t: T) =>
		sent
			.splice(0)
			.filter((message): message is MessageOf<T> => message.t === t);
	return {keeper, clock, take};
}

const demand: MessageOf<'demand'> = {
	t: 'demand',
	target: 'kitchens',
	job: 1,
	service: 'meals',
	team: 'cooks',
	remaining: 3,
	asked: 3,
	taskMs: 100,
	deadlineInMs: 10_000,
	waitedMs: 0,
};

// Guards against a restarted host whose callers wait a lease term for the slots of the process before.
for (const order of ['dropped first', 'heard first']) {
	test(`slots of a former process of a host wait only for its tasks (${order})`, async (context) => {
		const {keeper, clock, take} = openKeeper(context);
		const steps = [
			() => {
				keeper.dropOwner('mieres_m2.a', 'mieres_m2');
			},
			() => {
				keeper.noteOwner('mieres_m2.b', 'mieres_m2');
			},
		];
		keeper.noteOwner('mieres_m2.a', 'mieres_m2');
		keeper.receiveDemand('mieres_m2.a', demand);
		await nextTurn();
		assert.equal(take('grant')[0]!.slots.length, 3);
		for (const step of order === 'dropped first' ? steps : steps.toReversed()) {
			step();
		}

		keeper.receiveDemand('mieres_m2.b', demand);
		// Tasks of 100 ms, nearly all of which end in a few times that.
		clock.now += 700;
		keeper.refreshResources();
		await nextTurn();
		assert.equal(take('grant')[0]?.slots.length, 3);
	});
}

test('slots lent to another data centre are told as free again when they are back', async (context) => {
	// The other keeper counts what it asks for as gone. If it never hears that the same number is
	// free again, it leaves these slots idle while its own jobs wait.
	const {keeper, clock, take} = openKeeper(context);
	await nextTurn();
	assert.deepEqual(
		take('keeper-state').map(({free}) => free),
		[3],
	);
	keeper.receiveShift('langreo_l1.b', {
		t: 'shift',
		target: 'kitchens',
		owner: 'langreo_l1.b',
		demand,
		count: 3,
	});
	const [grant] = take('grant');
	clock.now += 100;
	keeper.receiveRelease({
		t: 'release',
		target: 'kitchens',
		slots: grant!.slots.map(({slot}) => ({slot, result: 'done', runMs: 100})),
	});
	await nextTurn();
	assert.deepEqual(
		take('keeper-state').map(({free}) => free),
		[3],
	);
});
