/**
The keeper of one target's slots in this host's data centre. It sends the lending decisions, which the
decisions package makes, to borrowers and to the keepers of other data centres.

A keeper's state is held in memory only. If the keeper dies, freezes or is partitioned, another host
takes the role as soon as its own view says so. Borrowers detect this because their leases expire
within `leaseTermMs`. The new keeper lends nothing until every live host has reported the slots that
it holds, or until a whole lease term has passed. A slot can therefore be lent twice only within that
overlap.
*/
import {
	createLender,
	type Demand,
	type Grant,
	type LendingDecisions,
} from '@gentianshift/decisions';
import {type MessageOf} from '@gentianshift/protocol';
import {runAfterNextPoll} from './after-next-poll.js';
import {leaseTermMs, type SlotPorts} from './ports.js';

/** Shortest interval in milliseconds between state messages to other data centres after a relevant change. */
const minStateIntervalMs = 5;

/** Number of free slots that another data centre's keeper last reported, less those requested since. */
type RemoteCapacity = {free: number};

export class Keeper {
	readonly target: string;
	readonly #ports: SlotPorts;
	readonly #term: number;
	readonly #lender;
	readonly #remoteCapacities = new Map<string, RemoteCapacity>();
	readonly #unansweredPeers: Set<string>;
	readonly #startedAt: number;
	/** Owner ID of the latest process known for each host, by host key. */
	readonly #currentOwners = new Map<string, string>();
	/** Owner IDs, by host key, of lost processes whose slots are quarantined because they may still start tasks. */
	readonly #lostOwners = new Map<string, string>();
	#recoveryTimer: NodeJS.Timeout | undefined;
	#timer: NodeJS.Timeout | undefined;
	#timerAt = Infinity;
	#isScheduled = false;
	#isStopped = false;
	#hasQueuedTasks = false;
	/** Owner IDs of the borrowers whose last message from this keeper said that no tasks are queued. */
	readonly #unawareOfQueue = new Set<string>();
	#sentFree = -1;
	#stateSentAt = 0;
	/** Time of the next state message, if a change occurred too soon after the last one; else infinite. */
	#stateDueAt = Infinity;

	constructor(target: string, ports: SlotPorts) {
		this.target = target;
		this.#ports = ports;
		// A random range of slot numbers, so that they differ from the previous keeper's, whose slots are taken over.
		this.#term = Math.floor(ports.random() * 2 ** 40);
		this.#lender = createLender({firstSlot: this.#term, leaseMs: leaseTermMs});
		this.#unansweredPeers = new Set(ports.listPeerHosts());
		this.#startedAt = ports.now();
		this.refreshResources();
		this.#startRecovery();
	}

	/** Must be called when executors or teams have changed. */
	refreshResources(): void {
		const {dataCentre, listExecutors, isLeaving, listShares, now} = this.#ports;
		const executors = listExecutors(this.target, dataCentre).map(
			(executor) => ({
				name: executor.name,
				slots: executor.slots,
				isLeaving: isLeaving(this.target, executor),
			}),
		);
		this.#lender.setExecutors(executors, now());
		this.#lender.setTeams(listShares(this.target));
		this.#schedule();
	}

	receiveDemand(ownerId: string, message: MessageOf<'demand'>): void {
		this.#lender.updateDemand(toDemand(ownerId, message), this.#ports.now());
		this.#schedule();
	}

	receiveWithdraw(ownerId: string, message: MessageOf<'withdraw'>): void {
		this.#lender.withdraw(ownerId, message.job);
		this.#schedule();
	}

	receiveRelease(message: MessageOf<'release'>): void {
		for (const {slot, result, runMs} of message.slots) {
			this.#lender.release(slot, {result, runMs}, this.#ports.now());
		}

		this.#schedule();
	}

	/**
	Answers only once all input that has arrived is read. After a pause of this host, the message that an
	executor is leaving may still be unread. If the borrower on this host requested its lease by a
	delayed timer and got an answer at once, it would start a task on that executor.
	*/
	receiveLease(ownerId: string, message: MessageOf<'lease'>): void {
		if (message.held) {
			this.#lender.restoreSlots(ownerId, message.held, this.#ports.now());
		}

		for (const {slot, result, runMs} of message.reports) {
			this.#lender.recordOutcome(slot, {result, runMs}, this.#ports.now());
		}

		runAfterNextPoll(() => {
			this.#answerLeaseRequest(ownerId, message.sequence);
		});
	}

