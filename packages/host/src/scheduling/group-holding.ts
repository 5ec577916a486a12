/**
Whether this host schedules the executors of its data centre. It takes the group when the holder is
gone, and gives it up when another host has a higher fencing token.

The store arbitrates: the group's key changes hands by compare-and-swap, and the key's revision
gives the fencing token. While the store is unavailable, only the executors' check of the token
decides. That is safe in any case; the delays in `choose-holder` keep hosts from taking the group
from one another again and again.
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
	/** This host's key, `<data centre>_<host>`. */
	self: string;
	/** This process as the store names it: `<host key>.<incarnation>`. */
	selfId: string;
	/** Whether the process is known to have ended: its host now runs as another process. */
	isOver: (processId: string) => boolean;
	store: CoordinationStore;
	groups: GroupDirectory;
	now: () => number;
	/**
	Hosts of the data centre that could hold the group, in the order in which they take it over.
	*/
	listOrder: () => readonly string[];
	/**
	Whether any other host is connected. Without peers and without the store this host cannot know
	whether it is the one that is cut off, so it does not take the group.
	*/
	hasPeers: () => boolean;
	getLeaseId: () => number | undefined;
	listExecutors: () => readonly Executor[];
	/** Reads the list of executors again; resolves when it has been read, or can't be. */
	readExecutors: () => Promise<void>;
	ports: Omit<GroupPorts, 'group' | 'token' | 'now' | 'onFenced' | 'log'>;
	/** This host has taken the group, or given it up. */
	onChange: () => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

/** How long this host does not take the group after executors have obeyed another holder. */
const fencedRestMs = 1000;
/** Pause after a failed takeover: each attempt costs two calls of the store. */
const retryMs = 150;

export class GroupHolding {
	readonly #options: GroupHoldingOptions;
	#scheduler: GroupScheduler | undefined;
	#token = 0;
	#vacantSince: number | undefined;
	#isTaking = false;
	#restsUntil = 0;
	/** The holder that the store names and whose state has not arrived yet, and since when. */
	#unheard: {id: string; since: number} | undefined;

	constructor(options: GroupHoldingOptions) {
		this.#options = options;
	}

	/** The scheduler while this host holds the group. */
	get scheduler(): GroupScheduler | undefined {
		return this.#scheduler;
	}

	/**
	Checks whether the group needs a holder or has a newer one; to be called about every 50 ms.
	*/
	update(): void {
		if (!this.#scheduler) {
			this.#decideTakeover();
			return;
		}

		this.releaseIfReplaced();
		this.#scheduler?.update();
	}

	/**
	Gives the group up if another host has a higher token. To be called as soon as another holder's
	state arrives: an executor that has just started has seen no token yet, and would obey both
	holders.
	*/
	releaseIfReplaced(): void {
		const {groups, group} = this.#options;
		const known = groups.findGroup(group);
		if (this.#scheduler && known && this.#isSuperseded(known)) {
			this.#giveUp('another host has a higher token', known.holder);
		}
	}

	/** Gives the group up at once; the next holder finds the tasks that still run. */
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
				// This host runs no scheduler now, so a group that it held before is vacant.
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
			// This host did not hold the group, so its list of executors may be seconds old. With
			// that list it would start tasks on an executor that has begun to drain since.
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

	/**
	Why this host must not take the group, checked again once the store has answered, as another
	holder's state may have arrived meanwhile; undefined: it may.
	*/
	#findObstacle(holderId: string | undefined): string | undefined {
		if (!isVacant(this.#viewHolder(this.#options.now()))) {
			return `held by ${holderId ?? 'nobody by the store'}; a holder's state arrived meanwhile`;
		}

		return this.#isUnheard(holderId)
			? `held by ${holderId ?? ''}, whose state has not arrived yet`
			: undefined;
	}

	/**
	Whether the store names a holder that may be alive although its state has not arrived here, as
	when both hosts have just started. If the group were taken from it at once, the group would
	change hands twice while the first callers arrive.
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
