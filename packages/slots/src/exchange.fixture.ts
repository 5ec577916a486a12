/**
A slot exchange of one host. Its ports are replaced by values that the test sets and by records of what is sent.
*/
import assert from 'node:assert/strict';
import {type TestContext} from 'node:test';
import {type JobDemand, type UsableSlot} from '@gentianshift/jobs';
import {type Message} from '@gentianshift/protocol';
import {type Executor} from '@gentianshift/resources';
import {leaseRenewIntervalMs, leaseTermMs, type SlotPorts} from './ports.js';
import {SlotExchange} from './slot-exchange.js';

const executor: Executor = {
	name: 'e1',
	address: '127.0.0.1:1',
	dataCentre: 'mieres',
	slots: 2,
	connections: 60,
	state: 'active',
};

/** Opens a host's slot exchange. `keeper`, by default the host itself, lends to this host alone. Timers fire only by `fireTimers`. */
export function openExchange(context: TestContext, keeper = 'mieres_m1') {
	context.mock.timers.enable({apis: ['setInterval', 'setTimeout']});
	const clock = {now: 1000};
	const executorState = {isLeaving: false};
	const sent: Message[] = [];
	const starts: Array<{slot: UsableSlot; at: number}> = [];
	const ports: SlotPorts = {
		hostKey: 'mieres_m1',
		ownerId: 'mieres_m1.a',
		dataCentre: 'mieres',
		now: () => clock.now,
		random: () => 0.5,
		sendToHost(_hostKey, message) {
			sent.push(message);
			return true;
		},
		sendToOwner: () => false,
		findKeeper: () => keeper,
		listExecutors: () => [executor],
		listDataCentres: () => ['mieres'],
		findActiveExecutor: () => (executorState.isLeaving ? undefined : executor),
		isLeaving: () => executorState.isLeaving,
		listShares: () => new Map(),
		listPeerHosts: () => [],
		log() {
			// These tests don't check log lines.
		},
		countWasted() {
			// These tests don't check this count.
		},
	};
	const exchange = new SlotExchange({ports, listTargets: () => ['kitchens']});
	const source = exchange.createSource({
		onSlot(_job, slot) {
			if (slot.isUsable()) {
				starts.push({slot, at: clock.now});
			} else {
				slot.release({result: 'unused', runMs: 0});
			}
		},
		onRefusal() {
			assert.fail(
				'a job was refused although slots are free and its deadline is far off',
			);
		},
	});
	exchange.refresh();
	context.after(() => {
		exchange.stop();
	});
	const submit = (job: number, queued = 1) => {
		source.demandSlots(makeDemand(job, queued, clock.now));
	};

	/** Freezes the host for longer than a lease term: its clock advances, and nothing runs. */
	const freeze = () => {
		clock.now += 4 * leaseTermMs;
	};

	/** Has the host read the change, sent during the pause, that the executor is leaving. */
	const readLeaving = () => {
		executorState.isLeaving = true;
		exchange.refresh();
	};

	const fireTimers = () => {
		context.mock.timers.tick(leaseRenewIntervalMs);
	};

	return {starts, sent, clock, submit, freeze, readLeaving, fireTimers};
}

function makeDemand(job: number, queued: number, now: number): JobDemand {
	return {
		job,
		target: 'kitchens',
		service: 'meals',
		team: 'cooks',
		remaining: queued,
		queued,
		taskMs: 100,
		hasStarted: false,
		deadlineAt: now + 60_000,
		submittedAt: now,
	};
}
