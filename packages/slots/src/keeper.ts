/**
The keeper of one target's slots in this host's data centre: carries the decisions of the
decisions package to borrowers and to the keepers of other data centres.

A keeper's state is soft. What goes wrong: the keeper dies, freezes or is cut off, and another
host takes the role by its own view. Noticed by the borrowers, whose lease lapses within
`leaseTermMs`. The new keeper lends nothing until every live host has told what it holds, or a
whole lease term has passed, so that no slot is lent twice beyond that overlap.
*/
import {
	createLender,
	type Demand,
	type Grant,
	type LendingDecisions,
} from '@gentianshift/decisions';
import {type MessageOf} from '@gentianshift/protocol';
import {runAfterReading} from './after-reading.js';
import {leaseTermMs, type SlotPorts} from './ports.js';

/** Soonest that "free" or "none free" is told again to other data centres. */
const stateEveryMs = 5;

/** Slots another data centre's keeper last said to have free, less those asked for since. */
type Remote = {free: number};

export class Keeper {
	readonly target: string;
	readonly #ports: SlotPorts;
	readonly #term: number;
	readonly #lender;
	readonly #remotes = new Map<string, Remote>();
	readonly #awaited: Set<string>;
	readonly #startedAt: number;
	/** The process that each host was last heard as. */
	readonly #processes = new Map<string, string>();
	/** By host: a process whose slots are kept back as it may still start tasks. */
	readonly #lostOwners = new Map<string, string>();
	#recoveryTimer: NodeJS.Timeout | undefined;
	#timer: NodeJS.Timeout | undefined;
	#timerAt = Infinity;
	#isScheduled = false;
	#isStopped = false;
	#isHungry = false;
	/** Borrowers that were last told that nothing waits. */
	readonly #sated = new Set<string>();
	#toldFree = -1;
	#toldAt = 0;
	/** News that came too soon after what was told last is told then. */
	#stateDueAt = Infinity;

	constructor(target: string, ports: SlotPorts) {
		this.target = target;
		this.#ports = ports;
		// Numbers of another range than the keeper's before, whose slots are taken over.
		this.#term = Math.floor(ports.random() * 2 ** 40);
		this.#lender = createLender({firstSlot: this.#term, leaseMs: leaseTermMs});
		this.#awaited = new Set(ports.listPeers());
		this.#startedAt = ports.now();
		this.refreshResources();
		this.#startRecovery();
	}

	/** Executors or teams changed. */
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
		this.#lender.demand(toDemand(ownerId, message), this.#ports.now());
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
	The answer waits until all that has come is read. After a pause of this host, that an executor is
	leaving may lie unread: its owner here, asking by a late timer, would start a task there.
	*/
	receiveLease(ownerId: string, message: MessageOf<'lease'>): void {
		if (message.held) {
			this.#lender.restoreSlots(ownerId, message.held, this.#ports.now());
		}

		for (const {slot, result, runMs} of message.reports) {
			this.#lender.report(slot, {result, runMs}, this.#ports.now());
		}

		runAfterReading(() => {
			this.#answerLease(ownerId, message.sequence);
		});
	}

