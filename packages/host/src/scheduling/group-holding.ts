/**
Whether this host schedules the executors of its data centre: it takes the group when its holder
is gone, and gives it up when another has a higher token.

The store arbitrates: the key of the group changes hands by compare-and-swap, and its revision
gives the fencing token. When the store is away, the executors' fence alone decides, which is safe
in any case; the delays of `choose-holder` keep hosts from taking the group from one another.
*/
import {errAsync} from 'neverthrow';
import {
	computeSlot,
	computeTakeoverDelay,
	GroupScheduler,
	holderSilenceMs,
	isVacant,
	makeStorelessToken,
	makeStoreToken,
	type CoordinationStore,
	type Executor,
	type GroupDirectory,
	type GroupPorts,
	type HolderView,
	type KnownGroup,
	type StoreFailure,
} from '@gentianshift/scheduling';

export type GroupHoldingOptions = {
	/** The data centre whose executors are scheduled. */
	group: string;
	/** This host's key. */
	self: string;
	/** This process, as the store names it: `<host key>.<incarnation>`. */
	selfId: string;
	/** Whether a host is known to run as another process than this one. */
	isOver: (processId: string) => boolean;
	store: CoordinationStore;
	groups: GroupDirectory;
	now: () => number;
	/** Hosts of the data centre that could hold the group, in the order of takeover. */
	listOrder: () => readonly string[];
	/** Without any peer and without the store this host can't know whether it is the one cut off. */
	hasPeers: () => boolean;
	getLeaseId: () => number | undefined;
	listExecutors: () => readonly Executor[];
	/** Reads the executors anew; resolves when they are read, or can't be. */
	readExecutors: () => Promise<void>;
	ports: Omit<GroupPorts, 'group' | 'token' | 'now' | 'onFenced' | 'log'>;
	/** This host has taken the group, or given it up. */
	onChange: () => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

/** After executors obeyed another, this host leaves the group alone for this long. */
const fencedRestMs = 1000;
/** Pause before a group that could not be taken is tried again: each try costs two calls of the store. */
const retryMs = 150;

export class GroupHolding {
	readonly #options: GroupHoldingOptions;
	#scheduler: GroupScheduler | undefined;
	#token = 0;
	#vacantSince: number | undefined;
	#isTaking = false;
	#restsUntil = 0;
	/** A holder that the store names and that was not heard of, and since when. */
	#unheard: {id: string; since: number} | undefined;

	constructor(options: GroupHoldingOptions) {
		this.#options = options;
	}

	/** The scheduler while this host holds the group. */
	get scheduler(): GroupScheduler | undefined {
		return this.#scheduler;
	}

	/** Looks whether the group needs a holder, or has a newer one; to be called each 50 ms or so. */
	update(): void {
		if (!this.#scheduler) {
			this.#decideTakeover();
			return;
		}

		this.releaseIfReplaced();
		this.#scheduler?.update();
	}

	/** To be called as soon as another holder is heard of: an executor that has just come has seen no token, and would obey both. */
	releaseIfReplaced(): void {
		const {groups, group} = this.#options;
		const known = groups.findGroup(group);
		if (this.#scheduler && known && this.#isSuperseded(known)) {
			this.#giveUp('another host has a higher token', known.holder);
		}
	}

	/** Ends at once; the next holder finds what runs. */
	stop(): void {
		if (this.#scheduler) {
			this.#giveUp('this host stops');
		}
	}

	setExecutors(executors: readonly Executor[]): void {
		this.#scheduler?.setExecutors(this.#listOwn(executors));
	}

	#isSuperseded({state, holder}: KnownGroup): boolean {
		return (
			state.token > this.#token ||
			(state.token === this.#token && holder !== this.#options.self)
		);
	}

	#decideTakeover(): void {
		const {now, self, listOrder} = this.#options;
		const at = now();
		const rank = listOrder().indexOf(self);
		if (
			rank === -1 ||
			at < this.#restsUntil ||
			!isVacant(this.#viewHolder(at))
		) {
			this.#vacantSince = undefined;
			return;
		}

		this.#vacantSince ??= at;
		const waited = at - this.#vacantSince;
		const isReached =
			this.#options.ports.getStoreAgeMs() <
			computeTakeoverDelay(0, {isStoreReached: false});
		if (
			waited >= computeTakeoverDelay(rank, {isStoreReached: isReached}) &&
			!this.#isTaking
		) {
			void this.#take(isReached);
		}
	}

	#viewHolder(at: number): HolderView {
		const {groups, group, self, ports} = this.#options;
		const known = groups.findGroup(group);
		return {
			holder: known && {
				// What this host held itself before is vacant now.
				isSelf: false,
				isReleased: known.state.isReleased || known.holder === self,
				isLeaving: known.state.isLeaving || known.state.successor === self,
				silentMs: at - known.heardAt,
				storeAgeMs: known.state.storeAgeMs,
			},
			ownStoreAgeMs: ports.getStoreAgeMs(),
			isOwnListComplete: ports.isListComplete(),
		};
	}

	async #take(isStoreReached: boolean): Promise<void> {
		this.#isTaking = true;
		const token = isStoreReached
			? await this.#takeByStore()
			: this.#takeWithoutStore();
		if (token !== undefined && isStoreReached) {
			// A host that does not hold the group knows them as of some seconds ago: it would
			// start tasks on an executor that has begun to drain since.
			await this.#options.readExecutors();
		}

		this.#isTaking = false;
		if (token === undefined) {
			this.#restsUntil = this.#options.now() + retryMs;
			return;
		}

		this.#open(token, isStoreReached);
	}

	async #takeByStore(): Promise<number | undefined> {
		const {store, group, selfId, getLeaseId, log} = this.#options;
		const leaseId = getLeaseId();
		if (leaseId === undefined) {
			return undefined;
		}

		const key = `gentianshift/groups/${group}`;
		const result = await store.readKey(key).andThen((item) => {
			const obstacle = this.#findObstacle(item?.value);
			return obstacle === undefined
				? store.commit({
						expected: [{key, revision: item?.revision ?? 0}],
						write: [{key, value: selfId, leaseId}],
					})
				: errAsync<{revision: number}, StoreFailure>({
						code: 'conflict',
						message: obstacle,
					});
		});
		if (result.isErr()) {
			log('group is not taken', {
				group,
				code: result.error.code,
				reason: result.error.message,
			});
			return undefined;
		}

		return makeStoreToken(result.value.revision);
	}

	/** Why the group is not taken, as far as it has shown since it was found vacant; undefined: nothing. */
	#findObstacle(holderId: string | undefined): string | undefined {
		if (!isVacant(this.#viewHolder(this.#options.now()))) {
			return `held by ${holderId ?? 'nobody by the store'}, heard of meanwhile`;
		}

		return this.#isUnheard(holderId)
			? `held by ${holderId ?? ''}, not heard of yet`
			: undefined;
	}

	/**
	Whether the store names a holder that may live although this host has not heard its state yet,
	as both have just started. Taken from it at once, the group would change hands twice while the
	first callers come.
	*/
	#isUnheard(holderId: string | undefined): boolean {
		const {groups, group, self, isOver, now} = this.#options;
		const known = groups.findGroup(group)?.holder;
		const isOwn = holderId?.startsWith(`${self}.`);
		const isHeard = known !== undefined && holderId?.startsWith(`${known}.`);
		const isSettled = [isOwn, isHeard].includes(true);
		if (holderId === undefined || isSettled || isOver(holderId)) {
			this.#unheard = undefined;
			return false;
		}

		if (this.#unheard?.id !== holderId) {
			this.#unheard = {id: holderId, since: now()};
		}

		return now() - this.#unheard.since < holderSilenceMs;
	}

	#takeWithoutStore(): number | undefined {
		const {groups, group, hasPeers, self} = this.#options;
		const lastToken = groups.findGroup(group)?.state.token;
		return lastToken === undefined || !hasPeers()
			? undefined
			: makeStorelessToken(lastToken, computeSlot(self));
	}

	#open(token: number, isStoreReached: boolean): void {
		const {group, groups, now, ports, listExecutors, log, onChange, self} =
			this.#options;
		const known = groups.findGroup(group);
		if (known && known.state.token >= token) {
			return;
		}

		log('group taken', {
			group,
			token,
			before: known?.state.token,
			formerHolder: known?.holder,
			isStoreReached,
		});
		this.#token = token;
		this.#vacantSince = undefined;
		this.#scheduler = new GroupScheduler({
			...ports,
			group,
			token,
			now,
			log,
			onFenced: () => {
				this.#giveUp('executors obey another');
				this.#restsUntil = now() + fencedRestMs;
			},
		});
		groups.update(self, this.#scheduler.describeState(), now());
		this.#scheduler.setExecutors(this.#listOwn(listExecutors()));
		onChange();
	}

	#giveUp(reason: string, successor?: string): void {
		const scheduler = this.#scheduler;
		if (!scheduler) {
			return;
		}

		this.#options.log('group given up', {
			group: this.#options.group,
			token: this.#token,
			reason,
			successor,
		});
		this.#scheduler = undefined;
		scheduler.close();
		const state = scheduler.describeState();
		const known = this.#options.groups.findGroup(state.group);
		if (known?.state.token === this.#token) {
			this.#options.groups.update(
				this.#options.self,
				state,
				this.#options.now(),
			);
		}

		this.#options.onChange();
	}

	#listOwn(executors: readonly Executor[]): Executor[] {
		const {group} = this.#options;
		return executors.filter(({dataCentre}) => dataCentre === group);
	}
}
