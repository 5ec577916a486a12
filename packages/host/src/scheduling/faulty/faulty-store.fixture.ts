/**
The platform's store on a virtual clock: the keys that name each group's holder, and the executors' registrations as hosts list them.
*/
import {err, errAsync, ok, ResultAsync, type Result} from 'neverthrow';
import {
	type CoordinationStore,
	type Executor,
	type ExecutorRegistration,
	type StoreFailure,
	type StoreItem,
} from '@gentianshift/scheduling';
import {type VirtualClock} from '@gentianshift/scheduling/fixtures';
import {
	type EvacuationChange,
	type ExecutorSource,
	type OperatorChange,
	type OperatorSource,
	type RegistrationList,
} from '../host-dependencies.js';
import {type EvacuationSpan} from './evacuated-starts.fixture.js';

const answerDelayMs = 4;
/** Time-out of a call that gets no answer. */
const callTimeoutMs = 600;
/** Age of what a read with `mayBeStale` returns. */
const stalenessMs = 2000;
const firstRevision = 100;

export type StoreMode = 'normal' | 'refuses' | 'loses-answers';

export class FaultyStore {
	readonly #items = new Map<string, StoreItem>();
	#revision = firstRevision;
	/** By executor id: how many faults or crashes hide its registration now. */
	readonly #unlistedCounts = new Map<string, number>();
	/** Every list so far, with the time from which it was current. */
	readonly #listHistory: Array<{
		since: number;
		revision: number;
		registrations: ExecutorRegistration[];
	}> = [];

	readonly #evacuationChanges: Array<EvacuationChange & {at: number}> = [];
	/** Watches from an earlier revision than this get no changes: that history was discarded. */
	#oldestRevision = firstRevision;
	/** End the watches that wait for a change. */
	readonly #watchers = new Set<AbortController>();

	/** The current registration of each executor, by id. */
	readonly #registrations = new Map<string, ExecutorRegistration>();

	constructor(
		private readonly clock: VirtualClock,
		executors: readonly Executor[],
		/** Whether registrations state when the executor's process started, if the executor has such a time. */
		private readonly isBornRegistered = true,
	) {
		for (const executor of executors) {
			this.#putRegistration(executor);
		}

		this.#appendList();
	}

	/** Adds an executor's registration, as if it had just written it. */
	addExecutor(executor: Executor): void {
		this.#putRegistration(executor);
		this.#appendList();
	}

	setListed(id: string, isListed: boolean): void {
		const count = this.#unlistedCounts.get(id) ?? 0;
		this.#unlistedCounts.set(id, count + (isListed ? -1 : 1));
		this.#appendList();
	}

	/** Writes a layout with more groups, as the holder of the data centre's first group does; a smaller number is ignored. */
	setGroupCount(dataCentre: string, count: number): void {
		const key = `gentianshift/layouts/${dataCentre}`;
		const former = this.#items.get(key)?.value ?? '{"count":1}';
		const {count: formerCount} = JSON.parse(former) as {count: number};
		if (count > formerCount) {
			this.#revision += 1;
			const value = JSON.stringify({
				count,
				formerCount,
				changedAtMs: this.clock.now,
			});
			this.#items.set(key, {key, value, revision: this.#revision});
		}
	}

	/** Records that operators evacuate a data centre, or take it back. */
	setEvacuated(dataCentre: string, isEvacuated: boolean): void {
		this.#revision += 1;
		const revision = this.#revision;
		const at = this.clock.now;
		this.#evacuationChanges.push({dataCentre, isEvacuated, revision, at});
		this.#endWatches();
	}

	/** When each data centre was evacuated; `until` is infinite for one that was not taken back. */
	listEvacuations(): EvacuationSpan[] {
		const spans: EvacuationSpan[] = [];
		for (const {dataCentre, isEvacuated, at} of this.#evacuationChanges) {
			const open = spans.find(
				(span) => span.dataCentre === dataCentre && span.until === Infinity,
			);
			if (open && !isEvacuated) {
				open.until = at;
			} else if (!open && isEvacuated) {
				spans.push({dataCentre, from: at, until: Infinity});
			}
		}

		return spans;
	}

	/** Discards the history: hosts that watch have to read again. */
	compact(): void {
		this.#revision += 1;
		this.#oldestRevision = this.#revision;
		this.#endWatches();
	}

	/** Updates the capacity in the executor's registration. */
	setCapacity(id: string, capacity: ExecutorRegistration['capacity']): void {
		const registration = this.#registrations.get(id)!;
		const sequence = (registration.sequence ?? 0) + 1;
		this.#revision += 1;
		const revision = this.#revision;
		this.#registrations.set(id, {
			...registration,
			capacity,
			sequence,
			revision,
		});
		this.#appendList();
	}

	/** Creates one host's client of the store. */
	createClient(getMode: () => StoreMode): {
		store: CoordinationStore;
		executors: ExecutorSource;
		operators: Pick<OperatorSource, 'read' | 'watch'>;
	} {
		let answeredAt: number | undefined;
		const call = <T>(
			work: () => ResultAsync<T, StoreFailure>,
		): ResultAsync<T, StoreFailure> =>
			new ResultAsync(
				(async () => {
					await this.clock.wait(answerDelayMs);
					const mode = getMode();
					if (mode === 'refuses') {
						return err(makeFailure('unavailable'));
					}

					const result = await work();
					if (mode === 'loses-answers') {
						await this.clock.wait(callTimeoutMs);
						return err(makeFailure('unknown-outcome'));
					}

					answeredAt = this.clock.now;
					return result;
				})(),
			);
		const rejectCall = () => errAsync(makeFailure('rejected'));
		return {
			store: {
				readKey: (key) =>
					call(
						() => new ResultAsync(Promise.resolve(ok(this.#items.get(key)))),
					),
				commit: (change) => call(() => this.#commit(change)),
				readPrefix: rejectCall,
				watchPrefix: rejectCall,
				createLease: rejectCall,
				renewLease: rejectCall,
				endLease: rejectCall,
				getAnsweredAt: () => answeredAt,
				async close() {
					// There is no connection to close.
				},
			},
			executors: {
				list: ({mayBeStale = false} = {}) =>
					call(
						() =>
							new ResultAsync(
								Promise.resolve(ok(this.#listExecutors(mayBeStale))),
							),
					),
			},
			operators: {
				read: () =>
					call(
						() =>
							new ResultAsync(
								Promise.resolve(
									ok({
										evacuated: this.#listEvacuated(),
										revision: this.#revision,
									}),
								),
							),
					),
				watch: (after, waitMs) =>
					call(() => new ResultAsync(this.#watchChanges(after, waitMs))),
			},
		};
	}

	#endWatches(): void {
		for (const watcher of this.#watchers) {
			watcher.abort();
		}

		this.#watchers.clear();
	}

	#listEvacuated(): string[] {
		const evacuated = new Set<string>();
		for (const {dataCentre, isEvacuated} of this.#evacuationChanges) {
			if (isEvacuated) {
				evacuated.add(dataCentre);
			} else {
				evacuated.delete(dataCentre);
			}
		}

		return [...evacuated];
	}

	async #watchChanges(
		after: number,
		waitMs: number,
	): Promise<Result<OperatorChange, StoreFailure>> {
		const listChanges = () =>
			this.#evacuationChanges.filter(({revision}) => revision > after);
		if (listChanges().length === 0 && after >= this.#oldestRevision) {
			const watcher = new AbortController();
			this.#watchers.add(watcher);
			await this.clock.wait(waitMs, watcher.signal);
			this.#watchers.delete(watcher);
		}

		return after < this.#oldestRevision
			? err(makeFailure('compacted'))
			: ok({evacuationChanges: listChanges(), revision: this.#revision});
	}

	#commit({
		expected = [],
		write = [],
	}: Parameters<CoordinationStore['commit']>[0]): ResultAsync<
		{revision: number},
		StoreFailure
	> {
		const hasExpectedRevisions = expected.every(
			({key, revision}) => (this.#items.get(key)?.revision ?? 0) === revision,
		);
		if (!hasExpectedRevisions) {
			return errAsync(makeFailure('conflict'));
		}

		this.#revision += 1;
		for (const {key, value} of write) {
			this.#items.set(key, {key, value, revision: this.#revision});
		}

		return new ResultAsync(Promise.resolve(ok({revision: this.#revision})));
	}

	#putRegistration({
		id,
		address,
		dataCentre,
		service,
		bornMs,
		...rest
	}: Executor): void {
		const {isDraining, capacity} = rest;
		const registration = {
			id,
			address,
			dataCentre,
			service,
			isDraining,
			capacity,
			...(bornMs !== undefined && this.isBornRegistered && {bornMs}),
		};
		this.#registrations.set(id, {...registration, sequence: 1});
	}

	#appendList(): void {
		const registrations = [...this.#registrations.values()].filter(
			({id}) => (this.#unlistedCounts.get(id) ?? 0) === 0,
		);
		this.#listHistory.push({
			since: this.clock.now,
			revision: this.#revision,
			registrations,
		});
	}

	#listExecutors(mayBeStale: boolean): RegistrationList {
		const at = this.clock.now - (mayBeStale ? stalenessMs : 0);
		const list =
			this.#listHistory.findLast(({since}) => since <= at) ??
			this.#listHistory[0]!;
		return {registrations: list.registrations, revision: list.revision};
	}
}

function makeFailure(code: StoreFailure['code']): StoreFailure {
	return {code, message: code};
}