	/** A keeper of another data centre asks for its owner. */
	receiveShift(senderId: string, message: MessageOf<'shift'>): void {
		const now = this.#ports.now();
		const demand = toDemand(message.owner, message.demand);
		const grants = this.#lender.shiftIn(demand, message.count, now);
		this.#sendGrants(message.owner, grants);
		const {free} = this.#lender.readState(now);
		// The asker goes on from this figure; what comes back must be news to it.
		this.#toldFree = free;
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
		this.#noteRemote(dataCentre, message.free);
		this.#lender.settleShift(message.owner, message.job, {
			asked: message.count,
			granted: message.granted,
			now: this.#ports.now(),
		});
		this.#schedule();
	}

	receiveState(message: MessageOf<'keeper-state'>): void {
		this.#noteRemote(message.dataCentre, message.free);
		this.#schedule();
	}

	/** A host told what it holds, in answer to this keeper's question. */
	receiveHeld(
		ownerId: string,
		hostKey: string,
		message: MessageOf<'held'>,
	): void {
		this.#lender.restoreSlots(ownerId, message.slots, this.#ports.now());
		this.#awaited.delete(hostKey);
		if (this.#awaited.size === 0) {
			this.#finishRecovery();
		}
	}

	/** The owner's process is gone, or its connection: its slots are quarantined. */
	dropOwner(ownerId: string, hostKey: string): void {
		this.#sated.delete(ownerId);
		this.#quarantine(ownerId, hostKey);
		if (this.#awaited.delete(hostKey) && this.#awaited.size === 0) {
			this.#finishRecovery();
		}

		this.#schedule();
	}

	/**
	A host speaks as this process. Another one that it ran before is gone, and starts nothing under its lease any more: its
	slots are not kept back for that long.
	*/
	noteOwner(ownerId: string, hostKey: string): void {
		this.#processes.set(hostKey, ownerId);
		const lost = this.#lostOwners.get(hostKey);
		if (lost === undefined || lost === ownerId) {
			return;
		}

		this.#lostOwners.delete(hostKey);
		this.#lender.noteGone(lost);
		this.#writeLog('a lost owner is gone: its host runs another process', {
			owner: lost,
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
		const process = this.#processes.get(hostKey);
		const isGone = process !== undefined && process !== ownerId;
		const {slots, forMs} = this.#lender.dropOwner(
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
		this.#writeLog('keeper begins: asking hosts what they hold', {
			hosts: this.#awaited.size,
		});
		const {dataCentre, sendToHost} = this.#ports;
		for (const peer of this.#awaited) {
			sendToHost(peer, {t: 'ask-held', target: this.target, dataCentre});
		}

		if (this.#awaited.size === 0) {
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
			unanswered: [...this.#awaited],
		});
		this.#lender.finishRecovery(this.#ports.now());
		this.#schedule();
	}

	/** One decision for all messages of a loop turn. */
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
		this.#updateHunger(now);
		this.#tellState(now);
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
			this.#shift(owner, job, count, now);
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
				isHungry: this.#tellHunger(owner),
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

	#answerLease(ownerId: string, sequence: number): void {
		if (this.#isStopped) {
			return;
		}

		this.#ports.sendToOwner(ownerId, {
			t: 'leased',
			target: this.target,
			sequence,
			term: this.#term,
			leaving: this.#listLeaving(),
			isHungry: this.#tellHunger(ownerId),
		});
	}

	/** Asks the data centre with the most known free slots; at most once in a while where none was. */
	#shift(owner: string, job: number, count: number, now: number): void {
		const demand = this.#lender.readDemand(owner, job);
		const best = this.#findFreest();
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
			this.#lender.startShift(owner, job, asked, now);
		} else {
			remote.free = 0;
		}
	}

	#findFreest(): [string, Remote] | undefined {
		let best: [string, Remote] | undefined;
		for (const entry of this.#remotes) {
			if (entry[1].free > (best?.[1].free ?? 0)) {
				best = entry;
			}
		}

		return best;
	}

	#countRemoteFree(): number {
		let sum = 0;
		for (const remote of this.#remotes.values()) {
			sum += remote.free;
		}

		return sum;
	}

	#noteRemote(dataCentre: string, free: number): void {
		this.#remotes.set(dataCentre, {free});
	}

	/** Tells the other data centres' keepers when "free" turns to "none free" or back. */
	#tellState(now: number): void {
		const {free, slots, queuedWorkMs} = this.#lender.readState(now);
		const isNews =
			free > 0 !== this.#toldFree > 0 ||
			Math.abs(free - this.#toldFree) > slots / 8;
		const isDue =
			now - this.#toldAt > (isNews ? stateEveryMs : leaseTermMs / 4);
		this.#stateDueAt =
			isNews && !isDue ? this.#toldAt + stateEveryMs : Infinity;
		if (!isDue || free === this.#toldFree) {
			return;
		}

		this.#toldFree = free;
		this.#toldAt = now;
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

	/** Borrowers that gather what they give back must stop as soon as work waits. */
	#updateHunger(now: number): void {
		this.#isHungry = this.#lender.readState(now).queuedTasks > 0;
		if (!this.#isHungry) {
			return;
		}

		for (const owner of this.#sated) {
			this.#ports.sendToOwner(owner, {t: 'hunger', target: this.target});
		}

		this.#sated.clear();
	}

	/** Notes what a borrower is told with a message to it. */
	#tellHunger(owner: string): boolean {
		if (!this.#isHungry) {
			this.#sated.add(owner);
		}

		return this.#isHungry;
	}

	#setTimer(now: number): void {
		const next = Math.min(
			this.#lender.nextDecisionAt(now) ?? Infinity,
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
