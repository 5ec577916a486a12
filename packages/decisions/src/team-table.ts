/**
Teams at one keeper: slots in use, waiting jobs, and which team's best job gets the next slot.
*/
import {type TeamShare} from './lending.js';
import {RankedList} from './ranked-list.js';
import {type JobState} from './job-state.js';

export type TeamState = {
	readonly name: string;
	weight: number;
	quota: number;
	/** Jobs known, waiting or not. */
	jobs: number;
	/** Slots lent to the team's jobs. */
	inUse: number;
	/** Of late: what the team gets when it asks for more than its share. */
	usualSlots: number;
	/** Admitted jobs that want more slots. */
	readonly waiting: RankedList<JobState>;
	/** Work of the waiting jobs, milliseconds of one slot. */
	waitingWorkMs: number;
};

/** Weight of the newest sample of slots in use: at one each 50 ms half a second's worth counts. */
const sampleWeight = 0.1;

const defaultShare: TeamShare = {weight: 1};

export class TeamTable {
	readonly #teams = new Map<string, TeamState>();
	#shares: ReadonlyMap<string, TeamShare> = new Map();
	#weights = 0;

	setShares(shares: ReadonlyMap<string, TeamShare>): void {
		this.#shares = shares;
		for (const team of this.#teams.values()) {
			Object.assign(team, this.#readShare(team.name));
		}
	}

	/** The team's state; made on first use. */
	open(name: string): TeamState {
		const present = this.#teams.get(name);
		if (present) {
			return present;
		}

		const team: TeamState = {
			name,
			...this.#readShare(name),
			jobs: 0,
			inUse: 0,
			usualSlots: 0,
			waiting: new RankedList(),
			waitingWorkMs: 0,
		};
		this.#teams.set(name, team);
		return team;
	}

	/** Forgets teams without work, so that memory follows the load and not the number of teams. */
	dropIdle(): void {
		for (const team of this.#teams.values()) {
			if (team.jobs === 0 && team.inUse === 0) {
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

	/** Weights of the teams with work, as of the last `refresh`. */
	get weights(): number {
		return this.#weights;
	}

	/** Sums up the weights, once a decision: with 800 teams the sum costs more than a grant. */
	refresh(): void {
		let weights = 0;
		for (const team of this.#teams.values()) {
			weights += isActive(team) ? team.weight : 0;
		}

		this.#weights = weights;
	}

	/**
	Slots that a team can count on: its weight over the weights of the teams with work, or what it
	has had of late, with what is free, if that is more. What other teams leave unused isn't
	counted by what waits: those that ask for less than their share go on asking.
	*/
	estimateShare(team: TeamState, capacity: number, free: number): number {
		const newWeight = isActive(team) ? 0 : team.weight;
		const weights = this.#weights + newWeight;
		const fair = (capacity * team.weight) / weights;
		return Math.max(
			1,
			Math.min(team.quota, Math.max(fair, team.usualSlots + free)),
		);
	}

	/** Takes a sample of the slots in use; at even times. */
	sampleUse(): void {
		for (const team of this.#teams.values()) {
			team.usualSlots += sampleWeight * (team.inUse - team.usualSlots);
		}
	}

	/**
	The waiting job that gets the next slot. For skewed demand, one team asking for ten times its
	share: teams below their weighted share of the slots go first, so a flood of one team delays
	another's work by a task's run time at most. A quota is a hard cap. Among the teams of a
	class, and for what no team's share claims, the best rank goes first.
	*/
	pickNext(capacity: number): JobState | undefined {
		const perWeight = capacity / this.#weights;
		let best: JobState | undefined;
		let isBestBelowShare = false;
		for (const team of this.#teams.values()) {
			const head = team.waiting.first;
			if (!head || team.inUse >= team.quota) {
				continue;
			}

			const isBelowShare = team.inUse < perWeight * team.weight;
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

	/** The order of the best waiting job of all teams. */
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
