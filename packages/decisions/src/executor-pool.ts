/**
The executors of one target in one data centre: declared, judged by how they do, and picked.
*/
import {
	createExecutorState,
	judgeExecutors,
	type ExecutorState,
} from './executor-health.js';
import {type LentExecutor} from './lending.js';
import {hasFreeSlot, pickExecutor} from './placement.js';

/** Executors are judged again at most this often, milliseconds, unless a task failed. */
const judgeEveryMs = 10;

export class ExecutorPool {
	readonly #executors = new Map<string, ExecutorState>();
	/** Those that may get tasks. */
	#active: ExecutorState[] = [];
	#judgedAt = Number.NEGATIVE_INFINITY;
	#capacity = 0;

	/** Takes the declared executors; one that is gone counts as leaving until its slots are back. */
	set(executors: readonly LentExecutor[]): void {
		const declared = new Set(executors.map(({name}) => name));
		for (const state of this.#executors.values()) {
			state.isLeaving ||= !declared.has(state.name);
			if (state.isLeaving && state.busy === 0) {
				this.#executors.delete(state.name);
			}
		}

		for (const {name, slots, isLeaving} of executors) {
			const state =
				this.#executors.get(name) ??
				createExecutorState(name, slots, isLeaving);
			state.limit = state.slots === slots ? state.limit : slots;
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

	/** Enters an executor that only a borrower knows of: it gets nothing until declared. */
	findOrEnter(name: string): ExecutorState {
		const state =
			this.#executors.get(name) ?? createExecutorState(name, 0, true);
		this.#executors.set(name, state);
		return state;
	}

	pick(now: number): ExecutorState | undefined {
		return pickExecutor(this.#active, now);
	}

	judge(now: number, isUrgent: boolean): void {
		if (isUrgent || now - this.#judgedAt >= judgeEveryMs) {
			this.#judgedAt = now;
			judgeExecutors(this.#active, now);
			this.#capacity = this.#sumLimits();
		}
	}

	get activeCount(): number {
		return this.#active.length;
	}

	/** Slots that may be lent when none is; as judged last. */
	get capacity(): number {
		return this.#capacity;
	}

	/** Slots that may be lent now; a due probe isn't counted. */
	countFree(now: number): number {
		let free = 0;
		for (const state of this.#active) {
			if (!state.isShutOut && hasFreeSlot(state, now)) {
				free += Math.min(state.limit, state.slots) - state.busy;
			}
		}

		return free;
	}

	get leavingBusy(): number {
		let count = 0;
		for (const {isLeaving, busy} of this.#executors.values()) {
			count += Number(isLeaving && busy > 0);
		}

		return count;
	}

	/** When the next shut-out executor may be tried. */
	findNextProbe(): number | undefined {
		let next: number | undefined;
		for (const {isShutOut, busy, probeAt} of this.#active) {
			if (isShutOut && busy === 0) {
				next = Math.min(next ?? probeAt, probeAt);
			}
		}

		return next;
	}

	#sumLimits(): number {
		let slots = 0;
		for (const {limit, slots: declared} of this.#active) {
			slots += Math.min(limit, declared);
		}

		return slots;
	}
}
