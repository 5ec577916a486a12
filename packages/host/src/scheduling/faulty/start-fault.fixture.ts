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
import {type FaultyStore, type StoreMode} from './faulty-store.fixture.js';

/** A registration that is not written again expires after this long. */
export const registrationTtlMs = 1500;
/** Executors write their registrations this often. */
const heartbeatMs = 1500;

/** Calls to an executor that fail; `callsSeen` counts the calls that were made while the fault lasts. */
export type CallFault = Extract<PlannedFault, {kind: 'faulty-calls'}> & {
	callsSeen: number;
};

export type RestartFault = Extract<PlannedFault, {kind: 'restart'}>;

export type ShrinkFault = Extract<PlannedFault, {kind: 'shrink'}>;

export type FaultySystem = {
	clock: VirtualClock;
	hosts: readonly FaultyHost[];
	network: FaultyNetwork;
	store: FaultyStore;
	executors: FakeExecutors;
	/** How the store treats a host; it answers hosts that are not in the map normally. */
	storeModes: Map<FaultyHost, StoreMode>;
	callFaults: Set<CallFault>;
	/** Hosts and the ids of executors that they can't reach. */
	executorCuts: Set<{host: FaultyHost; executor: string}>;
	/** Restarts whose executors leave orders unanswered now. */
	comingRestarts: Set<RestartFault>;
	activeShrinks: Set<ShrinkFault>;
	/** Has the callers of these jobs, whose connections broke, send them again; `at-once`: without the usual delay. */
	sendAgain: (jobs: readonly string[], when?: 'at-once') => void;
};

/** Starts a fault; the returned function ends it. */
export function startFault(
	fault: PlannedFault,
	system: FaultySystem,
): () => void {
	const {hosts} = system;
	if ('peer' in fault) {
		return startLinkFault(fault, system);
	}

	if ('executor' in fault) {
		return startExecutorFault(fault, system);
	}

	switch (fault.kind) {
		case 'kill':
		case 'kill-resend-at-once':
		case 'freeze':
		case 'suspend':
		case 'graceful-stop':
		case 'reset-callers': {
			return startHostFault(fault, hosts[fault.host]!, system);
		}

		case 'reset-resend-at-once': {
			return startConnectionReset(fault, system);
		}

		case 'isolate': {
			return startIsolation(fault, system);
		}

		case 'read-late': {
			const host = hosts[fault.host]!;
			const {clock} = system;
			const {durationMs, catchesUp, ...lateReads} = fault;
			const current = {
				...lateReads,
				catchUpAt: catchesUp ? clock.now + durationMs : undefined,
			};
			host.setLateReads(current);
			return () => {
				host.endLateReads(current);
			};
		}

		case 'hand-over': {
			return startHandOver(system);
		}

		case 'store':
		case 'evacuate':
		case 'divide':
		case 'compact': {
			return startStoreFault(fault, system);
		}
	}
}

function startHandOver({hosts}: FaultySystem): () => void {
	const holder = hosts.find(
		({isHolder, dataCentre}) => isHolder && dataCentre === dataCentres[0],
	);
	holder?.setStopping(true);
	return () => {
		holder?.setStopping(false);
	};
}

function startStoreFault(
	fault: Extract<
		PlannedFault,
		{kind: 'store' | 'evacuate' | 'divide' | 'compact'}
	>,
	{hosts, store, storeModes}: FaultySystem,
): () => void {
	switch (fault.kind) {
		case 'store': {
			const host = hosts[fault.host]!;
			storeModes.set(host, fault.how);
			return () => {
				storeModes.delete(host);
			};
		}

		case 'evacuate': {
			const dataCentre = dataCentres[fault.centre]!;
			store.setEvacuated(dataCentre, true);
			return () => {
				store.setEvacuated(dataCentre, false);
			};
		}

		case 'divide': {
			const dataCentre = dataCentres[fault.centre]!;
			store.setGroupCount(dataCentre, fault.count);
			const first = hosts.find((host) => host.holdsGroup(dataCentre));
			if (fault.isTold) {
				first?.refreshLayout();
			}

			return doNothing;
		}

		case 'compact': {
			store.compact();
			return doNothing;
		}
	}
}

function startHostFault(
	fault: Extract<
		PlannedFault,
		{
			kind:
				| 'kill'
				| 'kill-resend-at-once'
				| 'freeze'
				| 'suspend'
				| 'graceful-stop'
				| 'reset-callers';
		}
	>,
	host: FaultyHost,
	{network, sendAgain}: FaultySystem,
): () => void {
	const {kind, durationMs} = fault;
	switch (fault.kind) {
		case 'kill':
		case 'kill-resend-at-once': {
			sendAgain(host.kill(), kind === 'kill' ? undefined : 'at-once');
			network.closeAllOf(host);
			return () => {
				if (!host.isAlive) {
					host.start();
					network.connect();
				}
			};
		}

		case 'freeze': {
			host.freeze(durationMs);
			return doNothing;
		}

		case 'suspend': {
			host.suspend(durationMs);
			return doNothing;
		}

		case 'graceful-stop': {
			host.setStopping(true);
			return () => {
				host.setStopping(false);
			};
		}

		case 'reset-callers': {
			sendAgain(host.resetCallers(fault.noticeDelayMs));
			return doNothing;
		}
	}
}

