/**
The teams at one keeper: their slots in use, their waiting jobs, and the choice of the job that gets the
next slot.
*/
import {type TeamShare} from './lending.js';
import {RankedList} from './ranked-list.js';
import {type JobState} from './job-state.js';

export type TeamState = {
	readonly name: string;
	weight: number;
	quota: number;
	/** Number of known jobs, waiting or not. */
	jobCount: number;
	/** Number of slots lent to the team's jobs. */
	inUse: number;
	/** Moving average of `inUse`: what the team gets when it asks for more than its share. */
	averageInUse: number;
	/** Admitted jobs that want more slots. */
	readonly waiting: RankedList<JobState>;
	/** Work of the waiting jobs, slot-milliseconds. */
	waitingWorkMs: number;
};

/**
Weight of the newest sample of slots in use. With a sample every 50 ms, the average covers about half a
second.
*/
const sampleWeight = 0.1;

const defaultShare: TeamShare = {weight: 1};

export class TeamTable {
	readonly #teams = new Map<string, TeamState>();
	#shares: ReadonlyMap<string, TeamShare> = new Map();
	#totalWeight = 0;

	setShares(shares: ReadonlyMap<string, TeamShare>): void {
		this.#shares = shares;
		for (const team of this.#teams.values()) {
			Object.assign(team, this.#readShare(team.name));
		}
	}

	/** Returns the team's state; creates it on first use. */
	getOrAdd(name: string): TeamState {
		const present = this.#teams.get(name);
		if (present) {
			return present;
		}

		const team: TeamState = {
			name,
			...this.#readShare(name),
			jobCount: 0,
			inUse: 0,
			averageInUse: 0,
			waiting: new RankedList(),
			waitingWorkMs: 0,
		};
		this.#teams.set(name, team);
		return team;
	}

	/**
	Removes teams without jobs or slots, so that memory depends on the load, not on the number of teams
	ever seen.
	*/
	dropIdle(): void {
		for (const team of this.#teams.values()) {
			if (team.jobCount === 0 && team.inUse === 0) {
				this.#teams.delete(team.name);
			}
		}
	}

	*listActive(): Generator<TeamState> {
		for (const team of this.#teams.values()) {
			if (isActive(team)) {
				yield team;
			}
		}
	}

	/** Sum of the weights of the teams that have slots or waiting jobs, as of the last update in `decide`. */
	get totalWeight(): number {
		return this.#totalWeight;
	}

	/**
	Sums up the weights. Called once per decision, not per grant: with 800 teams the sum costs more than a
	grant.
	*/
	sumWeights(): void {
		let totalWeight = 0;
		for (const team of this.#teams.values()) {
			totalWeight += isActive(team) ? team.weight : 0;
		}

		this.#totalWeight = totalWeight;
	}

	/**
	Estimates the slots that a team can count on, at least 1 and at most its quota: its weighted share of the
	capacity among the teams with work, or its recent use plus the free slots if that is more. The share that
	other teams leave unused is not derived from their waiting jobs, because a team that asks for less than
	its share will go on asking.
	*/
	estimateShare(team: TeamState, capacity: number, free: number): number {
		const addedWeight = isActive(team) ? 0 : team.weight;
		const totalWeight = this.#totalWeight + addedWeight;
		const fairSlots = (capacity * team.weight) / totalWeight;
		return Math.max(
			1,
			Math.min(team.quota, Math.max(fairSlots, team.averageInUse + free)),
		);
	}

	/** Samples the slots in use of each team. Must be called at regular intervals. */
	measureUse(): void {
		for (const team of this.#teams.values()) {
			team.averageInUse += sampleWeight * (team.inUse - team.averageInUse);
		}
	}

	/**
	Picks the waiting job that gets the next slot; undefined if none may have one. Teams below their weighted
	share of the slots go first: if one team asks for ten times its share, it delays another team's work by
	a task's run time at most. A team at its quota gets no slot. Among teams below their share, and among
	the others for slots that remain, the job with the best rank goes first.
	*/
	pickNextJob(capacity: number): JobState | undefined {
		const slotsPerWeight = capacity / this.#totalWeight;
		let best: JobState | undefined;
		let isBestBelowShare = false;
		for (const team of this.#teams.values()) {
			const head = team.waiting.first;
			if (!head || team.inUse >= team.quota) {
				continue;
			}

			const isBelowShare = team.inUse < slotsPerWeight * team.weight;
			const isBetter =
				best === undefined ||
				(isBelowShare === isBestBelowShare
					? head.order < best.order
					: isBelowShare);
			if (isBetter) {
				best = head;
				isBestBelowShare = isBelowShare;
			}
		}

		return best;
	}

	/** Sort key of the best waiting job of all teams; undefined if none waits. */
	findBestOrder(): number | undefined {
		let best: number | undefined;
		for (const {waiting} of this.#teams.values()) {
			const order = waiting.first?.order;
			if (order !== undefined && (best === undefined || order < best)) {
				best = order;
			}
		}

		return best;
	}

	#readShare(name: string): {weight: number; quota: number} {
		const {weight, quota} = this.#shares.get(name) ?? defaultShare;
		return {weight, quota: quota ?? Number.POSITIVE_INFINITY};
	}
}

function isActive(team: TeamState): boolean {
	return team.inUse > 0 || team.waiting.size > 0;
}
