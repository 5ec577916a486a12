/**
The executors' registrations, merged from lists that may arrive in any order: for each executor the
newest registration counts.

What goes wrong: an executor reduces its capacity while tasks run. A stale list brings the former
capacity back, and a registration whose capacity can't be used does not say how much is left. Either
would lead to starts that exceed the executor's capacity.

An executor that starts again under its id numbers its registrations anew. Judged by these numbers, the new process
would be taken for a late write of the former one for seconds. So the start time of the process goes before them.
*/
import {type ToldRegistration} from '@gentianshift/protocol';
import {
	compareIncarnations,
	type Executor,
	type ExecutorRegistration,
} from '@gentianshift/scheduling';

/**
An executor that has sent a higher sequence number before, and still sends lower ones after this
long, has started its numbering again.
*/
const renumberingMs = 2500;

type KnownRegistration = {
	/** The newest one, as it was read or told. */
	registration: ExecutorRegistration;
	executor: Executor;
	/** The store's revision at which this host first read the content that it has now; a new sequence number alone is no change. */
	changedRevision: number;
	/** Since when lists have brought a lower sequence number than the highest. */
	lowerSequenceSince?: number;
};

export type ExecutorRegistrations = {
	/**
	Returns the listed executors, each by its newest registration, without those that have never
	registered a capacity that can be used. `askedAt`: when the list was requested, in milliseconds
	of this host's clock.
	*/
	applyList: (
		registrations: readonly ExecutorRegistration[],
		askedAt: number,
	) => Executor[];
	/** The newest registrations of the data centre's executors whose content has changed after that revision of the store. */
	listChangedSince: (
		dataCentre: string,
		revision: number,
	) => ToldRegistration[];
	/** Forgets all other executors. */
	keepOnly: (executors: readonly Executor[]) => void;
};

/**
@example
const registrations = createExecutorRegistrations((service) => service === 'meals');
registrations.applyList([{...registration, sequence: 4}], now);
registrations.applyList([{...registration, sequence: 3}], now); // as with sequence 4
*/
export function createExecutorRegistrations(
	isCapacityEnforcingService: (service: string) => boolean,
): ExecutorRegistrations {
	const known = new Map<string, KnownRegistration>();

	function applyRegistration(
		registration: ExecutorRegistration,
		askedAt: number,
	): Executor | undefined {
		const former = known.get(registration.id);
		const isCapacityEnforced = isCapacityEnforcingService(registration.service);
		if (
			former &&
			(isReadAgain(registration, former, isCapacityEnforced) ||
				isOlder(registration, former, askedAt))
		) {
			return former.executor;
		}

		const {
			sequence: _sequence,
			revision,
			capacity,
			bornMs,
			...rest
		} = registration;
		const usable =
			capacity === undefined
				? former?.executor
				: {
						capacity,
						capacityReadAt: findFirstReadAt(registration, former) ?? askedAt,
					};
		if (!usable) {
			return undefined;
		}

		// A registration without a usable start time doesn't prove another process.
		const knownBornMs = bornMs ?? former?.executor.bornMs;
		const isLaterProcess =
			compareIncarnations(knownBornMs, former?.executor.bornMs) === 'later';
		const restartedAt = isLaterProcess ? askedAt : former?.executor.restartedAt;
		const executor: Executor = {
			...rest,
			...(knownBornMs !== undefined && {bornMs: knownBornMs}),
			...(restartedAt !== undefined && {restartedAt}),
			isCapacityEnforced,
			capacity: usable.capacity,
			capacityReadAt: usable.capacityReadAt,
		};
		const isChanged = !former || !holdsSameContent(former.executor, executor);
		known.set(registration.id, {
			registration,
			executor,
			changedRevision: isChanged ? (revision ?? 0) : former.changedRevision,
		});
		return executor;
	}

	return {
		applyList: (registrations, askedAt) =>
			registrations.flatMap(
				(registration) => applyRegistration(registration, askedAt) ?? [],
			),
		listChangedSince: (dataCentre, revision) =>
			[...known.values()]
				.filter(
					({executor, changedRevision}) =>
						changedRevision > revision && executor.dataCentre === dataCentre,
				)
				.map((one) => makeRegistration(one)),
		keepOnly(executors) {
			const ids = new Set(executors.map(({id}) => id));
			for (const id of known.keys()) {
				if (!ids.has(id)) {
					known.delete(id);
				}
			}
		},
	};
}

function makeRegistration({
	registration: {sequence, revision},
	executor,
}: KnownRegistration): ToldRegistration {
	const {
		isCapacityEnforced: _isCapacityEnforced,
		capacityReadAt: _capacityReadAt,
		restartedAt: _restartedAt,
		...rest
	} = executor;
	return {...rest, sequence, revision};
}

/** Whether two registrations of an executor say the same; `remainingMs` passes by itself. */
function holdsSameContent(a: Executor, b: Executor): boolean {
	return (
		a.address === b.address &&
		a.service === b.service &&
		a.dataCentre === b.dataCentre &&
		a.isDraining === b.isDraining &&
		a.bornMs === b.bornMs &&
		a.capacity.cpu === b.capacity.cpu &&
		a.capacity.memoryMb === b.capacity.memoryMb &&
		a.capacity.accelerators === b.capacity.accelerators &&
		a.labels?.length === b.labels?.length &&
		(a.labels ?? []).every((label, i) => label === b.labels?.[i])
	);
}

/** Whether the source has handed the same object out again, as it does for an entry that has not changed: nothing follows from it. */
function isReadAgain(
	registration: ExecutorRegistration,
	former: KnownRegistration,
	isCapacityEnforced: boolean,
): boolean {
	return (
		registration === former.registration &&
		isNumbered(registration) &&
		former.lowerSequenceSince === undefined &&
		former.executor.isCapacityEnforced === isCapacityEnforced
	);
}

function isOlder(
	registration: ExecutorRegistration,
	former: KnownRegistration,
	now: number,
): boolean {
	const order = compareIncarnations(
		registration.bornMs,
		former.executor.bornMs,
	);
	if (order === 'earlier' || order === 'later') {
		return order === 'earlier';
	}

	if (isLower(registration.revision, former.registration.revision)) {
		return true;
	}

	// This write reached the store late; the executor's next registration corrects it.
	if (isLower(registration.sequence, former.registration.sequence)) {
		former.lowerSequenceSince ??= now;
		return now - former.lowerSequenceSince < renumberingMs;
	}

	return false;
}

function isLower(a: number | undefined, b: number | undefined): boolean {
	return a !== undefined && b !== undefined && a < b;
}

/** A registration that is read again keeps the time of its first read. */
function findFirstReadAt(
	registration: ExecutorRegistration,
	former: KnownRegistration | undefined,
): number | undefined {
	const {sequence, revision, bornMs} = registration;
	return isNumbered(registration) &&
		compareIncarnations(bornMs, former?.executor.bornMs) !== 'later' &&
		former?.registration.sequence === sequence &&
		former?.registration.revision === revision
		? former?.executor.capacityReadAt
		: undefined;
}

function isNumbered({sequence, revision}: ExecutorRegistration): boolean {
	return sequence !== undefined || revision !== undefined;
}
