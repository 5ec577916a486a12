/**
Starts the faults of a plan in the simulated system, and ends them.
*/
import {
	type FakeExecutors,
	type VirtualClock,
} from '@gentianshift/scheduling/fixtures';
import {type TaskDemand} from '@gentianshift/protocol';
import {dataCentres, type PlannedFault} from './fault-plan.fixture.js';
import {type FaultyHost} from './faulty-host.fixture.js';
import {type FaultyNetwork} from './faulty-network.fixture.js';
import {type FaultyStore, type StoreMood} from './faulty-store.fixture.js';

/** Calls to an executor that fail; `seen` counts the calls that were made while the fault lasts. */
export type OrderRule = Extract<PlannedFault, {kind: 'orders'}> & {
	seen: number;
};

export type ShrinkRule = Extract<PlannedFault, {kind: 'shrink'}>;

export type FaultySystem = {
	clock: VirtualClock;
	hosts: readonly FaultyHost[];
	network: FaultyNetwork;
	store: FaultyStore;
	executors: FakeExecutors;
	/** How the store treats a host; it answers hosts that are not in the map normally. */
	moods: Map<FaultyHost, StoreMood>;
	orderRules: Set<OrderRule>;
	shrinkRules: Set<ShrinkRule>;
	/** Has the callers of these jobs, whose connections broke, send them again; `at-once`: without the usual delay. */
	resend: (jobs: readonly string[], when?: 'at-once') => void;
};

/** Starts a fault; the returned function ends it. */
export function beginFault(
	fault: PlannedFault,
	system: FaultySystem,
): () => void {
	const {hosts, moods, orderRules} = system;
	switch (fault.kind) {
		case 'kill':
		case 'kill-requests':
		case 'freeze':
		case 'suspend':
		case 'plan-stop':
		case 'reset-callers': {
			return disturbHost(fault, hosts[fault.host]!, system);
		}

		case 'reset-requests': {
			return resetRequests(fault, system);
		}

		case 'hand-over': {
			const holder = hosts.find(
				({isHolder, dataCentre}) => isHolder && dataCentre === dataCentres[0],
			);
			holder?.planStop(true);
			return () => {
				holder?.planStop(false);
			};
		}

		case 'cut':
		case 'hold-up':
		case 'hold-up-connection':
		case 'silent-connection': {
			return disturbLink(fault, system);
		}

		case 'store': {
			const host = hosts[fault.host]!;
			moods.set(host, fault.how);
			return () => {
				moods.delete(host);
			};
		}

		case 'unlist':
		case 'silence': {
			return disturbExecutor(fault, system);
		}

		case 'shrink': {
			return shrinkExecutor(fault, system);
		}

		case 'orders': {
			const rule = {...fault, seen: 0};
			orderRules.add(rule);
			return () => {
				orderRules.delete(rule);
			};
		}
	}
}

function disturbHost(
	fault: Extract<
		PlannedFault,
		{
			kind:
				| 'kill'
				| 'kill-requests'
				| 'freeze'
				| 'suspend'
				| 'plan-stop'
				| 'reset-callers';
		}
	>,
	host: FaultyHost,
	{network, resend}: FaultySystem,
): () => void {
	const {kind, forMs} = fault;
	switch (fault.kind) {
		case 'kill':
		case 'kill-requests': {
			resend(host.kill(), kind === 'kill' ? undefined : 'at-once');
			network.closeAll(host);
			return () => {
				if (!host.isAlive) {
					host.start();
					network.connect();
				}
			};
		}

		case 'freeze': {
			host.freeze(forMs);
			return doNothing;
		}

		case 'suspend': {
			host.suspend(forMs);
			return doNothing;
		}

		case 'plan-stop': {
			host.planStop(true);
			return () => {
				host.planStop(false);
			};
		}

		case 'reset-callers': {
			resend(host.resetCallers(fault.noticeMs));
			return doNothing;
		}
	}
}

function resetRequests(
	{host, noticeMs}: Extract<PlannedFault, {kind: 'reset-requests'}>,
	{hosts, network, resend}: FaultySystem,
): () => void {
	const reset = hosts[host]!;
	resend(reset.resetCallers(noticeMs), 'at-once');
	network.cutOff(reset, true);
	return () => {
		network.cutOff(reset, false);
	};
}

function disturbLink(
	fault: Extract<
		PlannedFault,
		{kind: 'cut' | 'hold-up' | 'hold-up-connection' | 'silent-connection'}
	>,
	{hosts, network, clock}: FaultySystem,
): () => void {
	const from = hosts[fault.host]!;
	const to = hosts[fault.peer]!;
	const until = clock.now + fault.forMs;
	if (from === to) {
		return doNothing;
	}

	if (fault.kind === 'hold-up') {
		network.holdUp(from, to, until);
		return doNothing;
	}

	if (fault.kind === 'hold-up-connection') {
		network.holdUpConnection(from, to, {way: fault.way, until});
		return doNothing;
	}

	if (fault.kind === 'silent-connection') {
		network.silence(from, to);
		return doNothing;
	}

	network.cut(from, to, true);
	return () => {
		network.cut(from, to, false);
	};
}

function disturbExecutor(
	{kind, executor}: Extract<PlannedFault, {kind: 'unlist' | 'silence'}>,
	{executors, store}: FaultySystem,
): () => void {
	const fake = executors.fakes[executor]!;
	const {id} = fake.executor;
	if (kind === 'unlist') {
		store.setListed(id, false);
		return () => {
			store.setListed(id, true);
		};
	}

	fake.cutFrom = 'all';
	return () => {
		fake.cutFrom = new Set();
	};
}

/** While several of these faults overlap on one executor, the smallest share applies. */
function shrinkExecutor(
	fault: ShrinkRule,
	{executors, store, shrinkRules}: FaultySystem,
): () => void {
	const fake = executors.fakes[fault.executor]!;
	const full: TaskDemand = fake.said[0]!.capacity;
	const say = () => {
		const shares = [...shrinkRules]
			.filter(({executor}) => executor === fault.executor)
			.map(({share}) => share);
		const cpu = Math.floor(full.cpu * Math.min(1, ...shares));
		const {capacity} = executors.setCapacity(fake, {...full, cpu});
		store.setCapacity(fake.executor.id, capacity);
	};

	shrinkRules.add(fault);
	say();
	return () => {
		shrinkRules.delete(fault);
		say();
	};
}

function doNothing(): void {
	// These faults end by themselves.
}
