/**
The groups of this host's data centre, as far as this host may hold them: which executors belong to each, who takes
each over, and how many there are.
*/
import {
	chooseExecutorGroup,
	chooseGroupCount,
	computeCoresPerGroup,
	createSuccession,
	getStoreRevision,
	listGroupNames,
	rankGroupHosts,
	type Executor,
	type GroupScheduler,
	type Succession,
} from '@gentianshift/scheduling';
import {GroupHolding, type GroupHoldingOptions} from './group-holding.js';
import {type GroupLayouts} from './group-layouts.js';

/** So many hosts take a group over before the others try. */
const firstInLine = 3;
/** A stronger host has to be there for seconds before it is asked, so it is looked for no more often than this. */
const successorCheckIntervalMs = 500;
/** The number of executors and hosts changes slowly, and each change of the layout moves executors. */
const layoutCheckIntervalMs = 1000;
const layoutChangeIntervalMs = 10_000;
/** How often a holder reads the layout, in case that it is cut off from the holder that has changed it. */
const layoutReadIntervalMs = 5000;

export type GroupHoldingsOptions = Omit<
	GroupHoldingOptions,
	'group' | 'layout' | 'listCandidates' | 'isAssigned' | 'ports'
> & {
	layouts: GroupLayouts;
	hash: (text: string) => bigint;
	/** Most groups that operators want a data centre to have. */
	maxGroups: number;
	/** Hosts that could hold a group, the preferred one first. */
	listCandidates: () => readonly string[];
	/** Processor cores that a host may use. */
	getCores: (key: string) => number;
	/** Whether the list of executors has been complete and current. */
	isListComplete: () => boolean;
	ports: (
		group: string,
	) => Omit<GroupHoldingOptions['ports'], 'getSuccessor' | 'isListComplete'>;
};

type HeldGroup = {
	holding: GroupHolding;
	succession: Succession;
	successor?: string;
};

/** Names one of the groups, as far as the sender of a message says which. */
export type GroupAddress = {group?: string; token?: number};

export class GroupHoldings {
	readonly #options: GroupHoldingsOptions;
	readonly #groups = new Map<string, HeldGroup>();
	/** Groups by executor, for the layout with this revision. */
	#assignments = {revision: -1, groups: new Map<string, string>()};
	/** Names of the data centre's groups, which are asked for with each update. */
	#names: readonly string[] = [];
	#successorsChosenAt = -Infinity;
	#layoutCheckedAt = -Infinity;
	#layoutChangedAt = -Infinity;
	#layoutReadAt = -Infinity;

	constructor(options: GroupHoldingsOptions) {
		this.#options = options;
	}

	/** The schedulers of the groups that this host holds. */
	get schedulers(): GroupScheduler[] {
		return [...this.#groups.values()].flatMap(
			({holding}) => holding.scheduler ?? [],
		);
	}

	get isHolder(): boolean {
		return [...this.#groups.values()].some(
			({holding}) => holding.scheduler !== undefined,
		);
	}

	/** Names of the groups that this host holds. */
	listHeld(): string[] {
		return [...this.#groups].flatMap(([group, {holding}]) =>
			holding.scheduler ? group : [],
		);
	}

	findScheduler(group: string): GroupScheduler | undefined {
		return this.#groups.get(group)?.holding.scheduler;
	}

	/**
	The schedulers that a message is for. Messages of an earlier build name no group, and those without a token may be
	about any group that this host holds.
	*/
	listAddressed({group, token}: GroupAddress): GroupScheduler[] {
		if (group !== undefined) {
			const scheduler = this.findScheduler(group);
			return scheduler ? [scheduler] : [];
		}

		return this.schedulers.filter(
			(scheduler) => token === undefined || scheduler.token === token,
		);
	}

	/** Whether this host is among the first to take over one of the groups. */
	isFirstInLine(): boolean {
		const {hostKey} = this.#options;
		return [...this.#rankHosts().values()].some((order) =>
			order.slice(0, firstInLine).includes(hostKey),
		);
	}

	/** Checks whether groups need a holder or have a newer one; to be called about every 50 ms. */
	update(): void {
		this.#setGroups();
		for (const {holding} of this.#groups.values()) {
			holding.update();
		}

		this.#updateSuccessors();
		this.#updateLayout();
	}

	/** Gives the group up if another host has a higher token. */
	releaseIfReplaced(group: string): void {
		this.#groups.get(group)?.holding.releaseIfReplaced();
	}

	/** Gives all groups up at once. */
	stop(): void {
		for (const {holding} of this.#groups.values()) {
			holding.stop();
		}
	}

	setExecutors(executors: readonly Executor[]): void {
		for (const {holding} of this.#groups.values()) {
			holding.setExecutors(executors);
		}
	}

