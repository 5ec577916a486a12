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

/** Opens a keeper on the only host of its data centre, with a clock that the test sets, and records all messages it sends. */
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
		findActiveExecutor: () => executor,
		isLeaving: () => false,
		listShares: () => new Map(),
		listPeerHosts: () => [],
		log() {
			// These tests don't check log lines.
		},
		countWasted() {
			// These tests don't check this count.
		},
	};
	const keeper = new Keeper('kitchens', ports);
	context.after(() => {
		keeper.stop();
	});
	const takeSent = <T extends Message['t']>(t: T) =>
		sent
			.splice(0)
			.filter((message): message is MessageOf<T> => message.t === t);
	return {keeper, clock, takeSent};
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

// Otherwise the callers of a restarted host would wait a whole lease term for the slots that its previous
// process held.
for (const order of ['session lost first', 'new process first']) {
	test(`slots of a host's previous process are lent again once its tasks should have ended (${order})`, async (context) => {
		const {keeper, clock, takeSent} = openKeeper(context);
		const steps = [
			() => {
				keeper.dropOwner('mieres_m2.a', 'mieres_m2');
			},
			() => {
				keeper.recordOwner('mieres_m2.b', 'mieres_m2');
			},
		];
		keeper.recordOwner('mieres_m2.a', 'mieres_m2');
		keeper.receiveDemand('mieres_m2.a', demand);
		await nextTurn();
		assert.equal(takeSent('grant')[0]!.slots.length, 3);
		for (const step of order === 'session lost first'
			? steps
			: steps.toReversed()) {
			step();
		}

		keeper.receiveDemand('mieres_m2.b', demand);
		// Tasks take 100 ms, and nearly all end within a few times that.
		clock.now += 700;
		keeper.refreshResources();
		await nextTurn();
		assert.equal(takeSent('grant')[0]?.slots.length, 3);
	});
}

test('slots lent to another data centre are reported free again after their return', async (context) => {
	// The other keeper subtracts the slots that it requests. If it is never sent the same number of free
	// slots again, it leaves these slots idle while its own jobs wait.
	const {keeper, clock, takeSent} = openKeeper(context);
	await nextTurn();
	assert.deepEqual(
		takeSent('keeper-state').map(({free}) => free),
		[3],
	);
	keeper.receiveShift('langreo_l1.b', {
		t: 'shift',
		target: 'kitchens',
		owner: 'langreo_l1.b',
		demand,
		count: 3,
	});
	const [grant] = takeSent('grant');
	clock.now += 100;
	keeper.receiveRelease({
		t: 'release',
		target: 'kitchens',
		slots: grant!.slots.map(({slot}) => ({slot, result: 'done', runMs: 100})),
	});
	await nextTurn();
	assert.deepEqual(
		takeSent('keeper-state').map(({free}) => free),
		[3],
	);
});
