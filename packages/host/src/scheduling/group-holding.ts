/**
Whether this host schedules a group of executors of its data centre. It takes the group when it has no
working holder, and gives it up when another host has a higher fencing token.

The store arbitrates: the group's key changes hands by compare-and-swap, and the key's revision
gives the fencing token. While the store is unavailable, only the executors' check of the token
decides. That is safe in any case; the delays of `computeTakeoverDelay` keep hosts from taking the
group from one another again and again.
*/
import {errAsync} from 'neverthrow';
import {
	computeSlot,
	computeTakeoverDelay,
	getDataCentre,
	GroupScheduler,
	holderSilenceMs,
	isNewGroup,
	isSilent,
	isVacant,
	makeStorelessToken,
	makeStoreToken,
	type Background,
	type CoordinationStore,
	type Executor,
	type GroupDirectory,
	type GroupPorts,
	type HolderView,
	type KnownGroup,
	type StoreFailure,
} from '@gentianshift/scheduling';
import {type GroupLayouts} from './group-layouts.js';

export type GroupHoldingOptions = {
	group: string;
	/** The data centre whose executors the group has. */
	dataCentre: string;
	layout: Pick<
		GroupLayouts,
		'get' | 'measureAge' | 'isRecentlyChanged' | 'refresh'
	>;
	/** Whether the executor belongs to the group by the present layout. */
	isAssigned: (executor: string) => boolean;
	/** This host's key, `<data centre>_<host>`. */
	hostKey: string;
	/** This process as the store names it: `<host key>.<incarnation>`. */
	processId: string;
	/** Whether the process is known to have ended: its host now runs as another process. */
	isProcessGone: (processId: string) => boolean;
	store: CoordinationStore;
	groups: GroupDirectory;
	now: () => number;
	background: Background;
	/**
	Hosts of the data centre that could hold the group, in the order in which they take it over.
	*/
	listCandidates: () => readonly string[];
	/**
	Whether any other host is connected. Without peers and without the store this host cannot know
	whether it is the one that is cut off, so it does not take the group.
	*/
	hasPeers: () => boolean;
	getLeaseId: () => number | undefined;
	listExecutors: () => readonly Executor[];
	/** Reads the list of executors again; resolves when it has been read, or can't be. */
	refreshExecutors: () => Promise<void>;
	ports: Omit<
		GroupPorts,
		| 'group'
		| 'dataCentre'
		| 'token'
		| 'getLayout'
		| 'hasRunsOutside'
		| 'formerToken'
		| 'isHeldElsewhere'
		| 'now'
		| 'onFenced'
		| 'log'
	>;
	/** This host has taken the group, or given it up. */
	onChange: (group: string) => void;
	log: (message: string, fields: Record<string, unknown>) => void;
};

/** How long this host does not take the group after executors have obeyed another holder. */
const fencedPauseMs = 1000;
/** By then the holder of another group of the data centre knows a new layout, if anybody can tell it. */
const layoutNoticeMs = 1000;
/** Pause after a failed takeover: each attempt costs two calls of the store. */
const takeoverRetryMs = 150;