	/** To be called when a later layout has been adopted: executors change groups before any state tells the layout. */
	applyLayout(): void {
		this.setExecutors(this.#options.listExecutors());
	}

	/** Holds a group for each of the layout, and gives up those that it no longer has. */
	#setGroups(): void {
		const names = this.#listNames();
		for (const name of names) {
			if (!this.#groups.has(name)) {
				this.#groups.set(name, this.#createGroup(name));
			}
		}

		for (const [name, {holding}] of this.#groups) {
			if (!names.includes(name)) {
				holding.stop();
				this.#groups.delete(name);
			}
		}
	}

	#listNames(): readonly string[] {
		const {dataCentre, layouts} = this.#options;
		const {count} = layouts.get();
		if (this.#names.length !== count) {
			this.#names = listGroupNames(dataCentre, count);
		}

		return this.#names;
	}

	#createGroup(group: string): HeldGroup {
		const {layouts, ports, isListComplete} = this.#options;
		const held: HeldGroup = {
			succession: createSuccession(),
			holding: new GroupHolding({
				...this.#options,
				group,
				layout: layouts,
				listCandidates: () => this.#rankHosts().get(group) ?? [],
				isAssigned: (executor) => this.#findGroup(executor) === group,
				ports: {
					...ports(group),
					isListComplete,
					getSuccessor: () => held.successor,
				},
			}),
		};
		return held;
	}

	#findGroup(executor: string): string {
		const {layouts, hash} = this.#options;
		const {revision} = layouts.get();
		if (this.#assignments.revision !== revision) {
			this.#assignments = {revision, groups: new Map()};
		}

		const {groups} = this.#assignments;
		const known = groups.get(executor);
		if (known !== undefined) {
			return known;
		}

		const group = chooseExecutorGroup(executor, this.#listNames(), hash);
		groups.set(executor, group);
		return group;
	}

	/** Each group's order of takeover. */
	#rankHosts(): Map<string, string[]> {
		const {listCandidates, getCores} = this.#options;
		const hosts = listCandidates().map((key) => ({key, cores: getCores(key)}));
		return rankGroupHosts(this.#listNames(), hosts);
	}

	/**
	Chooses, for each group that this host holds, a host with far more cores to spare that it asks to take the group; the
	request is a field of the group's state.
	*/
	#updateSuccessors(): void {
		const {now, log, hostKey, getCores} = this.#options;
		if (now() - this.#successorsChosenAt < successorCheckIntervalMs) {
			return;
		}

		this.#successorsChosenAt = now();
		const held = this.listHeld();
		const ranks = held.length > 0 ? this.#rankHosts() : new Map();
		for (const [group, one] of this.#groups) {
			const former = one.successor;
			one.successor = held.includes(group)
				? this.#chooseSuccessor(one, group, ranks)
				: undefined;
			if (one.successor !== undefined && one.successor !== former) {
				log('a host with more cores to spare is asked to take the group', {
					group,
					successor: one.successor,
					cores: getCores(one.successor),
					ownCores: getCores(hostKey),
					ownGroups: held.length,
				});
			}
		}
	}

	#chooseSuccessor(
		{succession}: HeldGroup,
		group: string,
		ranks: ReadonlyMap<string, readonly string[]>,
	): string | undefined {
		const {now, hostKey, getCores} = this.#options;
		const key = ranks.get(group)?.[0];
		const assigned = [...ranks.values()].filter(
			([first]) => first === key,
		).length;
		const candidate =
			key === undefined || key === hostKey
				? undefined
				: {key, cores: computeCoresPerGroup(getCores(key), assigned)};
		return succession.choose(candidate, {
			ownCores: computeCoresPerGroup(getCores(hostKey), this.listHeld().length),
			now: now(),
		});
	}

	/** The holder of the first group writes a layout with more groups when the data centre needs them. */
	#updateLayout(): void {
		const {now, layouts} = this.#options;
		if (
			!this.isHolder ||
			now() - this.#layoutCheckedAt < layoutCheckIntervalMs
		) {
			return;
		}

		this.#layoutCheckedAt = now();
		const [firstName] = this.#listNames();
		const first = this.findScheduler(firstName!);
		const count = first ? this.#chooseCount() : layouts.get().count;
		const revision = first && getStoreRevision(first.token);
		const mayChange =
			now() - this.#layoutChangedAt >= layoutChangeIntervalMs &&
			this.#options.isListComplete();
		if (revision !== undefined && count > layouts.get().count && mayChange) {
			this.#layoutChangedAt = now();
			this.#options.background.run({work: 'writing the layout'}, async () =>
				layouts.write(count, revision),
			);
		} else if (now() - this.#layoutReadAt >= layoutReadIntervalMs) {
			this.#layoutReadAt = now();
			this.#options.background.run({work: 'reading the layout'}, async () =>
				layouts.refresh(),
			);
		}
	}

	#chooseCount(): number {
		const {dataCentre, layouts, maxGroups, listCandidates, getCores} =
			this.#options;
		const executors = this.#options
			.listExecutors()
			.filter((executor) => executor.dataCentre === dataCentre);
		return chooseGroupCount({
			executors: executors.length,
			cores: listCandidates().map((key) => getCores(key)),
			current: layouts.get().count,
			maxGroups,
		});
	}
}