function startConnectionReset(
	{host, noticeDelayMs}: Extract<PlannedFault, {kind: 'reset-resend-at-once'}>,
	{hosts, network, sendAgain}: FaultySystem,
): () => void {
	const resetHost = hosts[host]!;
	sendAgain(resetHost.resetCallers(noticeDelayMs), 'at-once');
	network.setIsolated(resetHost, true);
	return () => {
		network.setIsolated(resetHost, false);
	};
}

function startIsolation(
	fault: Extract<PlannedFault, {kind: 'isolate'}>,
	{hosts, network, clock, storeModes}: FaultySystem,
): () => void {
	const host = hosts[fault.host]!;
	const {how, redialMs, backlogMs, durationMs} = fault;
	if (how === 'broken') {
		network.setIsolated(host, true);
	} else {
		const until = clock.now + durationMs;
		network.cutOff(host, {how, until, redialMs, backlogMs});
	}

	if (fault.isCutFromStore) {
		storeModes.set(host, 'refuses');
	}

	host.isCutFromExecutors = fault.isCutFromExecutors;
	return () => {
		if (how === 'broken') {
			clock.schedule(redialMs, () => {
				network.setIsolated(host, false);
			});
		}

		if (fault.isCutFromStore) {
			storeModes.delete(host);
		}

		host.isCutFromExecutors = false;
	};
}

function startLinkFault(
	fault: Extract<
		PlannedFault,
		{kind: 'cut' | 'delay-messages' | 'delay-connection' | 'silent-connection'}
	>,
	{hosts, network, clock}: FaultySystem,
): () => void {
	const from = hosts[fault.host]!;
	const to = hosts[fault.peer]!;
	const until = clock.now + fault.durationMs;
	if (from === to) {
		return doNothing;
	}

	if (fault.kind === 'delay-messages') {
		network.setDelay(from, to, until);
		return doNothing;
	}

	if (fault.kind === 'delay-connection') {
		network.setConnectionDelay(from, to, {direction: fault.direction, until});
		return doNothing;
	}

	if (fault.kind === 'silent-connection') {
		network.markSilent(from, to);
		return doNothing;
	}

	network.setCut(from, to, true);
	return () => {
		network.setCut(from, to, false);
	};
}

function startExecutorFault(
	fault: Extract<PlannedFault, {executor: number}>,
	system: FaultySystem,
): () => void {
	const {executors, store, callFaults} = system;
	const fake = executors.fakes[fault.executor]!;
	const {id} = fake.executor;
	switch (fault.kind) {
		case 'unlist': {
			store.setListed(id, false);
			return () => {
				store.setListed(id, true);
			};
		}

		case 'silence': {
			fake.unreachableFrom = 'all';
			return () => {
				fake.unreachableFrom = new Set();
			};
		}

		case 'cut-executor': {
			const cut = {host: system.hosts[fault.host]!, executor: id};
			system.executorCuts.add(cut);
			return () => {
				system.executorCuts.delete(cut);
			};
		}

		case 'refuse-connections': {
			fake.isRefusing = true;
			return () => {
				fake.isRefusing = false;
			};
		}

		case 'shrink': {
			return startShrink(fault, system);
		}

		case 'restart': {
			return startRestart(fault, system);
		}

		case 'faulty-calls': {
			const callFault = {...fault, callsSeen: 0};
			callFaults.add(callFault);
			return () => {
				callFaults.delete(callFault);
			};
		}
	}
}

function startRestart(
	fault: RestartFault,
	{clock, executors, store, comingRestarts}: FaultySystem,
): () => void {
	const fake = executors.fakes[fault.executor]!;
	const {leadMs, durationMs, registeredAfterMs, clockMs} = fault;
	comingRestarts.add(fault);
	clock.schedule(leadMs, () => {
		comingRestarts.delete(fault);
		if (fake.isDown) {
			return;
		}

		const former = fake.executor;
		executors.restart(fake, {downMs: durationMs, clockMs});
		const next = fake.executor;
		const isLapsed = durationMs + registeredAfterMs > registrationTtlMs;
		if (isLapsed) {
			clock.schedule(registrationTtlMs, () => {
				store.setListed(former.id, false);
			});
		}

		clock.schedule(durationMs + registeredAfterMs, () => {
			if (isLapsed) {
				store.setListed(next.id, true);
			}

			store.addExecutor(next);
			if (fault.hasLateRegistration) {
				store.addExecutor(former);
				clock.schedule(heartbeatMs, () => {
					store.addExecutor(fake.executor);
				});
			}
		});
	});
	return doNothing;
}

/** While several of these faults overlap on one executor, the smallest share applies. */
function startShrink(
	fault: ShrinkFault,
	{executors, store, activeShrinks}: FaultySystem,
): () => void {
	const fake = executors.fakes[fault.executor]!;
	const fullCapacity: TaskDemand = fake.capacityHistory[0]!.capacity;
	const publishCapacity = () => {
		const shares = [...activeShrinks]
			.filter(({executor}) => executor === fault.executor)
			.map(({share}) => share);
		const cpu = Math.floor(fullCapacity.cpu * Math.min(1, ...shares));
		const {capacity} = executors.setCapacity(fake, {...fullCapacity, cpu});
		store.setCapacity(fake.executor.id, capacity);
	};

	activeShrinks.add(fault);
	publishCapacity();
	return () => {
		activeShrinks.delete(fault);
		publishCapacity();
	};
}

function doNothing(): void {
	// These faults end by themselves.
}