export class GroupHolding {
	readonly #options: GroupHoldingOptions;
	#scheduler: GroupScheduler | undefined;
	#token = 0;
	#vacantSince: number | undefined;
	#isTakingOver = false;
	#noTakeoverBefore = 0;
	/** The holder that the store names and whose state has not arrived yet, and since when. */
	#unconfirmedHolder: {id: string; since: number} | undefined;

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
		this.#scheduler?.setExecutors(...this.#splitExecutors(executors));
	}

	#isSuperseded({state, holder}: KnownGroup): boolean {
		return (
			state.token > this.#token ||
			(state.token === this.#token && holder !== this.#options.hostKey)
		);
	}

	#decideTakeover(): void {
		const at = this.#options.now();
		const isFree =
			at >= this.#noTakeoverBefore && isVacant(this.#buildHolderView(at));
		const rank = isFree ? this.#findRank() : -1;
		if (rank === -1) {
			this.#vacantSince = undefined;
			return;
		}

		this.#vacantSince ??= at;
		const vacantMs = at - this.#vacantSince;
		const isStoreReached =
			this.#options.ports.getStoreAgeMs() <
			computeTakeoverDelay(0, {isStoreReached: false});
		if (
			vacantMs >= computeTakeoverDelay(rank, {isStoreReached}) &&
			!this.#isTakingOver
		) {
			this.#options.background.run(
				{work: 'takeover of a group', group: this.#options.group},
				async () => this.#takeOver(isStoreReached),
				{
					onException: () => {
						this.#noTakeoverBefore = at + takeoverRetryMs;
					},
				},
			);
		}
	}

	/**
	This host's place among those that may take the group over; -1: it is none of them. A former holder
	does not count: it is gone, leaving or cut off, but its connection may seem sound for seconds.
	*/
	#findRank(): number {
		const {groups, group, hostKey, listCandidates} = this.#options;
		const former = groups.findGroup(group)?.holder;
		return listCandidates()
			.filter((key) => key === hostKey || key !== former)
			.indexOf(hostKey);
	}

	#buildHolderView(at: number): HolderView {
		const {groups, group, hostKey, ports} = this.#options;
		const known = groups.findGroup(group);
		return {
			holder: known && {
				// This host runs no scheduler now, so a group that it held before is vacant.
				isSelf: false,
				isReleased: known.state.isReleased || known.holder === hostKey,
				isLeaving: known.state.isLeaving || known.state.successor === hostKey,
				silentMs: at - known.lastHeardAt,
				storeAgeMs: known.state.storeAgeMs,
			},
			ownStoreAgeMs: ports.getStoreAgeMs(),
			isOwnListComplete: ports.isListComplete(),
		};
	}

	async #takeOver(isStoreReached: boolean): Promise<void> {
		const token = await this.#takeToken(isStoreReached);
		if (token === undefined) {
			this.#noTakeoverBefore = this.#options.now() + takeoverRetryMs;
		} else {
			this.#startScheduler(token, isStoreReached);
		}
	}

	/** The token of this host as holder; undefined: it can't take the group now. */
	async #takeToken(isStoreReached: boolean): Promise<number | undefined> {
		this.#isTakingOver = true;
		try {
			const token = isStoreReached
				? await this.#takeWithStore()
				: this.#takeWithoutStore();
			const isLayoutKnown =
				token === undefined || !isStoreReached || (await this.#refreshLists());
			return isLayoutKnown ? token : undefined;
		} finally {
			this.#isTakingOver = false;
		}
	}

	/**
	This host did not hold the group, so its list of executors may be seconds old. With that list it would start tasks on
	an executor that has begun to drain since. With an earlier layout it would call executors of other groups' holders.
	False: the layout is not known.
	*/
	async #refreshLists(): Promise<boolean> {
		const {layout, refreshExecutors} = this.#options;
		const [isLayoutRead] = await Promise.all([
			layout.refresh(),
			refreshExecutors(),
		]);
		return isLayoutRead || layout.get().revision > 0;
	}

	async #takeWithStore(): Promise<number | undefined> {
		const {store, group, processId, getLeaseId, log} = this.#options;
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
						write: [{key, value: processId, leaseId}],
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
		if (!isVacant(this.#buildHolderView(this.#options.now()))) {
			return `held by ${holderId ?? 'nobody by the store'}; a holder's state arrived meanwhile`;
		}

		return this.#isUnconfirmed(holderId)
			? `held by ${holderId ?? ''}, whose state has not arrived yet`
			: undefined;
	}

	/**
	Whether the store names a holder that may be alive although its state has not arrived here, as
	when both hosts have just started. If the group were taken from it at once, the group would
	change hands twice while the first callers arrive.
	*/
	#isUnconfirmed(holderId: string | undefined): boolean {
		const {groups, group, hostKey, isProcessGone, now} = this.#options;
		const known = groups.findGroup(group)?.holder;
		const isOwn = holderId?.startsWith(`${hostKey}.`);
		const isStateKnown =
			known !== undefined && holderId?.startsWith(`${known}.`);
		const isConfirmed = [isOwn, isStateKnown].includes(true);
		if (holderId === undefined || isConfirmed || isProcessGone(holderId)) {
			this.#unconfirmedHolder = undefined;
			return false;
		}

		if (this.#unconfirmedHolder?.id !== holderId) {
			this.#unconfirmedHolder = {id: holderId, since: now()};
		}

		return now() - this.#unconfirmedHolder.since < holderSilenceMs;
	}

	#takeWithoutStore(): number | undefined {
		const {groups, group, hasPeers, hostKey} = this.#options;
		const lastToken = groups.findGroup(group)?.state.token;
		return lastToken === undefined || !hasPeers()
			? undefined
			: makeStorelessToken(lastToken, computeSlot(hostKey));
	}

	#startScheduler(token: number, isStoreReached: boolean): void {
		const {group, dataCentre, layout, groups, now, ports, log, hostKey} =
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
			dataCentre,
			token,
			getLayout: layout.get,
			hasRunsOutside: this.#hasRunsOutside(known),
			formerToken: known?.state.token,
			isHeldElsewhere: (executor) => this.#isHeldElsewhere(executor),
			now,
			log,
			onFenced: () => {
				this.#giveUp('executors obey another');
				this.#noTakeoverBefore = now() + fencedPauseMs;
			},
		});
		groups.update(hostKey, this.#scheduler.describeState(), now());
		this.setExecutors(this.#options.listExecutors());
		this.#options.onChange(this.#options.group);
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
				this.#options.hostKey,
				state,
				this.#options.now(),
			);
		}

		this.#options.onChange(this.#options.group);
	}

	/** The group's executors, and those of the data centre's other groups. */
	#splitExecutors(executors: readonly Executor[]): [Executor[], Executor[]] {
		const {dataCentre, isAssigned} = this.#options;
		const near = executors.filter((one) => one.dataCentre === dataCentre);
		return [
			near.filter(({id}) => isAssigned(id)),
			near.filter(({id}) => !isAssigned(id)),
		];
	}

	/**
	Whether the group's former holder may have runs on executors that have since been assigned to other groups, or that are not listed. After a
	start of all hosts nobody knows of a former holder, and what it ran is over. A group that the present layout has added had no holder
	under another layout.
	*/
	#hasRunsOutside(former: KnownGroup | undefined): boolean {
		const {layout, group, dataCentre} = this.#options;
		if (!former) {
			return (
				layout.isRecentlyChanged() &&
				!isNewGroup(group, dataCentre, layout.get())
			);
		}

		const {
			hasRunsOutside = false,
			unconfirmed = [],
			layout: formerLayout,
		} = former.state;
		const listed = new Set(this.#options.listExecutors().map(({id}) => id));
		const formerRevision = formerLayout?.revision ?? 0;
		return (
			hasRunsOutside ||
			formerRevision !== layout.get().revision ||
			unconfirmed.some((id) => !listed.has(id))
		);
	}

	/**
	Whether the holder of another group may still run tasks on the executor: it releases it, or does not know the present
	layout yet. A call with this holder's higher token would end these runs.
	*/
	#isHeldElsewhere(executor: string): boolean {
		const {group, groups, dataCentre, layout, now} = this.#options;
		const {revision} = layout.get();
		const isNew = layout.measureAge() < layoutNoticeMs;
		return groups
			.list()
			.filter(
				(known) =>
					getDataCentre(known.state) === dataCentre &&
					known.state.group !== group &&
					!known.state.isReleased &&
					!isSilent(known, now()),
			)
			.some(
				({state}) =>
					state.releasing?.includes(executor) === true ||
					(isNew && (state.layout?.revision ?? 0) < revision),
			);
	}
}