	/** Handles a request of another data centre's keeper for slots for one of its borrowers. */
	receiveShift(senderId: string, message: MessageOf<'shift'>): void {
		const now = this.#ports.now();
		const demand = toDemand(message.owner, message.demand);
		const grants = this.#lender.grantToForeign(demand, message.count, now);
		this.#sendGrants(message.owner, grants);
		const {free} = this.#lender.readState(now);
		// The requesting keeper continues from this figure. Without this line, a return to the figure sent
		// before would not count as a change and would not be sent to it.
		this.#sentFree = free;
		this.#ports.sendToOwner(senderId, {
			t: 'shifted',
			target: this.target,
			owner: message.owner,
			job: message.demand.job,
			count: message.count,
			granted: grants.length,
			free,
		});
		if (grants.length < message.count) {
			this.#ports.countWasted('shift-empty');
		}
	}

	receiveShifted(dataCentre: string, message: MessageOf<'shifted'>): void {
		this.#setRemoteFree(dataCentre, message.free);
		this.#lender.applyRemoteAnswer(message.owner, message.job, {
			asked: message.count,
			granted: message.granted,
			now: this.#ports.now(),
		});
		this.#schedule();
	}

	receiveState(message: MessageOf<'keeper-state'>): void {
		this.#setRemoteFree(message.dataCentre, message.free);
		this.#schedule();
	}

	/** Handles a host's list of held slots, its answer to this keeper's `ask-held`. */
	receiveHeld(
		ownerId: string,
		hostKey: string,
		message: MessageOf<'held'>,
	): void {
		this.#lender.restoreSlots(ownerId, message.slots, this.#ports.now());
		this.#unansweredPeers.delete(hostKey);
		if (this.#unansweredPeers.size === 0) {
			this.#finishRecovery();
		}
	}

	/** Must be called when an owner's process or connection is lost: the owner's slots are quarantined. */
	dropOwner(ownerId: string, hostKey: string): void {
		this.#unawareOfQueue.delete(ownerId);
		this.#quarantine(ownerId, hostKey);
		if (
			this.#unansweredPeers.delete(hostKey) &&
			this.#unansweredPeers.size === 0
		) {
			this.#finishRecovery();
		}

		this.#schedule();
	}

	/**
	Records which process a host runs now. Its previous process has ended and can't start tasks under
	its lease any more, so the quarantine of that process's slots need not last for the lease term.
	*/
	recordOwner(ownerId: string, hostKey: string): void {
		this.#currentOwners.set(hostKey, ownerId);
		const lostOwnerId = this.#lostOwners.get(hostKey);
		if (lostOwnerId === undefined || lostOwnerId === ownerId) {
			return;
		}

		this.#lostOwners.delete(hostKey);
		this.#lender.recordOwnerExit(lostOwnerId);
		this.#writeLog('a lost owner is gone: its host runs another process', {
			owner: lostOwnerId,
			successor: ownerId,
		});
		this.#schedule();
	}

	readState() {
		return this.#lender.readState(this.#ports.now());
	}

	stop(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		clearTimeout(this.#recoveryTimer);
	}

	#writeLog(message: string, fields: Record<string, unknown>): void {
		const {target} = this;
		const {dataCentre, log} = this.#ports;
		log(message, {target, dataCentre, term: this.#term, ...fields});
	}

	#quarantine(ownerId: string, hostKey: string): void {
		const currentOwner = this.#currentOwners.get(hostKey);
		const isGone = currentOwner !== undefined && currentOwner !== ownerId;
		const {slots, maxQuarantineMs: forMs} = this.#lender.dropOwner(
			ownerId,
			this.#ports.now(),
			isGone,
		);
		if (slots === 0) {
			return;
		}

		if (!isGone) {
			this.#lostOwners.set(hostKey, ownerId);
		}

		this.#writeLog('slots of a lost owner are not lent for a while', {
			owner: ownerId,
			slots,
			forMs: Math.round(forMs),
			isGone,
		});
	}

	#startRecovery(): void {
		this.#lender.startRecovery(this.#ports.now());
		this.#writeLog('keeper starts: asking hosts which slots they hold', {
			hosts: this.#unansweredPeers.size,
		});
		const {dataCentre, sendToHost} = this.#ports;
		for (const peer of this.#unansweredPeers) {
			sendToHost(peer, {t: 'ask-held', target: this.target, dataCentre});
		}

		if (this.#unansweredPeers.size === 0) {
			this.#finishRecovery();
			return;
		}

		this.#recoveryTimer = setTimeout(() => {
			this.#finishRecovery();
		}, leaseTermMs);
	}

	#finishRecovery(): void {
		clearTimeout(this.#recoveryTimer);
		this.#writeLog('keeper lends', {
			waitedMs: Math.round(this.#ports.now() - this.#startedAt),
			unanswered: [...this.#unansweredPeers],
		});
		this.#lender.finishRecovery(this.#ports.now());
		this.#schedule();
	}

	/** Schedules one round of decisions for all messages of an event loop turn. */
	#schedule(): void {
		if (this.#isScheduled || this.#isStopped) {
			return;
		}

		this.#isScheduled = true;
		setImmediate(() => {
			this.#isScheduled = false;
			this.#decide();
		});
	}

	#decide(): void {
		if (this.#isStopped) {
			return;
		}

		const now = this.#ports.now();
		this.#lender.setRemoteFree(this.#countRemoteFree());
		this.#carryOut(this.#lender.decide(now), now);
		this.#updateHasQueuedTasks(now);
		this.#sendState(now);
		this.#setTimer(now);
	}

	#carryOut(
		{grants, refusals, recalls, shortages}: LendingDecisions,
		now: number,
	): void {
		for (const [owner, list] of groupByOwner(grants)) {
			this.#sendGrants(owner, list);
		}

		for (const {owner, job, code, retryAfterMs} of refusals) {
			this.#ports.sendToOwner(owner, {
				t: 'refuse',
				target: this.target,
				job,
				code,
				retryAfterMs,
			});
		}

		for (const {owner, slots} of recalls) {
			this.#ports.sendToOwner(owner, {t: 'recall', target: this.target, slots});
		}

		for (const {owner, job, count} of shortages) {
			this.#sendShift(owner, job, count, now);
		}
	}

	#sendGrants(owner: string, grants: readonly Grant[]): void {
		if (grants.length === 0) {
			return;
		}

		const slots = grants.map(({executor, slot, job}) => ({
			executor,
			slot,
			job,
		}));
		if (
			!this.#ports.sendToOwner(owner, {
				t: 'grant',
				target: this.target,
				isHungry: this.#recordQueueNotice(owner),
				slots,
			})
		) {
			for (const {slot} of grants) {
				this.#lender.release(
					slot,
					{result: 'unused', runMs: 0},
					this.#ports.now(),
				);
			}
		}
	}

	#answerLeaseRequest(ownerId: string, sequence: number): void {
		if (this.#isStopped) {
			return;
		}

		this.#ports.sendToOwner(ownerId, {
			t: 'leased',
			target: this.target,
			sequence,
			term: this.#term,
			leaving: this.#listLeaving(),
			isHungry: this.#recordQueueNotice(ownerId),
		});
	}

	/**
	Requests slots from the data centre with the most free slots known here. A data centre that has none,
	or can't be reached, isn't asked again until its keeper reports free slots.
	*/
	#sendShift(owner: string, job: number, count: number, now: number): void {
		const demand = this.#lender.findDemand(owner, job);
		const best = this.#findMostFree();
		if (!demand || !best) {
			return;
		}

		const [dataCentre, remote] = best;
		const asked = Math.min(count, remote.free);
		const keeper = this.#ports.findKeeper(this.target, dataCentre);
		const {owner: _, ...rest} = demand;
		const isSent =
			keeper !== undefined &&
			this.#ports.sendToHost(keeper, {
				t: 'shift',
				target: this.target,
				owner,
				demand: {t: 'demand', target: this.target, ...rest},
				count: asked,
			});
		if (isSent) {
			remote.free -= asked;
			this.#lender.recordRemoteRequest(owner, job, asked, now);
		} else {
			remote.free = 0;
		}
	}

	#findMostFree(): [string, RemoteCapacity] | undefined {
		let best: [string, RemoteCapacity] | undefined;
		for (const entry of this.#remoteCapacities) {
			if (entry[1].free > (best?.[1].free ?? 0)) {
				best = entry;
			}
		}

		return best;
	}

	#countRemoteFree(): number {
		let sum = 0;
		for (const remote of this.#remoteCapacities.values()) {
			sum += remote.free;
		}

		return sum;
	}

	#setRemoteFree(dataCentre: string, free: number): void {
		this.#remoteCapacities.set(dataCentre, {free});
	}

	/**
	Sends the number of free slots to the other data centres' keepers: soon when it becomes zero or
	ceases to be, or has changed by more than an eighth of all slots; else after a quarter of a lease term.
	*/
	#sendState(now: number): void {
		const {free, slots, queuedWorkMs} = this.#lender.readState(now);
		const isRelevantChange =
			free > 0 !== this.#sentFree > 0 ||
			Math.abs(free - this.#sentFree) > slots / 8;
		const isDue =
			now - this.#stateSentAt >
			(isRelevantChange ? minStateIntervalMs : leaseTermMs / 4);
		this.#stateDueAt =
			isRelevantChange && !isDue
				? this.#stateSentAt + minStateIntervalMs
				: Infinity;
		if (!isDue || free === this.#sentFree) {
			return;
		}

		this.#sentFree = free;
		this.#stateSentAt = now;
		const {dataCentre, listDataCentres, findKeeper, sendToHost} = this.#ports;
		for (const other of listDataCentres(this.target)) {
			const keeper =
				other === dataCentre ? undefined : findKeeper(this.target, other);
			if (keeper !== undefined) {
				sendToHost(keeper, {
					t: 'keeper-state',
					target: this.target,
					dataCentre,
					free,
					slots,
					queuedMs: queuedWorkMs,
				});
			}
		}
	}

	/** Informs borrowers as soon as tasks are queued, so that they stop buffering the slots they return. */
	#updateHasQueuedTasks(now: number): void {
		this.#hasQueuedTasks = this.#lender.readState(now).queuedTasks > 0;
		if (!this.#hasQueuedTasks) {
			return;
		}

		for (const owner of this.#unawareOfQueue) {
			this.#ports.sendToOwner(owner, {t: 'hunger', target: this.target});
		}

		this.#unawareOfQueue.clear();
	}

	/** Returns the `isHungry` value for a message to a borrower (whether tasks are queued) and records that it is sent. */
	#recordQueueNotice(owner: string): boolean {
		if (!this.#hasQueuedTasks) {
			this.#unawareOfQueue.add(owner);
		}

		return this.#hasQueuedTasks;
	}

	#setTimer(now: number): void {
		const next = Math.min(
			this.#lender.findNextDecisionAt(now) ?? Infinity,
			now + leaseTermMs / 4,
			this.#stateDueAt,
		);
		if (next >= this.#timerAt && this.#timerAt > now) {
			return;
		}

		clearTimeout(this.#timer);
		this.#timerAt = next;
		this.#timer = setTimeout(
			() => {
				this.#timerAt = Infinity;
				this.#decide();
			},
			Math.max(1, next - now),
		);
	}

	#listLeaving(): string[] {
		const {dataCentre, listExecutors, isLeaving} = this.#ports;
		return listExecutors(this.target, dataCentre)
			.filter((executor) => isLeaving(this.target, executor))
			.map(({name}) => name);
	}
}

function toDemand(
	owner: string,
	{t, target, ...demand}: MessageOf<'demand'>,
): Demand {
	return {owner, ...demand};
}

function groupByOwner(grants: readonly Grant[]): Map<string, Grant[]> {
	const groups = new Map<string, Grant[]>();
	for (const grant of grants) {
		const group = groups.get(grant.owner) ?? [];
		group.push(grant);
		groups.set(grant.owner, group);
	}

	return groups;
}
