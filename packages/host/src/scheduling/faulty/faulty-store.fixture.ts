/**
The platform's store on a virtual clock: the keys that name each group's holder, and the executors' records as hosts list them.
*/
import {err, errAsync, ok, ResultAsync} from 'neverthrow';
import {
	type CoordinationStore,
	type Executor,
	type ExecutorWord,
	type StoreFailure,
	type StoreItem,
} from '@gentianshift/scheduling';
import {type VirtualClock} from '@gentianshift/scheduling/fixtures';
import {type ExecutorSource} from '../surroundings.js';

const answerMs = 4;
/** Time-out of a call that gets no answer. */
const callLimitMs = 600;
/** Age of what a read with `mayBeStale` returns. */
const staleMs = 2000;
const firstRevision = 100;

export type StoreMood = 'well' | 'refuses' | 'loses-answers';

export class FaultyStore {
	readonly #items = new Map<string, StoreItem>();
	#revision = firstRevision;
	/** By executor id: how many faults hide its record now. */
	readonly #unlisted = new Map<string, number>();
	/** Every list so far, with the time from which it was current. */
	readonly #lists: Array<{since: number; words: ExecutorWord[]}> = [];
	/** The current record of each executor, by id. */
	readonly #words = new Map<string, ExecutorWord>();

	constructor(
		private readonly clock: VirtualClock,
		executors: readonly Executor[],
	) {
		for (const executor of executors) {
			this.#enter(executor);
		}

		this.#noteList();
	}

	/** Adds an executor's record, as if it had just written it. */
	addExecutor(executor: Executor): void {
		this.#enter(executor);
		this.#noteList();
	}

	setListed(id: string, isListed: boolean): void {
		const reasons = this.#unlisted.get(id) ?? 0;
		this.#unlisted.set(id, reasons + (isListed ? -1 : 1));
		this.#noteList();
	}

	/** Updates the capacity in the executor's record. */
	setCapacity(id: string, capacity: ExecutorWord['capacity']): void {
		const word = this.#words.get(id)!;
		const sequence = (word.sequence ?? 0) + 1;
		this.#words.set(id, {...word, capacity, sequence});
		this.#noteList();
	}

	/** Creates one host's client of the store. */
	createView(getMood: () => StoreMood): {
		store: CoordinationStore;
		executors: ExecutorSource;
	} {
		let answeredAt: number | undefined;
		const call = <T>(
			work: () => ResultAsync<T, StoreFailure>,
		): ResultAsync<T, StoreFailure> =>
			new ResultAsync(
				(async () => {
					await this.clock.wait(answerMs);
					const mood = getMood();
					if (mood === 'refuses') {
						return err(fail('unavailable'));
					}

					const result = await work();
					if (mood === 'loses-answers') {
						await this.clock.wait(callLimitMs);
						return err(fail('unknown-outcome'));
					}

					answeredAt = this.clock.now;
					return result;
				})(),
			);
		const unused = () => errAsync(fail('rejected'));
		return {
			store: {
				readKey: (key) =>
					call(
						() => new ResultAsync(Promise.resolve(ok(this.#items.get(key)))),
					),
				commit: (change) => call(() => this.#commit(change)),
				readPrefix: unused,
				watchPrefix: unused,
				createLease: unused,
				renewLease: unused,
				endLease: unused,
				getAnsweredAt: () => answeredAt,
				async close() {
					// There is no connection to close.
				},
			},
			executors: {
				list: ({mayBeStale = false} = {}) =>
					call(
						() => new ResultAsync(Promise.resolve(ok(this.#list(mayBeStale)))),
					),
			},
		};
	}

	#commit({
		expected = [],
		write = [],
	}: Parameters<CoordinationStore['commit']>[0]): ResultAsync<
		{revision: number},
		StoreFailure
	> {
		const holds = expected.every(
			({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision,
		);
		if (!holds) {
			return errAsync(fail('conflict'));
		}

		this.#revision += 1;
		for (const {key, value} of write) {
			this.#items.set(key, {key, value, revision: this.#revision});
		}

		return new ResultAsync(Promise.resolve(ok({revision: this.#revision})));
	}

	#enter({id, address, dataCentre, service, ...rest}: Executor): void {
		const {isDraining, capacity} = rest;
		const word = {id, address, dataCentre, service, isDraining, capacity};
		this.#words.set(id, {...word, sequence: 1});
	}

	#noteList(): void {
		const words = [...this.#words.values()].filter(
			({id}) => (this.#unlisted.get(id) ?? 0) === 0,
		);
		this.#lists.push({since: this.clock.now, words});
	}

	#list(mayBeStale: boolean): ExecutorWord[] {
		const at = this.clock.now - (mayBeStale ? staleMs : 0);
		const list =
			this.#lists.findLast(({since}) => since <= at) ?? this.#lists[0]!;
		return list.words;
	}
}

function fail(code: StoreFailure['code']): StoreFailure {
	return {code, message: code};
}
