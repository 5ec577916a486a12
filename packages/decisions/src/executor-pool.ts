/**
The executors of one target in one data centre: which are configured, how healthy they are, and which
gets a task.
*/
import {
	createExecutorState,
	judgeExecutors,
	type ExecutorState,
} from './executor-health.js';
import {type LentExecutor} from './lending.js';
import {hasFreeSlot, pickExecutor} from './placement.js';

/** Minimum interval between health evaluations, unless a task failed or the executors changed. */
const judgeIntervalMs = 10;

export class ExecutorPool {
	readonly #executors = new Map<string, ExecutorState>();
	/** Executors that are not leaving. */
	#active: ExecutorState[] = [];
	#judgedAt = Number.NEGATIVE_INFINITY;
	#capacity = 0;

	/**
	Replaces the configured executors. One that is no longer listed counts as leaving until its slots are
	released.
	*/
	setExecutors(executors: readonly LentExecutor[]): void {
		const configuredNames = new Set(executors.map(({name}) => name));
		for (const state of this.#executors.values()) {
			state.isLeaving ||= !configuredNames.has(state.name);
			if (state.isLeaving && state.busy === 0) {
				this.#executors.delete(state.name);
			}
		}

		for (const {name, slots, isLeaving} of executors) {
			const state =
				this.#executors.get(name) ??
				createExecutorState(name, slots, isLeaving);
			state.slotLimit = state.slots === slots ? state.slotLimit : slots;
			Object.assign(state, {slots, isLeaving});
			this.#executors.set(name, state);
		}

		this.#active = [...this.#executors.values()].filter(
			(state) => !state.isLeaving,
		);
		this.#judgedAt = Number.NEGATIVE_INFINITY;
	}

	lookUp(name: string): ExecutorState | undefined {
		return this.#executors.get(name);
	}

	/** Adds an executor that only a borrower knows. It gets no tasks until `setExecutors` lists it. */
	getOrAdd(name: string): ExecutorState {
		const state =
			this.#executors.get(name) ?? createExecutorState(name, 0, true);
		this.#executors.set(name, state);
		return state;
	}

	pick(now: number): ExecutorState | undefined {
		return pickExecutor(this.#active, now);
	}

	judge(now: number, isForced: boolean): void {
		if (isForced || now - this.#judgedAt >= judgeIntervalMs) {
			this.#judgedAt = now;
			judgeExecutors(this.#active, now);
			this.#capacity = this.#sumLimits();
		}
	}

	get activeCount(): number {
		return this.#active.length;
	}

	/** Slots that may be lent in total when none is in use, as of the last evaluation. */
	get capacity(): number {
		return this.#capacity;
	}

	/** Slots that may be lent now, without probes that are due. */
	countFree(now: number): number {
		let free = 0;
		for (const state of this.#active) {
			if (!state.isEjected && hasFreeSlot(state, now)) {
				free += Math.min(state.slotLimit, state.slots) - state.busy;
			}
		}

		return free;
	}

	get leavingBusyCount(): number {
		let count = 0;
		for (const {isLeaving, busy} of this.#executors.values()) {
			count += Number(isLeaving && busy > 0);
		}

		return count;
	}

	/**
	Time at which the next ejected executor may be probed, on the keeper's clock; undefined if there is
	none.
	*/
	findNextProbe(): number | undefined {
		let next: number | undefined;
		for (const {isEjected, busy, probeAt} of this.#active) {
			if (isEjected && busy === 0) {
				next = Math.min(next ?? probeAt, probeAt);
			}
		}

		return next;
	}

	#sumLimits(): number {
		let slots = 0;
		for (const {slotLimit, slots: configured} of this.#active) {
			slots += Math.min(slotLimit, configured);
		}

		return slots;
	}
}
